package daemon

import (
	"time"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/quarantine"
	"github.com/rhubarbring/rhubarbring/result"
)

// crashReport is the report of this host's crashes in the store. Only the daemon
// of the host writes it; the daemons of all hosts read it.
type crashReport struct {
	report quarantine.Report
	// version is that of the object in the store; 0 if there is none.
	version uint64
	// writing is set while a write is under way, and changed if the report has
	// crashes or answers that no write had.
	writing bool
	changed bool
	// lastCrash is when the last crash was added, or when the report of the daemon
	// before this one was taken over.
	lastCrash mono.Time
}

// reportRetention is how long after the last crash a report keeps its crashes.
const reportRetention = time.Hour

func (c *crashReport) add(now mono.Time, crash quarantine.Crash) {
	c.report.Add(crash)
	c.changed = true
	c.lastCrash = now
}

// expire empties a report whose last crash was long ago, so that daemons which
// start later do not count its crashes.
func (c *crashReport) expire(now mono.Time) {
	if len(c.report.Crashes) > 0 && now.Sub(c.lastCrash) > reportRetention {
		c.report = quarantine.Report{}
		c.changed = true
	}
}

// crashReportObserved is the report of a host as the store has it.
type crashReportObserved struct {
	host    string
	report  quarantine.Report
	version uint64
}

// A daemon continues the report of the one before it on its host.
func (w crashReportObserved) handle(r *routingLoop, now mono.Time) {
	for _, c := range w.report.Crashes {
		r.recordCrash(now, c)
	}
	c := &r.crashReport
	if w.host != string(r.self.Host) || w.version <= c.version || c.writing {
		return
	}
	c.version = w.version
	c.report.Merge(w.report)
	c.lastCrash = now
}

// crashReportWritten is the store's answer to a write of the report.
type crashReportWritten struct{ answer storeAnswer }

func (w crashReportWritten) handle(r *routingLoop, _ mono.Time) {
	c := &r.crashReport
	c.writing = false
	switch w.answer.code {
	case result.OK:
		c.version = w.answer.object.Version
		r.writeCrashReport()
	case result.StoreConflict:
		c.changed = true
		r.readCrashReport()
	default:
		c.changed = true
	}
}

// writeCrashReport writes the report if it has changed and no write is under way.
// It is called after each crash, and every expiryInterval to repeat failed writes.
func (r *routingLoop) writeCrashReport() {
	c := &r.crashReport
	if !c.changed || c.writing {
		return
	}
	c.changed = false
	raw, err := c.report.Encode()
	if err != nil {
		r.log.Event(event.BadObject, "object", quarantine.ObjectKind+"/"+string(r.self.Host), "cause", err.Error())
		return
	}
	c.writing = true
	r.store.enqueue(storeCall{
		op: opPut, kind: quarantine.ObjectKind, name: string(r.self.Host), ifVersion: c.version, value: raw,
		done: func(a storeAnswer) { r.ring.PushWait(crashReportWritten{answer: a}, r.stop) },
	})
}

// crashReportRead is the report of this host, read after a conflict.
type crashReportRead struct{ answer storeAnswer }

// The report of the daemon before this one on its host is continued.
func (w crashReportRead) handle(r *routingLoop, now mono.Time) {
	c := &r.crashReport
	c.writing = false
	switch w.answer.code {
	case result.OK:
		c.version = w.answer.object.Version
		r.mergeCrashReport(now, w.answer.object.Value)
	case result.StoreNotFound:
		c.version = 0
	default:
		return // It is read again after the next conflict.
	}
	r.writeCrashReport()
}

// mergeCrashReport adds the crashes of the stored report to this daemon's.
func (r *routingLoop) mergeCrashReport(now mono.Time, raw []byte) {
	stored, err := quarantine.DecodeReport(raw)
	if err != nil {
		r.log.Event(event.BadObject, "object", quarantine.ObjectKind+"/"+string(r.self.Host), "cause", err.Error())
		return
	}
	for _, crash := range stored.Crashes {
		r.recordCrash(now, crash)
	}
	r.crashReport.report.Merge(stored)
}

func (r *routingLoop) readCrashReport() {
	r.crashReport.writing = true
	r.store.enqueue(storeCall{
		op: opGet, kind: quarantine.ObjectKind, name: string(r.self.Host),
		done: func(a storeAnswer) { r.ring.PushWait(crashReportRead{answer: a}, r.stop) },
	})
}
