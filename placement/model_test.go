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

// world is a random model of a fleet: a store that keeps every version, two
// daemons that both believe to lead, hosts with a Holder each, and requests.
// Its rules are checked from outside: on each write that lands, and on each
// request that begins.
type world struct {
	pick    func(n int) int
	now     mono.Time
	app     App
	rev     uint64
	packs   map[string][]stored
	records map[host.ID][]recorded
	leaders []*modelLeader
	hosts   []*modelHost
	late    []Write // Writes whose answer was lost and that have not landed.
	running []run
	told    map[handover.Release]bool
	keys    []string
	err     error
	answers []Event // Of writes, to be given a second time.

	leader  Leader // The leader object, version 0 if there is none.
	version uint64
	claimed int // Claims that were written, landed or not.
	trace   func(format string, args ...any)
}

type stored struct {
	version uint64
	pack    *assignment.Pack
}

type recorded struct {
	version uint64
	at      mono.Time
	record  session.Record
}

type modelLeader struct {
	core    *Core
	pending []Action
	told    []handover.Release
}

type modelHost struct {
	self   host.Session
	checks bool
	alive  bool // The process runs; a lost one may run on without knowing.
	lost   bool
	holder *handover.Holder
	view   *assignment.Map
}

// run is a request that a target is working on.
type run struct {
	key    string
	on     *modelHost
	ticket handover.Ticket
	until  mono.Time
}

const (
	modelSlices   = 6
	modelDeadline = 4 * time.Second
	modelStep     = mono.Time(200 * time.Millisecond)
)

func newWorld(pick func(int) int, g guards, policy func() Policy) *world {
	w := &world{
		pick: pick, now: 1, packs: map[string][]stored{}, records: map[host.ID][]recorded{},
		told: map[handover.Release]bool{}, trace: func(string, ...any) {},
		app: App{
			Name: "catalogue", Slices: modelSlices, DividedByKey: true, MaxDeadline: modelDeadline, MaxMoves: 2,
			Weights: Weights{Imbalance: 1}, HotKeys: HotKeys{Share: 0.3, Expiry: 3 * time.Second, Maximum: 3},
		},
	}
	for i := range 8 {
		w.keys = append(w.keys, fmt.Sprintf("key%d", i))
	}
	for i := range 4 {
		w.start(host.ID(fmt.Sprintf("h%d", i)), i%2 == 0)
	}
	for range 2 {
		l := w.addLeader(g, policy())
		w.tellRecords(l)
		w.feed(l, LeaderSeen{Leader: Leader{Session: l.core.cfg.Self, Term: 1}, Version: 1})
	}
	return w
}

// addLeader starts a daemon that may lead, on a host without a target.
func (w *world) addLeader(g guards, policy Policy) *modelLeader {
	i := len(w.leaders)
	self := host.Session{Host: host.ID(fmt.Sprintf("leader%d", i)), Incarnation: 1}
	w.record(session.Record{Session: self, State: session.Live})
	l := &modelLeader{core: New(Config{Self: self, Seed: uint64(i), Policy: policy, BalanceInterval: time.Second, Settle: time.Second, WarmUp: time.Second, StartWait: -1})}
	l.core.guards = g
	w.leaders = append(w.leaders, l)
	w.feed(l, AppsChanged{Apps: []App{w.app}})
	return l
}

func (w *world) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, args...)
	}
}

// start makes a new session on a host.
func (w *world) start(id host.ID, checks bool) {
	h := &modelHost{self: host.Session{Host: id, Incarnation: uint64(len(w.records[id]) + 1)}, checks: checks, alive: true, view: assignment.NewMap()}
	h.holder = handover.New(handover.Config{Self: h.self, DrainReport: time.Minute, Resend: time.Second, StopGrace: 3 * time.Second})
	h.holder.SetLease(1 << 60)
	w.hosts = append(w.hosts, h)
	w.record(h.record(session.Live))
}

func (h *modelHost) record(s session.State) session.Record {
	return session.Record{Session: h.self, State: s, Target: &session.Target{App: "catalogue", Slots: 10, ChecksGrants: h.checks}}
}

func (w *world) record(r session.Record) {
	w.rev++
	w.records[r.Session.Host] = append(w.records[r.Session.Host], recorded{version: w.rev, at: w.now, record: r})
}

func (w *world) feed(l *modelLeader, ev Event) {
	for _, a := range l.core.Step(w.now, ev) {
		w.trace("  %s: %s", l.core.cfg.Self, describe(a))
		if done, ok := a.(Applied); ok {
			w.checkApplied(done)
			continue
		}
		l.pending = append(l.pending, a)
	}
}

// tellRecords tells a leader the newest record of each session.
func (w *world) tellRecords(l *modelLeader) {
	for _, id := range slices.Sorted(maps.Keys(w.records)) {
		for i, r := range w.records[id] {
			newer := func(o recorded) bool { return o.record.Session == r.record.Session }
			if !slices.ContainsFunc(w.records[id][i+1:], newer) {
				w.feed(l, SessionSeen{Record: r.record, Version: r.version})
			}
		}
	}
}

