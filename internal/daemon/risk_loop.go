package daemon

import (
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rhubarbring/rhubarbring/alarm"
	"github.com/rhubarbring/rhubarbring/alarmrecord"
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
	// recorderTick is the interval of the outcome recorder's ticks. An open
	// batch is closed sooner than that, by batchDue.
	recorderTick = 500 * time.Millisecond
)

// riskTask is a unit of work for the risk loop.
type riskTask interface {
	handle(r *riskLoop, now mono.Time)
}

// riskLoop keeps outcomes at risk until they are saved in the store, and
// decides when to raise alarms.
type riskLoop struct {
	d         *Daemon
	ring      *ring.Ring[riskTask]
	recorder  *outcome.Recorder
	alarm     *alarm.Core
	records   *alarmrecord.Recorder
	collector host.Session // as logged last
	sender    *outcomeSender
	receiver  *alarmReceiver
	reported  map[alarm.Condition]bool // conditions reported to the alarm core as begun
	// lastUnowned holds the slices without an owner as of the last answer of
	// the routing loop.
	lastUnowned    []activeCondition
	openOutcomes   atomic.Int64
	ringingAlarms  atomic.Pointer[[]string]
	gauges         riskGauges
	lastRefused    map[string]int64 // by ring, as of the last check
	alarmsRaised   metrics.Counter
	outcomesRaised metrics.Counter
	stop           chan struct{}
	done           sync.WaitGroup
}

func newRiskLoop(d *Daemon, seed uint64, registry metrics.Registry) *riskLoop {
	recorderConfig := outcome.DefaultConfig()
	recorderConfig.Self = d.self
	recorderConfig.Seed = seed
	alarmConfig := alarm.DefaultConfig()
	alarmConfig.Environment = d.settings.Environment
	alarmConfig.Reporter = string(d.self.Host)
	recordConfig := alarmrecord.DefaultConfig()
	recordConfig.Self = d.self
	recordConfig.Seed = seed
	return &riskLoop{
		d:              d,
		ring:           ring.New[riskTask]("risk", riskRingSize, registry),
		recorder:       outcome.New(recorderConfig),
		alarm:          alarm.New(alarmConfig),
		records:        alarmrecord.New(recordConfig),
		sender:         newOutcomeSender(d),
		receiver:       newAlarmReceiver(),
		reported:       make(map[alarm.Condition]bool),
		gauges:         newRiskGauges(registry),
		lastRefused:    make(map[string]int64),
		alarmsRaised:   metrics.GetOrRegisterCounter("alarm.rang", registry),
		outcomesRaised: metrics.GetOrRegisterCounter("outcomes.met", registry),
		stop:           make(chan struct{}),
	}
}

func (r *riskLoop) start() {
	r.done.Add(1)
	go r.run()
}

func (r *riskLoop) close() {
	close(r.stop)
	r.done.Wait()
}

func (r *riskLoop) run() {
	defer r.done.Done()
	flush := time.NewTicker(recorderTick)
	defer flush.Stop()
	second := time.NewTicker(alarmTick)
	defer second.Stop()
	for {
		select {
		case w := <-r.ring.Items():
			w.handle(r, bootclock.Now())
		case <-flush.C:
			r.stepRecorder(bootclock.Now(), outcome.Tick{})
		case <-second.C:
			r.checkConditions(bootclock.Now())
		case <-r.stop:
			return
		}
	}
}

// stepRecorder passes an event to the outcome recorder and carries out the
// resulting actions.
func (r *riskLoop) stepRecorder(now mono.Time, ev outcome.Event) {
	for _, action := range r.recorder.Step(now, ev) {
		switch a := action.(type) {
		case outcome.Save:
			r.save(a)
		case outcome.Send:
			r.sender.send(a.To, a.Message)
		case outcome.Overflow:
			r.logOutcome(event.OutcomeUnkept, a.Outcome)
		case outcome.Inherited:
			r.d.log.Event(event.OutcomesInherited, "batch", a.Name, "count", a.Count, "from", a.From.String())
		}
	}
	r.openOutcomes.Store(int64(len(r.recorder.Unsaved())))
}

// allSaved reports whether no outcome at risk waits in the ring or to be saved
// in the store. A task that is being handled right now is not counted.
func (r *riskLoop) allSaved() bool {
	return len(r.ring.Items()) == 0 && r.openOutcomes.Load() == 0
}

