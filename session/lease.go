package session

import (
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

// roundWindow is the number of latest rounds whose replies are still accepted.
const roundWindow = 16

// witnessState is the state of the lease with one witness.
type witnessState struct {
	until        mono.Time // End of the lease that it granted.
	lastGranted  uint64    // Round of its last grant, or the round before it was first asked.
	lastReply    uint64    // Latest round that it answered.
	sealed       uint64    // Highest generation that it has promised never to renew.
	ended        bool      // It replied that the session has ended.
	wrongSession bool      // Its daemon runs under another session.
}

// witnessSet is a set of witnesses of which a majority must grant the lease.
type witnessSet struct {
	generation uint64
	witnesses  []host.Session
	storeUntil mono.Time // End of the lease in the store; used if there are no witnesses.
}

// lease tracks the grants of all witnesses that are asked. All instants are on
// the holder's clock: a grant counts from when its renewal was sent.
type lease struct {
	length       time.Duration
	seq          uint64
	sentAt       [roundWindow]mono.Time
	grants       map[host.Session]*witnessState
	staleReplies uint64 // Replies dropped as old, repeated or unsolicited.
}

func newLease(length time.Duration) lease {
	return lease{length: length, grants: make(map[host.Session]*witnessState)}
}

// startRound starts a round of renewals and drops the grants of witnesses that
// are not in asked.
func (l *lease) startRound(now mono.Time, asked []host.Session) {
	l.seq++
	l.sentAt[l.seq%roundWindow] = now
	for s := range l.grants {
		if !contains(asked, s) {
			delete(l.grants, s)
		}
	}
	for _, s := range asked {
		if l.grants[s] == nil {
			l.grants[s] = &witnessState{until: mono.Never, lastGranted: l.seq - 1}
		}
	}
}

// recordReply applies a reply to a renewal. It drops the reply and returns false
// if the witness was not asked, if it has answered this or a later round
// already, or if the round is not among the latest roundWindow ones.
func (l *lease) recordReply(m RenewResponse) bool {
	g := l.grants[m.Witness]
	if g == nil || m.Seq <= g.lastReply || m.Seq > l.seq || m.Seq+roundWindow <= l.seq {
		l.staleReplies++
		return false
	}
	g.lastReply = m.Seq
	g.sealed = max(g.sealed, m.Sealed)
	switch m.Reply {
	case Granted:
		g.until = max(g.until, l.sentAt[m.Seq%roundWindow].Add(l.length))
		g.lastGranted = m.Seq
	case Ended:
		g.ended = true
	case WrongSession:
		g.wrongSession = true
	}
	return true
}

// until returns the instant up to which a majority of the set has granted the
// lease, or the end of the lease in the store if the set is empty.
func (l *lease) until(s *witnessSet) mono.Time {
	if len(s.witnesses) == 0 {
		return s.storeUntil
	}
	ends := make([]mono.Time, 0, WitnessCount)
	for _, w := range s.witnesses {
		ends = append(ends, l.untilByWitness(w, s.generation))
	}
	slices.Sort(ends)
	return ends[len(ends)-Majority(len(ends))]
}

// untilByWitness returns the end of the lease that a witness granted for a
// generation: mono.Never if it was not asked, has sealed the generation or
// refuses to renew.
func (l *lease) untilByWitness(w host.Session, generation uint64) mono.Time {
	g := l.grants[w]
	if g == nil || g.sealed >= generation || g.ended || g.wrongSession {
		return mono.Never
	}
	return g.until
}

// needsReplacement reports whether a witness of a set must be replaced, or asked
// again under a new generation because it sealed this one.
func (l *lease) needsReplacement(w host.Session, generation uint64, silentRounds uint64) bool {
	g := l.grants[w]
	if g == nil {
		return false
	}
	return g.sealed >= generation || l.unusable(w, silentRounds)
}

// unusable reports whether a witness cannot serve under any generation: it
// refuses to renew, or has granted nothing for more than silentRounds rounds.
func (l *lease) unusable(w host.Session, silentRounds uint64) bool {
	g := l.grants[w]
	return g != nil && (g.ended || g.wrongSession || l.seq-g.lastGranted > silentRounds)
}
