package session

import (
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

// roundWindow is how many rounds of renewals can still be answered.
const roundWindow = 16

// grant is what one witness granted to the session.
type grant struct {
	until    mono.Time // End of the lease by this witness.
	lastGranted  uint64    // Sequence of its last grant, or the one before it was first asked.
	lastReply      uint64    // Highest sequence answered.
	sealed   uint64    // Highest generation it will not renew.
	ended    bool      // It says that the session is lost or left.
	wrongSession bool      // The daemon there is another session by now.
}

// witnessSet is a set of witnesses that the session must satisfy.
type witnessSet struct {
	generation uint64
	witnesses  []host.Session
	storeUntil mono.Time // End of the lease in the store, if there are no witnesses.
}

// lease counts the grants of all witnesses that are asked. All instants are
// the holder's own: a grant counts from when its renewal was sent.
type lease struct {
	length time.Duration
	seq    uint64
	sentAt [roundWindow]mono.Time
	grants map[host.Session]*grant
	staleReplies  uint64 // Answers dropped as old, repeated or not asked for.
}

func newLease(length time.Duration) lease {
	return lease{length: length, grants: make(map[host.Session]*grant)}
}

// startRound begins a round of renewals and forgets witnesses not in asked.
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
			l.grants[s] = &grant{until: mono.Never, lastGranted: l.seq - 1}
		}
	}
}

// recordReply takes an answer. It reports false for one that is older than
// another of the same witness, or answers nothing that was asked.
func (l *lease) recordReply(m Renewed) bool {
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

// until returns the end of the lease by a set: the instant up to which a
// majority of its witnesses granted it.
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

func (l *lease) untilByWitness(w host.Session, generation uint64) mono.Time {
	g := l.grants[w]
	if g == nil || g.sealed >= generation || g.ended || g.wrongSession {
		return mono.Never
	}
	return g.until
}

// needsReplacement reports whether a witness of a set must be replaced, or asked
// under a new generation.
func (l *lease) needsReplacement(w host.Session, generation uint64, silentRounds uint64) bool {
	g := l.grants[w]
	if g == nil {
		return false
	}
	return g.sealed >= generation || l.unusable(w, silentRounds)
}

// unusable reports whether a witness can't serve under any generation.
func (l *lease) unusable(w host.Session, silentRounds uint64) bool {
	g := l.grants[w]
	return g != nil && (g.ended || g.wrongSession || l.seq-g.lastGranted > silentRounds)
}
