package gate

import (
	"slices"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// attemptKey identifies an attempt of an entry daemon.
type attemptKey struct {
	from host.Session
	seq  uint64
}

// unacked holds the answers that entry daemons have not yet acknowledged. If an
// entry daemon is lost, its callers may not have got them. At most limit
// answers are held; the oldest is dropped first.
type unacked struct {
	risks map[attemptKey]request.Risk
	order []attemptKey
	limit int
}

func newUnacked(limit int) *unacked {
	return &unacked{risks: make(map[attemptKey]request.Risk), limit: limit}
}

// add holds an answer as a risk. The order also lists acknowledged answers
// until it is longer than twice the limit.
func (u *unacked) add(k attemptKey, r request.Risk) {
	u.risks[k] = r
	u.order = append(u.order, k)
	if len(u.order) > 2*u.limit {
		u.order = slices.DeleteFunc(u.order, func(k attemptKey) bool { _, kept := u.risks[k]; return !kept })
	}
	for len(u.risks) > u.limit {
		delete(u.risks, u.order[0])
		u.order = u.order[1:]
	}
}

// AckReceived handles an entry daemon's acknowledgement of answers.
func (g *Gate) AckReceived(from host.Session, a request.Ack) {
	for _, seq := range a.Seqs {
		delete(g.unacked.risks, attemptKey{from: from, seq: seq})
	}
}

// raiseUnacked reports the answers that a lost entry daemon may not have passed
// to its callers.
func (g *Gate) raiseUnacked(from host.Session, out *Actions) {
	kept := g.unacked.order[:0]
	for _, k := range g.unacked.order {
		r, pending := g.unacked.risks[k]
		if !pending {
			continue
		}
		if k.from != from {
			kept = append(kept, k)
			continue
		}
		delete(g.unacked.risks, k)
		g.raiseRisk(r, out)
	}
	g.unacked.order = kept
}

// awaitAcks records the answers to a job that entry daemons have to
// acknowledge. If no entry daemon waits any longer, the outcome is reported at
// once.
func (g *Gate) awaitAcks(j *job, out *Actions) {
	risk := g.riskOf(j, result.AnswerLost, result.Done)
	if !j.hasWaiters() {
		g.raiseRisk(risk, out)
	}
	if !j.firstGone {
		g.unacked.add(attemptKey{from: j.firstWaiter.from, seq: j.firstWaiter.seq}, risk)
	}
	for _, w := range j.joinedWaiters {
		g.unacked.add(attemptKey{from: w.from, seq: w.seq}, risk)
	}
}
