package daemon

import (
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/session"
)

// Announce implements control.Daemon.
func (d *Daemon) Announce(a control.Announcement) (string, error) {
	if !d.routing.ring.Push(announced{a}) {
		return "", &result.Error{Code: result.RingFull, Detail: "the daemon is overloaded"}
	}
	t := session.Target{App: key.App(a.App), Address: a.Address, Slots: a.Slots, Connections: a.Connections, ChecksGrants: a.ChecksGrants}
	if old := d.announced.Load(); old == nil || *old != t {
		d.announced.Store(&t)
		d.lease.wait(targetChanged{target: &t})
	}
	return d.self.String(), nil
}

// Ready implements control.Daemon.
func (d *Daemon) Ready() error {
	switch {
	case d.stopping.Load():
		return &result.Error{Code: result.Draining, Detail: "a planned stop is under way"}
	case d.fleet.document.Load() == nil:
		return &result.Error{Code: result.NotConfigured, Detail: "no document is in force yet"}
	case d.lease.recorded.Load() == nil:
		return &result.Error{Code: result.LeaseLapsed, Detail: "the session is not recorded yet"}
	case !d.routing.ready.Load():
		return &result.Error{Code: result.NoOwner, Detail: "slices without an owner"}
	}
	return nil
}

// Status implements control.Daemon.
func (d *Daemon) Status() any {
	return d.self
}

// Explain implements control.Daemon.
func (d *Daemon) Explain(app, k string) (any, error) {
	return nil, &result.Error{Code: result.UnknownApp, Field: app + "/" + k}
}
