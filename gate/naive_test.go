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
type naiveClient struct {
	retryUntilAnswered bool
	loses              func() bool // whether the next message is lost
}

// ask returns how often the target ran the request and the answer, if any.
func (n naiveClient) call(body string) (ran int, answer string) {
	for {
		asked, answered := !n.loses(), !n.loses()
		if asked {
			ran++
		}
		if asked && answered {
			return ran, "did " + body
		}
		if !n.retryUntilAnswered {
			return ran, ""
		}
	}
}

// The naive versions are what they seem: one leaves callers without an answer,
// the other runs requests twice.
func TestNaiveClientsLoseAnswersOrRunTwice(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	lossy := func() bool { return rnd.IntN(20) == 0 }
	silent, twice := 0, 0
	for range 1000 {
		if _, answer := (naiveClient{loses: lossy}).call("x"); answer == "" {
			silent++
		}
		if ran, _ := (naiveClient{loses: lossy, retryUntilAnswered: true}).call("x"); ran > 1 {
			twice++
		}
	}
	must.Positive(t, silent)
	must.Positive(t, twice)
}

// calm are the happenings of a session in which nothing fails.
var faultFreeSteps = []func(*world){
	(*world).deliverFirst,
	func(w *world) { w.withRun(w.execute) },
	func(w *world) { w.withRun(w.answerRun) },
}

// maxInFlight keeps a calm session within its queues.
const maxInFlight = 3

// When nothing fails, every request runs once and gets the answer that the
// naive version gives.
func TestAnswersMatchNaiveClientWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(&reliableSource{rapidSource{t}}, missingChecks{}, disabledChecks{})
		for i := range rapid.IntRange(1, 30).Draw(t, "ops") {
			w.submitDrawnOp(t)
			for range rapid.IntRange(0, 12).Draw(t, "steps") {
				faultFreeSteps[rapid.IntRange(0, len(faultFreeSteps)-1).Draw(t, "step")](w)
			}
			if i%maxInFlight == maxInFlight-1 {
				w.answerAll()
				w.advance(2 * time.Second)
			}
		}
		w.answerAll()
		must.SliceEmpty(t, w.violations)
		hopeful := naiveClient{loses: func() bool { return false }}
		for _, o := range w.ops {
			ran, answer := hopeful.call(o.body)
			must.Eq(t, []result.Code{result.OK}, o.codes)
			must.Eq(t, ran, o.runs)
			must.Eq(t, []result.Code{result.OK}, o.codes)
			must.Eq(t, answer, "did "+o.body)
		}
	})
}

// carefulSource keeps the one accident out that transmit draws: 0 of 12.
type reliableSource struct{ rapidSource }

func (s *reliableSource) IntN(n int) int {
	if n == sendFailureOdds {
		return n - 1
	}
	return s.rapidSource.IntN(n)
}

func (w *world) submitDrawnOp(t *rapid.T) {
	o := &op{body: "op" + string(rune('a'+len(w.ops))), key: "k", runsByID: map[string]int{}}
	o.key = rapid.SampledFrom([]string{"k0", "k1", "k2", "k3"}).Draw(t, "key")
	o.idempotent = rapid.Bool().Draw(t, "idempotent")
	w.ops = append(w.ops, o)
	w.assignFreshID(o)
	w.submit(o, rapid.IntRange(0, 1).Draw(t, "entry"), request.RepeatFirst)
}

func (w *world) countWaiting() int {
	n := 0
	for _, o := range w.ops {
		if o.waiting {
			n++
		}
	}
	return n
}

func (w *world) answerAll() {
	for range 100 {
		if w.countWaiting() == 0 {
			return
		}
		w.flush()
	}
	w.violationf("%d calls are not answered", w.countWaiting())
}
