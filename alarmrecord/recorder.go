package alarmrecord

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/alarm"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

// maxEntries bounds the entries of one Report. The others follow at the next
// Tick.
const maxEntries = 100

// Recorder reports this daemon's alarms to a collector, and is the collector of
// the daemons that report to it. It does no input or output and is not safe for
// concurrent use.
type Recorder struct {
	cfg  Config
	rand *rand.Rand
	out  []Action

	// own holds this daemon's alarms by ID, and number the last number given.
	own    map[string]*ownAlarm
	number uint64
	// candidates and suspects decide which daemon is the collector.
	candidates []host.Session
	suspects   map[host.Session]mono.Time
	collector  host.Session
	// unansweredSince is when the first Report that the collector has not
	// answered was sent, or mono.Never.
	unansweredSince mono.Time

	living map[host.Session]bool
	// records holds the records for which this daemon is a collector.
	records map[string]*record
	// storePause is the pause after a call that the store did not answer, 0 if
	// it answered the last one. Until retryAt no call is made.
	storePause  time.Duration
	retryAt     mono.Time
	listing     bool
	failedLists int // lists in a row that failed
	listedAt    mono.Time
}

// ownAlarm is an alarm of this daemon that nobody has acknowledged.
type ownAlarm struct {
	alarm  alarm.Alarm
	number uint64
	// held and stored are what the collector answered last.
	held    uint64
	stored  uint64
	inStore bool
	// waitingSince is since when the present collector is to have the alarm's
	// record in the store.
	waitingSince mono.Time
	sentAt       mono.Time
	sentInFull   bool
}

// New returns a Recorder without alarms, which is its own collector until it
// knows others.
func New(cfg Config) *Recorder {
	return &Recorder{
		cfg:             cfg,
		rand:            rand.New(rand.NewPCG(cfg.Seed, 2)),
		own:             make(map[string]*ownAlarm),
		suspects:        make(map[host.Session]mono.Time),
		collector:       cfg.Self,
		unansweredSince: mono.Never,
		records:         make(map[string]*record),
		listedAt:        mono.Never,
	}
}

// Step handles an event and returns the actions to perform. The returned slice
// is valid until the next call of Step.
func (r *Recorder) Step(now mono.Time, ev Event) []Action {
	r.out = r.out[:0]
	switch ev := ev.(type) {
	case Changed:
		r.changed(now, ev.Alarm)
	case Peers:
		r.setPeers(now, ev)
	case ReportReceived:
		r.emit(SendAnswer{To: ev.From, Answer: r.receive(now, ev.From, ev.Report)})
	case AnswerReceived:
		r.answered(now, ev.From, ev.Answer)
	case ReadDone:
		r.readDone(now, ev)
	case WriteDone:
		r.writeDone(now, ev)
	case ListDone:
		r.listDone(now, ev)
	case Tick:
		r.tick(now, ev.StoreReachable)
	}
	return r.out
}

// Unstored returns how many of this daemon's alarms have no record in the store
// yet, as far as it knows.
func (r *Recorder) Unstored() int {
	n := 0
	for _, o := range r.own {
		if !o.inStore {
			n++
		}
	}
	return n
}

// Collector returns the daemon to which this one reports its alarms.
func (r *Recorder) Collector() host.Session {
	return r.collector
}

// Empty reports whether this daemon has no alarms that nobody has acknowledged.
func (r *Recorder) Empty() bool {
	return len(r.own) == 0
}

// changed notes an alarm of this daemon and reports it at once. A change of its
// times or its number of deliveries alone is not reported.
func (r *Recorder) changed(now mono.Time, a alarm.Alarm) {
	o := r.own[a.ID]
	switch {
	case o == nil || o.alarm.RaisedMs != a.RaisedMs:
		o = &ownAlarm{}
		r.own[a.ID] = o
	case sameContent(o.alarm, a):
		return
	}
	o.alarm = a
	r.number++
	o.number = r.number
	o.waitingSince = now
	r.report(now, []string{a.ID})
}

// sameContent reports whether two states of an alarm differ only in the times and
// number of its deliveries.
func sameContent(a, b alarm.Alarm) bool {
	a.UpdatedMs, a.Deliveries = b.UpdatedMs, b.Deliveries
	return reflect.DeepEqual(a, b)
}

func (r *Recorder) tick(now mono.Time, storeReachable bool) {
	r.checkCollector(now, storeReachable)
	r.chooseCollector(now)
	var due []string
	for _, id := range slices.Sorted(maps.Keys(r.own)) {
		o := r.own[id]
		interval := r.cfg.Keepalive
		if o.stored < o.number {
			interval = r.cfg.Resend
		}
		if now.Sub(o.sentAt) >= interval && len(due) < maxEntries {
			due = append(due, id)
		}
	}
	r.report(now, due)
	r.collectorTick(now)
}

