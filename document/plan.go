package document

import (
	"fmt"
	"strings"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
)

// Fleet is the part of a running environment's state that a plan needs.
type Fleet struct {
	Hosts []FleetHost
}

// FleetHost is a daemon with a live or draining session and the target on its
// host.
type FleetHost struct {
	Host  host.ID
	Place host.Place
	// App is the app of the target; empty if none has announced itself.
	App key.App
	// ChecksGrants is set if the target announced that it checks grants.
	ChecksGrants bool
	// Slices is the number of slices that the host owns.
	Slices int
}

// PlanKind is the kind of a plan's item.
type PlanKind string

// The kinds of plan items.
const (
	AppAdded         PlanKind = "app_added"
	AppRemoved       PlanKind = "app_removed"
	LimitChanged     PlanKind = "limit_changed"
	MovesExpected    PlanKind = "moves_expected"
	RefusalsExpected PlanKind = "refusals_expected"
	PlaceAdded       PlanKind = "place_added"
	PlaceRemoved     PlanKind = "place_removed"
	AlarmChanged     PlanKind = "alarm_changed"
)

// Item is one change of a plan.
type Item struct {
	// Kind is the kind of change.
	Kind PlanKind `json:"kind"`
	// Subject is what changes, such as "app catalogue".
	Subject string `json:"subject"`
	// Field, Old and New give the field and its values, if a field changes.
	Field string `json:"field,omitempty"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
	// Concerns names who is affected.
	Concerns string `json:"concerns"`
	// Effect says how they are affected.
	Effect string `json:"effect"`
	// Hosts is the number of affected hosts; 0 if none in particular.
	Hosts int `json:"hosts,omitempty"`
	// Moves is the number of slices that are expected to change owner.
	Moves int `json:"moves,omitempty"`
}

// Plan describes the effects of replacing one document in force by another.
type Plan struct {
	// Environment is whose document changes.
	Environment string `json:"environment"`
	// From and To are the hashes of the two documents; From is empty if
	// there is none yet.
	From Hash `json:"from,omitempty"`
	To   Hash `json:"to"`
	// Items lists the changes of places, apps, allowed regions of routes, links
	// and alarm, in this order. Removed links, other changes of routes, and
	// changes of fresh_ids, target_connections and key_numbers are not listed.
	Items []Item `json:"items"`
	// Problems lists changes that a running environment can't make; a plan
	// that has any is not applied.
	Problems Problems `json:"problems,omitempty"`
}

// NewPlan compares the document in force, nil if there is none, with the one
// that would replace it, given the running fleet. The caller sets Environment
// and the hashes.
func NewPlan(old, next *Document, fleet Fleet) Plan {
	if old == nil {
		old = &Document{}
	}
	p := &planner{old: old, next: next, fleet: fleet}
	p.places()
	p.apps()
	p.routes()
	p.links()
	p.callerLimits()
	p.alarm()
	return Plan{Items: p.items, Problems: p.problems}
}

// Text returns the plan for display, one change per line.
func (p Plan) Text() string {
	var b strings.Builder
	from := "nothing"
	if p.From != "" {
		from = p.From.Short()
	}
	fmt.Fprintf(&b, "%s: %s -> %s\n", p.Environment, from, p.To.Short())
	for _, problem := range p.Problems {
		fmt.Fprintf(&b, "  impossible: %s\n", problem)
	}
	for _, item := range p.Items {
		b.WriteString("  " + item.String() + "\n")
	}
	if len(p.Items)+len(p.Problems) == 0 {
		b.WriteString("  no change\n")
	}
	return b.String()
}

// String returns the item in one line.
func (i Item) String() string {
	s := string(i.Kind) + ": " + i.Subject
	if i.Field != "" {
		s += fmt.Sprintf(" %s %s -> %s", i.Field, orDefault(i.Old, "none"), orDefault(i.New, "none"))
	}
	s += "; " + i.Concerns + ": " + i.Effect
	if i.Hosts > 0 {
		s += fmt.Sprintf(" [hosts: %d]", i.Hosts)
	}
	if i.Moves > 0 {
		s += fmt.Sprintf(" [slices: %d]", i.Moves)
	}
	return s
}

func orDefault(s, otherwise string) string {
	if s == "" {
		return otherwise
	}
	return s
}
