package daemon

import (
	"time"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/placement"
)

const (
	// unreachableTimeout is how long a leader must be unreachable before this
	// daemon claims leadership.
	unreachableTimeout = 2 * time.Second
	// reachRetryInterval is the time between two attempts to reach it.
	reachRetryInterval = 500 * time.Millisecond
	// newLeaderGrace is how long a new leader is kept although it is
	// unreachable, so that daemons on two sides of a network partition do not
	// take leadership from each other all the time.
	newLeaderGrace = 20 * time.Second
)

// leaderReach tracks whether this daemon can reach the placement leader. If a
// leader is lost together with most of its witnesses, it takes a while until
// its session is recorded as lost; slices of other lost sessions must not wait
// for that.
type leaderReach struct {
	leader           placement.Leader
	learnedAt        mono.Time // When this daemon learnt of the leader.
	unreachableSince mono.Time // When it was first found unreachable; 0 while it is reachable.
	retryAt          mono.Time // When the next attempt is due.
}

// reset starts tracking another leader.
func (r *leaderReach) reset(now mono.Time, leader placement.Leader) {
	*r = leaderReach{leader: leader, learnedAt: now}
}

// recordAttempt records whether a connection to the leader is open. It returns
// true once the leader has been unreachable for unreachableTimeout and known
// for newLeaderGrace.
func (r *leaderReach) recordAttempt(now mono.Time, open bool) bool {
	if open {
		r.unreachableSince = 0
		return false
	}
	r.retryAt = now.Add(reachRetryInterval)
	if r.unreachableSince == 0 {
		r.unreachableSince = now
	}
	return now.Sub(r.unreachableSince) >= unreachableTimeout && now.Sub(r.learnedAt) >= newLeaderGrace
}

// retryDue reports whether it is time to try an unreachable leader again.
func (r *leaderReach) retryDue(now mono.Time) bool {
	return r.unreachableSince != 0 && !now.Before(r.retryAt)
}

// retryLeader tries to connect to a leader to which a message could not be
// sent. If the leader has been unreachable for too long, it is reported to the
// placement core like a leader that cannot write to the store.
func (p *placementLoop) retryLeader(now mono.Time) {
	if !p.leaderReach.retryDue(now) {
		return
	}
	leader := p.leaderReach.leader
	address := p.fleet.peerAddress(leader.Session)
	if address == "" {
		p.leaderReach.unreachableSince = 0 // Its record was deleted, which by itself ends its leadership.
		return
	}
	open := p.peers.TryConnect(address)
	if !p.leaderReach.recordAttempt(now, open) {
		return
	}
	p.log.Event(event.LeaderOutOfReach, "leader", leader.Session.String(), "term", leader.Term, "for_ms", now.Sub(p.leaderReach.unreachableSince).Milliseconds())
	p.leaderReach.unreachableSince = 0
	p.step(now, placement.LeaderUnwritable{From: leader.Session, Term: leader.Term})
}
