package request

import (
	"slices"
	"strings"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

// pendingAck is an answer that was passed to its caller and is not yet
// acknowledged to its gate.
type pendingAck struct {
	gate host.Session
	seq  uint64
}

// queueAck queues the acknowledgement of an answer. Answers to idempotent
// requests are not acknowledged, since their loss puts no outcome at risk.
func (r *Router) queueAck(c *call) {
	if c.req.Idempotent || c.attempt == 0 {
		return
	}
	r.acks = append(r.acks, pendingAck{gate: c.to, seq: c.req.Seq})
}

// Acknowledged reports whether all queued acknowledgements have been sent.
func (r *Router) Acknowledged() bool {
	return len(r.acks) == 0
}

// sendAcks sends the queued acknowledgements, in one message for each gate, if
// AckInterval has passed since the last time.
func (r *Router) sendAcks(now mono.Time, out *Actions) {
	if len(r.acks) == 0 || now.Before(r.nextAck) {
		return
	}
	r.nextAck = now.Add(r.cfg.AckInterval)
	slices.SortStableFunc(r.acks, func(a, b pendingAck) int { return compareSessions(a.gate, b.gate) })
	for _, p := range r.acks {
		last := len(out.Acks) - 1
		if last < 0 || out.Acks[last].To != p.gate {
			out.Acks = append(out.Acks, SendAck{To: p.gate})
			last++
		}
		out.Acks[last].Ack.Seqs = append(out.Acks[last].Ack.Seqs, p.seq)
	}
	r.acks = r.acks[:0]
}

func compareSessions(a, b host.Session) int {
	if c := strings.Compare(string(a.Host), string(b.Host)); c != 0 {
		return c
	}
	if a.Incarnation < b.Incarnation {
		return -1
	}
	if a.Incarnation > b.Incarnation {
		return 1
	}
	return 0
}
