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
	"github.com/rhubarbring/rhubarbring/restore"
	"github.com/rhubarbring/rhubarbring/session"
)

// model is a randomized model of a fleet: a store that keeps every version, two
// daemons that both believe that they lead, hosts with a handover.Holder each,
// and requests. The rules are checked from outside the Core, on each write that
// is applied and on each request that begins.
type model struct {
	intn     func(n int) int
	now      mono.Time
	app      App
	revision uint64
	// recordRevision is the latest of a record. The model restores no revisions of
	// records.
	recordRevision uint64
	packs          map[string][]storedPack
	records        map[host.ID][]storedRecord
	leaders        []*modelLeader
	hosts          []*modelHost
	delayedWrites  []Write // Writes whose answers were lost and that have not been applied.
	requests       []modelRequest
	sentReleases   map[handover.Release]bool
	keys           []string
	err            error
	writeAnswers   []Event // Answers to writes, to be delivered a second time.
	restores       modelRestores

	leader      Leader // The leader object.
	version     uint64 // Its version; 0 if there is none.
	claimWrites int    // Number of claims written, applied or not.
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
	claims   []handover.Claim
	eraSeen  restore.Era // By its client of the store.
}

type modelHost struct {
	self         host.Session
	checksGrants bool
	alive        bool // The process runs; the process of a lost session may continue without knowing of the loss.
	lost         bool
	holder       *handover.Holder
	view         *assignment.Map
}

// modelRequest is a request in progress at a target.
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

func newModel(intn func(int) int, g disabledChecks, policy func() Policy) *model {
	m := &model{
		intn: intn, now: 1, packs: map[string][]storedPack{}, records: map[host.ID][]storedRecord{},
		sentReleases: map[handover.Release]bool{}, trace: func(string, ...any) {},
		app: App{
			Name: "catalogue", Slices: modelSlices, DividedByKey: true, MaxDeadline: modelDeadline, MaxMoves: 2,
			Weights: Weights{Imbalance: 1}, HotKeys: HotKeys{Share: 0.3, Expiry: 3 * time.Second, Maximum: 3},
		},
	}
	for i := range 8 {
		m.keys = append(m.keys, fmt.Sprintf("key%d", i))
	}
	for i := range 4 {
		m.startSession(host.ID(fmt.Sprintf("h%d", i)), i%2 == 0)
	}
	for range 2 {
		l := m.addLeader(g, policy())
		m.deliverRecords(l)
		m.stepLeader(l, LeaderObserved{Leader: Leader{Session: l.core.cfg.Self, Term: 1}, Version: 1})
	}
	return m
}

// addLeader starts a daemon that may lead, on a host without a target.
func (m *model) addLeader(g disabledChecks, policy Policy) *modelLeader {
	i := len(m.leaders)
	self := host.Session{Host: host.ID(fmt.Sprintf("leader%d", i)), Incarnation: 1}
	m.record(session.Record{Session: self, State: session.Live})
	l := &modelLeader{core: New(Config{Self: self, Seed: uint64(i), Policy: policy, BalanceInterval: time.Second, MoveCooldown: time.Second, WarmUp: time.Second, StartWait: -1})}
	l.core.disabled = g
	m.leaders = append(m.leaders, l)
	m.stepLeader(l, AppsChanged{Apps: []App{m.app}})
	return l
}

func (m *model) fail(format string, args ...any) {
	if m.err == nil {
		m.err = fmt.Errorf(format, args...)
	}
}

// startSession starts a new session on a host.
func (m *model) startSession(id host.ID, checksGrants bool) {
	h := &modelHost{self: host.Session{Host: id, Incarnation: uint64(len(m.records[id]) + 1)}, checksGrants: checksGrants, alive: true, view: assignment.NewMap()}
	h.holder = handover.New(handover.Config{Self: h.self, DrainReportAfter: time.Minute, ResendInterval: time.Second, StopGrace: 3 * time.Second})
	h.holder.SetLease(1 << 60)
	m.hosts = append(m.hosts, h)
	m.record(h.record(session.Live))
}

