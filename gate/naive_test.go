package gate

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// naive is the router that one would write first: it sends each request to a
// target and hopes, or sends it again until an answer comes.
type naive struct {
	retryAlways bool
	loses       func() bool // whether the next message is lost
}

// ask returns how often the target ran the request and the answer, if any.
func (n naive) ask(body string) (ran int, answer string) {
	for {
		asked, answered := !n.loses(), !n.loses()
		if asked {
			ran++
		}
		if asked && answered {
			return ran, "did " + body
		}
		if !n.retryAlways {
			return ran, ""
		}
	}
}

// The naive versions are what they seem: one leaves callers without an answer,
// the other runs requests twice.
func TestNaiveVersionsBreakThePromises(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	lossy := func() bool { return rnd.IntN(20) == 0 }
	silent, twice := 0, 0
	for range 1000 {
		if _, answer := (naive{loses: lossy}).ask("x"); answer == "" {
			silent++
		}
		if ran, _ := (naive{loses: lossy, retryAlways: true}).ask("x"); ran > 1 {
			twice++
		}
	}
	must.Positive(t, silent)
	must.Positive(t, twice)
}

// calm are the happenings of a session in which nothing fails.
var calm = []func(*world){
	(*world).deliverFirst,
	func(w *world) { w.withRun(w.execute) },
	func(w *world) { w.withRun(w.answerRun) },
}

// maxInFlight keeps a calm session within its queues.
const maxInFlight = 3

// When nothing fails, every request runs once and gets the answer that the
// naive version gives.
func TestSameAnswersAsNaiveWhenNothingFails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(&carefulSource{rapidSource{t}}, dropped{}, guards{})
		for i := range rapid.IntRange(1, 30).Draw(t, "ops") {
			w.calmOp(t)
			for range rapid.IntRange(0, 12).Draw(t, "steps") {
				calm[rapid.IntRange(0, len(calm)-1).Draw(t, "step")](w)
			}
			if i%maxInFlight == maxInFlight-1 {
				w.finishAll()
				w.advance(2 * time.Second)
			}
		}
		w.finishAll()
		must.SliceEmpty(t, w.bad)
		hopeful := naive{loses: func() bool { return false }}
		for _, o := range w.ops {
			ran, answer := hopeful.ask(o.body)
			must.Eq(t, []result.Code{result.OK}, o.told)
			must.Eq(t, ran, o.ran)
			must.Eq(t, []result.Code{result.OK}, o.told)
			must.Eq(t, answer, "did "+o.body)
		}
	})
}

// carefulSource keeps the one accident out that transmit draws: 0 of 12.
type carefulSource struct{ rapidSource }

func (s *carefulSource) IntN(n int) int {
	if n == sendAccidents {
		return n - 1
	}
	return s.rapidSource.IntN(n)
}

func (w *world) calmOp(t *rapid.T) {
	o := &op{body: "op" + string(rune('a'+len(w.ops))), key: "k", ranByID: map[string]int{}}
	o.key = rapid.SampledFrom([]string{"k0", "k1", "k2", "k3"}).Draw(t, "key")
	o.idempotent = rapid.Bool().Draw(t, "idempotent")
	w.ops = append(w.ops, o)
	w.freshID(o)
	w.submit(o, rapid.IntRange(0, 1).Draw(t, "entry"), request.RepeatFirst)
}

func (w *world) inFlight() int {
	n := 0
	for _, o := range w.ops {
		if o.waiting {
			n++
		}
	}
	return n
}

func (w *world) finishAll() {
	for range 100 {
		if w.inFlight() == 0 {
			return
		}
		w.flush()
	}
	w.fail("%d calls are not answered", w.inFlight())
}
