package alarm

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rhubarbring/rhubarbring/charts"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/outcome"
	"github.com/rhubarbring/rhubarbring/statechart"
)

var alarmChart = charts.MustLoad("alarm")

// The states of the alarm chart that the code refers to.
const (
	statePending statechart.State = "pending"
	stateTold    statechart.State = "told"
)

// Core decides when alarms are raised, delivered and stored. It does no input or
// output and is not safe for concurrent use.
type Core struct {
	cfg       Config
	incidents map[string]*incident
	// causeOf holds the cause of each condition that has begun and not ended,
	// even if its alarm has been acknowledged. A condition in it is not
	// reported anew.
	causeOf  map[conditionKey]string
	lastSeen map[string]mono.Time
	out      []Action
}

// conditionKey identifies a condition.
type conditionKey struct {
	kind    Kind
	subject string
}

// New returns a Core without conditions.
func New(cfg Config) *Core {
	return &Core{
		cfg:       cfg,
		incidents: make(map[string]*incident),
		causeOf:   make(map[conditionKey]string),
		lastSeen:  make(map[string]mono.Time),
	}
}

// Step handles an event and returns the actions to perform. The returned slice
// is valid until the next call of Step.
func (c *Core) Step(now Instant, ev Event) []Action {
	c.out = c.out[:0]
	switch ev := ev.(type) {
	case RequestAnswered:
		c.answered(now, ev)
	case ConditionBegan:
		c.began(now, ev.Condition, now.Mono.Add(-ev.For))
	case ConditionEnded:
		c.ended(now, conditionKey{ev.Kind, ev.Subject})
	case SetParts:
		c.setParts(now, ev.Names)
	case PartSeen:
		c.seen(now, ev.Part)
	case SetBounds:
		c.cfg.Bounds = ev.Bounds
		c.cfg.HasReceiver = ev.HasReceiver
	case Restored:
		c.restore(ev.Alarm)
	case DeliveryDone:
		c.delivered(now, ev)
	case Acknowledge:
		c.acknowledge(now, ev.ID)
	case Tick:
		c.tick(now)
	}
	return c.out
}

// Unacknowledged returns the alarms and notices that nobody has acknowledged,
// oldest first, as shown in the daemon's status.
func (c *Core) Unacknowledged() []Alarm {
	var all []Alarm
	for _, name := range slices.Sorted(maps.Keys(c.incidents)) {
		if inc := c.incidents[name]; inc.state != statePending {
			all = append(all, inc.snapshot())
		}
	}
	slices.SortStableFunc(all, func(a, b Alarm) int { return cmp.Compare(a.RaisedMs, b.RaisedMs) })
	return all
}

// answered begins a condition if the request's outcome is at risk.
func (c *Core) answered(now Instant, ev RequestAnswered) {
	if outcome.AtRisk(ev.Idempotent, ev.Code) {
		c.began(now, Condition{Kind: OutcomeAtRisk, Subject: ev.ID, Cause: ev.Cause}, now.Mono)
	}
}

// began opens a condition, unless it is open already. A condition without a
// cause gets an alarm of its own, with its kind and subject as the cause.
func (c *Core) began(now Instant, cond Condition, since mono.Time) {
	k := conditionKey{cond.Kind, cond.Subject}
	if _, known := c.causeOf[k]; known {
		return
	}
	name := cond.Cause
	if name == "" {
		name = string(cond.Kind) + " " + cond.Subject
	}
	inc := c.incidents[name]
	if inc == nil {
		inc = newIncident(c.newAlarm(name))
		c.incidents[name] = inc
	}
	c.causeOf[k] = name
	inc.open[k] = &openCondition{since: since}
	c.checkBounds(now, inc)
}

func (c *Core) newAlarm(name string) Alarm {
	return Alarm{
		ID:          IDOf(c.cfg.Environment, name),
		Reporter:    c.cfg.Reporter,
		Environment: c.cfg.Environment,
		Cause:       name,
	}
}

// ended closes a condition. Once no condition of its cause is open, an alarm
// that has not been raised is dropped.
func (c *Core) ended(now Instant, k conditionKey) {
	name, known := c.causeOf[k]
	if !known {
		return
	}
	delete(c.causeOf, k)
	inc := c.incidents[name]
	if inc == nil || inc.open[k] == nil {
		return
	}
	inc.remove(k)
	if len(inc.open) == 0 {
		c.transition(now, inc, "healed")
	}
}

