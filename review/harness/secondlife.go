package main

import (
	"net/http"
	"time"
)

const (
	plannedRestarts = 4
	heartbeat       = 1500 * time.Millisecond // As the site's servers.
	lifeLength      = 9 * time.Second
	drainTime       = 2500 * time.Millisecond // The bound drain of the site.
	littleLonger    = 500 * time.Millisecond
	exitDelay       = 300 * time.Millisecond // From the deregistration to the end of the process.
	checkInDelay    = 900 * time.Millisecond // How late the last heartbeat arrives.
	restartDelay    = 400 * time.Millisecond
	lookupsApart    = 2 * time.Second
)

// playSecondLife restarts the only server of a keyed service some times, as
// planned work, each time under the same id. The last heartbeat that it sends
// before it leaves arrives late, as heartbeats may.
func playSecondLife(f *fleet, trouble bool) (int, error) {
	owners := newOwnerCheck(f.rec)
	prepare := func(s *server) {
		s.sharded, s.owners = true, owners
		s.closesAfterGrant = func() bool { return s.currentState() == "draining" }
	}
	m, err := f.add("herdboard", prepare)
	if err != nil {
		return 0, err
	}
	m.server.life = 1
	for range 4 {
		if _, err := f.add("kapari", func(*server) {}); err != nil {
			return 0, err
		}
	}
	f.store.operatorWrites(config(7, map[string]bool{"herdboard": true}, []route{
		{name: "r-1", host: "herd.example", prefix: "/herd/", kind: "safe", service: "herdboard", timeoutMs: 1200, maxAttempts: 2},
		{name: "r-2", host: "kapari.example", prefix: "/deposit/", kind: "unsafe", service: "kapari", timeoutMs: 1200, maxAttempts: 2},
	}))
	if err := f.startAll(); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	go f.lookUp(stop)
	for range plannedRestarts {
		time.Sleep(lifeLength)
		if err := f.restartServer(m, prepare, trouble); err != nil {
			return 0, err
		}
	}
	time.Sleep(3 * time.Second)
	close(stop)
	f.rec.say("starts of the server under its id: %d; keys taken at an epoch that is not above all others: %d", m.server.life, owners.fences)
	return owners.fences, nil
}

// lookUp sends a keyed request now and then.
func (f *fleet) lookUp(stop chan struct{}) {
	c := &consumer{rec: f.rec, to: f.machines[1].outbound}
	defer c.close()
	for {
		c.send(http.MethodGet, "herd.example", "/herd/x", map[string]string{"X-Shard-Key": "4711"}, "", 2500*time.Millisecond)
		select {
		case <-stop:
			return
		case <-time.After(lookupsApart):
		}
	}
}

// restartServer lets the server of a machine drain, leave and start again under its
// id. With trouble, its last heartbeat arrives after the next start.
func (f *fleet) restartServer(m *machine, prepare func(*server), trouble bool) error {
	old := m.server
	old.setState("draining")
	f.rec.line("server %s says that it is draining, confirmed: %v", old.lifeName(), old.beat())
	time.Sleep(drainTime + littleLonger)
	last := old.heartbeat()
	old.stopBeats()
	if !trouble {
		old.deliver(last)
	}
	f.rec.line("server %s deregisters, confirmed: %v", old.lifeName(), old.deregister())
	time.Sleep(exitDelay)
	old.kill()
	f.rec.line("server %s exits", old.lifeName())
	if trouble {
		time.AfterFunc(checkInDelay, func() {
			f.rec.line("the last heartbeat of server %s arrives", old.lifeName())
			old.deliver(last)
		})
	}
	time.Sleep(restartDelay)
	next := &server{rec: f.rec, ledger: f.ledger, name: old.name, service: old.service, zone: old.zone, address: old.address,
		slots: old.slots, queue: old.queue, work: old.work, control: old.control}
	prepare(next)
	next.life = old.life + 1
	if err := next.start(); err != nil {
		return err
	}
	f.rec.line("server %s listens", next.lifeName())
	m.server = next
	time.AfterFunc(heartbeat, func() { next.beatForever(heartbeat) })
	return nil
}
