package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
)

const (
	// certainCrashes is the number of crashes after which a request is
	// quarantined whatever else was lost with it. One that has more crashes than
	// every other request of its last crash is after soleSuspectCrashes.
	certainCrashes     = 5
	soleSuspectCrashes = 2
	// suspicionTime is how long a request that has not been quarantined counts as
	// a suspect after its last crash.
	suspicionTime = 10 * time.Minute
	// firstQuarantine is the length of a request's first quarantine. Each crash
	// after it doubles the next one, up to maxQuarantine.
	firstQuarantine = 10 * time.Minute
	maxQuarantine   = 24 * time.Hour
	// maxSuspects bounds the requests that are tracked, beside those in
	// quarantine. Beyond it the one whose last crash is the longest ago is forgotten.
	maxSuspects = 4096
)

// Ledger counts the crashes of each request and decides which requests are not
// run. It is not safe for concurrent use.
type Ledger struct {
	suspects map[Fingerprint]*suspect
	// counted holds what has been counted of each instance's crash.
	counted map[uint64]countedCrash
}

// countedCrash is how many of a crash's requests have been counted, and when the
// first of them were.
type countedCrash struct {
	requests int
	at       mono.Time
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
	return &Ledger{suspects: make(map[Fingerprint]*suspect), counted: make(map[uint64]countedCrash)}
}

// Record counts a crash, once for each of its requests that has not been answered
// since, and returns the requests that it puts into quarantine. A crash may be
// recorded again, also with further requests after the earlier ones.
func (l *Ledger) Record(now mono.Time, c Crash) []Fingerprint {
	known, ok := l.counted[c.Instance]
	if ok && known.requests >= len(c.Requests) {
		return nil
	}
	if !ok {
		known.at = now
	}
	l.Expire(now)
	for _, f := range c.Requests[known.requests:] {
		if !slices.Contains(c.Answered, f) {
			l.count(now, f)
		}
	}
	l.counted[c.Instance] = countedCrash{requests: len(c.Requests), at: known.at}
	return l.hold(now, c)
}

// count adds a crash to those of a request.
func (l *Ledger) count(now mono.Time, f Fingerprint) {
	s := l.suspects[f]
	if s == nil {
		s = &suspect{}
		l.suspects[f] = s
	}
	s.crashes++
	s.last = now
}

// Answered records that a target answered a request completely: it does not end
// its targets, so that it is no suspect any more. One that is in quarantine stays
// there.
func (l *Ledger) Answered(r *request.Request) {
	if f, ok := l.Suspect(r); ok {
		delete(l.suspects, f)
	}
}

// Suspect returns the fingerprint of a request that is a suspect and not in
// quarantine, and false for any other.
func (l *Ledger) Suspect(r *request.Request) (Fingerprint, bool) {
	if len(l.suspects) == 0 {
		return Fingerprint{}, false
	}
	f := Of(r)
	s := l.suspects[f]
	return f, s != nil && s.heldUntil == 0
}

// hold puts the requests of a crash into quarantine that have crashed enough
// targets, and returns them.
func (l *Ledger) hold(now mono.Time, c Crash) []Fingerprint {
	most, withMost := l.mostCrashes(c)
	var held []Fingerprint
	for _, f := range c.Requests {
		s := l.suspects[f]
		if s == nil || now.Before(s.heldUntil) {
			continue
		}
		sole := s.crashes == most && withMost == 1 && most >= soleSuspectCrashes
		if sole || s.crashes >= certainCrashes {
			s.hold(now)
			held = append(held, f)
		}
	}
	return held
}

// mostCrashes returns the largest number of crashes of a crash's requests, and how
// many of them have it.
func (l *Ledger) mostCrashes(c Crash) (most, withMost int) {
	for _, f := range c.Requests {
		s := l.suspects[f]
		switch {
		case s == nil || s.crashes < most:
		case s.crashes == most:
			withMost++
		default:
			most, withMost = s.crashes, 1
		}
	}
	return most, withMost
}

// hold starts a quarantine.
func (s *suspect) hold(now mono.Time) {
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

// Expire removes suspects whose suspicion has ended, and the oldest ones if there
// are too many. A request that was in quarantine stays a suspect for as long
// again as its quarantine lasted. One that is in quarantine is never removed.
func (l *Ledger) Expire(now mono.Time) {
	var free []Fingerprint
	for f, s := range l.suspects {
		switch {
		case now.Sub(max(s.last, s.heldUntil)) > max(suspicionTime, s.length):
			delete(l.suspects, f)
		case !now.Before(s.heldUntil):
			free = append(free, f)
		}
	}
	for instance, c := range l.counted {
		if now.Sub(c.at) > maxQuarantine {
			delete(l.counted, instance)
		}
	}
	excess := len(l.suspects) - maxSuspects
	if excess <= 0 {
		return
	}
	slices.SortFunc(free, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(l.suspects[a].last, l.suspects[b].last), bytes.Compare(a[:], b[:]))
	})
	for _, f := range free[:min(excess, len(free))] {
		delete(l.suspects, f)
	}
}
