package gate

import (
	"slices"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// sending names one sending of an entry daemon.
type sending struct {
	from host.Session
	seq  uint64
}

// unacked keeps what was answered and not yet acknowledged: answers that are
// lost if the entry daemon is. It is bounded; the oldest is dropped first.
type unacked struct {
	risks map[sending]request.Risk
	order []sending
	limit int
}

func newUnacked(limit int) *unacked {
	return &unacked{risks: make(map[sending]request.Risk), limit: limit}
}

func (u *unacked) add(s sending, r request.Risk) {
	u.risks[s] = r
	u.order = append(u.order, s)
	if len(u.order) > 2*u.limit {
		u.order = slices.DeleteFunc(u.order, func(s sending) bool { _, kept := u.risks[s]; return !kept })
	}
	for len(u.risks) > u.limit {
		delete(u.risks, u.order[0])
		u.order = u.order[1:]
	}
}

// Acked takes an entry daemon's acknowledgement of answers.
func (g *Gate) Acked(from host.Session, a request.Ack) {
	for _, seq := range a.Seqs {
		delete(g.unacked.risks, sending{from: from, seq: seq})
	}
}

// raiseUnacked raises the answers that a lost entry daemon may not have handed
// to its callers.
func (g *Gate) raiseUnacked(from host.Session, out *Actions) {
	kept := g.unacked.order[:0]
	for _, s := range g.unacked.order {
		r, waits := g.unacked.risks[s]
		if !waits {
			continue
		}
		if s.from != from {
			kept = append(kept, s)
			continue
		}
		delete(g.unacked.risks, s)
		g.raiseRisk(r, out)
	}
	g.unacked.order = kept
}

// expectAcks notes the answers that entry daemons are to acknowledge. If none
// is left to be told, the outcome is raised at once.
func (g *Gate) expectAcks(j *job, out *Actions) {
	risk := g.riskOf(j, result.AnswerLost, result.Done)
	if !j.waits() {
		g.raiseRisk(risk, out)
	}
	if !j.abandoned {
		g.unacked.add(sending{from: j.first.from, seq: j.first.seq}, risk)
	}
	for _, o := range j.joined {
		g.unacked.add(sending{from: o.from, seq: o.seq}, risk)
	}
}
