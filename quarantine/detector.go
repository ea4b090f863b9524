package quarantine

import (
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
)

const (
	// crashSpan is the longest time between the losses of the runs that end with
	// one process.
	crashSpan = 500 * time.Millisecond
	// lossRetention is how long a loss is kept while it is not known whether the
	// process ended. A target that has ended announces its next instance within a
	// few seconds.
	lossRetention = 10 * time.Second
	// maxLosses bounds the losses that are kept, and the requests of one Crash.
	maxLosses = 64
	// maxCompleted bounds the fingerprints of runs that were answered.
	maxCompleted = 2048
)

// Crash is the end of a target's process with the requests that it was running.
type Crash struct {
	// Instance identifies the process in the whole fleet.
	Instance uint64 `json:"instance"`
	// Requests are the requests that were lost with it and have not been answered
	// by a target of this host lately.
	Requests []Fingerprint `json:"requests"`
}

// Detector observes the runs at one host's target and finds out which of them
// were lost with its process. It is not safe for concurrent use.
type Detector struct {
	losses []loss
	// ended is the last instance whose end has been reported.
	ended     uint64
	completed map[Fingerprint]bool
	// completedOrder holds the fingerprints of completed in a ring; next is its
	// oldest entry once it is full.
	completedOrder []Fingerprint
	next           int
}

// loss is a run whose connection broke before its answer.
type loss struct {
	at       mono.Time
	instance uint64
	request  Fingerprint
}

// NewDetector returns a Detector that has seen no runs.
func NewDetector() *Detector {
	return &Detector{completed: make(map[Fingerprint]bool)}
}

// RunAnswered records that a target answered a request: it does not end targets.
func (d *Detector) RunAnswered(f Fingerprint) {
	if d.completed[f] {
		return
	}
	d.completed[f] = true
	if len(d.completedOrder) < maxCompleted {
		d.completedOrder = append(d.completedOrder, f)
		return
	}
	delete(d.completed, d.completedOrder[d.next])
	d.completedOrder[d.next] = f
	d.next = (d.next + 1) % maxCompleted
}

// RunLost records that the connection of a run at an instance broke before the
// answer. The instance may have ended, or only the connection.
func (d *Detector) RunLost(now mono.Time, instance uint64, f Fingerprint) {
	d.losses = slices.DeleteFunc(d.losses, func(l loss) bool { return now.Sub(l.at) > lossRetention })
	if len(d.losses) < maxLosses {
		d.losses = append(d.losses, loss{at: now, instance: instance, request: f})
	}
}

// InstanceEnded handles the proof that an instance has ended: nothing listens at
// its address any more, or another instance has announced itself. It returns the
// crash, and false if no run was lost with the instance or its end is known.
func (d *Detector) InstanceEnded(now mono.Time, instance uint64) (Crash, bool) {
	if instance == d.ended {
		return Crash{}, false
	}
	last := d.lastLoss(now, instance)
	if last == 0 {
		return Crash{}, false
	}
	d.ended = instance
	crash := Crash{Instance: instance}
	for _, l := range d.losses {
		if l.instance != instance || last.Sub(l.at) > crashSpan || d.completed[l.request] || slices.Contains(crash.Requests, l.request) {
			continue
		}
		crash.Requests = append(crash.Requests, l.request)
	}
	d.losses = slices.DeleteFunc(d.losses, func(l loss) bool { return l.instance == instance })
	return crash, len(crash.Requests) > 0
}

// lastLoss returns the time of the last loss at an instance, or 0.
func (d *Detector) lastLoss(now mono.Time, instance uint64) mono.Time {
	var last mono.Time
	for _, l := range d.losses {
		if l.instance == instance && now.Sub(l.at) <= lossRetention {
			last = max(last, l.at)
		}
	}
	return last
}
