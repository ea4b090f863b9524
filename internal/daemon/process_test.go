package daemon

import (
	"io"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/grant"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/internal/eventlog"
	"github.com/rhubarbring/rhubarbring/internal/peer"
	"github.com/rhubarbring/rhubarbring/internal/settings"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/targetinstance"
	"github.com/rhubarbring/rhubarbring/targetstatus"
)

// sessions is a process of which the test runs one session after the other. Only
// the routing loops run.
type sessions struct {
	t       *testing.T
	process *Process
}

func newSessions(t *testing.T) *sessions {
	return &sessions{t: t, process: NewProcess(&settings.Daemon{Host: "h1", Region: "r", Zone: "z", Environment: "trial", StoreAddress: "127.0.0.1:1"})}
}

// begin returns the daemon of the next session.
func (s *sessions) begin() *Daemon {
	registry := metrics.NewRegistry()
	log := eventlog.New(io.Discard, event.Warn, "h1", registry)
	d := New(s.process, log, registry, WithTargetFactory(func(a control.Announcement) Target { return &blockedTarget{address: a.Address} }))
	d.createLoops()
	address := freeAddress(s.t)
	peers, err := peer.Listen(address, wire.Hello{Session: d.self, Zone: d.settings.Zone, Region: d.settings.Region}, &frameHandler{d: d}, peer.DialTCP, registry)
	must.NoError(s.t, err)
	d.peers, d.routing.peers = peers, peers
	d.routing.start()
	s.t.Cleanup(func() {
		d.routing.close()
		peers.Close()
		log.Close()
	})
	return d
}

// announce delivers an announcement of a ready instance and reports whether the
// daemon lets it have work: whether the session record names the target.
func (s *sessions) announce(d *Daemon, instance string, sequence uint64) bool {
	started := int64(1000)
	if instance != "i-1" {
		started++
	}
	_, err := d.HandleAnnouncement(control.Announcement{
		App: "katalog", Address: "held", Slots: 12, ChecksGrants: true, State: control.StateWarm, InstanceName: instance, StartedMs: started, Sequence: sequence,
	}, grant.Report{})
	must.NoError(s.t, err)
	return d.announcedTarget.Load() != nil
}

var departure = targetinstance.Departure{ID: "i-1", StartedMs: 1000}

// A confirmed departure binds the process, whichever of its daemons confirmed it and
// whether its session was over by then. The target's next announcements say that it
// is ready; it must get no work.
func TestConfirmedDepartureOutlivesSession(t *testing.T) {
	for name, confirm := range map[string]func(s *sessions, ended *Daemon) *Daemon{
		"before the session ends": func(s *sessions, ended *Daemon) *Daemon {
			must.NoError(s.t, ended.TargetLeaving(departure))
			ended.sessionOver.Store(true)
			return s.begin()
		},
		"after the session's end": func(s *sessions, ended *Daemon) *Daemon {
			ended.sessionOver.Store(true)
			must.NoError(s.t, ended.TargetLeaving(departure))
			return s.begin()
		},
		"by the next daemon before it hears of the target": func(s *sessions, _ *Daemon) *Daemon {
			next := s.begin()
			must.NoError(s.t, next.TargetLeaving(departure))
			return next
		},
		"by the one before, beside the next": func(s *sessions, ended *Daemon) *Daemon {
			next := s.begin()
			must.NoError(s.t, ended.TargetLeaving(departure))
			return next
		},
		"by an announcement": func(s *sessions, ended *Daemon) *Daemon {
			_, err := ended.HandleAnnouncement(control.Announcement{
				App: "katalog", Address: "held", Slots: 12, State: control.StateDraining, InstanceName: "i-1", StartedMs: 1000, Sequence: 2,
			}, grant.Report{})
			must.NoError(s.t, err)
			return s.begin()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSessions(t)
			first := s.begin()
			must.True(t, s.announce(first, "i-1", 1))
			next := confirm(s, first)
			must.False(t, s.announce(next, "i-1", 3))
			must.False(t, s.announce(s.begin(), "i-1", 4), must.Sprint("two sessions later"))
			must.True(t, s.announce(next, "i-2", 1), must.Sprint("the instance that follows"))
		})
	}
}

// Late announcements are known as such in the next session too: an instance that was
// replaced must not come back by one.
func TestInstancesOutliveSession(t *testing.T) {
	s := newSessions(t)
	first := s.begin()
	must.True(t, s.announce(first, "i-1", 5))
	next := s.begin()
	must.False(t, s.announce(next, "i-1", 4), must.Sprint("an announcement that was overtaken"))
	must.True(t, s.announce(next, "i-1", 6))
}

// What the target said of itself in its answers, which it may not repeat for a while,
// holds in the next session.
func TestTargetStatusOutlivesSession(t *testing.T) {
	s := newSessions(t)
	first := s.begin()
	s.announce(first, "i-1", 1)
	_, err := queryRouting(first, func(r *routingLoop, _ mono.Time) bool {
		r.heardTarget(bootclock.Now(), bootclock.Now(), r.target.instance, targetstatus.Statement{LimitNamed: true, Limit: 7, Conclusive: true})
		r.heardTarget(bootclock.Now(), bootclock.Now(), r.target.instance, targetstatus.Statement{Leaving: true})
		return true
	})
	must.NoError(t, err)
	next := s.begin()
	s.announce(next, "i-1", 2)
	status, err := queryRouting(next, func(r *routingLoop, _ mono.Time) targetstatus.Status { return r.targetStatus.Status() })
	must.NoError(t, err)
	must.Eq(t, targetstatus.Status{RateLimit: 7, Leaving: true}, status)
}

// A process must not go back to an older document with its next session, which may
// first hear of the documents from daemons that are behind.
func TestDocumentOutlivesSession(t *testing.T) {
	s := newSessions(t)
	doc := &document.Document{Apps: []document.App{{Name: "katalog", DividedByKey: true, Slices: 1, QueueBound: 24}}}
	must.True(t, s.begin().fleet.adopt(&document.Stored{Version: 8}, doc))
	next := s.begin()
	must.Eq(t, 8, next.fleet.document.Load().stored.Version)
	must.False(t, next.fleet.isNewDocument(7))
	must.False(t, next.fleet.adopt(&document.Stored{Version: 7}, doc))
	must.Error(t, next.CheckRoutable(), must.Sprint("not ready before the session is recorded"))
}

// A session of the process is later than all before, also if the time of day was set
// back: other daemons would drop what it sends.
func TestIncarnationsRiseWhenClockStepsBack(t *testing.T) {
	p := NewProcess(&settings.Daemon{})
	must.Eq(t, 5000, p.nextIncarnation(5000))
	must.Eq(t, 5001, p.nextIncarnation(3000))
	must.Eq(t, 9000, p.nextIncarnation(9000))
}
