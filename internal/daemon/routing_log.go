package daemon

import (
	"time"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/gate"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// Each decision about a request is logged with one line. Its fields are
// computed only if the line is written.

func (r *routingLoop) logSent(to host.Session, req *request.Request) {
	if !r.log.Enabled(event.Info) {
		return
	}
	r.log.Routine(event.RequestSent, "id", req.ID, "app", string(req.App), "slice", uint32(req.Slice),
		"to", to, "epoch", req.Epoch, "attempt", req.Attempt)
}

func (r *routingLoop) logStarted(s *gate.Start) {
	if !r.log.Enabled(event.Info) {
		return
	}
	req := s.Request
	r.log.Routine(event.RequestStarted, "id", req.ID, "app", string(req.App), "slice", uint32(req.Slice),
		"epoch", s.Epoch, "run", s.Run, "key", req.Key)
}

func (r *routingLoop) logRefused(a *request.Answer) {
	if !r.log.Enabled(event.Info) {
		return
	}
	r.log.Event(event.RequestRefused, "id", a.ID, "code", uint16(a.Code), "result", a.Code.String(),
		"epoch", a.Epoch, "attempt", a.Attempt, "jobs", a.Jobs, "slots", a.Slots, "service_ms", a.ServiceTime.Milliseconds(),
		"retry_after_ms", a.RetryAfter.Milliseconds())
}

func (r *routingLoop) logAnswered(a *request.Answer) {
	if !r.log.Enabled(event.Info) {
		return
	}
	write := r.log.Event
	if a.Code == result.OK {
		write = r.log.Routine
	}
	write(event.RequestAnswered, "id", a.ID, "code", uint16(a.Code), "result", a.Code.String(),
		"owner", a.Owner, "epoch", a.Epoch, "attempt", a.Attempt, "retry_after_ms", a.RetryAfter.Milliseconds())
}

func (r *routingLoop) logCallerLeft(id string, after time.Duration) {
	if !r.log.Enabled(event.Info) {
		return
	}
	r.log.Routine(event.CallerLeft, "id", id, "after_ms", after.Milliseconds())
}

// RequestRejected implements entry.Router.
func (d *Daemon) RequestRejected(req *request.Request, err *result.Error) {
	d.log.Event(event.RequestRejected, "id", req.ID, "code", uint16(err.Code), "result", err.Code.String(), "cause", err.Error())
}
