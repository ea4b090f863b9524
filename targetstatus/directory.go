package targetstatus

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

// retention is how long a reported status is kept without another report. It
// outlasts the restart of the daemon beside the target.
const retention = 10 * time.Minute

// Directory holds what the daemons beside other targets reported of them. It has
// an entry for each host whose target has a status. The zero Directory is empty.
// It is not safe for concurrent use.
type Directory struct {
	byHost map[host.ID]*directoryEntry
}

// directoryEntry is the last report of a host.
type directoryEntry struct {
	report Report
	at     mono.Time
	// known is the session that knows the status: it reported it, or was told.
	known host.Session
}

// Learn records a report of the daemon beside a target.
func (d *Directory) Learn(now mono.Time, from host.Session, r Report) {
	if from.Host != r.Host {
		return
	}
	if r.status().IsZero() {
		delete(d.byHost, r.Host)
		return
	}
	if d.byHost == nil {
		d.byHost = make(map[host.ID]*directoryEntry)
	}
	d.byHost[r.Host] = &directoryEntry{report: r, at: now, known: from}
}

// Untold returns what a session has to be told of the target beside it: the status
// that an earlier session of its host reported. Call Told when it is sent.
func (d *Directory) Untold(to host.Session) (Report, bool) {
	e := d.byHost[to.Host]
	if e == nil || e.known == to {
		return Report{}, false
	}
	return e.report, true
}

// Told records that a session was told the status of the target beside it.
func (d *Directory) Told(to host.Session) {
	if e := d.byHost[to.Host]; e != nil {
		e.known = to
	}
}

// Forget makes Untold return again what was told over a connection that was lost:
// the message may be lost with it.
func (d *Directory) Forget(to host.Session) {
	if e := d.byHost[to.Host]; e != nil && e.known == to {
		e.known = host.NoSession
	}
}

// Leaving reports whether an instance of a host's target is about to end.
func (d *Directory) Leaving(on host.ID, instance uint64) bool {
	e := d.byHost[on]
	return e != nil && e.report.Leaving && e.report.Instance == instance
}

// Expire drops the entries that were not reported for long.
func (d *Directory) Expire(now mono.Time) {
	for name, e := range d.byHost {
		if now.Sub(e.at) > retention {
			delete(d.byHost, name)
		}
	}
}
