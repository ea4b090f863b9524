package explain

import (
	"fmt"
	"slices"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/result"
)

// usablePart is the part of its time that a request may be expected to use before
// gates of another region are considered.
const usablePart = 0.8

// Decide sets the verdict of each app from the facts of the answer.
func (a *Answer) Decide() {
	for i := range a.Apps {
		app := &a.Apps[i]
		app.Verdict = app.admitted(a.verdict(app))
	}
}

// mostlyRefused is the share of refusals at the entry from which a request counts as
// refused: all but the probes that find out when there is room again.
const mostlyRefused = 0.9

// admitted returns the verdict on a request that would be sent, given what the entry
// refuses beforehand.
func (app *App) admitted(v Verdict) Verdict {
	if v.To.IsZero() || app.RefusedShare == 0 {
		return v
	}
	if app.RefusedShare >= mostlyRefused {
		return refusal(result.QueueFull, "no gate is expected to serve it in time, apart from probes; one may have room in %s", formatMs(app.RoomMs))
	}
	v.Why += fmt.Sprintf("; %.0f %% of such requests are refused here for lack of room", 100*app.RefusedShare)
	return v
}

// verdict follows the order in which package request decides.
func (a *Answer) verdict(app *App) Verdict {
	switch {
	case app.DividedByKey && a.Query.Key == "":
		return refusal(result.MissingKey, "the app is divided by key, and the request names none")
	case app.QuarantineMs > 0:
		return refusal(result.Quarantined, "targets that ran requests of this content ended; it is not run for another %s", formatMs(app.QuarantineMs))
	case app.AnyGate:
		return a.anyGate(app)
	case app.Slice == nil && a.Query.Key == "":
		return Verdict{Code: result.OK.String(), Why: "the owner of the slice of its id gets it; ask with the id as key"}
	default:
		return a.owner(app)
	}
}

func refusal(code result.Code, format string, args ...any) Verdict {
	return Verdict{Code: code.String(), Why: fmt.Sprintf(format, args...)}
}

// owner returns the verdict of a request that the owner of its slice gets.
func (a *Answer) owner(app *App) Verdict {
	s := app.Slice
	if s == nil {
		s = &Slice{}
	}
	if len(a.Regions) > 0 {
		if v, refused := a.boundOwner(app, s); refused {
			return v
		}
	}
	switch {
	case s.Owner.IsZero():
		return refusal(result.NoOwner, "its slice has no known owner; it would wait for one for a bounded time and then be refused")
	case s.OwnerKnown && slices.Contains(a.EvacuatedZones, s.OwnerPlace.Zone):
		return refusal(result.Draining, "the zone of its owner, %s, is evacuated: the owner's gate refuses it, and it waits for the next owner for a bounded time", s.OwnerPlace.Zone)
	}
	return Verdict{Code: result.OK.String(), To: s.Owner, Why: fmt.Sprintf("it owns the slice at epoch %d", s.Epoch)}
}

// boundOwner returns the verdict of a request with allowed regions that can't go to
// the owner of its slice for them, and whether it is such a one.
func (a *Answer) boundOwner(app *App, s *Slice) (Verdict, bool) {
	switch {
	case s.OwnerKnown && !host.RegionAllowed(a.Regions, s.OwnerPlace.Region):
		return refusal(result.NoAllowedRegion, "the owner of its slice is in region %s, which is not allowed", s.OwnerPlace.Region), true
	case !s.OwnerKnown && len(app.Gates) == 0:
		return refusal(result.NoAllowedRegion, "no owner of its slice with a known region is there, and the app has no target in the allowed regions"), true
	case !s.OwnerKnown && !s.Owner.IsZero():
		return refusal(result.NoOwner, "the region of the owner is not known; it would wait for an owner for a bounded time and then be refused"), true
	}
	return Verdict{}, false
}

// anyGate returns the verdict of a request that any gate may take. Gates are drawn
// at random, two at a time, so that it names the one that wins each comparison.
func (a *Answer) anyGate(app *App) Verdict {
	near, far := best(app.Gates, true), best(app.Gates, false)
	if near == nil && far == nil {
		if len(a.Regions) > 0 {
			return refusal(result.NoAllowedRegion, "the app has no target in the allowed regions, %d elsewhere, and %d in evacuated zones", app.Elsewhere, app.Evacuated)
		}
		return refusal(result.TargetUnavailable, "no target of the app is known, apart from %d in evacuated zones", app.Evacuated)
	}
	if near != nil && (far == nil || near.ExpectedMs <= usablePart*a.TimeoutMs || far.ExpectedMs >= near.ExpectedMs) {
		return a.sendTo(near, "the best gate of this region")
	}
	if app.LinkRoom {
		return a.sendTo(far, "the best gate of another region; this one has none that is expected to answer in time")
	}
	if near != nil {
		return a.sendTo(near, "the best gate of this region; the share of the link to others is used up")
	}
	return refusal(result.LinkShareExhausted, "only other regions have a target, and the share of the link to them is used up")
}

// sendTo returns the verdict of a request that is sent to a gate, which refuses it
// if the answer is expected too late.
func (a *Answer) sendTo(g *Gate, why string) Verdict {
	limit := a.TimeoutMs
	if a.LatencyTargetMs > 0 {
		limit = min(limit, a.LatencyTargetMs)
	}
	v := Verdict{Code: result.OK.String(), To: g.Session, Why: fmt.Sprintf("%s; an answer is expected after %s", why, formatMs(g.ExpectedMs))}
	if g.ExpectedMs > limit {
		v.Code = result.DeadlineTooShort.String()
		v.Why += fmt.Sprintf(", which is later than the %s that the request has; the gate is likely to refuse it", formatMs(limit))
	}
	return v
}

// best returns the gate that wins each comparison with another one of its group:
// the one that is not avoided, then the one with the lowest ranking.
func best(gates []Gate, near bool) *Gate {
	var found *Gate
	for i := range gates {
		g := &gates[i]
		if g.Near != near {
			continue
		}
		if found == nil || found.Avoided && !g.Avoided || found.Avoided == g.Avoided && g.RankingMs < found.RankingMs {
			found = g
		}
	}
	return found
}

func formatMs(ms float64) string {
	return fmt.Sprintf("%.1f ms", ms)
}
