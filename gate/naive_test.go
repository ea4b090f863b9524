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

// naiveClient is a client without deduplication: it sends each request once and
// ignores losses, or repeats it until an answer arrives.
type naiveClient struct {
	retryUntilAnswered bool
	loses              func() bool // whether the next message is lost
}

// call returns how often the target executed the request, and the answer, which
// is empty if it was lost.
func (n naiveClient) call(body string) (ran int, answer string) {
	for {
		delivered, answered := !n.loses(), !n.loses()
		if delivered {
			ran++
		}
		if delivered && answered {
			return ran, "did " + body
		}
		if !n.retryUntilAnswered {
			return ran, ""
		}
	}
}

// The naive clients show the faults that the model has to exclude: without
// repeats some callers get no answer, with repeats some requests run twice.
func TestNaiveClientsLoseAnswersOrRunTwice(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	lossy := func() bool { return rnd.IntN(20) == 0 }
	unanswered, twice := 0, 0
	for range 1000 {
		if _, answer := (naiveClient{loses: lossy}).call("x"); answer == "" {
			unanswered++
		}
		if ran, _ := (naiveClient{loses: lossy, retryUntilAnswered: true}).call("x"); ran > 1 {
			twice++
		}
	}
	must.Positive(t, unanswered)
	must.Positive(t, twice)
}

// faultFreeSteps are the events of a model without faults.
var faultFreeSteps = []func(*world){
	(*world).deliverFirst,
	func(w *world) { w.withRun(w.execute) },
	func(w *world) { w.withRun(w.answerRun) },
}

// maxInFlight bounds the operations in flight in a model without faults, so
// that no queue overflows.
const maxInFlight = 3

// Without faults every request runs once and gets the answer that a naive
// client gets.
func TestAnswersMatchNaiveClientWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(&reliableChoices{rapidChoices{t}}, missingChecks{}, disabledChecks{})
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
		client := naiveClient{loses: func() bool { return false }}
		for _, o := range w.ops {
			ran, answer := client.call(o.body)
			must.Eq(t, []result.Code{result.OK}, o.codes)
			must.Eq(t, ran, o.runs)
			must.Eq(t, []result.Code{result.OK}, o.codes)
			must.Eq(t, answer, "did "+o.body)
		}
	})
}

// reliableChoices excludes the only fault that transmit draws, a failed
// attempt, which happens when 0 is drawn out of sendFailureOdds.
type reliableChoices struct{ rapidChoices }

func (s *reliableChoices) IntN(n int) int {
	if n == sendFailureOdds {
		return n - 1
	}
	return s.rapidChoices.IntN(n)
}

// submitDrawnOp submits an operation whose key, kind and entry daemon rapid
// draws.
func (w *world) submitDrawnOp(t *rapid.T) {
	o := &op{body: "op" + string(rune('a'+len(w.ops))), key: "k", runsByID: map[string]int{}}
	o.key = rapid.SampledFrom([]string{"k0", "k1", "k2", "k3"}).Draw(t, "key")
	o.idempotent = rapid.Bool().Draw(t, "idempotent")
	w.ops = append(w.ops, o)
	w.assignFreshID(o)
	w.submit(o, rapid.IntRange(0, 1).Draw(t, "entry"), request.RepeatFirst)
}

// countWaiting returns the number of operations that wait for an answer.
func (w *world) countWaiting() int {
	n := 0
	for _, o := range w.ops {
		if o.waiting {
			n++
		}
	}
	return n
}

// answerAll runs the model until every operation is answered.
func (w *world) answerAll() {
	for range 100 {
		if w.countWaiting() == 0 {
			return
		}
		w.flush()
	}
	w.violationf("%d calls are not answered", w.countWaiting())
}
