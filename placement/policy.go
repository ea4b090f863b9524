package placement

import (
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
)

// HostLoad is a host that serves an app, as a Policy sees it.
type HostLoad struct {
	// Session is the host's session.
	Session host.Session
	// Place is where it stands.
	Place host.Place
	// Capacity is in slots of a target of mean speed, less while the host
	// warms up.
	Capacity float64
	// Load is the load of the slices that the host owns or is to own, in busy
	// slots of a target of mean speed.
	Load float64
	// Slices is their number.
	Slices int
	// Warming says that the host was seen only a short while ago.
	Warming bool

	reportedSinceBalance bool // A report came since the last round for balance.
}

// Utilization returns the load for each slot.
func (h *HostLoad) Utilization() float64 {
	return h.Load / h.Capacity
}

// Candidate is a slice that may be moved for balance.
type Candidate struct {
	ID   key.SliceID
	Load float64
	Host int
}

// Transfer moves a slice to another host for balance.
type Transfer struct {
	ID       key.SliceID
	Load     float64
	From, To int
}

// Policy chooses owners. It does not change the hosts: the Core adds each
// choice to the loads before it asks again. Every choice it makes is carried
// out by the same rules.
type Policy interface {
	// Begin starts a round with the hosts that may own slices.
	Begin(app App, hosts []HostLoad, seed uint64)
	// Choose returns the host for a slice of the given load.
	Choose(hosts []HostLoad, load float64) int
	// Transfers returns at most limit moves for balance. The function above
	// returns the slices that may be moved of the hosts above a use.
	Transfers(hosts []HostLoad, above func(use float64) []Candidate, limit int) []Transfer
}

// RoundRobin is the naive policy: hosts in turn, whatever their load, and no
// moves for balance.
type RoundRobin struct {
	next int
}

// Begin does nothing: the turn goes on from round to round.
func (*RoundRobin) Begin(App, []HostLoad, uint64) {}

// Choose returns the hosts in turn.
func (r *RoundRobin) Choose(hosts []HostLoad, _ float64) int {
	r.next++
	return r.next % len(hosts)
}

// Transfers returns none.
func (*RoundRobin) Transfers([]HostLoad, func(float64) []Candidate, int) []Transfer {
	return nil
}
