package targetstatus

import (
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

// maxReported bounds the instances of which reports are kept until one of them
// announces itself.
const maxReported = 4

// Local is the status of the target beside this daemon. The zero Local knows of no
// instance. It is not safe for concurrent use.
type Local struct {
	instance uint64
	status   Status
	// heard reports that the instance itself has told this daemon whether it has a
	// limit, so that reports of other daemons no longer count for it.
	heard bool
	// leavingReported reports that another daemon knew before that the instance is
	// about to end.
	leavingReported bool
	// limitHeardAt is when the instance last named a limit.
	limitHeardAt mono.Time
	// revision counts the changes of the status.
	revision uint64
	// reported holds what other daemons reported of instances that have not
	// announced themselves here.
	reported map[uint64]Status
}

// LeavingReported reports whether the current instance is leaving and another daemon
// knew of it before this one.
func (l *Local) LeavingReported() bool {
	return l.leavingReported
}

// Status returns the status of the current instance.
func (l *Local) Status() Status {
	return l.status
}

// Revision changes with each change of the status. It is 0 as long as there is
// nothing to tell.
func (l *Local) Revision() uint64 {
	return l.revision
}

// Report returns the status as a report.
func (l *Local) Report(self host.ID) Report {
	return Report{Host: self, Instance: l.instance, RateLimit: l.status.RateLimit, Leaving: l.status.Leaving, UsableSlots: -1}
}

// Begin makes an instance the current one. Its status is what other daemons have
// reported of it, if anything.
func (l *Local) Begin(instance uint64) {
	status := l.reported[instance]
	l.reported = nil
	l.instance, l.heard, l.leavingReported = instance, false, status.Leaving
	l.set(status)
}

// Heard handles what an answer of an instance says, and reports whether the status
// of the current one changed. RequestedAt is when the request was sent: an answer
// to one that was sent before the limit was last named does not end the limit,
// since it may be older.
func (l *Local) Heard(now, requestedAt mono.Time, instance uint64, s Statement) bool {
	if instance != l.instance {
		return false
	}
	next := Status{RateLimit: s.limit(l.status.RateLimit), Leaving: l.status.Leaving || s.Leaving}
	if next.RateLimit == 0 && l.heard && requestedAt.Before(l.limitHeardAt) {
		next.RateLimit = l.status.RateLimit
	}
	if s.LimitNamed {
		l.limitHeardAt = now
	}
	l.heard = l.heard || s.LimitNamed || s.Conclusive
	return l.set(next)
}

// Reported handles what another daemon reports of the target beside this one, and
// reports whether that changes what is known of the current instance. The instance's own
// answers count for more; of several reports the lowest limit counts.
func (l *Local) Reported(r Report) bool {
	status := r.status()
	if r.Instance == 0 {
		return false // Instances without a number can't be told apart.
	}
	if r.Instance != l.instance {
		l.keepReported(r.Instance, status)
		return false
	}
	next := l.merge(l.status, status)
	if l.heard {
		next.RateLimit = l.status.RateLimit
	}
	first := next.Leaving && status.Leaving && !l.leavingReported
	l.leavingReported = l.leavingReported || first
	return l.set(next) || first
}

// keepReported keeps the status of an instance that may announce itself soon.
func (l *Local) keepReported(instance uint64, status Status) {
	known, ok := l.reported[instance]
	if status.IsZero() || !ok && len(l.reported) >= maxReported {
		return
	}
	if l.reported == nil {
		l.reported = make(map[uint64]Status)
	}
	l.reported[instance] = l.merge(known, status)
}

// merge returns the stricter of two statuses.
func (l *Local) merge(a, b Status) Status {
	limit := min(a.RateLimit, b.RateLimit)
	if limit == 0 {
		limit = max(a.RateLimit, b.RateLimit)
	}
	return Status{RateLimit: limit, Leaving: a.Leaving || b.Leaving}
}

func (l *Local) set(status Status) bool {
	if status == l.status {
		return false
	}
	l.status = status
	l.revision++
	return true
}
