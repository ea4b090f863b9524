package daemon

import (
	"strconv"

	"github.com/rhubarbring/rhubarbring/internal/entry"
	"github.com/rhubarbring/rhubarbring/internal/longbody"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/routes"
)

// AppLimits implements entry.Router. It returns the app's deadline limits and
// whether it is divided by key, from the document in force.
func (d *Daemon) AppLimits(app string) (entry.Limits, error) {
	doc := d.fleet.document.Load()
	if doc == nil {
		return entry.Limits{}, &result.Error{Code: result.NotConfigured, Detail: "no document is in force yet"}
	}
	a, ok := doc.apps[key.App(app)]
	if !ok && !d.fleet.hasNewest(doc) {
		return entry.Limits{}, &result.Error{Code: result.NotConfigured, Field: "app", Detail: "a newer document is not in force here"}
	}
	if !ok {
		return entry.Limits{}, &result.Error{Code: result.UnknownApp, Field: "app", Detail: strconv.Quote(app) + " is not in the document"}
	}
	return entry.Limits{
		DividedByKey:    a.DividedByKey,
		DefaultDeadline: a.Deadline.Default.Std(),
		MaxDeadline:     a.Deadline.Maximum.Std(),
	}, nil
}

// Resolve implements entry.Router. A route that is not in the document in force
// is unknown only if that is the newest version: one that this daemon could not
// put in force may have the route.
func (d *Daemon) Resolve(hostName, path string) (routes.Match, error) {
	doc := d.fleet.document.Load()
	if doc == nil {
		return routes.Match{}, &result.Error{Code: result.NotConfigured, Detail: "no document is in force yet"}
	}
	match, ok := doc.routes.Resolve(hostName, path)
	if !ok && !d.fleet.hasNewest(doc) {
		return match, &result.Error{Code: result.NotConfigured, Field: "path", Detail: "a newer document is not in force here"}
	}
	if !ok {
		return match, &result.Error{Code: result.UnknownRoute, Field: "path", Detail: "no route of the document leads there"}
	}
	return match, nil
}

// Submit implements entry.Router.
func (d *Daemon) Submit(s entry.Submission) bool {
	if d.sessionOver.Load() {
		s.Reply <- &request.Answer{ID: s.Request.ID, Code: request.CodeForCaller(s.Request, result.Draining), Owner: string(d.self.Host)}
		return true
	}
	if s.Request.Long != nil {
		s.Request.Long.Address = d.settings.ControlAddress
	}
	return d.routing.ring.PushIfBelow(submissionLimit, requestSubmitted{s})
}

// TakeBody implements control.Daemon.
func (d *Daemon) TakeBody(token string) *longbody.Body {
	return d.longBodies.Take(token)
}

// CallerGone implements entry.Router.
func (d *Daemon) CallerGone(call request.CallID) {
	d.routing.ring.Push(callerGone{call})
}
