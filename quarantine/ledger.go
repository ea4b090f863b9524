package quarantine

import (
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
)

const (
	// certainCrashes is the number of crashes after which a request is
	// quarantined. A request that is the only one of a crash with an earlier crash
	// is quarantined after soleSuspectCrashes.
	certainCrashes     = 3
	soleSuspectCrashes = 2
	// suspicionTime is how long a request that has not been quarantined counts as
	// a suspect after its last crash.
	suspicionTime = 10 * time.Minute
	// firstQuarantine is the length of a request's first quarantine. Each crash
	// after it doubles the next one, up to maxQuarantine.
	firstQuarantine = 10 * time.Minute
	maxQuarantine   = 24 * time.Hour
	// maxSuspects bounds the requests that are tracked. Beyond it the one whose
	// last crash is the longest ago is forgotten.
	maxSuspects = 4096
)

// Ledger counts the crashes of each request and decides which requests are not
// run. It is not safe for concurrent use.
type Ledger struct {
	suspects map[Fingerprint]*suspect
	// counted holds the instances whose crash is counted, by the time at which it was.
	counted map[uint64]mono.Time
}

// suspect is a request that was running when targets ended.
type suspect struct {
	crashes int
	last    mono.Time
	// heldUntil is the end of the quarantine; 0 if there was none.
	heldUntil mono.Time
	// length is that of the last quarantine.
	length time.Duration
}

// NewLedger returns a Ledger without crashes.
func NewLedger() *Ledger {
	return &Ledger{suspects: make(map[Fingerprint]*suspect), counted: make(map[uint64]mono.Time)}
}

// Record counts a crash, once for each instance, and returns the requests that it
// puts into quarantine.
func (l *Ledger) Record(now mono.Time, c Crash) []Fingerprint {
	if _, known := l.counted[c.Instance]; known {
		return nil
	}
	l.forget(now)
	l.counted[c.Instance] = now
	for _, f := range c.Requests {
		s := l.suspects[f]
		if s == nil {
			s = &suspect{}
			l.suspects[f] = s
		}
		s.crashes++
		s.last = now
	}
	return l.hold(now, c)
}

// hold puts the requests of a crash into quarantine that have crashed enough
// targets, and returns them.
func (l *Ledger) hold(now mono.Time, c Crash) []Fingerprint {
	var repeated []Fingerprint
	for _, f := range c.Requests {
		if l.suspects[f].crashes >= soleSuspectCrashes {
			repeated = append(repeated, f)
		}
	}
	var held []Fingerprint
	for _, f := range repeated {
		s := l.suspects[f]
		if s.crashes >= certainCrashes || len(repeated) == 1 {
			s.hold(now)
			held = append(held, f)
		}
	}
	return held
}

// hold starts a quarantine. One that is still running when another crash becomes
// known was evaded by a run that had started before; it is not doubled.
func (s *suspect) hold(now mono.Time) {
	if now.Before(s.heldUntil) {
		return
	}
	s.length = min(max(2*s.length, firstQuarantine), maxQuarantine)
	s.heldUntil = now.Add(s.length)
}

// Check reports whether a request is in quarantine, and for how much longer.
func (l *Ledger) Check(now mono.Time, r *request.Request) (time.Duration, bool) {
	if len(l.suspects) == 0 {
		return 0, false
	}
	s := l.suspects[Of(r)]
	if s == nil || !now.Before(s.heldUntil) {
		return 0, false
	}
	return s.heldUntil.Sub(now), true
}

// Held returns the number of requests in quarantine.
func (l *Ledger) Held(now mono.Time) int {
	n := 0
	for _, s := range l.suspects {
		if now.Before(s.heldUntil) {
			n++
		}
	}
	return n
}

// forget removes suspects whose suspicion has ended. A request that was in
// quarantine stays a suspect for as long again as its quarantine lasted.
func (l *Ledger) forget(now mono.Time) {
	for f, s := range l.suspects {
		if now.Sub(max(s.last, s.heldUntil)) > max(suspicionTime, s.length) {
			delete(l.suspects, f)
		}
	}
	for instance, at := range l.counted {
		if now.Sub(at) > maxQuarantine {
			delete(l.counted, instance)
		}
	}
	for len(l.suspects) > maxSuspects {
		delete(l.suspects, l.oldest())
	}
}

// oldest returns the suspect whose last crash is the longest ago.
func (l *Ledger) oldest() Fingerprint {
	var oldest Fingerprint
	at := mono.Never
	first := true
	for f, s := range l.suspects {
		if first || s.last < at || s.last == at && slices.Compare(f[:], oldest[:]) < 0 {
			oldest, at, first = f, s.last, false
		}
	}
	return oldest
}
