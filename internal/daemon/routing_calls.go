package daemon

import (
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/gate"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// callParent is the run that made a call; the zero value for a request that is no
// call.
type callParent struct {
	id    string
	gate  *gate.Gate
	class request.Class
	route string
}

// markCall gives a request the class of a call if its ID names a request that the
// target of this host runs, and returns that run. Any other request keeps its
// class, whatever its ID.
func (r *routingLoop) markCall(req *request.Request) callParent {
	for _, id := range req.ParentIDs {
		if parent := r.runOf(id); parent.gate != nil {
			req.Class = request.CallOf(parent.class)
			return parent
		}
	}
	return callParent{}
}

// runOf returns the run of the request with the ID at the target of this host.
func (r *routingLoop) runOf(id string) callParent {
	if r.gate == nil {
		return callParent{}
	}
	if class, route, running := r.gate.Running(id); running {
		return callParent{id: id, gate: r.gate, class: class, route: route}
	}
	for _, g := range r.retiredGates {
		if class, route, running := g.Running(id); running {
			return callParent{id: id, gate: g, class: class, route: route}
		}
	}
	return callParent{}
}

// ended tells the gate of the run how its call ended. Codes that tell nothing of the
// room for calls are left out.
func (p callParent) ended(now mono.Time, code result.Code) {
	if p.gate != nil && (code == result.OK || lacksRoom(code)) {
		p.gate.CallEnded(now, p.route, code != result.OK)
	}
}

// lacksRoom reports whether a call ended so because there was no room for it. Fewer
// runs leave more room for the calls of the others. They do not help if targets fail
// or refuse a share of the calls whatever their load.
func lacksRoom(code result.Code) bool {
	switch code {
	case result.QueueFull, result.DeadlineTooShort, result.OutcomeUnknown:
		return true
	}
	return false
}

// abandoned tells the gate of the run that the target gave its call up. That is a
// failure of the call only if the run's answer is still awaited.
func (p callParent) abandoned(now mono.Time) {
	if p.gate == nil {
		return
	}
	if _, _, running := p.gate.Running(p.id); running {
		p.gate.CallEnded(now, p.route, true)
	}
}

// failingCallShare is the share of the slots below which failing calls are logged.
// A share that is a little smaller than all comes with each burst of load.
const failingCallShare = 0.5

// reportCallShare updates the gauge of the gate's limit on runs that make calls,
// and logs when the limit is low and when it has ended.
func (r *routingLoop) reportCallShare(now mono.Time) {
	if r.gate == nil {
		return
	}
	share := r.gate.CallShare(now)
	r.metrics.callShare.Update(share)
	switch {
	case !r.callsFail && share < failingCallShare:
		r.callsFail = true
		r.log.Event(event.CallsFail, "app", string(r.target.app), "share", share)
	case r.callsFail && share == 1:
		r.callsFail = false
		r.log.Event(event.CallsRecovered, "app", string(r.target.app))
	}
}
