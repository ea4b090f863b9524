package placement

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/session"
)

// model is a random model of a fleet: a store that keeps every version, two
// daemons that both believe to lead, hosts with a Holder each, and requests.
// Its rules are checked from outside: on each write that lands, and on each
// request that begins.
type model struct {
	intn          func(n int) int
	now           mono.Time
	app           App
	revision      uint64
	packs         map[string][]storedPack
	records       map[host.ID][]storedRecord
	leaders       []*modelLeader
	hosts         []*modelHost
	delayedWrites []Write // Writes whose answer was lost and that have not landed.
	requests      []modelRequest
	sentReleases  map[handover.Release]bool
	keys          []string
	err           error
	writeAnswers  []Event // Of writes, to be given a second time.

	leader      Leader // The leader object, version 0 if there is none.
	version     uint64
	claimWrites int // Claims that were written, landed or not.
	trace       func(format string, args ...any)
}

type storedPack struct {
	version uint64
	pack    *assignment.Pack
}

type storedRecord struct {
	version uint64
	at      mono.Time
	record  session.Record
}

type modelLeader struct {
	core     *Core
	pending  []Action
	releases []handover.Release
}

type modelHost struct {
	self   host.Session
	checks bool
	alive  bool // The process runs; a lost one may run on without knowing.
	lost   bool
	holder *handover.Holder
	view   *assignment.Map
}

// modelRequest is a request that a target is working on.
type modelRequest struct {
	key      string
	host     *modelHost
	ticket   handover.Ticket
	deadline mono.Time
}

const (
	modelSlices   = 6
	modelDeadline = 4 * time.Second
	modelStep     = mono.Time(200 * time.Millisecond)
)

func newModel(pick func(int) int, g disabledGuards, policy func() Policy) *model {
	w := &model{
		intn: pick, now: 1, packs: map[string][]storedPack{}, records: map[host.ID][]storedRecord{},
		sentReleases: map[handover.Release]bool{}, trace: func(string, ...any) {},
		app: App{
			Name: "catalogue", Slices: modelSlices, DividedByKey: true, MaxDeadline: modelDeadline, MaxMoves: 2,
			Weights: Weights{Imbalance: 1}, HotKeys: HotKeys{Share: 0.3, Expiry: 3 * time.Second, Maximum: 3},
		},
	}
	for i := range 8 {
		w.keys = append(w.keys, fmt.Sprintf("key%d", i))
	}
	for i := range 4 {
		w.startSession(host.ID(fmt.Sprintf("h%d", i)), i%2 == 0)
	}
	for range 2 {
		l := w.addLeader(g, policy())
		w.deliverRecords(l)
		w.stepLeader(l, LeaderSeen{Leader: Leader{Session: l.core.cfg.Self, Term: 1}, Version: 1})
	}
	return w
}

// addLeader starts a daemon that may lead, on a host without a target.
func (w *model) addLeader(g disabledGuards, policy Policy) *modelLeader {
	i := len(w.leaders)
	self := host.Session{Host: host.ID(fmt.Sprintf("leader%d", i)), Incarnation: 1}
	w.record(session.Record{Session: self, State: session.Live})
	l := &modelLeader{core: New(Config{Self: self, Seed: uint64(i), Policy: policy, BalanceInterval: time.Second, Settle: time.Second, WarmUp: time.Second, StartWait: -1})}
	l.core.disabled = g
	w.leaders = append(w.leaders, l)
	w.stepLeader(l, AppsChanged{Apps: []App{w.app}})
	return l
}

func (w *model) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, args...)
	}
}

// startSession makes a new session on a host.
func (w *model) startSession(id host.ID, checks bool) {
	h := &modelHost{self: host.Session{Host: id, Incarnation: uint64(len(w.records[id]) + 1)}, checks: checks, alive: true, view: assignment.NewMap()}
	h.holder = handover.New(handover.Config{Self: h.self, DrainReport: time.Minute, Resend: time.Second, StopGrace: 3 * time.Second})
	h.holder.SetLease(1 << 60)
	w.hosts = append(w.hosts, h)
	w.record(h.record(session.Live))
}

func (h *modelHost) record(s session.State) session.Record {
	return session.Record{Session: h.self, State: s, Target: &session.Target{App: "catalogue", Slots: 10, ChecksGrants: h.checks}}
}

func (w *model) record(r session.Record) {
	w.revision++
	w.records[r.Session.Host] = append(w.records[r.Session.Host], storedRecord{version: w.revision, at: w.now, record: r})
}

func (w *model) stepLeader(l *modelLeader, ev Event) {
	for _, a := range l.core.Step(w.now, ev) {
		w.trace("  %s: %s", l.core.cfg.Self, formatAction(a))
		if done, ok := a.(Applied); ok {
			w.checkApplied(done)
			continue
		}
		l.pending = append(l.pending, a)
	}
}

// deliverRecords tells a leader the newest record of each session.
func (w *model) deliverRecords(l *modelLeader) {
	for _, id := range slices.Sorted(maps.Keys(w.records)) {
		for i, r := range w.records[id] {
			newer := func(o storedRecord) bool { return o.record.Session == r.record.Session }
			if !slices.ContainsFunc(w.records[id][i+1:], newer) {
				w.stepLeader(l, SessionSeen{Record: r.record, Version: r.version})
			}
		}
	}
}

