package alarm

import (
	"sort"

	"github.com/rhubarbring/rhubarbring/chart"
	"github.com/rhubarbring/rhubarbring/charts"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/outcome"
)

var alarmChart = charts.MustLoad("alarm")

// The states that the code itself asks for.
const (
	pending chart.State = "pending"
	told    chart.State = "told"
)

// Core decides when the alarm rings. It is not safe for concurrent use.
type Core struct {
	cfg    Config
	causes map[string]*cause
	// where finds the cause of what has begun and not ended, also if a
	// person has acknowledged it.
	where map[thing]string
	parts map[string]mono.Time
	out   []Action
}

// thing identifies what may be at risk.
type thing struct {
	kind    Kind
	subject string
}

// New returns a core that knows of nothing at risk.
func New(cfg Config) *Core {
	return &Core{
		cfg:    cfg,
		causes: make(map[string]*cause),
		where:  make(map[thing]string),
		parts:  make(map[string]mono.Time),
	}
}

// Step takes an event and returns what to do. The slice is valid until the
// next Step.
func (c *Core) Step(now Clock, ev Event) []Action {
	c.out = c.out[:0]
	switch ev := ev.(type) {
	case Answered:
		c.answered(now, ev)
	case Began:
		c.began(now, ev.Condition, now.Mono.Add(-ev.For))
	case Ended:
		c.ended(now, thing{ev.Kind, ev.Subject})
	case Parts:
		c.setParts(now, ev.Names)
	case Seen:
		c.seen(now, ev.Part)
	case SetBounds:
		c.cfg.Bounds = ev.Bounds
		c.cfg.Receiver = ev.Receiver
	case Restored:
		c.restore(ev.Alarm)
	case Delivered:
		c.delivered(now, ev)
	case Acknowledge:
		c.acknowledge(now, ev.ID)
	case Tick:
		c.tick(now)
	}
	return c.out
}

// Ringing returns the alarms that nobody has acknowledged, oldest first: the
// status line.
func (c *Core) Ringing() []Alarm {
	var all []Alarm
	for _, name := range c.causeNames() {
		if p := c.causes[name]; p.state != pending {
			all = append(all, p.show())
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].RaisedMs < all[j].RaisedMs })
	return all
}

// answered puts an outcome at risk if it is one.
func (c *Core) answered(now Clock, ev Answered) {
	if outcome.AtRisk(ev.Idempotent, ev.Code) {
		c.began(now, Condition{Kind: OutcomeAtRisk, Subject: ev.ID, Cause: ev.Cause}, now.Mono)
	}
}

func (c *Core) began(now Clock, cond Condition, since mono.Time) {
	t := thing{cond.Kind, cond.Subject}
	if _, known := c.where[t]; known {
		return
	}
	name := cond.Cause
	if name == "" {
		name = string(cond.Kind) + " " + cond.Subject
	}
	p := c.causes[name]
	if p == nil {
		p = newCause(c.alarm(name))
		c.causes[name] = p
	}
	c.where[t] = name
	p.open[t] = &begun{since: since}
	c.look(now, p)
}

func (c *Core) alarm(name string) Alarm {
	return Alarm{
		ID:          IDOf(c.cfg.Environment, name),
		Reporter:    c.cfg.Reporter,
		Environment: c.cfg.Environment,
		Cause:       name,
	}
}

func (c *Core) ended(now Clock, t thing) {
	name, known := c.where[t]
	if !known {
		return
	}
	delete(c.where, t)
	p := c.causes[name]
	if p == nil || p.open[t] == nil {
		return
	}
	p.end(t)
	if len(p.open) == 0 {
		c.follow(now, p, "healed")
	}
}

func (c *Core) tick(now Clock) {
	c.checkParts(now)
	for _, name := range c.causeNames() {
		p := c.causes[name]
		c.look(now, p)
		if !p.retry.After(now.Mono) {
			c.follow(now, p, "retry")
		}
		if p.changed && now.Mono.Sub(p.delivered) >= c.cfg.Update {
			c.follow(now, p, "more")
		}
	}
}

