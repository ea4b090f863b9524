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
	actions   []Action
	requests  map[host.Session][]SealRequest
	responses map[host.Session]*SealResponse
}

func (o *outbox) add(a Action) {
	o.actions = append(o.actions, a)
}

func (o *outbox) log(id event.ID, peer host.Session, detail string) {
	o.add(Log{session.Log{ID: id, Peer: peer, Detail: detail}})
}

func (o *outbox) addStoreCalls(acts []session.Action) {
	for _, a := range acts {
		switch act := a.(type) {
		case session.Put:
			o.add(Put{act})
		case session.Get:
			o.add(Get{act})
		}
	}
}

func (o *outbox) request(to host.Session, a SealRequest) {
	if o.requests == nil {
		o.requests = make(map[host.Session][]SealRequest)
	}
	o.requests[to] = append(o.requests[to], a)
}

func (o *outbox) seal(to host.Session, s witness.Seal) {
	a := o.response(to)
	a.List = append(a.List, s)
}

func (o *outbox) heard(to, s host.Session) {
	a := o.response(to)
	a.Alive = append(a.Alive, s)
}

func (o *outbox) response(to host.Session) *SealResponse {
	if o.responses == nil {
		o.responses = make(map[host.Session]*SealResponse)
	}
	if o.responses[to] == nil {
		o.responses[to] = &SealResponse{}
	}
	return o.responses[to]
}

// flush returns the collected actions followed by the messages, ordered by
// receiver so that a step's result is deterministic, and empties the outbox.
func (o *outbox) flush(self host.Session, seq *uint64) []Action {
	out := o.actions
	for _, to := range sorted(o.requests) {
		*seq++
		out = append(out, SealRequests{From: self, To: to, Seq: *seq, List: o.requests[to]})
	}
	for _, to := range sorted(o.responses) {
		*seq++
		a := o.responses[to]
		out = append(out, SealResponse{From: self, To: to, Seq: *seq, List: a.List, Alive: a.Alive})
	}
	*o = outbox{}
	return out
}

func compareSessions(a, b host.Session) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
}