// carryOut does the first pending action of a leader, with or without faults.
func (w *world) carryOut(l *modelLeader, faults bool) {
	if len(l.pending) == 0 {
		return
	}
	a := l.pending[0]
	l.pending = l.pending[1:]
	switch a := a.(type) {
	case Write:
		w.carryWrite(l, a, faults)
	case Read:
		w.carryRead(l, a, faults)
	case LeadershipChanged:
	case Sync:
		w.tellRecords(l)
		for _, versions := range w.packs {
			v := versions[len(versions)-1]
			if faults {
				v = versions[w.pick(len(versions))]
			}
			w.feed(l, PackSeen{Pack: v.pack, Version: v.version})
		}
		w.feed(l, Listed{})
	}
}

func (w *world) carryWrite(l *modelLeader, a Write, faults bool) {
	if a.Kind == LeaderKind {
		w.landLeader(l, a)
		return
	}
	outcome := 0
	if faults {
		outcome = w.pick(5)
	}
	switch outcome {
	case 1: // The write lands, its answer is lost.
		w.land(a)
		w.feed(l, Doubtful{Kind: a.Kind, Name: a.Name, Token: a.Token})
	case 2: // It lands later if at all.
		w.late = append(w.late, a)
		w.feed(l, Doubtful{Kind: a.Kind, Name: a.Name, Token: a.Token})
	default:
		var answer Event = Refused{Kind: a.Kind, Name: a.Name, Token: a.Token}
		if version, ok := w.land(a); ok {
			answer = Written{Kind: a.Kind, Name: a.Name, Token: a.Token, Version: version}
		}
		w.answers = append(w.answers, answer)
		w.feed(l, answer)
	}
}

// landLeader applies a claim to the leader object.
func (w *world) landLeader(l *modelLeader, a Write) {
	w.claimed++
	if a.IfVersion != w.version {
		w.feed(l, Refused{Kind: a.Kind, Name: a.Name, Token: a.Token})
		return
	}
	if err := json.Unmarshal(a.Value, &w.leader); err != nil {
		w.fail("the leader object does not decode: %v", err)
	}
	w.rev++
	w.version = w.rev
	w.feed(l, Written{Kind: a.Kind, Name: a.Name, Token: a.Token, Version: w.version})
}

func (w *world) carryRead(l *modelLeader, a Read, faults bool) {
	if a.Kind == LeaderKind {
		w.feed(l, LeaderSeen{Leader: w.leader, Version: w.version})
		return
	}
	if faults && w.pick(4) == 0 {
		return
	}
	versions := w.packs[a.Name]
	if len(versions) == 0 {
		_, first, _ := assignment.ParseName(a.Name)
		w.feed(l, PackMissing{App: w.app.Name, First: first})
		return
	}
	v := versions[len(versions)-1]
	w.feed(l, PackSeen{Pack: v.pack, Version: v.version})
}

// land applies a conditional write to the store and checks it by the rules.
func (w *world) land(a Write) (uint64, bool) {
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
	w.rev++
	w.packs[a.Name] = append(versions, stored{version: w.rev, pack: pack})
	return w.rev, true
}

// hostStep lets a host see a pack of any version, or time pass.
func (w *world) hostStep(h *modelHost) {
	for _, versions := range w.packs {
		v := versions[w.pick(len(versions))]
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

func (w *world) hostActions(h *modelHost, actions []handover.Action) {
	for _, a := range actions {
		w.trace("  %s: %T%+v", h.self, a, a)
		t, ok := a.(handover.TellReleased)
		if !ok {
			continue
		}
		w.told[t.Release] = true
		for _, l := range w.leaders {
			l.told = append(l.told, t.Release)
		}
	}
}

// begin sends a request for a key to a host, whoever owns it.
func (w *world) begin(h *modelHost, k string) {
	s, ok := h.view.Locate(w.app.Name, k)
	if !ok {
		return
	}
	ticket, v := h.holder.Begin(w.now, s)
	if !v.Admitted() {
		return
	}
	for _, r := range w.running {
		if r.key == k && r.on != h {
			w.fail("key %s runs on %s and on %s (%s epoch %d)", k, r.on.self, h.self, s, v.Epoch)
		}
	}
	w.running = append(w.running, run{key: k, on: h, ticket: ticket, until: w.now.Add(modelDeadline)})
}

// finish ends a request, and those past their deadline.
func (w *world) finish(i int) {
	r := w.running[i]
	w.running = append(w.running[:i], w.running[i+1:]...)
	w.hostActions(r.on, r.on.holder.End(w.now, r.ticket))
}

func (w *world) expire() {
	for i := len(w.running) - 1; i >= 0; i-- {
		if w.now.After(w.running[i].until) {
			w.finish(i)
		}
	}
}
