package session_test

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/session"
)

// callTimeout is when a call to the store without an answer counts as in doubt.
const callTimeout = time.Second

// maxWriteDelay is the longest time after which a write that was sent can
// take effect.
const maxWriteDelay = 6 * time.Second

// send transmits a message, or loses, delays or duplicates it.
func (f *fleet) send(from *node, to host.Session, handle func(*process)) {
	if f.chance(f.faults.lost) {
		return
	}
	f.transmit(from, to, handle)
	if f.chance(f.faults.duplicated) {
		f.transmit(from, to, handle)
	}
}

func (f *fleet) transmit(from *node, to host.Session, handle func(*process)) {
	dst := f.node(to.Host)
	delay := f.between(f.faults.delayLo, f.faults.delayHi)
	if f.chance(f.faults.delayed) {
		delay += f.between(0, 4*time.Second)
	}
	if dst == nil || f.disconnected(from, dst) {
		return
	}
	f.after(delay, func() {
		if p := f.process(to, dst); p != nil && !f.disconnected(from, dst) {
			p.deliver(func() { handle(p) })
		}
	})
}

// process returns the running daemon of a session, or the current one of the
// host if there is none.
func (f *fleet) process(s host.Session, at *node) *process {
	for _, p := range f.processes {
		if p.id == s && !p.dead {
			return p
		}
	}
	return at.proc
}

