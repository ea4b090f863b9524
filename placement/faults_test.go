package placement

import (
	"time"

	"github.com/rhubarbring/rhubarbring/session"
)

// lose ends a session as its witnesses would: the lease is over, later the
// record says lost. A target that checks grants runs nothing of it then.
func (w *world) lose(h *modelHost) {
	if !h.alive || h.lost {
		return
	}
	h.lost = true
	h.holder.SetLease(w.now)
	for i := len(w.running) - 1; i >= 0; i-- {
		if w.running[i].on == h && h.checks {
			w.finish(i)
		}
	}
	w.record(h.record(session.Lost))
}

func (w *world) report(l *modelLeader, h *modelHost, hot string) {
	r := LoadReport{From: h.self, App: w.app.Name, Sequence: uint64(w.now), Target: float32(w.pick(11)) / 10}
	for _, held := range h.holder.Owned() {
		r.Slices = append(r.Slices, SliceLoad{ID: held.Slice.ID, Busy: float32(w.pick(4))})
	}
	if s, ok := h.view.Locate(w.app.Name, hot); ok && h.holder.Admits(w.now, s).Admitted() {
		r.Keys = []KeyLoad{{Key: hot, Busy: float32(w.pick(9))}}
	}
	w.feed(l, LoadSeen{Report: r})
}

// step does one random thing.
func (w *world) step() {
	l := w.leaders[w.pick(len(w.leaders))]
	h := w.hosts[w.pick(len(w.hosts))]
	switch w.pick(12) {
	case 0, 1:
		w.now = w.now.Add(time.Duration(modelStep))
		w.expire()
	case 2, 3:
		w.feed(l, Tick{})
	case 4, 5:
		w.carryOut(l, true)
	case 6, 7:
		w.hostStep(h)
	case 8:
		w.begin(h, w.keys[w.pick(len(w.keys))])
	case 9:
		w.report(l, h, w.keys[w.pick(len(w.keys))])
		if len(w.running) > 0 {
			w.finish(w.pick(len(w.running)))
		}
	case 10:
		w.deliver(l)
	case 11:
		w.fault(h)
	}
}

// deliver hands a leader some news: a release, perhaps an old one, the answer
// to a write once more, a record, or a pack of any version.
func (w *world) deliver(l *modelLeader) {
	if len(l.told) > 0 {
		w.feed(l, Released{Release: l.told[w.pick(len(l.told))]})
	}
	if len(w.answers) > 0 {
		w.feed(l, w.answers[w.pick(len(w.answers))])
	}
	rs := w.records[w.hosts[w.pick(len(w.hosts))].self.Host]
	r := rs[w.pick(len(rs))]
	w.feed(l, SessionSeen{Record: r.record, Version: r.version})
	for _, versions := range w.packs {
		v := versions[w.pick(len(versions))]
		w.feed(l, PackSeen{Pack: v.pack, Version: v.version})
	}
}

func (w *world) fault(h *modelHost) {
	switch w.pick(8) {
	case 0:
		w.lose(h)
	case 1:
		if h.alive && !h.lost {
			h.holder.Stop(w.now)
			w.record(h.record(session.Draining))
		}
	case 2, 3:
		if len(w.late) > 0 {
			i := w.pick(len(w.late))
			a := w.late[i]
			w.late = append(w.late[:i], w.late[i+1:]...)
			w.land(a)
		}
	case 4, 5:
		rs := w.records[h.self.Host]
		last := rs[len(rs)-1].record.State
		// Now and then a host gets a new session while its earlier one lives.
		if last.Final() || w.pick(4) == 0 {
			w.start(h.self.Host, w.pick(2) == 0)
		}
	}
}

// calm lets everything reach everyone for a while, without new faults.
func (w *world) calm() {
	w.feed(w.leaders[1], LeaderSeen{Leader: Leader{Session: w.leaders[0].core.cfg.Self, Term: 2}, Version: 2})
	for range 400 {
		w.now = w.now.Add(time.Duration(modelStep))
		w.expire()
		for _, l := range w.leaders {
			w.tellRecords(l)
			for _, r := range l.told {
				w.feed(l, Released{Release: r})
			}
			l.told = nil
			w.feed(l, Tick{})
			for len(l.pending) > 0 {
				w.carryOut(l, false)
			}
		}
		for _, h := range w.hosts {
			for _, versions := range w.packs {
				v := versions[len(versions)-1]
				for _, c := range h.view.Put(v.pack, v.version) {
					w.hostActions(h, h.holder.Seen(w.now, c))
				}
			}
			w.hostStep(h)
		}
	}
}