func (h *modelHost) record(s session.State) session.Record {
	return session.Record{Session: h.self, State: s, Target: &session.Target{App: "catalogue", Slots: 10, ChecksGrants: h.checksGrants}}
}

func (m *model) record(r session.Record) {
	m.recordRevision = max(m.recordRevision, m.revision) + 1
	if !m.restores.enabled {
		m.revision = m.recordRevision
	}
	m.records[r.Session.Host] = append(m.records[r.Session.Host], storedRecord{version: m.recordRevision, at: m.now, record: r})
}

func (m *model) stepLeader(l *modelLeader, ev Event) {
	for _, a := range l.core.Step(m.now, ev) {
		m.trace("  %s: %s", l.core.cfg.Self, formatAction(a))
		if done, ok := a.(PackApplied); ok {
			m.checkApplied(done)
			continue
		}
		l.pending = append(l.pending, a)
	}
}

// deliverRecords delivers the newest record of each session to a leader.
func (m *model) deliverRecords(l *modelLeader) {
	for _, id := range slices.Sorted(maps.Keys(m.records)) {
		for i, r := range m.records[id] {
			sameSession := func(o storedRecord) bool { return o.record.Session == r.record.Session }
			if !slices.ContainsFunc(m.records[id][i+1:], sameSession) {
				m.stepLeader(l, SessionObserved{Record: r.record, Version: r.version})
			}
		}
	}
}

// perform carries out the first pending action of a leader, with or without
// faults.
func (m *model) perform(l *modelLeader, faults bool) {
	if len(l.pending) == 0 {
		return
	}
	a := l.pending[0]
	l.pending = l.pending[1:]
	switch a := a.(type) {
	case Write:
		m.performWrite(l, a, faults)
	case Read:
		m.performRead(l, a, faults)
	case LeadershipChanged:
	case Sync:
		m.deliverRecords(l)
		for _, versions := range m.packs {
			v := versions[len(versions)-1]
			if faults {
				v = versions[m.intn(len(versions))]
			}
			m.showPack(l, v)
		}
		m.stepLeader(l, ListingComplete{})
	}
}

func (m *model) performWrite(l *modelLeader, a Write, faults bool) {
	if a.Kind == LeaderKind {
		m.applyClaim(l, a)
		return
	}
	if !l.mayWrite(a) {
		m.stepLeader(l, WriteRejected{Kind: a.Kind, Name: a.Name, Token: a.Token})
		return
	}
	fault := 0
	if faults {
		fault = m.intn(5)
	}
	switch fault {
	case 1: // The write is applied; its answer is lost.
		m.applyWrite(a)
		m.stepLeader(l, WriteUnconfirmed{Kind: a.Kind, Name: a.Name, Token: a.Token})
	case 2: // The write is applied later, if at all.
		m.delayedWrites = append(m.delayedWrites, a)
		m.stepLeader(l, WriteUnconfirmed{Kind: a.Kind, Name: a.Name, Token: a.Token})
	default:
		var answer Event = WriteRejected{Kind: a.Kind, Name: a.Name, Token: a.Token}
		version, ok := m.applyWrite(a)
		l.eraSeen = m.restores.era
		switch {
		case ok && restore.VersionOf(a.IfVersion).Era != m.restores.era && a.IfVersion != 0:
			answer = WriteUnconfirmed{Kind: a.Kind, Name: a.Name, Token: a.Token}
		case ok:
			answer = WriteAccepted{Kind: a.Kind, Name: a.Name, Token: a.Token, Version: version}
		}
		m.writeAnswers = append(m.writeAnswers, answer)
		m.stepLeader(l, answer)
	}
}

// applyClaim applies a claim to the leader object if its version still matches.
func (m *model) applyClaim(l *modelLeader, a Write) {
	m.claimWrites++
	if a.IfVersion != m.version {
		m.stepLeader(l, WriteRejected{Kind: a.Kind, Name: a.Name, Token: a.Token})
		return
	}
	if err := json.Unmarshal(a.Value, &m.leader); err != nil {
		m.fail("the leader object does not decode: %v", err)
	}
	m.revision++
	m.version = m.revision
	m.stepLeader(l, WriteAccepted{Kind: a.Kind, Name: a.Name, Token: a.Token, Version: m.version})
}

