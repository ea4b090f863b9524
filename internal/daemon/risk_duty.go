package daemon

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rhubarbring/rhubarbring/alarm"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/ring"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/outcome"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/session"
)

const (
	riskRingSize = 1 << 14
	alarmTick    = time.Second
	// keeperTick lets time pass for the keeper of outcomes; a batch that was
	// opened is closed sooner.
	keeperTick = 500 * time.Millisecond
)

// riskWork is something for the risk duty to do.
type riskWork interface {
	riskWork(r *riskDuty, now mono.Time)
}

// riskDuty keeps outcomes at risk until they stand in the store, and decides
// when the alarm rings.
type riskDuty struct {
	d       *Daemon
	ring    *ring.Ring[riskWork]
	keeper  *outcome.Keeper
	alarm   *alarm.Core
	caller  *outcomeCaller
	started map[alarm.Condition]bool // conditions that were told as begun
	polled  mono.Time
	// lastUnowned are the slices without an owner by the last answer.
	lastUnowned []found
	open        atomic.Int64
	ringing     atomic.Pointer[[]string]
	gauges      riskGauges
	refused     map[string]int64 // by ring, at the last look
	rang        metrics.Counter
	met         metrics.Counter
	stop        chan struct{}
	done        sync.WaitGroup
}

func newRiskDuty(d *Daemon, seed uint64, registry metrics.Registry) *riskDuty {
	keeper := outcome.DefaultConfig()
	keeper.Self = d.self
	keeper.Seed = seed
	bell := alarm.DefaultConfig()
	bell.Environment = d.settings.Environment
	bell.Reporter = string(d.self.Host)
	return &riskDuty{
		d:       d,
		ring:    ring.New[riskWork]("risk", riskRingSize, registry),
		keeper:  outcome.New(keeper),
		alarm:   alarm.New(bell),
		caller:  newOutcomeCaller(d),
		started: make(map[alarm.Condition]bool),
		gauges:  newRiskGauges(registry),
		refused: make(map[string]int64),
		rang:    metrics.GetOrRegisterCounter("alarm.rang", registry),
		met:     metrics.GetOrRegisterCounter("outcomes.met", registry),
		stop:    make(chan struct{}),
	}
}

func (r *riskDuty) start() {
	r.done.Add(1)
	go r.run()
}

func (r *riskDuty) close() {
	close(r.stop)
	r.done.Wait()
}

func (r *riskDuty) run() {
	defer r.done.Done()
	flush := time.NewTicker(keeperTick)
	defer flush.Stop()
	second := time.NewTicker(alarmTick)
	defer second.Stop()
	for {
		select {
		case w := <-r.ring.Items():
			w.riskWork(r, bootclock.Now())
		case <-flush.C:
			r.keep(bootclock.Now(), outcome.Tick{})
		case <-second.C:
			r.look(bootclock.Now())
		case <-r.stop:
			return
		}
	}
}

// keep takes an event to the keeper of outcomes and does what it asks for.
func (r *riskDuty) keep(now mono.Time, ev outcome.Event) {
	for _, action := range r.keeper.Step(now, ev) {
		switch a := action.(type) {
		case outcome.Save:
			r.save(a)
		case outcome.Send:
			r.caller.send(a.To, a.Message)
		case outcome.Overflow:
			r.logOutcome(event.OutcomeUnkept, a.Outcome)
		case outcome.Inherited:
			r.d.log.Event(event.OutcomesInherited, "batch", a.Name, "count", a.Count, "from", a.From.String())
		}
	}
	r.open.Store(int64(len(r.keeper.Unsaved())))
}

// saved reports whether all outcomes at risk that were met stand in the store.
func (r *riskDuty) saved() bool {
	return len(r.ring.Items()) == 0 && r.open.Load() == 0
}

func (r *riskDuty) save(a outcome.Save) {
	r.d.store.ask(storeCall{
		op: opPut, kind: outcome.Kind, name: a.Name, value: a.Value,
		done: func(answer storeAnswer) {
			r.ring.Wait(outcomesSaved{name: a.Name, code: answer.code}, r.stop)
		},
	})
}

func (r *riskDuty) logOutcome(id event.ID, o outcome.Outcome) {
	r.d.log.Event(id, "id", o.ID, "app", string(o.App), "key", o.Key, "slice", uint32(o.Slice), "owner", o.Owner.String(),
		"epoch", o.Epoch, "code", uint16(o.Code), "cause", o.Cause, "why", o.Why)
}

// ringBell takes an event to the alarm and does what it asks for.
func (r *riskDuty) ringBell(now mono.Time, ev alarm.Event) {
	for _, action := range r.alarm.Step(alarm.Clock{Mono: now, UnixMs: wallMs()}, ev) {
		switch a := action.(type) {
		case alarm.Rang:
			r.logAlarm(a.Alarm)
		case alarm.Deliver:
			go r.deliver(a.Alarm)
		case alarm.Keep:
			go r.keepAlarm(a.Alarm)
		}
	}
	r.publish()
}

