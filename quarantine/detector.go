package quarantine

import (
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
)

const (
	// lossRetention is how long a loss is kept while it is not known whether the
	// process ended. A target that has ended announces its next instance within a
	// few seconds.
	lossRetention = 5 * time.Second
	// maxLosses bounds the losses that are kept, and the requests of one Crash.
	maxLosses = 64
)

// Crash is the end of a target's process with the requests that it was running.
type Crash struct {
	// Instance identifies the process in the whole fleet.
	Instance uint64 `json:"instance"`
	// Requests are the requests that were lost with it.
	Requests []Fingerprint `json:"requests"`
	// Answered are those of them that a target has answered since then, so that they
	// are no suspects of this crash any more. Only a Report has them.
	Answered []Fingerprint `json:"answered,omitempty"`
}

// Detector observes the runs at one host's target and finds out which of them
// were lost with its process. It is not safe for concurrent use.
type Detector struct {
	losses []loss
	// last is the last crash. Runs of its instance may be lost after its end is
	// known.
	last Crash
}

// loss is a run whose connection broke before its answer.
type loss struct {
	at       mono.Time
	instance uint64
	request  Fingerprint
}

// NewDetector returns a Detector that has seen no runs.
func NewDetector() *Detector {
	return &Detector{}
}

// RunLost records that the connection of a run at an instance broke before the
// answer. The instance may have ended, or only the connection. If the instance is
// known to have ended, it returns its crash with this run.
func (d *Detector) RunLost(now mono.Time, instance uint64, f Fingerprint) (Crash, bool) {
	if instance == d.last.Instance && len(d.last.Requests) > 0 {
		added := d.addToLast(f)
		return d.last, added
	}
	d.losses = slices.DeleteFunc(d.losses, func(l loss) bool { return now.Sub(l.at) > lossRetention })
	if len(d.losses) == maxLosses {
		d.losses = slices.Delete(d.losses, 0, 1)
	}
	d.losses = append(d.losses, loss{at: now, instance: instance, request: f})
	return Crash{}, false
}

// addToLast adds a request to the last crash. It reports whether it was not in it.
func (d *Detector) addToLast(f Fingerprint) bool {
	if len(d.last.Requests) >= maxLosses || slices.Contains(d.last.Requests, f) {
		return false
	}
	d.last.Requests = append(slices.Clip(d.last.Requests), f)
	return true
}

// InstanceAlive handles the proof that an instance lived at the given time: what
// was lost before that was not lost with its process.
func (d *Detector) InstanceAlive(at mono.Time, instance uint64) {
	d.losses = slices.DeleteFunc(d.losses, func(l loss) bool { return l.instance == instance && l.at.Before(at) })
}

// HasLosses reports whether it is not known of some lost run whether it was lost
// with the instance.
func (d *Detector) HasLosses(instance uint64) bool {
	return slices.ContainsFunc(d.losses, func(l loss) bool { return l.instance == instance })
}

// InstanceEnded handles the proof that an instance has ended: nothing listens at
// its address any more, or another instance has announced itself. It returns the
// crash, and false if no run was lost with the instance or its end is known.
func (d *Detector) InstanceEnded(now mono.Time, instance uint64) (Crash, bool) {
	crash := Crash{Instance: instance}
	for _, l := range d.losses {
		if l.instance == instance && now.Sub(l.at) <= lossRetention && !slices.Contains(crash.Requests, l.request) {
			crash.Requests = append(crash.Requests, l.request)
		}
	}
	if len(crash.Requests) == 0 {
		return Crash{}, false
	}
	d.losses = slices.DeleteFunc(d.losses, func(l loss) bool { return l.instance == instance })
	d.last = crash
	return crash, true
}
