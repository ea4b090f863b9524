package placement

import (
	"time"

	"github.com/rhubarbring/rhubarbring/session"
)

// loseSession ends a session as its witnesses would: the lease is over, later
// the record says lost. A target that checks grants runs nothing of it then.
func (w *model) loseSession(h *modelHost) {
	if !h.alive || h.lost {
		return
	}
	h.lost = true
	h.holder.SetLease(w.now)
	for i := len(w.requests) - 1; i >= 0; i-- {
		if w.requests[i].host == h && h.checks {
			w.endRequest(i)
		}
	}
	w.record(h.record(session.Lost))
}

func (w *model) sendReport(l *modelLeader, h *modelHost, hot string) {
	r := LoadReport{From: h.self, App: w.app.Name, Sequence: uint64(w.now), Target: float32(w.intn(11)) / 10}
	for _, held := range h.holder.Owned() {
		r.Slices = append(r.Slices, SliceLoad{ID: held.Slice.ID, Busy: float32(w.intn(4))})
	}
	if s, ok := h.view.Locate(w.app.Name, hot); ok && h.holder.Admits(w.now, s).Admitted() {
		r.Keys = []KeyLoad{{Key: hot, Busy: float32(w.intn(9))}}
	}
	w.stepLeader(l, LoadSeen{Report: r})
}

// randomStep does one random thing.
func (w *model) randomStep() {
	l := w.leaders[w.intn(len(w.leaders))]
	h := w.hosts[w.intn(len(w.hosts))]
	switch w.intn(12) {
	case 0, 1:
		w.now = w.now.Add(time.Duration(modelStep))
		w.endExpiredRequests()
	case 2, 3:
		w.stepLeader(l, Tick{})
	case 4, 5:
		w.perform(l, true)
	case 6, 7:
		w.hostStep(h)
	case 8:
		w.beginRequest(h, w.keys[w.intn(len(w.keys))])
	case 9:
		w.sendReport(l, h, w.keys[w.intn(len(w.keys))])
		if len(w.requests) > 0 {
			w.endRequest(w.intn(len(w.requests)))
		}
	case 10:
		w.deliver(l)
	case 11:
		w.injectFault(h)
	}
}

// deliver hands a leader some news: a release, perhaps an old one, the answer
// to a write once more, a record, or a pack of any version.
func (w *model) deliver(l *modelLeader) {
	if len(l.releases) > 0 {
		w.stepLeader(l, Released{Release: l.releases[w.intn(len(l.releases))]})
	}
	if len(w.writeAnswers) > 0 {
		w.stepLeader(l, w.writeAnswers[w.intn(len(w.writeAnswers))])
	}
	rs := w.records[w.hosts[w.intn(len(w.hosts))].self.Host]
	r := rs[w.intn(len(rs))]
	w.stepLeader(l, SessionSeen{Record: r.record, Version: r.version})
	for _, versions := range w.packs {
		v := versions[w.intn(len(versions))]
		w.stepLeader(l, PackSeen{Pack: v.pack, Version: v.version})
	}
}

func (w *model) injectFault(h *modelHost) {
	switch w.intn(8) {
	case 0:
		w.loseSession(h)
	case 1:
		if h.alive && !h.lost {
			h.holder.Stop(w.now)
			w.record(h.record(session.Draining))
		}
	case 2, 3:
		if len(w.delayedWrites) > 0 {
			i := w.intn(len(w.delayedWrites))
			a := w.delayedWrites[i]
			w.delayedWrites = append(w.delayedWrites[:i], w.delayedWrites[i+1:]...)
			w.applyWrite(a)
		}
	case 4, 5:
		rs := w.records[h.self.Host]
		last := rs[len(rs)-1].record.State
		// Now and then a host gets a new session while its earlier one lives.
		if last.Final() || w.intn(4) == 0 {
			w.startSession(h.self.Host, w.intn(2) == 0)
		}
	}
}

// runWithoutFaults lets everything reach everyone for a while, without new
// faults.
func (w *model) runWithoutFaults() {
	w.stepLeader(w.leaders[1], LeaderSeen{Leader: Leader{Session: w.leaders[0].core.cfg.Self, Term: 2}, Version: 2})
	for range 400 {
		w.now = w.now.Add(time.Duration(modelStep))
		w.endExpiredRequests()
		for _, l := range w.leaders {
			w.deliverRecords(l)
			for _, r := range l.releases {
				w.stepLeader(l, Released{Release: r})
			}
			l.releases = nil
			w.stepLeader(l, Tick{})
			for len(l.pending) > 0 {
				w.perform(l, false)
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
