package daemon

import (
	"strings"
	"time"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/internal/explain"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/routes"
	"github.com/rhubarbring/rhubarbring/session"
)

// ExplainRequest implements control.Daemon.
func (d *Daemon) ExplainRequest(q explain.Query) (any, error) {
	if err := q.Check(); err != nil {
		return nil, err
	}
	doc := d.fleet.document.Load()
	if doc == nil {
		return nil, &result.Error{Code: result.NotConfigured, Detail: "no document is in force yet"}
	}
	answer := &explain.Answer{Query: q, Daemon: d.self, Place: d.place(), Document: doc.stored.Version, Apps: []explain.App{}}
	shares, err := previewRoute(doc, q, answer)
	if err != nil {
		return nil, err
	}
	return queryRouting(d, func(r *routingLoop, now mono.Time) *explain.Answer {
		answer.RetriesLeft = r.router.RetriesLeft()
		answer.EvacuatedZones = r.evacuated.Names()
		for _, s := range shares {
			answer.Apps = append(answer.Apps, r.explainApp(now, answer, s))
		}
		answer.Decide()
		return answer
	})
}

// previewRoute fills in what the query's route or app determines, and returns the
// apps that the request may go to.
func previewRoute(doc *documentInForce, q explain.Query, answer *explain.Answer) ([]routes.Share, error) {
	if q.Host == "" {
		app, ok := doc.apps[q.App]
		if !ok {
			return nil, &result.Error{Code: result.UnknownApp, Field: "app", Detail: string(q.App) + " is not in the document", Remedy: "check the name against the document in force"}
		}
		answer.TimeoutMs = milliseconds(app.Deadline.Default.Std())
		return []routes.Share{{App: app, Part: 1}}, nil
	}
	path, _, _ := strings.Cut(q.Path, "?")
	match, shares, ok := doc.routes.Preview(strings.ToLower(q.Host), path)
	if !ok {
		return nil, &result.Error{Code: result.UnknownRoute, Field: "host, path", Detail: "no route of the document leads there", Remedy: "check host and path against the routes of the document in force"}
	}
	answer.Route, answer.Regions, answer.Idempotent = match.Route, match.Regions, match.Idempotent
	answer.TimeoutMs, answer.LatencyTargetMs = milliseconds(match.Timeout), milliseconds(match.LatencyTarget)
	answer.MaxAttempts = match.MaxAttempts
	return shares, nil
}

// explainApp returns what the loop knows about a request to one of its apps.
func (r *routingLoop) explainApp(now mono.Time, a *explain.Answer, s routes.Share) explain.App {
	app := explain.App{
		Name:         s.App.Name,
		Part:         s.Part,
		DividedByKey: s.App.DividedByKey,
		AnyGate:      !s.App.DividedByKey && (a.Idempotent || s.App.FreshIDs),
		Gates:        []explain.Gate{},
		Held:         r.quarantine.Held(now),
		LinkRoom:     r.balancer.LinkRoom(now, s.App.Name, a.Query.Bytes),
		SpillShare:   r.balancer.SpillShare(now, s.App.Name),
	}
	if !app.AnyGate && a.Query.Key != "" {
		app.Slice = r.explainSlice(s.App, a.Query.Key)
	}
	for _, p := range r.balancer.Preview(now, s.App.Name, a.Regions) {
		g := explain.Gate{Session: p.Session, Place: p.Place, Near: p.Near, Avoided: p.Avoided, ExpectedMs: milliseconds(p.Expected), RankingMs: milliseconds(p.Ranking), Slots: p.Slots, Jobs: p.Jobs}
		if p.Session == r.self && r.gate != nil {
			wait, cold := milliseconds(r.gate.Load(now).Wait), r.gate.Cold()
			g.WaitMs, g.Cold = &wait, &cold
		}
		app.Gates = append(app.Gates, g)
	}
	app.Elsewhere = len(r.balancer.Preview(now, s.App.Name, nil)) - len(app.Gates)
	app.Evacuated = r.evacuatedGates(s.App.Name)
	r.explainAdmission(now, a, &app, s.Class)
	if a.Query.Bytes == 0 {
		content := request.Request{App: s.App.Name, Key: a.Query.Key, Method: a.Query.Method, Path: a.Query.Path}
		if left, held := r.quarantine.Check(now, &content); held {
			app.QuarantineMs = milliseconds(left)
		}
	}
	return app
}

// explainAdmission fills in what the entry would refuse.
func (r *routingLoop) explainAdmission(now mono.Time, a *explain.Answer, app *explain.App, class request.Class) {
	q := request.AdmissionQuery{
		Request: &request.Request{App: app.Name, Route: a.Route, Class: class, LatencyTarget: fromMilliseconds(a.LatencyTargetMs), Regions: a.Regions},
		Left:    fromMilliseconds(a.TimeoutMs),
	}
	if app.Slice != nil {
		q.Owner = app.Slice.Owner
	}
	room, refused := r.admission.Preview(now, q)
	app.RoomMs, app.RefusedShare = milliseconds(room), refused
}

// evacuatedGates returns the number of live gates of an app in evacuated zones.
func (r *routingLoop) evacuatedGates(app key.App) int {
	n := 0
	for _, v := range r.fleet.sessions.Load().records {
		if v.Record.State == session.Live && v.Record.Target != nil && v.Record.Target.App == app && r.evacuated.Contains(v.Record.Place.Zone) {
			n++
		}
	}
	return n
}

// explainSlice returns the slice of a key, or of an ID, and its owner; nil if the
// map has no pack of the app.
func (r *routingLoop) explainSlice(app document.App, text string) *explain.Slice {
	slice, assigned, ok := r.owners.Lookup(app.Name, text)
	if !ok {
		return nil
	}
	s := &explain.Slice{ID: slice.ID, CarvedOut: slice.IsCarveOut(), Owner: assigned.Owner, Epoch: assigned.Epoch, Next: assigned.Next}
	if record, known := r.fleet.record(assigned.Owner); known {
		s.OwnerPlace, s.OwnerState = record.Place, record.State
	}
	_, s.OwnerKnown = r.RegionOf(assigned.Owner)
	return s
}

func fromMilliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