func (f *fleet) node(id host.ID) *node {
	for _, n := range f.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (f *fleet) disconnected(a, b *node) bool {
	if a == b {
		return false
	}
	return a.isolated || b.isolated || a.cutFrom[b] > 0 || f.regionsCut && a.place.Region != b.place.Region
}

func (f *fleet) storeUnreachable(n *node) bool {
	return f.storeDown || n.noStore || n.isolated || f.regionsCut && n.place.Region != "r1"
}

// put makes a conditional write. It can be refused, take effect with its
// answer lost, or take effect long after the writer was told that it is in doubt.
func (f *fleet) put(p *process, act session.Put, answer func(session.PutResult)) {
	f.calls++
	r := session.PutResult{Token: act.Record.Token, Code: result.StoreUnavailable}
	reply := func(d time.Duration) { f.after(d, func() { p.deliver(func() { answer(r) }) }) }
	trip := f.between(f.faults.storeLo, f.faults.storeHi)
	if f.storeUnreachable(p.node) {
		if f.chance(.5) {
			r.Code = result.StoreDoubt
		}
		reply(trip)
		return
	}
	if f.faults.answersLost {
		f.after(trip/2, func() { f.applyPut(act) })
		r.Code = result.StoreDoubt
		reply(callTimeout)
		return
	}
	if !f.chance(f.faults.storeDoubt) {
		f.after(trip/2, func() {
			r.Code, r.Version = f.applyPut(act)
			reply(trip / 2)
		})
		return
	}
	r.Code = result.StoreDoubt
	reply(callTimeout)
	if f.chance(.7) {
		f.after(f.between(0, maxWriteDelay), func() { f.applyPut(act) })
	}
}

func (f *fleet) applyPut(act session.Put) (result.Code, uint64) {
	s := act.Record.Session
	o := f.store[s]
	blind := f.disabled == conditionalWrite && act.Record.State == session.Lost && !o.record.State.Final()
	if o.version != act.IfVersion && !blind {
		return result.StoreConflict, o.version
	}
	f.revision++
	f.store[s] = object{version: f.revision, record: act.Record}
	f.tracef("store: %s %s gen %d witnesses %v by %s", s, act.Record.State, act.Record.Generation, act.Record.Witnesses, act.Record.Token)
	if act.Record.State == session.Lost {
		f.lost++
	}
	if act.Record.Superseded {
		f.superseded++
	}
	if act.Record.State.Final() {
		f.endedAt[s] = f.now
		f.after(f.between(maxWriteDelay+time.Second, 20*time.Second), func() { f.deleteRecord(s) })
	}
	for _, p := range f.processes {
		if p.id == s {
			f.checkOwnership(p)
		}
	}
	f.notifyWatchers(session.VersionedRecord{Version: f.revision, Record: act.Record})
	return result.OK, f.revision
}

// notifyWatchers sends a change to all daemons that reach the store.
func (f *fleet) notifyWatchers(v session.VersionedRecord) {
	for _, n := range f.nodes {
		if f.storeUnreachable(n) {
			continue
		}
		for _, p := range f.processes {
			if p.node == n && !p.dead {
				f.after(f.between(f.faults.watchLo, f.faults.watchHi), func() { p.deliver(func() { p.observeRecord(v) }) })
			}
		}
	}
}

func (f *fleet) get(p *process, act session.Get, answer func(session.GetResult)) {
	f.calls++
	r := session.GetResult{Session: act.Session, Code: result.StoreUnavailable}
	trip := f.between(f.faults.storeLo, f.faults.storeHi)
	reply := func() { p.deliver(func() { answer(r) }) }
	if f.storeUnreachable(p.node) || f.chance(f.faults.storeDoubt) {
		f.after(trip, reply)
		return
	}
	f.after(trip/2, func() {
		o, ok := f.store[act.Session]
		r.Code = result.StoreNotFound
		if ok {
			r.Code = result.OK
			r.Found = session.VersionedRecord{Version: o.version, Record: o.record}
		}
		f.after(trip/2, reply)
	})
}

// drawFaults draws new faults each second, each for a limited time.
func (f *fleet) drawFaults() {
	f.after(time.Second, f.drawFaults)
	if f.faultsOff || f.faults.calm {
		return
	}
	for _, n := range f.nodes {
		f.drawNodeFaults(n)
	}
	if f.chance(f.faults.faultsPerSecond) {
		f.temporarily("the store is down", func(on bool) { f.storeDown = on })
	}
	if f.chance(f.faults.faultsPerSecond / 2) {
		f.temporarily("the regions are cut", func(on bool) { f.regionsCut = on })
	}
}

func (f *fleet) drawNodeFaults(n *node) {
	p := f.faults.faultsPerSecond / float64(len(f.nodes))
	if f.chance(2 * p) {
		n.paused = f.now + f.between(0, f.faults.maxDuration)
		f.tracef("%s is paused until %v", n.id, n.paused)
	}
	if f.chance(p * f.faults.crash) {
		n.crash()
		f.after(f.between(0, f.faults.maxRestart), n.start)
	}
	if f.chance(p * f.faults.stop) {
		n.stop()
	}
	if f.chance(p*f.faults.stop) && n.proc != nil {
		n.proc.announce(f.rng.IntN(20))
	}
	if f.chance(p * f.faults.secondDaemon) {
		n.startSecond()
	}
	if f.chance(p * f.faults.link) {
		f.cutLink(n, f.nodes[f.rng.IntN(len(f.nodes))])
	}
	if f.chance(p) {
		f.temporarily(string(n.id)+" is cut off", func(on bool) { n.isolated = on })
	}
	if f.chance(p * f.faults.noStore) {
		f.temporarily(string(n.id)+" does not reach the store", func(on bool) { n.noStore = on })
	}
}

// stop ends a daemon as planned: it drains and leaves. After 8 s it is
// replaced, whether or not it has left.
func (n *node) stop() {
	p, f := n.proc, n.f
	if p == nil || p.dead {
		return
	}
	f.tracef("%s is to stop", p.id)
	p.deliver(func() { p.performHolder(p.holder.Step(n.clock(), session.Drain{})) })
	f.after(f.between(0, 2*time.Second), func() {
		p.deliver(func() { p.performHolder(p.holder.Step(n.clock(), session.Leave{})) })
	})
	f.after(8*time.Second, func() {
		if p == n.proc {
			n.crash()
			n.start()
		}
	})
}

// announce makes a target with the given number of slots announce itself.
func (p *process) announce(slots int) {
	target := &session.Target{App: "catalogue", Slots: slots}
	p.deliver(func() { p.performHolder(p.holder.Step(p.node.clock(), session.TargetAnnounced{Target: target})) })
}

// deleteRecord deletes a final record. It is called once no earlier write can
// take effect any more.
func (f *fleet) deleteRecord(s host.Session) {
	delete(f.store, s)
	for _, p := range f.processes {
		if !p.dead && !f.storeUnreachable(p.node) {
			f.after(f.between(f.faults.watchLo, f.faults.watchHi), func() {
				p.deliver(func() { p.performTakeover(p.takeover.RecordDeleted(p.node.clock(), s)) })
			})
		}
	}
}

func (f *fleet) cutLink(a, b *node) {
	f.temporarily(string(a.id+" and "+b.id)+" do not reach each other", func(on bool) {
		by := 1
		if !on {
			by = -1
		}
		a.cutFrom[b] += by
		b.cutFrom[a] += by
	})
}

func (f *fleet) temporarily(what string, set func(on bool)) {
	d := f.between(0, f.faults.maxDuration)
	f.tracef("%s for %v", what, d)
	set(true)
	f.after(d, func() { set(false) })
}
