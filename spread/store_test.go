package spread

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
)

// fakeStore is the simulated store. It has versions, lists, and watches that
// cover only the last rememberedChanges changes.
type fakeStore struct {
	fleet    *fleet
	revision uint64
	objects  map[Key]Object
	log      []loggedChange
	down     bool
	upSince  mono.Time
	pending  []pendingWatch
	// watchPause is how long a watch waits before it is sent.
	watchPause time.Duration
	// muted makes watches answer only when their wait is over.
	muted bool
	// callsOf counts the calls by kind.
	callsOf map[Kind]int
	// documentBytes is the size of documents; 0 is that of all other objects.
	documentBytes int
	// contents holds the values of large documents by version.
	contents map[uint64]string
}

type loggedChange struct {
	kind   Kind
	object Object
}

type pendingWatch struct {
	node  *node
	watch Watch
	call  int
}

const (
	rememberedChanges = 40
	storeDelay        = 3 * time.Millisecond
	storeTimeout      = 500 * time.Millisecond
	pageItems         = 5
)

// content returns the value of a version. Values differ in a few bytes only.
func content(version uint64) string {
	text := strings.Repeat("0123456789abcdefghijklmnopqrstuvwxyz ", 60)
	return fmt.Sprintf("%s version %d %s", text[:1000], version, text)
}

// content returns the value of a version of an object. A large document has lines that
// no other line resembles, as many as its length at the time.
func (s *fakeStore) content(k Key, version uint64) string {
	length := s.documentBytes
	if k.Kind != docs || length == 0 {
		return content(version)
	}
	if known, ok := s.contents[version]; ok {
		return known
	}
	lines := rand.New(rand.NewPCG(1, 1))
	var text strings.Builder
	fmt.Fprintln(&text, "version", version)
	for text.Len() < length {
		fmt.Fprintf(&text, "%016x%016x%016x%016x\n", lines.Uint64(), lines.Uint64(), lines.Uint64(), lines.Uint64())
	}
	s.contents[version] = text.String()
	return text.String()
}

func (s *fakeStore) write(k Key, deleted bool) uint64 {
	s.revision++
	o := Object{Name: k.Name, Version: s.revision, Deleted: deleted}
	if !deleted {
		o.Value = []byte(s.content(k, s.revision))
	}
	s.objects[k] = o
	s.log = append(s.log, loggedChange{k.Kind, o})
	waiting := s.pending
	s.pending = nil
	for _, w := range waiting {
		if w.watch.Kind != k.Kind || s.muted {
			s.pending = append(s.pending, w)
			continue
		}
		s.answer(w)
	}
	return s.revision
}

func (s *fakeStore) setDown(down bool) {
	s.down = down
	s.upSince = s.fleet.now
	if down {
		for _, w := range s.pending {
			s.reply(w.node, w.watch.Kind, w.call, storeTimeout, StoreFailed{w.watch.Kind})
		}
		s.pending = nil
	}
}

// reply answers a call after a delay, unless the daemon has restarted, canceled
// the call or made another for the kind.
func (s *fakeStore) reply(n *node, kind Kind, call int, delay time.Duration, ev Event) {
	core := n.core
	s.fleet.schedule(delay, func() {
		if n.alive && n.core == core && n.calls[kind] == call {
			s.fleet.step(n, ev)
		}
	})
}

func (s *fakeStore) beginCall(n *node, kind Kind) (int, bool) {
	s.fleet.storeCalls++
	s.callsOf[kind]++
	n.calls[kind]++
	if s.down || s.fleet.isIsolated(n) || n == s.fleet.storeless || n.storeless {
		s.reply(n, kind, n.calls[kind], storeTimeout, StoreFailed{kind})
		return 0, false
	}
	return n.calls[kind], true
}

func (s *fakeStore) watch(n *node, a Watch) {
	if s.watchPause == 0 {
		s.startWatch(n, a)
		return
	}
	n.calls[a.Kind]++
	call, core := n.calls[a.Kind], n.core
	s.fleet.schedule(s.watchPause, func() {
		if n.alive && n.core == core && n.calls[a.Kind] == call {
			s.startWatch(n, a)
		}
	})
}

func (s *fakeStore) startWatch(n *node, a Watch) {
	call, ok := s.beginCall(n, a.Kind)
	if !ok {
		return
	}
	w := pendingWatch{n, a, call}
	if s.changed(w) {
		s.answer(w)
		return
	}
	s.pending = append(s.pending, w)
	s.fleet.schedule(a.Wait, func() {
		for i, x := range s.pending {
			if x == w {
				s.pending = append(s.pending[:i], s.pending[i+1:]...)
				s.answer(w)
				return
			}
		}
	})
}

func (s *fakeStore) changed(w pendingWatch) bool {
	for i := len(s.log) - 1; i >= 0 && s.log[i].object.Version > w.watch.Revision; i-- {
		if s.log[i].kind == w.watch.Kind {
			return true
		}
	}
	return false
}

func (s *fakeStore) answer(w pendingWatch) {
	ev := Watched{Kind: w.watch.Kind, Revision: s.revision}
	oldest := max(0, len(s.log)-rememberedChanges)
	if oldest > 0 && w.watch.Revision < s.log[oldest].object.Version-1 {
		ev.TooOld = true
	}
	for _, l := range s.log[oldest:] {
		if l.kind == w.watch.Kind && l.object.Version > w.watch.Revision && !ev.TooOld {
			ev.Objects = append(ev.Objects, l.object)
		}
	}
	s.reply(w.node, w.watch.Kind, w.call, storeDelay, ev)
}

func (s *fakeStore) list(n *node, a List) {
	call, ok := s.beginCall(n, a.Kind)
	if !ok {
		return
	}
	ev := Listed{Kind: a.Kind, After: a.After, Revision: s.revision}
	var names []string
	for k, o := range s.objects {
		if k.Kind == a.Kind && k.Name > a.After && !o.Deleted {
			names = append(names, k.Name)
		}
	}
	sort.Strings(names)
	for i, name := range names {
		if i == pageItems {
			ev.Next = names[i-1]
			break
		}
		ev.Objects = append(ev.Objects, s.objects[Key{a.Kind, name}])
	}
	s.reply(n, a.Kind, call, storeDelay, ev)
}