func (m *model) performRead(l *modelLeader, a Read, faults bool) {
	if a.Kind == LeaderKind {
		m.stepLeader(l, LeaderObserved{Leader: m.leader, Version: m.version})
		return
	}
	if a.Kind == session.ObjectKind {
		m.readRecord(l, a.Name)
		return
	}
	if faults && m.intn(4) == 0 {
		return
	}
	versions := m.packs[a.Name]
	l.eraSeen = m.restores.era
	if len(versions) == 0 {
		_, first, _ := assignment.ParsePackName(a.Name)
		m.stepLeader(l, PackMissing{App: m.app.Name, First: first, Version: m.number(0)})
		return
	}
	m.showPack(l, versions[len(versions)-1])
}

// applyWrite applies a conditional write to the store and checks it against the
// rules.
func (m *model) applyWrite(a Write) (uint64, bool) {
	versions := m.packs[a.Name]
	var version uint64
	old := assignment.NewPack(m.app.Name, m.app.Slices, 0)
	if len(versions) > 0 {
		last := versions[len(versions)-1]
		version, old = last.version, last.pack
	}
	sameRevision := restore.VersionOf(a.IfVersion).Revision == restore.VersionOf(version).Revision
	if !sameRevision && a.IfVersion != anyVersion {
		return 0, false
	}
	pack, err := assignment.Decode(a.Value)
	if err != nil {
		m.fail("a written pack does not decode: %v", err)
		return 0, false
	}
	m.checkWrite(old, pack)
	m.revision++
	m.storePack(a.Name, storedPack{version: m.number(m.revision), pack: pack})
	return m.number(m.revision), true
}

// hostStep delivers an arbitrary version of each pack to a host, then a tick.
// It records the session as left once the host has stopped.
func (m *model) hostStep(h *modelHost) {
	for _, versions := range m.packs {
		m.deliverPack(h, versions[m.intn(len(versions))])
	}
	m.hostActions(h, h.holder.Tick(m.now))
	m.sendClaims(h)
	if h.holder.Stopped() && h.alive && !h.lost {
		h.alive = false
		h.holder.EndSession()
		m.record(h.record(session.Left))
	}
}

func (m *model) hostActions(h *modelHost, actions []handover.Action) {
	for _, a := range actions {
		m.trace("  %s: %T%+v", h.self, a, a)
		t, ok := a.(handover.SendRelease)
		if !ok {
			continue
		}
		m.sentReleases[t.Release] = true
		for _, l := range m.leaders {
			l.releases = append(l.releases, t.Release)
		}
	}
}

// beginRequest sends a request for a key to a host, whether or not it owns the
// key's slice.
func (m *model) beginRequest(h *modelHost, k string) {
	s, ok := h.view.Locate(m.app.Name, k)
	if !ok {
		return
	}
	ticket, v := h.holder.Begin(m.now, s)
	if !v.Admitted() {
		return
	}
	for _, r := range m.requests {
		if r.key == k && r.host != h {
			m.fail("key %s runs on %s and on %s (%s epoch %d)", k, r.host.self, h.self, s, v.Epoch)
		}
	}
	m.requests = append(m.requests, modelRequest{key: k, host: h, ticket: ticket, deadline: m.now.Add(modelDeadline)})
}

// endRequest ends the i-th request.
func (m *model) endRequest(i int) {
	r := m.requests[i]
	m.requests = append(m.requests[:i], m.requests[i+1:]...)
	m.hostActions(r.host, r.host.holder.End(m.now, r.ticket))
}

// endExpiredRequests ends the requests that are past their deadline.
func (m *model) endExpiredRequests() {
	for i := len(m.requests) - 1; i >= 0; i-- {
		if m.now.After(m.requests[i].deadline) {
			m.endRequest(i)
		}
	}
}