func (r *riskDuty) logAlarm(a alarm.Alarm) {
	id := event.AlarmNotice
	if a.Severity == alarm.Ring {
		id = event.AlarmRang
		r.rang.Inc(1)
	}
	r.d.log.Event(id, "id", a.ID, "cause", a.Cause, "counts", countsText(a.Counts), "subjects", subjectsText(a.Subjects))
}

func countsText(counts []alarm.Count) string {
	text := ""
	for _, c := range counts {
		text += string(c.Kind) + "=" + strconv.Itoa(c.AtRisk) + " "
	}
	return text
}

func subjectsText(subjects []string) string {
	text := ""
	for i, s := range subjects {
		if i > 0 {
			text += ", "
		}
		text += s
	}
	return text
}

// publish shows the alarms that ring to operators.
func (r *riskDuty) publish() {
	lines := []string{}
	for _, a := range r.alarm.Ringing() {
		lines = append(lines, string(a.Severity)+" "+a.ID+" "+a.Cause+": "+countsText(a.Counts))
	}
	r.ringing.Store(&lines)
}

// What the risk duty is handed.
type (
	riskRaised    struct{ risk request.Risk }
	outcomesSaved struct {
		name string
		code result.Code
	}
	outcomesReceived struct {
		from    host.Session
		message outcome.Message
	}
	alarmDelivered struct {
		id    string
		taken bool
	}
	alarmAcknowledged struct{ id, who, why string }
	fleetChanged      struct{}
	// batchDue is the time to close a batch of outcomes.
	batchDue struct{}
)

func (batchDue) riskWork(r *riskDuty, now mono.Time) {
	r.keep(now, outcome.Tick{})
}

func (w riskRaised) riskWork(r *riskDuty, now mono.Time) {
	o := r.outcomeOf(w.risk)
	r.met.Inc(1)
	r.logOutcome(event.OutcomeMet, o)
	r.keep(now, outcome.Met{Outcomes: []outcome.Outcome{o}})
	time.AfterFunc(outcome.DefaultConfig().Flush, func() { r.ring.Wait(batchDue{}, r.stop) })
	r.ringBell(now, alarm.Answered{ID: o.ID, Code: o.Code, Cause: o.Cause})
}

func (r *riskDuty) outcomeOf(risk request.Risk) outcome.Outcome {
	return outcome.Outcome{
		ID:     risk.ID,
		App:    risk.App,
		Key:    risk.Key,
		Slice:  risk.Slice,
		Owner:  risk.Owner,
		Epoch:  risk.Epoch,
		Entry:  r.d.self.Host,
		Code:   risk.Code,
		UnixMs: wallMs(),
		Why:    "result " + risk.Code.String() + ", known outcome " + risk.Outcome.String(),
		Cause:  "session " + risk.Owner.String(),
	}
}

func (w outcomesSaved) riskWork(r *riskDuty, now mono.Time) {
	answers := map[result.Code]outcome.SaveAnswer{
		result.OK:               outcome.SaveOK,
		result.StoreConflict:    outcome.SaveExists,
		result.StoreUnavailable: outcome.SaveFailed,
	}
	answer, ok := answers[w.code]
	if !ok {
		answer = outcome.SaveDoubt
	}
	r.keep(now, outcome.SaveDone{Name: w.name, Answer: answer})
	if answer == outcome.SaveOK || answer == outcome.SaveExists {
		r.d.log.Event(event.OutcomesSaved, "batch", w.name)
		return
	}
	r.d.log.Event(event.OutcomesWaiting, "batch", w.name, "count", r.open.Load())
}

func (w outcomesReceived) riskWork(r *riskDuty, now mono.Time) {
	r.keep(now, outcome.Received{From: w.from, Message: w.message})
}

func (w alarmDelivered) riskWork(r *riskDuty, now mono.Time) {
	r.ringBell(now, alarm.Delivered{ID: w.id, Taken: w.taken})
}

func (w alarmAcknowledged) riskWork(r *riskDuty, now mono.Time) {
	r.d.log.Event(event.AlarmAcknowledged, "id", w.id, "who", w.who, "why", w.why)
	r.ringBell(now, alarm.Acknowledge{ID: w.id})
}

func (fleetChanged) riskWork(r *riskDuty, now mono.Time) {
	peers := outcome.Peers{}
	for id, v := range r.d.fleet.sessions.Load().records {
		if v.Record.State.Final() {
			continue
		}
		peers.Living = append(peers.Living, id)
		if id != r.d.self && v.Record.Place.Zone != r.d.settings.Zone && v.Record.State == session.Live {
			peers.Elsewhere = append(peers.Elsewhere, id)
		}
	}
	r.keep(now, peers)
}
