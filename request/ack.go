package request

import (
	"slices"
	"strings"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

// pendingAck is an answer that was handed to its caller and not yet
// acknowledged to its gate.
type pendingAck struct {
	to  host.Session
	seq uint64
}

// noteAck remembers to acknowledge an answer. Only what must not repeat is:
// the loss of any other answer puts nothing at risk.
func (r *Router) noteAck(c *call) {
	if c.req.Idempotent || c.attempt == 0 {
		return
	}
	r.acks = append(r.acks, pendingAck{to: c.to, seq: c.req.Seq})
}

// Acknowledged reports whether every answer that was handed to its caller is
// acknowledged to its gate.
func (r *Router) Acknowledged() bool {
	return len(r.acks) == 0
}

// sendAcks acknowledges what was answered since the last time, in one message
// for each gate.
func (r *Router) sendAcks(now mono.Time, out *Actions) {
	if len(r.acks) == 0 || now.Before(r.nextAck) {
		return
	}
	r.nextAck = now.Add(r.cfg.AckEvery)
	slices.SortStableFunc(r.acks, func(a, b pendingAck) int { return compareSessions(a.to, b.to) })
	for _, p := range r.acks {
		last := len(out.Acks) - 1
		if last < 0 || out.Acks[last].To != p.to {
			out.Acks = append(out.Acks, SendAck{To: p.to})
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
