package gate

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/request"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// scenario is a scripted run of the model with one operation, without random
// faults.
type scenario struct {
	w     *world
	o     *op
	slice int
	owner int
}

func newScenario() *scenario {
	w := newWorld(lastChoice{}, missingChecks{}, disabledChecks{})
	w.traced = true
	w.checksGrants = false
	o := &op{body: "deposit", key: "k", runsByID: map[string]int{}}
	w.ops = append(w.ops, o)
	w.assignFreshID(o)
	s := &scenario{w: w, o: o}
	s.slice = int(key.SliceOf(modelApp, o.id, modelSlices).ID)
	s.owner = w.nodeOf(w.owners[s.slice].Owner)
	return s
}

func (s *scenario) submit(entry int, rep request.Repeat) { s.w.submit(s.o, entry, rep) }

func (s *scenario) deliver() {
	m := s.w.network[0]
	s.w.network = s.w.network[1:]
	s.w.deliver(m)
}

func (s *scenario) firstRun() *targetRun { return s.w.nodes[s.owner].runs[0] }

func (s *scenario) execute() { s.w.execute(s.owner, s.firstRun()) }

func (s *scenario) answer() { s.w.answerRun(s.owner, s.firstRun()) }

var scenarios = map[string]func(s *scenario){
	"done": func(s *scenario) {
		s.submit(0, request.RepeatFirst)
		s.deliver()
		s.execute()
		s.answer()
		s.deliver()
	},
	"owner_moved": func(s *scenario) {
		s.w.handover(s.slice)
		s.w.finishHandover(s.slice)
		s.submit(0, request.RepeatFirst)
		s.deliver()
		s.deliver()
		s.w.updateMap(0)
		s.owner = 1 - s.owner
		s.deliver()
		s.execute()
		s.answer()
		s.deliver()
	},
	"connection_lost_answer_late": func(s *scenario) {
		s.submit(0, request.RepeatFirst)
		s.deliver()
		s.w.loseRun(s.owner, s.firstRun())
		s.deliver()
		s.execute()
		s.submit(1, request.RepeatAgain)
		s.deliver()
		s.deliver()
	},
	"connection_lost_and_opened_again": func(s *scenario) {
		s.submit(0, request.RepeatFirst)
		s.deliver()
		s.w.disconnect(0, s.owner)
		s.w.deliverFirst()
		s.submit(0, request.RepeatAgain)
		s.deliver()
		s.execute()
		s.answer()
		s.deliver()
		s.deliver()
	},
	"entry_lost_repeat_joins": func(s *scenario) {
		s.submit(0, request.RepeatFirst)
		s.deliver()
		s.w.loseEntry(0)
		s.submit(1, request.RepeatAgain)
		s.w.advance(50 * time.Millisecond)
		s.deliver()
		s.execute()
		s.answer()
		s.deliver()
	},
	"entry_lost_repeat_gets_kept_answer": func(s *scenario) {
		s.submit(0, request.RepeatFirst)
		s.deliver()
		s.execute()
		s.answer()
		s.w.loseEntry(0)
		s.submit(1, request.RepeatAgain)
		for len(s.w.network) > 0 {
			s.deliver()
		}
	},
	"taken_over_repeat_refused_as_too_old": func(s *scenario) {
		s.submit(0, request.RepeatFirst)
		s.deliver()
		s.w.nodes[s.owner].isolated = true
		for range 15 {
			s.w.advance(60 * time.Millisecond)
		}
		s.w.updateMap(1)
		s.submit(1, request.RepeatAgain)
		for len(s.w.network) > 0 {
			s.deliver()
		}
	},
	"overdue_stopped": func(s *scenario) {
		s.submit(0, request.RepeatFirst)
		s.deliver()
		s.w.advance(390 * time.Millisecond)
		s.w.answerCancel(s.owner, s.firstRun())
		s.deliver()
	},
	"overdue_answered_late": func(s *scenario) {
		s.submit(0, request.RepeatFirst)
		s.deliver()
		s.w.advance(399 * time.Millisecond)
		s.execute()
		s.w.answerCancel(s.owner, s.firstRun())
		s.answer()
		for len(s.w.network) > 0 {
			s.deliver()
		}
	},
}

// The transcript of each scenario equals its file in testdata. Run with -update
// to rewrite the files.
func TestGoldenScenarios(t *testing.T) {
	for name, run := range scenarios {
		t.Run(name, func(t *testing.T) {
			s := newScenario()
			run(s)
			must.SliceEmpty(t, s.w.violations)
			text := strings.Join(s.w.trace, "\n") + "\n"
			file := filepath.Join("testdata", name+".txt")
			if *update {
				must.NoError(t, os.MkdirAll("testdata", 0o755))
				must.NoError(t, os.WriteFile(file, []byte(text), 0o644))
			}
			want, err := os.ReadFile(file)
			must.NoError(t, err)
			must.Eq(t, string(want), text)
		})
	}
}
