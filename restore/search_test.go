package restore_test

import (
	"flag"
	"hash/maphash"
	"strings"
	"sync"
	"testing"
)

var deeper = flag.Int("restore.deeper", 0, "how much deeper than usual the searches go")

const (
	maxDepth      = 12
	searchWorkers = 4
	shards        = 64
)

// node is a state of a search and the steps that led to it first.
type node struct {
	world world
	path  [maxDepth]step
}

// search is a breadth-first search over all interleavings of a model. States are
// compared by a hash of 64 bits: among 3 million, the chance that two share one is
// below 1 in 3 million.
type search struct {
	model    model
	seed     maphash.Seed
	known    [shards]stateSet
	frontier []node
	depth    int
	states   int // The states up to depth that were found.
	checked  int // The steps that were checked.

	mu      sync.Mutex
	problem string
	at      node
}

type stateSet struct {
	mu     sync.Mutex
	hashes map[uint64]struct{}
}

// add reports whether a hash is new.
func (s *stateSet) add(hash uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.hashes[hash]; ok {
		return false
	}
	s.hashes[hash] = struct{}{}
	return true
}

func newSearch(m model) *search {
	s := &search{model: m, seed: maphash.MakeSeed(), states: 1}
	for k := range s.known {
		s.known[k].hashes = make(map[uint64]struct{})
	}
	first := node{world: m.start()}
	s.isNew(&first.world)
	s.frontier = []node{first}
	return s
}

func (s *search) isNew(w *world) bool {
	hash := maphash.Comparable(s.seed, *w)
	return s.known[hash%shards].add(hash)
}

// run searches to a depth, or to the first one at which a state breaks a rule.
func (s *search) run(depth int) {
	for s.depth < depth && s.problem == "" {
		s.deeper(s.depth+1 == depth)
	}
}

// deeper checks every step from the states of the present depth. The states
// after them are not kept if they are the last.
func (s *search) deeper(last bool) {
	found := make([][]node, searchWorkers)
	checked := make([]int, searchWorkers)
	var wg sync.WaitGroup
	for k := range searchWorkers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			found[k], checked[k] = s.expand(k, last)
		}()
	}
	wg.Wait()
	s.frontier = nil
	for k := range found {
		s.frontier = append(s.frontier, found[k]...)
		s.checked += checked[k]
	}
	s.states += len(s.frontier)
	s.depth++
}

// expand checks the steps from every searchWorkers-th state of the frontier. It
// returns the new states and the number of steps.
func (s *search) expand(offset int, last bool) ([]node, int) {
	m := s.model
	var found []node
	var steps []step
	checked := 0
	for k := offset; k < len(s.frontier); k += searchWorkers {
		steps = m.steps(&s.frontier[k].world, steps[:0])
		for _, st := range steps {
			n := s.frontier[k]
			n.path[s.depth] = st
			checked++
			if problem := m.apply(&n.world, st); problem != "" {
				s.report(n, problem)
				return found, checked
			}
			if !last && s.isNew(&n.world) {
				found = append(found, n)
			}
		}
	}
	return found, checked
}

func (s *search) report(n node, problem string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problem, s.at = problem, n
}

// trace returns the steps to the state that broke a rule.
func (s *search) trace() string {
	var text []string
	for _, st := range s.at.path[:s.depth] {
		text = append(text, st.String())
	}
	return strings.Join(text, "\n")
}

// fleets are the searched models, each with the depth to which every interleaving
// is checked.
var fleets = []struct {
	name  string
	model model
	depth int
}{
	{"1 slice, 2 restores", model{slices: 1, maxRestores: 2, maxRestarts: 1}, 8},
	{"1 slice, 2 restores, revisions of each object", model{slices: 1, maxRestores: 2, maxRestarts: 1, objectRevisions: true}, 8},
	{"1 slice, 1 restore, no restart, revisions of each object", model{slices: 1, maxRestores: 1, objectRevisions: true}, 9},
	{"2 slices, 2 restores", model{slices: 2, maxRestores: 2, maxRestarts: 1}, 7},
	{"4 slices, 2 restores", model{slices: 4, maxRestores: 2, maxRestarts: 1}, 6},
	{"documents, 2 restores", model{maxRestores: 2, maxRestarts: 1, documents: true}, 8},
}

func TestEveryInterleavingKeepsTheRules(t *testing.T) {
	for _, f := range fleets {
		t.Run(f.name, func(t *testing.T) {
			s := newSearch(f.model)
			s.run(f.depth + *deeper)
			if s.problem != "" {
				t.Fatalf("%s at depth %d:\n%s", s.problem, s.depth, s.trace())
			}
			t.Logf("depth %d: %d states expanded, %d steps checked", s.depth, s.states, s.checked)
		})
	}
}
