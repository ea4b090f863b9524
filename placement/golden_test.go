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

var update = flag.Bool("update", false, "write the golden files anew")

// describe returns an action in one line, a write without its bytes.
func describe(a Action) string {
	if done, ok := a.(Applied); ok {
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

// script is a session written step by step, with a transcript.
type script struct {
	*world
	t   *testing.T
	out strings.Builder
}

// newScript returns a world of hosts a and b that serve, and two daemons that
// may lead; reads always see the latest version.
func newScript(t *testing.T, slices uint32) *script {
	s := &script{t: t, world: &world{
		pick: func(n int) int { return n - 1 }, now: 1, packs: map[string][]stored{},
		records: map[host.ID][]recorded{}, told: map[handover.Release]bool{},
		app: App{
			Name: "catalogue", Slices: slices, DividedByKey: true, MaxDeadline: modelDeadline, MaxMoves: 2,
			Weights: Weights{Imbalance: 1},
		},
	}}
	s.trace = func(format string, args ...any) { fmt.Fprintf(&s.out, format+"\n", args...) }
	s.start("a", true)
	s.start("b", true)
	for range 2 {
		s.addLeader(guards{}, &Balanced{})
	}
	return s
}

func (s *script) note(format string, args ...any) {
	fmt.Fprintf(&s.out, "%s "+format+"\n", append([]any{time.Duration(s.now).Truncate(time.Millisecond)}, args...)...)
}

func (s *script) wait(d time.Duration) {
	s.now = s.now.Add(d)
}

// turn gives a leader the news and a tick, and carries out what it asks for.
func (s *script) turn(l *modelLeader) {
	s.tellRecords(l)
	for _, r := range l.told {
		s.feed(l, Released{Release: r})
	}
	l.told = nil
	s.feed(l, Tick{})
	l.carry(s.world)
}

// all gives every host the packs.
func (s *script) all() {
	for _, h := range s.hosts {
		s.hostStep(h)
	}
}

func (s *script) golden(name string) {
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

func (s *script) elect() *modelLeader {
	s.note("the fleet starts; there is no leader")
	for _, l := range s.leaders {
		s.tellRecords(l)
		s.feed(l, Listed{})
	}
	for !s.led() {
		for _, l := range s.leaders {
			s.turn(l)
		}
		s.wait(DefaultClaimStep)
	}
	for _, l := range s.leaders {
		s.turn(l)
	}
	s.all()
	if s.leaders[1].core.Leads() {
		return s.leaders[1]
	}
	return s.leaders[0]
}

func (s *script) led() bool {
	must.Less(s.t, 10*time.Second, time.Duration(s.now))
	return s.leaders[0].core.Leads() || s.leaders[1].core.Leads()
}

func TestGoldenHandoverUnderLoad(t *testing.T) {
	s := newScript(t, 3)
	l := s.elect()
	from := s.hosts[0]
	k := s.keyOf(from)
	s.note("a request for %s begins on %s", k, from.self)
	s.begin(from, k)
	s.note("a host joins; slices move to it while the request runs")
	s.start("c", true)
	for range 3 {
		s.wait(2 * time.Second)
		s.turn(l)
		s.all()
	}
	for len(s.running) > 0 {
		s.note("the request ends")
		s.finish(0)
	}
	for range 2 {
		s.turn(l)
		s.all()
	}
	s.note("every key is served")
	s.checkServed()
	s.golden("handover.txt")
}

// keyOf returns a key that the host serves.
func (s *script) keyOf(h *modelHost) string {
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

// The leader is lost when one of its two writes has landed and the other is
// under way. The other lands after the new leader has read the pack.
func TestGoldenLeaderLostInARound(t *testing.T) {
	s := newScript(t, assignment.PackSlices+2)
	s.trace = func(string, ...any) {}
	old := s.elect()
	s.trace = func(format string, args ...any) { fmt.Fprintf(&s.out, format+"\n", args...) }
	other := s.leaders[0]
	if other == old {
		other = s.leaders[1]
	}
	b := s.hosts[1]
	for i := range 2 * assignment.PackSlices { // Few slices are b's, so that the transcript is short.
		s.give(key.SliceID(i), s.hosts[0].self, b.self, 2)
	}
	s.sync(old)
	s.note("b is lost; the leader plans two writes")
	s.lose(b)
	s.tellRecords(old)
	s.feed(old, Tick{})
	must.SliceLen(t, 2, old.pending)
	first, second := old.pending[0].(Write), old.pending[1].(Write)
	old.pending = nil
	s.note("the first lands; the leader is lost before the second")
	s.land(first)
	s.record(session.Record{Session: old.core.cfg.Self, State: session.Lost})
	for !plans(other) {
		must.Less(t, 10*time.Second, time.Duration(s.now))
		s.wait(DefaultClaimStep)
		s.tellRecords(other)
		s.feed(other, Tick{})
		for len(other.pending) > 0 && !plans(other) {
			s.carryOut(other, false)
		}
	}
	s.note("the second write of the old leader lands before that of the new one")
	_, ok := s.land(second)
	must.True(t, ok)
	other.carry(s.world)
	s.turn(other)
	s.note("every slice is served, no write was made twice")
	s.trace = func(string, ...any) {}
	s.all()
	s.checkServed()
	s.golden("leader-lost.txt")
}

// plans reports whether a leader's next action is the write of a pack.
func plans(l *modelLeader) bool {
	if len(l.pending) == 0 {
		return false
	}
	w, ok := l.pending[0].(Write)
	return ok && w.Kind == assignment.Kind
}

// give writes owners past the leader: slices below a count are b's.
func (s *script) give(id key.SliceID, most, few host.Session, count key.SliceID) {
	name := assignment.Name(s.app.Name, id)
	versions := s.packs[name]
	if len(versions) == 0 {
		return
	}
	p := versions[len(versions)-1].pack
	owner := most
	if id%assignment.PackSlices < count {
		owner = few
	}
	p.Set(id, assignment.Slice{Owner: owner, Epoch: 7})
}

// sync makes a leader read everything anew.
func (s *script) sync(l *modelLeader) {
	for _, versions := range s.packs {
		v := versions[len(versions)-1]
		s.feed(l, PackSeen{Pack: v.pack, Version: v.version})
	}
	s.app.MaxMoves = 0
	for _, l := range s.leaders {
		s.feed(l, AppsChanged{Apps: []App{s.app}})
	}
}

func TestGoldenPlannedStop(t *testing.T) {
	s := newScript(t, 4)
	l := s.elect()
	a := s.hosts[0]
	k := s.keyOf(a)
	s.note("a request for %s begins on a; a is told to stop", k)
	s.begin(a, k)
	a.holder.Stop(s.now)
	s.record(a.record(session.Draining))
	for range 3 {
		s.wait(time.Second)
		s.turn(l)
		s.all()
	}
	must.True(t, a.alive)
	s.note("the request ends")
	s.finish(0)
	s.all()
	s.turn(l)
	s.all()
	s.note("a has left: %t; every key is served", !a.alive)
	s.checkServed()
	s.golden("planned-stop.txt")
}
