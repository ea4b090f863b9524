package placement

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/session"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// formatAction returns a description of an action, for a write with its moves
// and without its value.
func formatAction(a Action) string {
	if done, ok := a.(PackApplied); ok {
		return fmt.Sprintf("Applied %s at version %d, moves %d", done.Name, done.Version, len(done.Moves))
	}
	w, ok := a.(Write)
	if !ok {
		return fmt.Sprintf("%T%+v", a, a)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "Write %s/%s if version %d, token %s", w.Kind, w.Name, w.IfVersion, w.Token)
	for _, m := range w.Moves {
		fmt.Fprintf(&b, "\n      %s %s: %s -> %s, next %s, epoch %d", m.Slice, m.Reason, m.From, m.To, m.Next, m.Epoch)
	}
	return b.String()
}

// script is a model that a test drives step by step, with a transcript that is
// compared with a golden file.
type script struct {
	*model
	t   *testing.T
	out strings.Builder
}

// newScript returns a script with the hosts a and b, which serve the app, and
// two daemons that may lead. Reads always return the latest version.
func newScript(t *testing.T, slices uint32) *script {
	s := &script{t: t, model: &model{
		intn: func(n int) int { return n - 1 }, now: 1, packs: map[string][]storedPack{},
		records: map[host.ID][]storedRecord{}, sentReleases: map[handover.Release]bool{},
		app: App{
			Name: "catalogue", Slices: slices, DividedByKey: true, MaxDeadline: modelDeadline, MaxMoves: 2,
			Weights: Weights{Imbalance: 1},
		},
	}}
	s.trace = func(format string, args ...any) { fmt.Fprintf(&s.out, format+"\n", args...) }
	s.startSession("a", true)
	s.startSession("b", true)
	for range 2 {
		s.addLeader(disabledChecks{}, &Balanced{})
	}
	return s
}

func (s *script) note(format string, args ...any) {
	fmt.Fprintf(&s.out, "%s "+format+"\n", append([]any{time.Duration(s.now).Truncate(time.Millisecond)}, args...)...)
}

func (s *script) advance(d time.Duration) {
	s.now = s.now.Add(d)
}

// runLeader delivers the records, the releases and a tick to a leader, and
// carries out its actions.
func (s *script) runLeader(l *modelLeader) {
	s.deliverRecords(l)
	for _, r := range l.releases {
		s.stepLeader(l, ReleaseReceived{Release: r})
	}
	l.releases = nil
	s.stepLeader(l, Tick{})
	l.performAll(s.model)
}

// updateHosts delivers the packs to every host.
func (s *script) updateHosts() {
	for _, h := range s.hosts {
		s.hostStep(h)
	}
}

func (s *script) compareGolden(name string) {
	must.NoError(s.t, s.err)
	path := filepath.Join("testdata", name)
	if *update {
		must.NoError(s.t, os.MkdirAll("testdata", 0o755))
		must.NoError(s.t, os.WriteFile(path, []byte(s.out.String()), 0o644))
	}
	want, err := os.ReadFile(path)
	must.NoError(s.t, err)
	must.Eq(s.t, string(want), s.out.String())
}

// electLeader runs the daemons until one leads, and returns it.
func (s *script) electLeader() *modelLeader {
	s.note("the fleet starts; there is no leader")
	for _, l := range s.leaders {
		s.deliverRecords(l)
		s.stepLeader(l, ListingComplete{})
	}
	for !s.hasLeader() {
		for _, l := range s.leaders {
			s.runLeader(l)
		}
		s.advance(DefaultClaimStagger)
	}
	for _, l := range s.leaders {
		s.runLeader(l)
	}
	s.updateHosts()
	if s.leaders[1].core.IsLeader() {
		return s.leaders[1]
	}
	return s.leaders[0]
}

func (s *script) hasLeader() bool {
	must.Less(s.t, 10*time.Second, time.Duration(s.now))
	return s.leaders[0].core.IsLeader() || s.leaders[1].core.IsLeader()
}

func TestGoldenHandoverUnderLoad(t *testing.T) {
	s := newScript(t, 3)
	l := s.electLeader()
	from := s.hosts[0]
	k := s.servedKey(from)
	s.note("a request for %s begins on %s", k, from.self)
	s.beginRequest(from, k)
	s.note("a host joins; slices move to it while the request runs")
	s.startSession("c", true)
	for range 3 {
		s.advance(2 * time.Second)
		s.runLeader(l)
		s.updateHosts()
	}
	for len(s.requests) > 0 {
		s.note("the request ends")
		s.endRequest(0)
	}
	for range 2 {
		s.runLeader(l)
		s.updateHosts()
	}
	s.note("every key is served")
	s.checkServed()
	s.compareGolden("handover.txt")
}

