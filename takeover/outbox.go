package takeover

import (
	"cmp"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/witness"
)

// outbox collects the actions of one step. Everything for one daemon is sent in
// one message of each kind.
type outbox struct {
	actions []Action
	asks    map[host.Session][]SealRequest
	answers map[host.Session]*SealResponse
}

func (o *outbox) add(a Action) {
	o.actions = append(o.actions, a)
}

func (o *outbox) log(id event.ID, peer host.Session, detail string) {
	o.add(Log{session.Log{ID: id, Peer: peer, Detail: detail}})
}

func (o *outbox) store(acts []session.Action) {
	for _, a := range acts {
		switch act := a.(type) {
		case session.Put:
			o.add(Put{act})
		case session.Get:
			o.add(Get{act})
		}
	}
}

func (o *outbox) ask(to host.Session, a SealRequest) {
	if o.asks == nil {
		o.asks = make(map[host.Session][]SealRequest)
	}
	o.asks[to] = append(o.asks[to], a)
}

func (o *outbox) seal(to host.Session, s witness.Seal) {
	a := o.answer(to)
	a.List = append(a.List, s)
}

func (o *outbox) heard(to, s host.Session) {
	a := o.answer(to)
	a.Alive = append(a.Alive, s)
}

func (o *outbox) answer(to host.Session) *SealResponse {
	if o.answers == nil {
		o.answers = make(map[host.Session]*SealResponse)
	}
	if o.answers[to] == nil {
		o.answers[to] = &SealResponse{}
	}
	return o.answers[to]
}

// flush returns the collected actions followed by the messages, ordered by
// receiver so that a step's result is deterministic, and empties the outbox.
func (o *outbox) flush(self host.Session, seq *uint64) []Action {
	out := o.actions
	for _, to := range sorted(o.asks) {
		*seq++
		out = append(out, SealRequests{From: self, To: to, Seq: *seq, List: o.asks[to]})
	}
	for _, to := range sorted(o.answers) {
		*seq++
		a := o.answers[to]
		out = append(out, SealResponse{From: self, To: to, Seq: *seq, List: a.List, Alive: a.Alive})
	}
	*o = outbox{}
	return out
}

func compareSessions(a, b host.Session) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
}
