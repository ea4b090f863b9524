package daemon

import (
	"github.com/rhubarbring/rhubarbring/grant"
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/targetinstance"
)

// HandleAnnouncement is Announce for targets that identify their instance, one
// run of the target process, and whose announcements may arrive late. A stale
// announcement has no effect. The report says what the target holds of the slices
// that it is granted with heartbeats; the answer, what it is to hold.
func (d *Daemon) HandleAnnouncement(a control.Announcement, report grant.Report) (grant.HeartbeatAnswer, error) {
	d.announceMu.Lock()
	defer d.announceMu.Unlock()
	a, ok := d.process.observeAnnouncement(a)
	if !ok {
		return grant.HeartbeatAnswer{}, nil
	}
	if _, err := d.Announce(a); err != nil {
		return grant.HeartbeatAnswer{}, err
	}
	return queryRouting(d, func(r *routingLoop, now mono.Time) grant.HeartbeatAnswer { return r.answerHeartbeat(now, report) })
}

// instanceNumber returns the number of the instance that an announcement names.
// Every daemon derives the same number from the same instance.
func instanceNumber(a control.Announcement) uint64 {
	return key.Hash(a.InstanceName) ^ uint64(a.StartedMs)
}

// TargetLeaving reports that an instance of the target is about to end. It gets
// no more work, and its slices move to other daemons, as if it had announced
// that it is draining. That holds for the next sessions of the process as well,
// also if this one is over. A late report of an earlier instance is refused.
func (d *Daemon) TargetLeaving(departure targetinstance.Departure) error {
	d.announceMu.Lock()
	defer d.announceMu.Unlock()
	a, ok := d.process.markLeaving(departure)
	if !ok {
		return &result.Error{Code: result.TargetUnavailable, Field: departure.ID, Detail: "this instance of the target is not the current one"}
	}
	_, err := d.Announce(a)
	return err
}
