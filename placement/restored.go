package placement

import (
	"time"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/restore"
	"github.com/rhubarbring/rhubarbring/session"
)

// After the store came back from a copy, an entry of an earlier era says nothing
// of who holds the slice now: the copy may be older than the last changes, and a
// write of a daemon that has not noticed may have replaced it. Its holder knows,
// and claims it. If nobody does within restore.UnclaimedWait, nobody holds it.

// claim is a session's claim of a slice that it held at an epoch when it saw a
// version of the pack.
type claim struct {
	from    host.Session
	epoch   uint64
	version uint64
}

// restoredEntry is an entry that is not in force.
type restoredEntry struct {
	since   mono.Time // When this leader first saw it.
	version uint64    // Of the pack, then.
}

// era returns the era of the pack's version.
func (p *packInfo) era() restore.Era {
	return restore.VersionOf(p.version).Era
}

// eraOfLeader returns the version without a revision of the era in which the leader
// object was last read or written.
func (c *Core) eraOfLeader() uint64 {
	era := restore.VersionOf(c.leadership.version).Era
	version, _ := restore.Version{Era: era}.Number()
	return version
}

// trackNotInForce updates the slices whose entries are not in force in a version of
// the pack that is about to be adopted. The wait for claims goes on for an entry
// that is the same as before, if no version came between: the slice may have had
// another holder then. Claims of slices that are in force are dropped.
func (a *app) trackNotInForce(now mono.Time, p *packInfo, pack *assignment.Pack, version uint64, successive bool) {
	before := p.notInForce
	p.notInForce = nil
	era := restore.VersionOf(version).Era
	if era == 0 {
		return
	}
	eachEntry(pack, func(id key.SliceID, s assignment.Ownership) {
		if restore.Epoch(s.Epoch).InForce(era) {
			delete(a.claims, id)
			return
		}
		entry, waiting := before[id]
		if !waiting || !successive || !holds(p.pack, id, s) {
			entry = restoredEntry{since: now, version: version}
		}
		if p.notInForce == nil {
			p.notInForce = make(map[key.SliceID]restoredEntry)
		}
		p.notInForce[id] = entry
	})
}

// holds reports whether a pack has the assignment of a slice.
func holds(p *assignment.Pack, id key.SliceID, s assignment.Ownership) bool {
	old, ok := p.At(id)
	return ok && old == s
}

// eachEntry calls f for each slice and carve-out of a pack.
func eachEntry(p *assignment.Pack, f func(id key.SliceID, s assignment.Ownership)) {
	for i := range p.Len() {
		id := p.First + key.SliceID(i)
		s, _ := p.At(id)
		f(id, s)
	}
	for _, c := range p.CarveOuts() {
		f(c.ID, c.Ownership)
	}
}

// claimReceived records the claims of a daemon. Of two claims of a slice, the one of
// the later version counts.
func (c *Core) claimReceived(m handover.Claim) {
	a := findApp(c.apps, m.App)
	if a == nil || c.leadership.state == stateFollowing {
		return
	}
	for _, s := range m.Slices {
		p := a.packOf(s.ID)
		if p == nil {
			continue
		}
		if old, ok := a.claims[s.ID]; ok && old.version > s.Version {
			continue
		}
		a.claims[s.ID] = claim{from: m.From, epoch: s.Epoch, version: s.Version}
		p.dirty = true
	}
}

// decideNotInForce gives a slice whose entry is not in force to the session that
// claims it, or to any once nobody can hold it.
func (r *round) decideNotInForce(p *packInfo, id key.SliceID, s assignment.Ownership) {
	entry := p.notInForce[id]
	if c, ok := r.app.claims[id]; ok && r.counts(c, entry) {
		if epoch, ok := r.nextEpoch(p, max(s.Epoch, c.epoch)); ok {
			r.edit(p, id, assignment.Ownership{Owner: c.from, Epoch: epoch}, ClaimedByHolder)
			return
		}
	}
	if r.now.Sub(entry.since) < r.unclaimedWait() {
		p.dirty = true
		return
	}
	if r.eligible(s.Owner) {
		s.Next = s.Owner
	}
	r.requestPlacement(id, s, Unclaimed, true)
}

// inForce reports whether the entry of a slice is in force.
func (r *round) inForce(p *packInfo, id key.SliceID) bool {
	_, restored := p.notInForce[id]
	return !restored || r.core.disabled.inForce
}

// counts reports whether a claim shows who holds the slice of an entry. Between the
// version that its sender had seen and this entry, the slice may have had another
// holder.
func (r *round) counts(c claim, entry restoredEntry) bool {
	if c.version < entry.version && !r.core.disabled.claimVersion {
		return false
	}
	if _, recordless := r.core.fleet.recordless[c.from]; recordless {
		return false
	}
	st := r.core.fleet.status(c.from)
	return st == statusLive || st == statusDraining
}

// holderTimeout is how long after this leader first saw an entry that is not in
// force, or that a session has no record, nobody holds the slice, or what the session
// held, any more.
func holderTimeout() time.Duration {
	timing := session.DefaultTiming()
	return restore.UnclaimedWait(timing.Lease, timing.Margin)
}

// unclaimedWait returns how long a slice that nobody claims waits. Where targets
// don't check grants, a request of a holder that the leader does not know may run
// until its deadline.
func (r *round) unclaimedWait() time.Duration {
	if r.core.disabled.unclaimedWait {
		return 0
	}
	wait := holderTimeout()
	for _, h := range r.core.fleet.hosts {
		if h.app == r.app.params.Name && !h.checksGrants {
			return wait + r.app.params.MaxDeadline
		}
	}
	return wait
}

// nextEpoch returns the epoch for a change of owner in the next write of a pack. It
// returns false if the pack is older than the epoch known.
func (r *round) nextEpoch(p *packInfo, known uint64) (uint64, bool) {
	replaced := restore.VersionOf(p.version)
	if r.core.disabled.revisionEpoch {
		replaced.Revision = 1
	}
	next, ok := restore.Next(restore.Epoch(known), replaced)
	return uint64(next), ok
}
