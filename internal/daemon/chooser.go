package daemon

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/session"
)

// chooser takes the gates of an app in turn, those of the own region first.
type chooser struct {
	fleet *fleet
	place host.Place
	self  host.Session
	turn  int
}

// Choose implements request.Chooser.
func (c *chooser) Choose(app key.App, _ mono.Time, _ time.Duration, _ int, not host.Session) (host.Session, result.Code) {
	var near, far []host.Session
	for s, v := range c.fleet.sessions.Load().records {
		if v.Record.State != session.Live || v.Record.Target == nil || v.Record.Target.App != app || s == not {
			continue
		}
		if v.Record.Place.Region == c.place.Region {
			near = append(near, s)
		} else {
			far = append(far, s)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return host.Nobody, result.TargetUnavailable
	}
	c.turn++
	return near[c.turn%len(near)], result.OK
}

// Sent implements request.Chooser.
func (c *chooser) Sent(host.Session, mono.Time) {}

// Ended implements request.Chooser.
func (c *chooser) Ended(host.Session, mono.Time, time.Duration, result.Code, int) {}