// checkCollector passes over a collector that does not answer, or that has not
// brought an alarm to the store within Config.StoreTimeout although the store
// answers this daemon.
func (r *Recorder) checkCollector(now mono.Time, storeReachable bool) {
	if r.collector == r.cfg.Self {
		for _, o := range r.own {
			if !storeReachable && !o.inStore && now.Sub(o.waitingSince) >= r.cfg.StoreTimeout {
				r.suspects[r.cfg.Self] = now.Add(r.cfg.SuspectFor)
			}
		}
		return
	}
	failed := r.unansweredSince != mono.Never && now.Sub(r.unansweredSince) >= r.cfg.AnswerTimeout
	for _, o := range r.own {
		if storeReachable && !o.inStore && now.Sub(o.waitingSince) >= r.cfg.StoreTimeout {
			failed = true
		}
	}
	if failed {
		r.suspects[r.collector] = now.Add(r.cfg.SuspectFor)
	}
}

// chooseCollector takes the first candidate that is not suspected, or this daemon
// itself. A new collector is told of every alarm at once.
func (r *Recorder) chooseCollector(now mono.Time) {
	chosen := r.cfg.Self
	for _, c := range r.candidates {
		if !r.suspects[c].After(now) {
			chosen = c
			break
		}
	}
	if chosen == r.collector {
		return
	}
	if r.collector == r.cfg.Self {
		// The next collector writes this daemon's alarms. Both would write the same
		// records once the store answers again.
		for _, rec := range r.records {
			if !rec.busy {
				delete(rec.reports, r.cfg.Self)
			}
		}
	}
	r.collector = chosen
	r.unansweredSince = mono.Never
	for _, o := range r.own {
		o.held = 0
		o.waitingSince = now
		o.sentAt = mono.Never
	}
}

// report sends the named alarms to the collector, in full if it lacks them.
func (r *Recorder) report(now mono.Time, ids []string) {
	if len(ids) == 0 {
		return
	}
	m := &Report{}
	for _, id := range ids {
		o := r.own[id]
		o.sentAt = now
		e := ReportEntry{ID: id, Number: o.number}
		o.sentInFull = o.held < o.number
		if o.sentInFull {
			e.Alarm = mustEncode(r.brief(o))
		}
		m.Entries = append(m.Entries, e)
	}
	if r.collector == r.cfg.Self {
		r.answered(now, r.cfg.Self, r.receive(now, r.cfg.Self, m))
		return
	}
	if r.unansweredSince == mono.Never {
		r.unansweredSince = now
	}
	r.emit(SendReport{To: r.collector, Report: m})
}

// brief returns the alarm as reported: without its subjects if the record is in
// the store, which keeps those of its first report.
func (r *Recorder) brief(o *ownAlarm) alarm.Alarm {
	a := o.alarm
	if o.inStore {
		a.Subjects = nil
	}
	return a
}

// answered notes what a collector has of this daemon's alarms.
func (r *Recorder) answered(now mono.Time, from host.Session, m *Answer) {
	if from == r.collector {
		r.unansweredSince = mono.Never
	}
	for _, e := range m.Entries {
		o := r.own[e.ID]
		if o == nil {
			continue
		}
		if len(e.Acknowledged) > 0 {
			r.acknowledged(e, o)
			continue
		}
		if from != r.collector {
			continue
		}
		o.held = min(e.Held, o.number)
		o.stored = min(e.Stored, o.number)
		o.inStore = e.InStore
		if o.held == 0 && !o.sentInFull {
			r.report(now, []string{e.ID})
		}
	}
}

// acknowledged ends an alarm that an acknowledgement covers. One that was raised
// anew since then goes on.
func (r *Recorder) acknowledged(e AnswerEntry, o *ownAlarm) {
	var ack alarm.Acknowledgement
	if o.alarm.RaisedMs != e.RaisedMs || json.Unmarshal(e.Acknowledged, &ack) != nil {
		return
	}
	delete(r.own, e.ID)
	r.emit(Acknowledged{ID: e.ID, Acknowledgement: ack})
}

func (r *Recorder) setPeers(now mono.Time, ev Peers) {
	r.candidates = append(r.candidates[:0], ev.Candidates...)
	r.living = make(map[host.Session]bool, len(ev.Living))
	for _, s := range ev.Living {
		r.living[s] = true
	}
	for s := range r.suspects {
		if !r.living[s] {
			delete(r.suspects, s)
		}
	}
	r.chooseCollector(now)
}

func (r *Recorder) emit(a Action) {
	r.out = append(r.out, a)
}
