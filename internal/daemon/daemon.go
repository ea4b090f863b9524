// Package daemon puts the duties of one daemon together: callers' entry,
// routing, the gate before the local target, sessions and placement.
package daemon

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/internal/entry"
	"github.com/rhubarbring/rhubarbring/internal/eventlog"
	"github.com/rhubarbring/rhubarbring/internal/peer"
	"github.com/rhubarbring/rhubarbring/internal/settings"
	"github.com/rhubarbring/rhubarbring/internal/storeclient"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/request"
)

const (
	storeTimeout = 2 * time.Second
	pollInterval = 300 * time.Millisecond
)

// Daemon is one running daemon.
type Daemon struct {
	settings *settings.Daemon
	self     host.Session
	log      *eventlog.Log
	registry metrics.Registry
	store    *storeclient.Client
	peers    *peer.Transport
	entry    *entry.Server
	control  *control.Server

	view   atomic.Pointer[view]
	target atomic.Pointer[thinTarget]

	mu      sync.Mutex
	pending map[string]entry.Submission

	stop chan struct{}
	done sync.WaitGroup
}

// New returns a daemon that is not yet started.
func New(s *settings.Daemon, log *eventlog.Log, registry metrics.Registry) *Daemon {
	d := &Daemon{
		settings: s,
		self:     host.Session{Host: s.Host, Incarnation: uint64(time.Now().UnixNano())},
		log:      log,
		registry: registry,
		store:    storeclient.New(s.Store, storeTimeout),
		pending:  make(map[string]entry.Submission),
		stop:     make(chan struct{}),
	}
	d.view.Store(&view{})
	return d
}

// Start opens the daemon's addresses and starts its duties.
func (d *Daemon) Start() error {
	hello := wire.Hello{Session: d.self, Zone: d.settings.Zone, Region: d.settings.Region}
	peers, err := peer.Listen(d.settings.Peer, hello, d, d.registry)
	if err != nil {
		return err
	}
	d.peers = peers
	d.control = control.New(d, d.registry)
	if err := d.control.Start(d.settings.Control); err != nil {
		return err
	}
	d.entry = entry.New(d, d.settings.Seed)
	if err := d.entry.Start(d.settings.Caller); err != nil {
		return err
	}
	d.done.Add(1)
	go d.follow()
	d.log.Event(event.Started, "zone", d.settings.Zone, "incarnation", d.self.Incarnation)
	return nil
}

// Stop ends the daemon: no new work, then nothing in flight, then the end.
func (d *Daemon) Stop() {
	d.log.Event(event.Stopping, "reason", "asked")
	d.entry.Stop()
	close(d.stop)
	d.done.Wait()
	d.control.Stop()
	d.peers.Close()
	d.log.Event(event.Stopped)
}

func (d *Daemon) answer(a request.Answer) {
	d.mu.Lock()
	submission, ok := d.pending[a.ID]
	delete(d.pending, a.ID)
	d.mu.Unlock()
	if ok {
		submission.Reply <- a
	}
}
