package daemon

import (
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/targetlife"
)

// TakeAnnouncement is Announce for targets that name their life, and whose
// announcements may arrive late. A stale one changes nothing.
func (d *Daemon) TakeAnnouncement(a control.Announcement) error {
	d.lifeMu.Lock()
	defer d.lifeMu.Unlock()
	claim := targetlife.Claim{ID: a.Name, StartedMs: a.StartedMs, Sequence: a.Sequence}
	if d.life.Take(bootclock.Now(), claim) == targetlife.Stale {
		return nil
	}
	if d.life.Leaving() {
		a.State = control.StateDraining
	}
	a.Instance = instanceOf(a)
	d.lastAnnounced = a
	_, err := d.Announce(a)
	return err
}

// instanceOf numbers a life. It is the same for each daemon that hears of it.
func instanceOf(a control.Announcement) uint64 {
	return key.Hash(a.Name) ^ uint64(a.StartedMs)
}

// TargetLeaves says that the target of a name is about to end. It gets no more
// work, and its slices go to others, as if it had announced that it drains.
func (d *Daemon) TargetLeaves(name string) error {
	d.lifeMu.Lock()
	defer d.lifeMu.Unlock()
	if !d.life.Leave(name) {
		return &result.Error{Code: result.TargetUnavailable, Field: name, Detail: "no target of this name is known"}
	}
	d.lastAnnounced.State = control.StateDraining
	_, err := d.Announce(d.lastAnnounced)
	return err
}
