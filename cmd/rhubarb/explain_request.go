package main

import (
	"fmt"
	"io"

	"github.com/rhubarbring/rhubarbring/internal/explain"
	"github.com/rhubarbring/rhubarbring/status"
)

// explanation is what explain prints: the state of a key, where it was asked for by
// app, and where a request would go.
type explanation struct {
	*status.Key
	Request *explain.Answer `json:"request,omitempty"`
}

func (e explanation) write(w io.Writer) {
	if e.Key != nil {
		writeKey(w, e.Key)
	}
	if e.Request != nil {
		writeRequest(w, e.Request)
	}
}

func writeRequest(w io.Writer, a *explain.Answer) {
	fmt.Fprintf(w, "asked\t%s in %s, document version %d, %.0f retries left\n", a.Daemon, a.Place.Zone, a.Document, a.RetriesLeft)
	if a.Route != "" {
		fmt.Fprintf(w, "route\t%s, %s, timeout %.0f ms%s\n", a.Route, choose(a.Idempotent, "repeatable", "not repeatable"), a.TimeoutMs,
			choose(a.LatencyTargetMs > 0, fmt.Sprintf(", latency target %.0f ms", a.LatencyTargetMs), ""))
	}
	fmt.Fprintf(w, "regions\t%s\n", orDefault(joinNames(a.Regions), "all"))
	fmt.Fprintf(w, "evacuated\t%s\n", orDefault(joinNames(a.EvacuatedZones), "no zone"))
	for i := range a.Apps {
		writeApp(w, &a.Apps[i])
	}
}

func writeApp(w io.Writer, app *explain.App) {
	fmt.Fprintf(w, "app\t%s, %.0f %% of the requests\n", app.Name, 100*app.Part)
	if s := app.Slice; s != nil {
		fmt.Fprintf(w, "slice\t%d%s, owner %s, epoch %d\n", s.ID, choose(s.CarvedOut, ", the hot key's own", ""), s.Owner, s.Epoch)
		if s.OwnerKnown {
			fmt.Fprintf(w, "owner\t%s in %s of %s\n", s.OwnerState, s.OwnerPlace.Zone, s.OwnerPlace.Region)
		}
		if !s.Next.IsZero() {
			fmt.Fprintf(w, "next\t%s, by a handover under way\n", s.Next)
		}
	}
	if app.AnyGate || app.Slice == nil {
		for i := range app.Gates {
			writeGate(w, &app.Gates[i])
		}
	}
	fmt.Fprintf(w, "gates\t%d allowed, %d in other regions, %d in evacuated zones; link to other regions %s\n", len(app.Gates), app.Elsewhere, app.Evacuated, choose(app.LinkRoom, "has room", "is used up"))
	fmt.Fprintf(w, "load\t%.0f %% of such requests refused here for lack of room, %.0f %% sent to other regions for load\n", 100*app.RefusedShare, 100*app.SpillShare)
	fmt.Fprintf(w, "quarantine\t%s; %d contents in all\n", choose(app.QuarantineMs > 0, fmt.Sprintf("for another %.0f ms", app.QuarantineMs), "not this request, if it has no body"), app.Held)
	if app.Verdict.Code != "ok" {
		fmt.Fprintf(w, "verdict\trefused as %s: %s\n", app.Verdict.Code, app.Verdict.Why)
		return
	}
	fmt.Fprintf(w, "verdict\tsent to %s: %s\n", choose(app.Verdict.To.IsZero(), "an owner", app.Verdict.To.String()), app.Verdict.Why)
}

func writeGate(w io.Writer, g *explain.Gate) {
	load := "load not known"
	if g.Slots > 0 {
		load = fmt.Sprintf("%d requests on %d slots", g.Jobs, g.Slots)
	}
	fmt.Fprintf(w, "gate\t%s in %s, expected %.1f ms, %s%s", g.Session, g.Place.Zone, g.ExpectedMs, load, choose(g.Avoided, ", avoided", ""))
	if g.WaitMs != nil {
		fmt.Fprintf(w, ", wait %.1f ms", *g.WaitMs)
	}
	if g.Cold != nil {
		fmt.Fprint(w, choose(*g.Cold, ", target cold", ", target not cold"))
	}
	fmt.Fprintln(w)
}