// servedKey returns a key for which the host admits requests.
func (s *script) servedKey(h *modelHost) string {
	for i := range 100 {
		k := fmt.Sprint("key", i)
		at, _ := h.view.Locate(s.app.Name, k)
		if h.holder.Admits(s.now, at).Admitted() {
			return k
		}
	}
	s.t.Fatalf("%s serves no key", h.self)
	return ""
}

// The leader is lost when one of its two writes has been applied and the other
// is in flight. The other is applied after the new leader has read the pack.
func TestGoldenLeaderLostDuringRound(t *testing.T) {
	s := newScript(t, assignment.PackSlices+2)
	s.trace = func(string, ...any) {}
	old := s.electLeader()
	s.trace = func(format string, args ...any) { fmt.Fprintf(&s.out, format+"\n", args...) }
	other := s.leaders[0]
	if other == old {
		other = s.leaders[1]
	}
	b := s.hosts[1]
	for i := range 2 * assignment.PackSlices { // b owns few slices, so that the transcript is short.
		s.assignDirectly(key.SliceID(i), s.hosts[0].self, b.self, 2)
	}
	s.deliverPacksAndDisableMoves(old)
	s.note("b is lost; the leader plans two writes")
	s.loseSession(b)
	s.deliverRecords(old)
	s.stepLeader(old, Tick{})
	must.SliceLen(t, 2, old.pending)
	first, second := old.pending[0].(Write), old.pending[1].(Write)
	old.pending = nil
	s.note("the first is applied; the leader is lost before the second")
	s.applyWrite(first)
	s.record(session.Record{Session: old.core.cfg.Self, State: session.Lost})
	for !nextIsPackWrite(other) {
		must.Less(t, 10*time.Second, time.Duration(s.now))
		s.advance(DefaultClaimStagger)
		s.deliverRecords(other)
		s.stepLeader(other, Tick{})
		for len(other.pending) > 0 && !nextIsPackWrite(other) {
			s.perform(other, false)
		}
	}
	s.note("the second write of the old leader is applied before that of the new one")
	_, ok := s.applyWrite(second)
	must.True(t, ok)
	other.performAll(s.model)
	s.runLeader(other)
	s.note("every slice is served, no write was made twice")
	s.trace = func(string, ...any) {}
	s.updateHosts()
	s.checkServed()
	s.compareGolden("leader-lost.txt")
}

// nextIsPackWrite reports whether a leader's next action is the write of a
// pack.
func nextIsPackWrite(l *modelLeader) bool {
	if len(l.pending) == 0 {
		return false
	}
	w, ok := l.pending[0].(Write)
	return ok && w.Kind == assignment.Kind
}

// assignDirectly sets the owner of a slice in the stored pack without the
// leader: firstOwner for the first count slices of each pack, mainOwner for the
// others.
func (s *script) assignDirectly(id key.SliceID, mainOwner, firstOwner host.Session, count key.SliceID) {
	name := assignment.PackName(s.app.Name, id)
	versions := s.packs[name]
	if len(versions) == 0 {
		return
	}
	p := versions[len(versions)-1].pack
	owner := mainOwner
	if id%assignment.PackSlices < count {
		owner = firstOwner
	}
	p.Set(id, assignment.Ownership{Owner: owner, Epoch: 7})
}

// deliverPacksAndDisableMoves delivers all packs to a leader and disables moves
// for balance on all leaders.
func (s *script) deliverPacksAndDisableMoves(leader *modelLeader) {
	for _, versions := range s.packs {
		v := versions[len(versions)-1]
		s.stepLeader(leader, PackObserved{Pack: v.pack, Version: v.version})
	}
	s.app.MaxMoves = 0
	for _, leader := range s.leaders {
		s.stepLeader(leader, AppsChanged{Apps: []App{s.app}})
	}
}

func TestGoldenPlannedStop(t *testing.T) {
	s := newScript(t, 4)
	l := s.electLeader()
	a := s.hosts[0]
	k := s.servedKey(a)
	s.note("a request for %s begins on a; a is told to stop", k)
	s.beginRequest(a, k)
	a.holder.BeginStop(s.now)
	s.record(a.record(session.Draining))
	for range 3 {
		s.advance(time.Second)
		s.runLeader(l)
		s.updateHosts()
	}
	must.True(t, a.alive)
	s.note("the request ends")
	s.endRequest(0)
	s.updateHosts()
	s.runLeader(l)
	s.updateHosts()
	s.note("a has left: %t; every key is served", !a.alive)
	s.checkServed()
	s.compareGolden("planned-stop.txt")
}