// perform does the first pending action of a leader, with or without faults.
func (w *model) perform(l *modelLeader, faults bool) {
	if len(l.pending) == 0 {
		return
	}
	a := l.pending[0]
	l.pending = l.pending[1:]
	switch a := a.(type) {
	case Write:
		w.performWrite(l, a, faults)
	case Read:
		w.performRead(l, a, faults)
	case LeadershipChanged:
	case Sync:
		w.deliverRecords(l)
		for _, versions := range w.packs {
			v := versions[len(versions)-1]
			if faults {
				v = versions[w.intn(len(versions))]
			}
			w.stepLeader(l, PackSeen{Pack: v.pack, Version: v.version})
		}
		w.stepLeader(l, Listed{})
	}
}

func (w *model) performWrite(l *modelLeader, a Write, faults bool) {
	if a.Kind == LeaderKind {
		w.applyClaim(l, a)
		return
	}
	outcome := 0
	if faults {
		outcome = w.intn(5)
	}
	switch outcome {
	case 1: // The write lands, its answer is lost.
		w.applyWrite(a)
		w.stepLeader(l, Doubtful{Kind: a.Kind, Name: a.Name, Token: a.Token})
	case 2: // It lands later if at all.
		w.delayedWrites = append(w.delayedWrites, a)
		w.stepLeader(l, Doubtful{Kind: a.Kind, Name: a.Name, Token: a.Token})
	default:
		var answer Event = Refused{Kind: a.Kind, Name: a.Name, Token: a.Token}
		if version, ok := w.applyWrite(a); ok {
			answer = Written{Kind: a.Kind, Name: a.Name, Token: a.Token, Version: version}
		}
		w.writeAnswers = append(w.writeAnswers, answer)
		w.stepLeader(l, answer)
	}
}

// applyClaim applies a claim to the leader object.
func (w *model) applyClaim(l *modelLeader, a Write) {
	w.claimWrites++
	if a.IfVersion != w.version {
		w.stepLeader(l, Refused{Kind: a.Kind, Name: a.Name, Token: a.Token})
		return
	}
	if err := json.Unmarshal(a.Value, &w.leader); err != nil {
		w.fail("the leader object does not decode: %v", err)
	}
	w.revision++
	w.version = w.revision
	w.stepLeader(l, Written{Kind: a.Kind, Name: a.Name, Token: a.Token, Version: w.version})
}

func (w *model) performRead(l *modelLeader, a Read, faults bool) {
	if a.Kind == LeaderKind {
		w.stepLeader(l, LeaderSeen{Leader: w.leader, Version: w.version})
		return
	}
	if faults && w.intn(4) == 0 {
		return
	}
	versions := w.packs[a.Name]
	if len(versions) == 0 {
		_, first, _ := assignment.ParseName(a.Name)
		w.stepLeader(l, PackMissing{App: w.app.Name, First: first})
		return
	}
	v := versions[len(versions)-1]
	w.stepLeader(l, PackSeen{Pack: v.pack, Version: v.version})
}

// applyWrite applies a conditional write to the store and checks it by the
// rules.
func (w *model) applyWrite(a Write) (uint64, bool) {
	versions := w.packs[a.Name]
	var held uint64
	old := assignment.NewPack(w.app.Name, w.app.Slices, 0)
	if len(versions) > 0 {
		last := versions[len(versions)-1]
		held, old = last.version, last.pack
	}
	if a.IfVersion != held && a.IfVersion != anyVersion {
		return 0, false
	}
	pack, err := assignment.Decode(a.Value)
	if err != nil {
		w.fail("a written pack does not decode: %v", err)
		return 0, false
	}
	w.checkPack(old, pack)
	w.revision++
	w.packs[a.Name] = append(versions, storedPack{version: w.revision, pack: pack})
	return w.revision, true
}

// hostStep lets a host see a pack of any version, or time pass.
func (w *model) hostStep(h *modelHost) {
	for _, versions := range w.packs {
		v := versions[w.intn(len(versions))]
		for _, c := range h.view.Put(v.pack, v.version) {
			w.hostActions(h, h.holder.Seen(w.now, c))
		}
	}
	w.hostActions(h, h.holder.Tick(w.now))
	if h.holder.Stopped() && h.alive && !h.lost {
		h.alive = false
		h.holder.EndSession()
		w.record(h.record(session.Left))
	}
}

func (w *model) hostActions(h *modelHost, actions []handover.Action) {
	for _, a := range actions {
		w.trace("  %s: %T%+v", h.self, a, a)
		t, ok := a.(handover.TellReleased)
		if !ok {
			continue
		}
		w.sentReleases[t.Release] = true
		for _, l := range w.leaders {
			l.releases = append(l.releases, t.Release)
		}
	}
}

// beginRequest sends a request for a key to a host, whoever owns it.
func (w *model) beginRequest(h *modelHost, k string) {
	s, ok := h.view.Locate(w.app.Name, k)
	if !ok {
		return
	}
	ticket, v := h.holder.Begin(w.now, s)
	if !v.Admitted() {
		return
	}
	for _, r := range w.requests {
		if r.key == k && r.host != h {
			w.fail("key %s runs on %s and on %s (%s epoch %d)", k, r.host.self, h.self, s, v.Epoch)
		}
	}
	w.requests = append(w.requests, modelRequest{key: k, host: h, ticket: ticket, deadline: w.now.Add(modelDeadline)})
}

// endRequest ends a request, and those past their deadline.
func (w *model) endRequest(i int) {
	r := w.requests[i]
	w.requests = append(w.requests[:i], w.requests[i+1:]...)
	w.hostActions(r.host, r.host.holder.End(w.now, r.ticket))
}

func (w *model) endExpiredRequests() {
	for i := len(w.requests) - 1; i >= 0; i-- {
		if w.now.After(w.requests[i].deadline) {
			w.endRequest(i)
		}
	}
}
