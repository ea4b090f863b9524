package daemon

import (
	"time"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/placement"
)

const (
	// unreachedFor is how long a leader must be out of reach before this
	// daemon claims the lead, and reachAgain the time between two tries.
	unreachedFor = 2 * time.Second
	reachAgain   = 500 * time.Millisecond
	// leaderTrial is how long a new leader is left alone, so that daemons on
	// two sides of a cut do not take the lead from each other all the time.
	leaderTrial = 20 * time.Second
)

// leaderReach is whether this daemon reaches the leader. A leader that died
// together with most of its witnesses is not recorded lost for a while; the
// slices of others must not wait for that.
type leaderReach struct {
	leader placement.Leader
	since  mono.Time // When this daemon learnt of the leader.
	failed mono.Time // When it was first found out of reach; 0 while it is not.
	next   mono.Time // When it is tried again.
}

// follow begins anew with another leader.
func (r *leaderReach) follow(now mono.Time, leader placement.Leader) {
	*r = leaderReach{leader: leader, since: now}
}

// tried takes whether a connection to the leader is open. It returns true once
// the leader has been out of reach for long.
func (r *leaderReach) tried(now mono.Time, open bool) bool {
	if open {
		r.failed = 0
		return false
	}
	r.next = now.Add(reachAgain)
	if r.failed == 0 {
		r.failed = now
	}
	return now.Sub(r.failed) >= unreachedFor && now.Sub(r.since) >= leaderTrial
}

// due reports whether a leader that was out of reach is to be tried again.
func (r *leaderReach) due(now mono.Time) bool {
	return r.failed != 0 && !now.Before(r.next)
}

// reachLeader tries a leader again to which a message could not be sent.
func (p *placementDuty) reachLeader(now mono.Time) {
	if !p.reach.due(now) {
		return
	}
	leader := p.reach.leader
	address := p.fleet.peerAddress(leader.Session)
	if address == "" {
		p.reach.failed = 0 // Its record is gone, which vacates the lead by itself.
		return
	}
	open := p.peers.Reach(address)
	if !p.reach.tried(now, open) {
		return
	}
	p.log.Event(event.LeaderOutOfReach, "leader", leader.Session.String(), "term", leader.Term, "for_ms", now.Sub(p.reach.failed).Milliseconds())
	p.reach.failed = 0
	p.step(now, placement.Stuck{From: leader.Session, Term: leader.Term})
}
