package spread

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
)

// fakeStore is the store of the model: versions, lists and watches that
// remember only the last changes.
type fakeStore struct {
	fleet    *fleet
	revision uint64
	objects  map[Key]Object
	log      []logged
	down     bool
	upSince  mono.Time
	waiting  []waiter
}

type logged struct {
	kind   Kind
	object Object
}

type waiter struct {
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

// content is the value of each version: alike, but for a few bytes.
func content(version uint64) string {
	text := strings.Repeat("0123456789abcdefghijklmnopqrstuvwxyz ", 60)
	return fmt.Sprintf("%s version %d %s", text[:1000], version, text)
}

func (s *fakeStore) write(k Key, deleted bool) uint64 {
	s.revision++
	o := Object{Name: k.Name, Version: s.revision, Deleted: deleted}
	if !deleted {
		o.Value = []byte(content(s.revision))
	}
	s.objects[k] = o
	s.log = append(s.log, logged{k.Kind, o})
	waiting := s.waiting
	s.waiting = nil
	for _, w := range waiting {
		if w.watch.Kind != k.Kind {
			s.waiting = append(s.waiting, w)
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
		for _, w := range s.waiting {
			s.reply(w.node, w.watch.Kind, w.call, storeTimeout, StoreFailed{w.watch.Kind})
		}
		s.waiting = nil
	}
}

// reply answers a call unless the daemon has ended it.
func (s *fakeStore) reply(n *node, kind Kind, call int, delay time.Duration, ev Event) {
	core := n.core
	s.fleet.after(delay, func() {
		if n.alive && n.core == core && n.calls[kind] == call {
			s.fleet.step(n, ev)
		}
	})
}

func (s *fakeStore) begin(n *node, kind Kind) (int, bool) {
	s.fleet.storeCalls++
	n.calls[kind]++
	if s.down || s.fleet.cut(n) || n == s.fleet.storeless {
		s.reply(n, kind, n.calls[kind], storeTimeout, StoreFailed{kind})
		return 0, false
	}
	return n.calls[kind], true
}

func (s *fakeStore) watch(n *node, a Watch) {
	call, ok := s.begin(n, a.Kind)
	if !ok {
		return
	}
	w := waiter{n, a, call}
	if s.changed(w) {
		s.answer(w)
		return
	}
	s.waiting = append(s.waiting, w)
	s.fleet.after(a.Wait, func() {
		for i, x := range s.waiting {
			if x == w {
				s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
				s.answer(w)
				return
			}
		}
	})
}

func (s *fakeStore) changed(w waiter) bool {
	for i := len(s.log) - 1; i >= 0 && s.log[i].object.Version > w.watch.Revision; i-- {
		if s.log[i].kind == w.watch.Kind {
			return true
		}
	}
	return false
}

func (s *fakeStore) answer(w waiter) {
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
	call, ok := s.begin(n, a.Kind)
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