func (r *riskLoop) save(a outcome.Save) {
	r.d.store.enqueue(storeCall{
		op: opPut, kind: outcome.Kind, name: a.Name, value: a.Value,
		done: func(answer storeAnswer) {
			r.ring.PushWait(outcomesSaved{name: a.Name, code: answer.code}, r.stop)
		},
	})
}

func (r *riskLoop) logOutcome(id event.ID, o outcome.Outcome) {
	r.d.log.Event(id, "id", o.ID, "app", string(o.App), "key", o.Key, "slice", uint32(o.Slice), "owner", o.Owner.String(),
		"epoch", o.Epoch, "code", uint16(o.Code), "cause", o.Cause, "why", o.Why)
}

// stepAlarm passes an event to the alarm core and carries out the resulting
// actions.
func (r *riskLoop) stepAlarm(now mono.Time, ev alarm.Event) {
	for _, action := range slices.Clone(r.alarm.Step(alarm.Instant{Mono: now, UnixMs: wallMs()}, ev)) {
		switch a := action.(type) {
		case alarm.Raised:
			r.logAlarm(a.Alarm)
		case alarm.Deliver:
			go r.deliver(a.Alarm)
		case alarm.StoreAlarm:
			r.stepRecords(now, alarmrecord.Changed{Alarm: a.Alarm})
		}
	}
	r.publish()
}

func (r *riskLoop) logAlarm(a alarm.Alarm) {
	id := event.AlarmNotice
	if a.Severity == alarm.Ring {
		id = event.AlarmRang
		r.alarmsRaised.Inc(1)
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

// publish makes the ringing alarms available to operators.
func (r *riskLoop) publish() {
	lines := []string{}
	for _, a := range r.alarm.Unacknowledged() {
		lines = append(lines, string(a.Severity)+" "+a.ID+" "+a.Cause+": "+countsText(a.Counts))
	}
	r.ringingAlarms.Store(&lines)
}

// Tasks of the risk loop.
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
	fleetChanged struct{}
	// batchDue closes an open batch of outcomes whose time has come.
	batchDue struct{}
)

func (batchDue) handle(r *riskLoop, now mono.Time) {
	r.stepRecorder(now, outcome.Tick{})
}

func (w riskRaised) handle(r *riskLoop, now mono.Time) {
	o := r.outcomeOf(w.risk)
	r.outcomesRaised.Inc(1)
	r.logOutcome(event.OutcomeMet, o)
	r.stepRecorder(now, outcome.RiskReported{Outcomes: []outcome.Outcome{o}})
	time.AfterFunc(outcome.DefaultConfig().FlushInterval, func() { r.ring.PushWait(batchDue{}, r.stop) })
	r.stepAlarm(now, alarm.RequestAnswered{ID: o.ID, Code: o.Code, Cause: o.Cause})
}

func (r *riskLoop) outcomeOf(risk request.Risk) outcome.Outcome {
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

func (w outcomesSaved) handle(r *riskLoop, now mono.Time) {
	answers := map[result.Code]outcome.SaveResult{
		result.OK:               outcome.SaveOK,
		result.StoreConflict:    outcome.SaveExists,
		result.StoreUnavailable: outcome.SaveFailed,
	}
	answer, ok := answers[w.code]
	if !ok {
		answer = outcome.SaveUnconfirmed
	}
	r.stepRecorder(now, outcome.SaveDone{Name: w.name, Answer: answer})
	if answer == outcome.SaveOK || answer == outcome.SaveExists {
		r.d.log.Event(event.OutcomesSaved, "batch", w.name)
		return
	}
	r.d.log.Event(event.OutcomesWaiting, "batch", w.name, "count", r.openOutcomes.Load())
}

func (w outcomesReceived) handle(r *riskLoop, now mono.Time) {
	r.stepRecorder(now, outcome.Received{From: w.from, Message: w.message})
}

func (w alarmDelivered) handle(r *riskLoop, now mono.Time) {
	r.stepAlarm(now, alarm.DeliveryDone{ID: w.id, Taken: w.taken})
}

func (fleetChanged) handle(r *riskLoop, now mono.Time) {
	peers := outcome.Peers{}
	for id, v := range r.d.fleet.sessions.Load().records {
		if v.Record.State.Final() {
			continue
		}
		peers.Living = append(peers.Living, id)
		if id != r.d.self && v.Record.Place.Zone != r.d.settings.Zone && v.Record.State == session.Live {
			peers.OtherZones = append(peers.OtherZones, id)
		}
	}
	r.stepRecorder(now, peers)
	r.setAlarmPeers(now)
}