// look notes what has passed its bound, and rings if something has.
func (c *Core) look(now Clock, p *cause) {
	for _, t := range p.things() {
		b := p.open[t]
		if b.atRisk || now.Mono.Sub(b.since) < c.cfg.Bounds.of(t.kind) {
			continue
		}
		p.risk(t, c.cfg.Subjects)
	}
	if p.atRisk() > 0 {
		c.follow(now, p, "at_risk")
	}
}

// follow takes the chart's transition for a cause.
func (c *Core) follow(now Clock, p *cause, e chart.Event) {
	next, ok := alarmChart.Next(p.state, e)
	if !ok {
		return
	}
	p.state = next.To
	for _, action := range next.Do {
		c.act(now, p, action)
	}
	if alarmChart.States[p.state].Final {
		c.drop(now, p)
	}
}

func (c *Core) act(now Clock, p *cause, action chart.Action) {
	switch action {
	case "ring":
		p.alarm.RaisedMs = now.UnixMs
		p.alarm.UpdatedMs = now.UnixMs
		c.do(Rang{Alarm: p.show()})
	case "keep":
		c.do(Keep{Alarm: p.show()})
	case "deliver":
		c.deliver(now, p)
	case "pause":
		p.retry = now.Mono.Add(p.pause)
		p.pause = min(2*p.pause, c.cfg.MaxRetry)
	}
}

func (c *Core) deliver(now Clock, p *cause) {
	p.told()
	p.delivered = now.Mono
	p.alarm.UpdatedMs = now.UnixMs
	p.alarm.Deliveries++
	if p.pause == 0 {
		p.pause = c.cfg.Retry
	}
	if c.cfg.Receiver {
		c.do(Deliver{Alarm: p.show()})
		return
	}
	c.follow(now, p, "taken")
}

func (c *Core) delivered(now Clock, ev Delivered) {
	p := c.find(ev.ID)
	if p == nil {
		return
	}
	if !ev.Taken {
		c.follow(now, p, "failed")
		return
	}
	p.alarm.Taken = true
	p.pause = c.cfg.Retry
	c.follow(now, p, "taken")
}

func (c *Core) acknowledge(now Clock, id string) {
	if p := c.find(id); p != nil {
		c.follow(now, p, "acknowledged")
	}
}

// restore takes an alarm that rang before this daemon started. One that
// wasn't taken is delivered again.
func (c *Core) restore(a Alarm) {
	if a.Acknowledged != nil || c.causes[a.Cause] != nil {
		return
	}
	p := newCause(a)
	p.state = told
	p.changed = !a.Taken
	p.pause = c.cfg.Retry
	p.delivered = mono.Never
	for _, count := range a.Counts {
		p.restored[count.Kind] = count.AtRisk
	}
	c.causes[a.Cause] = p
}

// drop forgets a closed alarm. What the person was not told of starts another
// alarm of the same cause; what they were told of stays quiet until it ends.
func (c *Core) drop(now Clock, p *cause) {
	delete(c.causes, p.alarm.Cause)
	for _, t := range p.things() {
		b := p.open[t]
		if b.told && t.kind != OutcomeAtRisk {
			continue
		}
		delete(c.where, t)
		if !b.told {
			c.began(now, Condition{Kind: t.kind, Subject: t.subject, Cause: p.alarm.Cause}, b.since)
		}
	}
}

func (c *Core) find(id string) *cause {
	for _, p := range c.causes {
		if p.alarm.ID == id {
			return p
		}
	}
	return nil
}

func (c *Core) causeNames() []string {
	names := make([]string, 0, len(c.causes))
	for name := range c.causes {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (c *Core) do(a Action) {
	c.out = append(c.out, a)
}
