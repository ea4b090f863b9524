package placement

import (
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
)

// HostLoad describes a host that serves an app to a Policy.
type HostLoad struct {
	// Session is the host's session.
	Session host.Session
	// Place is the host's location.
	Place host.Place
	// Capacity is in slots of a target of mean speed. It is reduced while the
	// host warms up.
	Capacity float64
	// Load is the load of the slices that the host owns or will own after the
	// handovers in progress, in busy slots of a target of mean speed.
	Load float64
	// Slices is the number of those slices.
	Slices int
	// Warming says that the host is new and counts with reduced capacity.
	Warming bool

	reportedSinceBalance bool // A report has arrived since the last balance round.
}

// Utilization returns Load divided by Capacity.
func (h *HostLoad) Utilization() float64 {
	return h.Load / h.Capacity
}

// Candidate is a slice that may be moved for balance. Host is the index of its
// owner.
type Candidate struct {
	ID   key.SliceID
	Load float64
	Host int
}

// Transfer is the move of a slice for balance, between hosts given by index.
type Transfer struct {
	ID       key.SliceID
	Load     float64
	From, To int
}

// Policy chooses owners. It must not modify the hosts; the Core adds each
// choice to the loads before it asks for the next. The rules of the package
// apply to each of its choices.
type Policy interface {
	// Begin starts a round with the hosts that may own slices.
	Begin(app App, hosts []HostLoad, seed uint64)
	// Choose returns the index of the host for a slice of the given load.
	Choose(hosts []HostLoad, load float64) int
	// Transfers returns at most limit moves for balance. candidatesAbove returns
	// the slices that may be moved from hosts whose utilization is above the
	// given value.
	Transfers(hosts []HostLoad, candidatesAbove func(utilization float64) []Candidate, limit int) []Transfer
}

// RoundRobin is a Policy that chooses the hosts in turn, whatever their loads,
// and makes no moves for balance.
type RoundRobin struct {
	next int
}

// Begin does nothing; the turn continues from round to round.
func (*RoundRobin) Begin(App, []HostLoad, uint64) {}

// Choose returns the next host in turn.
func (r *RoundRobin) Choose(hosts []HostLoad, _ float64) int {
	r.next++
	return r.next % len(hosts)
}

// Transfers returns nil.
func (*RoundRobin) Transfers([]HostLoad, func(float64) []Candidate, int) []Transfer {
	return nil
}
