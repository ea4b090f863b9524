package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	freezeTime   = 5 * time.Second        // node_freeze: for_s.
	leavesAfter  = 500 * time.Millisecond // From the end of the freeze to the deregistration.
	stableWindow = 3 * time.Second
	drainBound   = 2500 * time.Millisecond
	servesOn     = 8 * time.Second // From its deregistration to its exit.
)

// playLostLeave freezes the sidecar of one machine after the other. Soon after it
// has woken up, the server beside it deregisters, serves on and exits.
func playLostLeave(f *fleet, trouble bool) (int, error) {
	for _, service := range []string{"kapari", "kapari", "kapari", "kapari", "samari", "samari", "samari", "samari", "samari", "samari"} {
		if _, err := f.add(service, func(*server) {}); err != nil {
			return 0, err
		}
	}
	f.store.operatorWrites(config(7, nil, []route{
		{name: "r-1", host: "kapari.example", prefix: "/deposit/", kind: "unsafe", service: "kapari", timeoutMs: 1200, maxAttempts: 2},
		{name: "r-2", host: "samari.example", prefix: "/hire/", kind: "unsafe", service: "samari", timeoutMs: 800, maxAttempts: 2},
	}))
	for _, m := range f.machines {
		m.heartbeat = heartbeat
	}
	if err := f.startAll(); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	for _, m := range f.machines[4:] {
		go f.pressDeposits(m, stop)
	}
	late := 0
	for i, m := range f.machines[:3] {
		n, err := f.leaveAfterFreeze(m, fmt.Sprintf("i-kapari-%d", 10+i), trouble)
		if err != nil {
			return 0, err
		}
		late += n
	}
	close(stop)
	f.rec.say("requests that reached a server later than %v after its leaving was confirmed, sent on by machines in touch: %d", drainBound, late)
	return late, nil
}

func (f *fleet) pressDeposits(m *machine, stop chan struct{}) {
	c := &consumer{rec: f.rec, to: m.outbound}
	defer c.close()
	for {
		c.send(http.MethodPost, "kapari.example", "/deposit/2f", nil, "amount=20", 2500*time.Millisecond)
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// leaveAfterFreeze plays one freeze and one departure, and returns how many requests
// reached the server too late. Another server takes its place on the machine.
func (f *fleet) leaveAfterFreeze(m *machine, nextName string, trouble bool) (int, error) {
	old := m.server
	if trouble {
		f.rec.line("machine %s: the sidecar freezes", m.name)
		_ = m.process.Process.Signal(syscall.SIGSTOP)
		time.Sleep(freezeTime)
		_ = m.process.Process.Signal(syscall.SIGCONT)
	}
	woken := time.Now()
	f.rec.line("machine %s: the sidecar runs", m.name)
	time.Sleep(leavesAfter)
	confirmed := old.deregister()
	acked := time.Now()
	f.rec.line("server %s deregisters first, confirmed: %v, and serves on", old.name, confirmed)
	time.Sleep(servesOn)
	old.kill()
	f.rec.line("server %s exits", old.name)
	late := 0
	for _, r := range f.ledger.runsAt(old.name) {
		inTouch := !trouble || r.begin.Sub(woken) > stableWindow
		if confirmed && inTouch && r.begin.Sub(acked) > drainBound {
			late++
			f.rec.line("DRAIN: %s reached server %s %.2f s after its leaving was confirmed", r.id, old.name, r.begin.Sub(acked).Seconds())
		}
	}
	next := &server{rec: f.rec, ledger: f.ledger, name: nextName, service: old.service, zone: old.zone, address: old.address,
		slots: old.slots, queue: old.queue, work: old.work, control: old.control}
	if err := next.start(); err != nil {
		return 0, err
	}
	m.server = next
	go next.beatForever(heartbeat)
	time.Sleep(4 * time.Second)
	return late, nil
}
