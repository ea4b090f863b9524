package ownermodel

import (
	"fmt"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// Mean times between failures of one host, in steps.
const (
	stepsPerTargetCrash = 250
	stepsPerDaemonCrash = 1000
	stepsPerLeaseLapse  = 1000
	stepsPerLostRun     = 200
	stepsPerHigherEpoch = 500
	stepsPerOverlap     = 600
	stepsPerRun         = 4
)

const (
	renewInterval = 500 * time.Millisecond
	// darkTime is how long most targets are dark: shorter than their runs'
	// deadlines.
	darkTime     = 600 * time.Millisecond
	longDarkTime = 3 * time.Second
	// daemonGap is how long most daemons are gone: shorter than what they granted.
	daemonGap     = 400 * time.Millisecond
	longDaemonGap = 1500 * time.Millisecond
	lapseTime     = 4 * time.Second
	// overlapTime is how long an instance runs on at most after it has closed its
	// listener: longer than a grant.
	overlapTime = 2400 * time.Millisecond
)

// hostModel is one host with its target and its daemon.
type hostModel struct {
	m           *model
	index       int
	id          host.ID
	target      *instance
	lingering   []*instance // They have closed their listener and run on.
	daemon      *daemon
	incarnation uint64
	// The lease of the daemon's session. It is not renewed until cutUntil.
	leaseEnd  mono.Time
	nextRenew mono.Time
	cutUntil  mono.Time
}

// disturb causes the failures of one step.
func (m *model) disturb() {
	for _, h := range m.hosts {
		if h.target.alive && m.chance(stepsPerTargetCrash) {
			h.crashTarget()
		}
		if h.target.listens() && m.chance(stepsPerOverlap) {
			h.closeListener()
		}
		if h.daemon.alive && m.chance(stepsPerDaemonCrash) {
			h.crashDaemon()
		}
		if m.chance(stepsPerLeaseLapse) {
			h.cutUntil = m.now.Add(m.between(0, lapseTime))
		}
		if m.chance(stepsPerLostRun) {
			h.target.loseConnection()
		}
		if m.chance(stepsPerHigherEpoch) {
			h.target.seeHigherEpoch()
		}
	}
}

func (h *hostModel) step() {
	m := h.m
	h.renew()
	h.target.step()
	for _, i := range h.lingering {
		i.step()
	}
	if h.daemon.alive {
		h.daemon.step()
	}
	if m.rng.IntN(stepsPerRun) == 0 {
		h.daemon.startRun(slice(key.SliceID(m.rng.IntN(sliceCount))))
	}
}

func (h *hostModel) renew() {
	m := h.m
	lost := m.leader.hasEnded(h.daemon.self)
	if !h.daemon.alive || lost || m.now.Before(h.cutUntil) || m.now.Before(h.nextRenew) {
		return
	}
	h.leaseEnd = m.now.Add(timing.Lease)
	h.nextRenew = m.now.Add(renewInterval)
}

// startTarget starts another instance, mostly at the same address, and under the
// same or another name.
func (h *hostModel) startTarget() {
	m := h.m
	if h.target != nil && h.target.listens() {
		return
	}
	earlier := h.target
	if earlier != nil && earlier.alive {
		h.lingering = append(h.lingering, earlier)
	}
	h.target = newInstance(h)
	if earlier != nil && !m.chance(3) {
		h.target.address = earlier.address
	}
	m.note("%s: %s starts at %s", h.id, h.target, h.target.address)
	if earlier != nil && m.chance(3) {
		target := h.target
		m.after(m.between(0, darkTime), func() {
			if !m.quiet && h.target == target && target.alive {
				h.crashTarget()
			}
		})
	}
}

// crashTarget ends the instance. It comes back after a while.
func (h *hostModel) crashTarget() {
	m := h.m
	h.target.crash()
	dark := m.between(10*time.Millisecond, darkTime)
	if m.chance(6) {
		dark = m.between(darkTime, longDarkTime)
	}
	m.note("%s: %s crashes, dark for %v", h.id, h.target, dark)
	m.after(dark, h.startTarget)
}

// closeListener makes the instance refuse connections while it runs on. The next one
// starts beside it.
func (h *hostModel) closeListener() {
	m := h.m
	m.stats.overlaps++
	i := h.target
	i.listenerClosed = true
	m.note("%s: %s closes its listener", h.id, i)
	m.after(m.between(0, overlapTime), func() {
		if i.alive {
			m.note("%s: %s exits", h.id, i)
			i.crash()
		}
	})
	m.after(m.between(0, darkTime), h.startTarget)
}

// startDaemon starts a session. Where it supersedes the earlier one, that is
// recorded as lost at once.
func (h *hostModel) startDaemon(supersedes bool) {
	m := h.m
	if h.daemon != nil && h.daemon.alive {
		return
	}
	earlier := h.daemon
	h.incarnation++
	m.stats.sessions++
	h.daemon = newDaemon(h, host.Session{Host: h.id, Incarnation: h.incarnation})
	h.leaseEnd, h.nextRenew, h.cutUntil = mono.Never, m.now, mono.Never
	h.renew()
	m.note("%s: session %s starts, supersedes %v", h.id, h.daemon.self, supersedes)
	if supersedes {
		m.leader.recordSuperseded(earlier.self, h.daemon.self)
	}
	h.daemon.readPack()
}

// crashDaemon ends the daemon. Its successor is the host's next session, beside
// the same instance of the target or another one.
func (h *hostModel) crashDaemon() {
	m := h.m
	h.daemon.alive = false
	m.note("%s: daemon %s crashes", h.id, h.daemon.self)
	supersedes := m.rng.IntN(2) == 0
	m.leader.watch(h, h.daemon.self)
	gap := m.between(10*time.Millisecond, daemonGap)
	if m.chance(4) {
		gap = m.between(daemonGap, longDaemonGap)
	}
	m.after(gap, func() { h.startDaemon(supersedes) })
}

// replaceLost replaces a daemon whose session was recorded as lost.
func (h *hostModel) replaceLost(lost *daemon) {
	m := h.m
	m.after(m.between(0, darkTime), func() {
		lost.endSession()
		m.after(m.between(0, darkTime), func() {
			if h.daemon == lost && lost.alive {
				lost.alive = false
				h.startDaemon(false)
			}
		})
	})
}

// recover starts what is down, and renews the lease again. Refusals for a higher
// epoch that nobody had count as failures: they end too.
func (h *hostModel) recover() {
	h.cutUntil = mono.Never
	if h.target.listenerClosed {
		h.target.crash()
	}
	h.startTarget()
	h.target.forgetHigherEpochs()
	if !h.daemon.alive {
		h.startDaemon(false)
	}
	h.renew()
}

// serves reports whether requests for a slice run on this host.
func (h *hostModel) serves(s key.Slice) bool {
	d := h.daemon
	return d.alive && d.admits(s) && d.target != nil && d.target.instance == h.target && h.target.holdsSlice(s.ID)
}

func (i *instance) String() string {
	return fmt.Sprintf("instance %d", i.number)
}
