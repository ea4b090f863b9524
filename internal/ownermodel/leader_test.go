package ownermodel

import (
	"time"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// Mean times between changes of the leader for one slice, in steps.
const (
	stepsPerMove       = 150
	stepsPerWithdrawal = 30
	stepsPerTakeover   = 8
)

const (
	newsDelay    = 200 * time.Millisecond
	releaseDelay = 200 * time.Millisecond
)

// leader assigns slices by the rules: the next epoch comes only after the owner's
// release, or after the owner's session has ended.
type leader struct {
	m        *model
	pack     *assignment.Pack
	version  uint64
	sessions []host.Session // That have a target and have not ended.
	targets  map[host.Session]*instance
	// replacedAt holds when the target of a session last replaced another instance.
	replacedAt map[host.Session]mono.Time
	// ended holds the sessions that are recorded as lost.
	ended map[host.Session]endedSession
	// watched are sessions whose daemon has crashed.
	watched []watchedSession
}

// endedSession is a session that is recorded as lost. Its slices go to its
// successor only until an instant.
type endedSession struct {
	session       host.Session
	successor     host.Session
	successorOnly mono.Time
}

type watchedSession struct {
	session  host.Session
	leaseEnd mono.Time
}

func newLeader(m *model) *leader {
	return &leader{m: m, pack: assignment.NewPack(app, sliceCount, 0), ended: make(map[host.Session]endedSession), targets: make(map[host.Session]*instance), replacedAt: make(map[host.Session]mono.Time)}
}

// targetRecorded learns which instance of a target a session has. Only sessions
// with a target get slices.
func (l *leader) targetRecorded(s host.Session, i *instance) {
	if _, known := l.targets[s]; !known && !l.hasEnded(s) {
		l.sessions = append(l.sessions, s)
	}
	if earlier := l.targets[s]; earlier != nil && earlier != i {
		l.replacedAt[s] = l.m.now
	}
	l.targets[s] = i
}

func (l *leader) hasEnded(s host.Session) bool {
	_, ended := l.ended[s]
	return ended
}

// watch follows the lease of a session whose daemon has crashed.
func (l *leader) watch(h *hostModel, s host.Session) {
	if !l.hasEnded(s) {
		l.watched = append(l.watched, watchedSession{session: s, leaseEnd: h.leaseEnd})
	}
}

// recordSuperseded records a session as lost whose successor runs on its machine.
func (l *leader) recordSuperseded(s, successor host.Session) {
	l.recordLost(s, endedSession{session: s, successor: successor, successorOnly: l.m.now.Add(timing.Lease + timing.Margin)})
}

func (l *leader) recordLost(s host.Session, e endedSession) {
	if l.hasEnded(s) {
		return
	}
	l.m.note("session %s is recorded as lost", s)
	l.ended[s] = e
	for i, other := range l.sessions {
		if other == s {
			l.sessions = append(l.sessions[:i:i], l.sessions[i+1:]...)
			return
		}
	}
}

func (l *leader) step() {
	l.recordLosses()
	for id := range key.SliceID(sliceCount) {
		l.assignSlice(id)
	}
}

// recordLosses records sessions as lost after their lease and the margin.
func (l *leader) recordLosses() {
	m := l.m
	for _, w := range l.watched {
		if !m.now.Before(w.leaseEnd.Add(timing.Margin)) {
			l.recordLost(w.session, endedSession{})
		}
	}
	for _, h := range m.hosts {
		d := h.daemon
		over := d.alive && !m.now.Before(h.leaseEnd.Add(timing.Margin))
		if over && !l.hasEnded(d.self) && m.rng.IntN(stepsPerTakeover) == 0 {
			l.recordLost(d.self, endedSession{})
			h.replaceLost(d)
		}
	}
}

// assignSlice makes at most one change to a slice.
func (l *leader) assignSlice(id key.SliceID) {
	m := l.m
	o, _ := l.pack.At(id)
	ended, isEnded := l.ended[o.Owner]
	handingOver := !o.Next.IsZero()
	switch {
	case o.Epoch == 0 || isEnded:
		l.takeOver(id, o, ended)
	case handingOver && l.hasEnded(o.Next), handingOver && m.chance(stepsPerWithdrawal):
		o.Next = host.NoSession
		l.write(id, o)
	case !handingOver && m.chance(stepsPerMove):
		o.Next = l.anySession()
		if o.Next != o.Owner {
			l.write(id, o)
		}
	}
}

// takeOver assigns a slice whose owner's session has ended.
func (l *leader) takeOver(id key.SliceID, o assignment.Ownership, ended endedSession) {
	m := l.m
	if len(l.sessions) == 0 || m.rng.IntN(stepsPerTakeover) != 0 {
		return
	}
	next := l.heir(ended)
	if !next.IsZero() && !l.hasEnded(next) {
		l.write(id, assignment.Ownership{Owner: next, Epoch: o.Epoch + 1})
	}
}

// heir returns the next owner of a slice whose owner's session has ended, nobody
// if it must wait. As long as the target may hold it, that is the successor, if its
// target is the instance that the ended session had granted all of its slices.
func (l *leader) heir(ended endedSession) host.Session {
	if !l.m.now.Before(ended.successorOnly) {
		return l.anySession()
	}
	if i, known := l.targets[ended.successor]; !known || i != l.targets[ended.session] {
		return host.NoSession
	}
	lostAt := ended.successorOnly.Add(-timing.Lease - timing.Margin)
	if at, replaced := l.replacedAt[ended.session]; replaced && lostAt.Sub(at) < timing.Lease+timing.Margin {
		return host.NoSession
	}
	return ended.successor
}

// anySession returns a session that has not ended, nobody if there is none.
func (l *leader) anySession() host.Session {
	if len(l.sessions) == 0 {
		return host.NoSession
	}
	return l.sessions[l.m.rng.IntN(len(l.sessions))]
}

// releaseReceived assigns a slice that its owner has released.
func (l *leader) releaseReceived(r handover.Release) {
	o, _ := l.pack.At(r.ID)
	if o.Owner != r.From || o.Epoch != r.Epoch {
		return
	}
	next := o.Next
	if next.IsZero() || l.hasEnded(next) {
		next = l.anySession()
	}
	if next.IsZero() {
		return
	}
	l.m.stats.handovers++
	l.write(r.ID, assignment.Ownership{Owner: next, Epoch: o.Epoch + 1})
}

// write writes the next version of the pack. Each daemon learns of it later.
func (l *leader) write(id key.SliceID, o assignment.Ownership) {
	m := l.m
	m.note("pack %d: slice %d epoch %d owner %s next %s", l.version+1, id, o.Epoch, o.Owner, o.Next)
	l.pack = l.pack.Clone()
	l.pack.Set(id, o)
	l.version++
	pack, version := l.pack, l.version
	for _, h := range m.hosts {
		d := h.daemon
		m.after(m.between(0, newsDelay), func() { d.observe(pack, version) })
	}
}