func (c *Core) tick(now Instant) {
	c.checkParts(now)
	for _, name := range slices.Sorted(maps.Keys(c.incidents)) {
		inc := c.incidents[name]
		c.checkBounds(now, inc)
		if !inc.retryAt.After(now.Mono) {
			c.transition(now, inc, "retry")
		}
		if inc.changed && now.Mono.Sub(inc.deliveredAt) >= c.cfg.UpdateInterval {
			c.transition(now, inc, "more")
		}
	}
}

// checkBounds marks the conditions that have lasted for their bound as at risk,
// and raises the alarm if there are any.
func (c *Core) checkBounds(now Instant, inc *incident) {
	for _, k := range inc.sortedKeys() {
		cond := inc.open[k]
		if cond.atRisk || now.Mono.Sub(cond.since) < c.cfg.Bounds.of(k.kind) {
			continue
		}
		inc.addAtRisk(k, c.cfg.MaxSubjects)
	}
	if inc.totalAtRisk() > 0 {
		c.transition(now, inc, "at_risk")
	}
}

// transition applies an event to the state chart of an incident.
func (c *Core) transition(now Instant, inc *incident, e statechart.Event) {
	next, ok := alarmChart.Next(inc.state, e)
	if !ok {
		return
	}
	inc.state = next.To
	for _, action := range next.Actions {
		c.perform(now, inc, action)
	}
	if alarmChart.States[inc.state].Final {
		c.forgetClosed(now, inc)
	}
}

func (c *Core) perform(now Instant, inc *incident, action statechart.Action) {
	switch action {
	case "ring":
		inc.alarm.RaisedMs = now.UnixMs
		inc.alarm.UpdatedMs = now.UnixMs
		c.emit(Raised{Alarm: inc.snapshot()})
	case "keep":
		c.emit(StoreAlarm{Alarm: inc.snapshot()})
	case "deliver":
		c.deliver(now, inc)
	case "pause":
		inc.retryAt = now.Mono.Add(inc.retryPause)
		inc.retryPause = min(2*inc.retryPause, c.cfg.MaxRetry)
	}
}

// deliver has the alarm delivered. Without a receiver it posts nothing, and the
// alarm moves to the state told.
func (c *Core) deliver(now Instant, inc *incident) {
	inc.markDelivered()
	inc.deliveredAt = now.Mono
	inc.alarm.UpdatedMs = now.UnixMs
	inc.alarm.Deliveries++
	if inc.retryPause == 0 {
		inc.retryPause = c.cfg.Retry
	}
	if c.cfg.HasReceiver {
		c.emit(Deliver{Alarm: inc.snapshot()})
		return
	}
	c.transition(now, inc, "taken")
}

func (c *Core) delivered(now Instant, ev DeliveryDone) {
	inc := c.findByID(ev.ID)
	if inc == nil {
		return
	}
	if !ev.Taken {
		c.transition(now, inc, "failed")
		return
	}
	inc.alarm.Taken = true
	inc.retryPause = c.cfg.Retry
	c.transition(now, inc, "taken")
}

func (c *Core) acknowledge(now Instant, id string) {
	if inc := c.findByID(id); inc != nil {
		c.transition(now, inc, "acknowledged")
	}
}

// restore resumes a stored alarm that was raised before this daemon started. It
// is delivered again unless the receiver had accepted it. An acknowledged alarm
// is ignored.
func (c *Core) restore(a Alarm) {
	if a.Acknowledged != nil || c.incidents[a.Cause] != nil {
		return
	}
	inc := newIncident(a)
	inc.state = stateTold
	inc.changed = !a.Taken
	inc.retryPause = c.cfg.Retry
	inc.deliveredAt = mono.Never
	for _, count := range a.Counts {
		inc.restored[count.Kind] = count.AtRisk
	}
	c.incidents[a.Cause] = inc
}

// forgetClosed removes the incident of a closed alarm. Open conditions that had
// not been delivered begin anew, in another alarm of the same cause. Those that
// had been delivered are covered by the acknowledgement until they end, except
// outcomes, which never end and are forgotten.
func (c *Core) forgetClosed(now Instant, inc *incident) {
	delete(c.incidents, inc.alarm.Cause)
	for _, k := range inc.sortedKeys() {
		cond := inc.open[k]
		if cond.delivered && k.kind != OutcomeAtRisk {
			continue
		}
		delete(c.causeOf, k)
		if !cond.delivered {
			c.began(now, Condition{Kind: k.kind, Subject: k.subject, Cause: inc.alarm.Cause}, cond.since)
		}
	}
}

func (c *Core) findByID(id string) *incident {
	for _, inc := range c.incidents {
		if inc.alarm.ID == id {
			return inc
		}
	}
	return nil
}

func (c *Core) emit(a Action) {
	c.out = append(c.out, a)
}
