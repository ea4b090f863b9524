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

var update = flag.Bool("update", false, "write the golden sessions anew")

// A session is a whole story: entry daemons, gates, targets and a caller.
type session struct {
	w     *world
	o     *op
	slice int
	owner int
}

func newSession() *session {
	w := newWorld(lastOption{}, dropped{}, guards{})
	w.traced = true
	w.checks = false
	o := &op{body: "deposit", key: "k", ranByID: map[string]int{}}
	w.ops = append(w.ops, o)
	w.freshID(o)
	s := &session{w: w, o: o}
	s.slice = int(key.SliceOf(modelApp, o.id, modelSlices).ID)
	s.owner = w.siteOf(w.truth[s.slice].Owner)
	return s
}

func (s *session) ask(entry int, rep request.Repeat) { s.w.submit(s.o, entry, rep) }

func (s *session) deliver() {
	m := s.w.net[0]
	s.w.net = s.w.net[1:]
	s.w.deliver(m)
}

func (s *session) run() *targetRun { return s.w.sites[s.owner].runs[0] }

func (s *session) execute() { s.w.execute(s.owner, s.run()) }

func (s *session) answer() { s.w.answerRun(s.owner, s.run()) }

var sessions = map[string]func(s *session){
	"done": func(s *session) {
		s.ask(0, request.RepeatFirst)
		s.deliver()
		s.execute()
		s.answer()
		s.deliver()
	},
	"owner_moved": func(s *session) {
		s.w.handover(s.slice)
		s.w.finishHandover(s.slice)
		s.ask(0, request.RepeatFirst)
		s.deliver()
		s.deliver()
		s.w.updateMap(0)
		s.owner = 1 - s.owner
		s.deliver()
		s.execute()
		s.answer()
		s.deliver()
	},
	"connection_lost_answer_late": func(s *session) {
		s.ask(0, request.RepeatFirst)
		s.deliver()
		s.w.loseRun(s.owner, s.run())
		s.deliver()
		s.execute()
		s.ask(1, request.RepeatAgain)
		s.deliver()
		s.deliver()
	},
	"connection_lost_and_opened_again": func(s *session) {
		s.ask(0, request.RepeatFirst)
		s.deliver()
		s.w.disconnect(0, s.owner)
		s.w.deliverFirst()
		s.ask(0, request.RepeatAgain)
		s.deliver()
		s.execute()
		s.answer()
		s.deliver()
		s.deliver()
	},
	"entry_lost_repeat_joins": func(s *session) {
		s.ask(0, request.RepeatFirst)
		s.deliver()
		s.w.loseEntry(0)
		s.ask(1, request.RepeatAgain)
		s.w.advance(50 * time.Millisecond)
		s.deliver()
		s.execute()
		s.answer()
		s.deliver()
	},
	"entry_lost_repeat_gets_kept_answer": func(s *session) {
		s.ask(0, request.RepeatFirst)
		s.deliver()
		s.execute()
		s.answer()
		s.w.loseEntry(0)
		s.ask(1, request.RepeatAgain)
		for len(s.w.net) > 0 {
			s.deliver()
		}
	},
	"taken_over_repeat_can_not_be_known": func(s *session) {
		s.ask(0, request.RepeatFirst)
		s.deliver()
		s.w.sites[s.owner].cut = true
		for range 15 {
			s.w.advance(60 * time.Millisecond)
		}
		s.w.updateMap(1)
		s.ask(1, request.RepeatAgain)
		for len(s.w.net) > 0 {
			s.deliver()
		}
	},
	"overdue_stopped": func(s *session) {
		s.ask(0, request.RepeatFirst)
		s.deliver()
		s.w.advance(390 * time.Millisecond)
		s.w.answerCancel(s.owner, s.run())
		s.deliver()
	},
	"overdue_answered_late": func(s *session) {
		s.ask(0, request.RepeatFirst)
		s.deliver()
		s.w.advance(399 * time.Millisecond)
		s.execute()
		s.w.answerCancel(s.owner, s.run())
		s.answer()
		for len(s.w.net) > 0 {
			s.deliver()
		}
	},
}

// Whole sessions read as they are written in testdata. -update writes them.
func TestGoldenSessions(t *testing.T) {
	for name, play := range sessions {
		t.Run(name, func(t *testing.T) {
			s := newSession()
			play(s)
			must.SliceEmpty(t, s.w.bad)
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
