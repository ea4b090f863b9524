package faulttest

import (
	"io"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/internal/daemon"
	"github.com/rhubarbring/rhubarbring/internal/eventlog"
	"github.com/rhubarbring/rhubarbring/internal/judge"
	"github.com/rhubarbring/rhubarbring/internal/settings"
	"github.com/rhubarbring/rhubarbring/status"
)

// node is a host: its daemon and the target beside it.
type node struct {
	f        *fleet
	settings settings.Daemon
	app      string
	target   *target

	mu      sync.Mutex
	daemon  *daemon.Daemon
	process *daemon.Process
	log     *eventlog.Log
	down    bool
	// exit is closed when the process must end. sessionEnded is true while the
	// daemon of an ended session is being replaced by that of a new one.
	exit         chan struct{}
	sessionEnded bool
	running      sync.WaitGroup
}

func (h *node) name() string { return string(h.settings.Host) }

// start starts the host's daemon, which runs one session after another until
// the process must end.
func (h *node) start() {
	h.mu.Lock()
	h.exit = make(chan struct{})
	h.down, h.sessionEnded = false, false
	h.process = daemon.NewProcess(&h.settings)
	exit := h.exit
	h.mu.Unlock()
	d := h.startSession()
	h.running.Go(func() { h.runSessions(d, exit) })
}

// startSession creates and starts a daemon for a new session.
func (h *node) startSession() *daemon.Daemon {
	registry := metrics.NewRegistry()
	log := eventlog.New(&h.f.log, event.Info, h.settings.Host, registry)
	d := daemon.New(h.process, log, registry, daemon.WithDial(h.f.net.dial(h.name())))
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := d.Start(); err != nil {
		h.f.t.Errorf("%s does not start: %v", h.name(), err)
	}
	h.daemon, h.log, h.sessionEnded = d, log, false
	return d
}

// runSessions starts a new session whenever the current one was recorded as
// lost, as the main function of rhubarbd does.
func (h *node) runSessions(d *daemon.Daemon, exit <-chan struct{}) {
	for {
		select {
		case <-exit:
			return
		case <-d.SessionEnded():
		}
		if !h.markSessionEnded() {
			return
		}
		d.StopAfterSessionEnd()
		d = h.startSession()
	}
}

// markSessionEnded records and reports whether the ended session is to be
// replaced, which is not the case for a host that is down.
func (h *node) markSessionEnded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sessionEnded = !h.down
	return h.sessionEnded
}

func (h *node) isDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down
}

func (h *node) currentDaemon() *daemon.Daemon {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.daemon
}

// markDown prevents further sessions and returns the current daemon. If an
// ended session is being replaced, it waits until the new one has started.
func (h *node) markDown() *daemon.Daemon {
	for {
		h.mu.Lock()
		if !h.sessionEnded {
			defer h.mu.Unlock()
			if !h.down {
				h.down = true
				close(h.exit)
			}
			return h.daemon
		}
		h.mu.Unlock()
		time.Sleep(pollInterval)
	}
}

// kill closes the daemon and its target abruptly, as the loss of the host
// would.
func (h *node) kill() {
	h.f.recordFault(judge.Kill, h)
	d := h.markDown()
	h.target.close()
	d.Close()
}

// stop drains the target, makes a planned stop of the daemon and then closes the
// target.
func (h *node) stop() {
	end := h.f.recordFault(judge.PlannedStop, h)
	h.target.Drain()
	h.markDown().Stop()
	end()
	h.target.close()
}

func (h *node) status() status.Daemon {
	s, err := h.currentDaemon().Status()
	if err != nil {
		return status.Daemon{Unowned: []status.Unowned{{Slices: 1 << 20}}}
	}
	return s.(status.Daemon)
}

// restart starts the daemon and a new target of a host that was killed or
// stopped. The target's journal continues the earlier one.
func (h *node) restart() {
	h.running.Wait()
	i := int(h.settings.Seed - 1)
	journal := h.target.journal.reader()
	h.target = newTarget(h.f.t, h, i)
	_, _ = io.Copy(&h.target.journal, journal)
	h.start()
}
