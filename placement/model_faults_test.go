package placement

import (
	"github.com/rhubarbring/rhubarbring/session"
)

// loseSession ends a session as its witnesses would: its lease ends, and it is
// recorded lost. A target that checks grants then stops running its requests.
func (m *model) loseSession(h *modelHost) {
	if !h.alive || h.lost {
		return
	}
	h.lost = true
	h.holder.SetLease(m.now)
	for i := len(m.requests) - 1; i >= 0; i-- {
		if m.requests[i].host == h && h.checksGrants {
			m.endRequest(i)
		}
	}
	m.record(h.record(session.Lost))
}

// sendReport delivers a load report of a host, with random loads, to a leader.
func (m *model) sendReport(l *modelLeader, h *modelHost, hotKey string) {
	r := LoadReport{From: h.self, App: m.app.Name, Sequence: uint64(m.now), TargetUtilization: float32(m.intn(11)) / 10}
	for _, held := range h.holder.Owned() {
		r.Slices = append(r.Slices, SliceLoad{ID: held.Slice.ID, BusySlots: float32(m.intn(4))})
	}
	if s, ok := h.view.Locate(m.app.Name, hotKey); ok && h.holder.Admits(m.now, s).Admitted() {
		r.Keys = []KeyLoad{{Key: hotKey, BusySlots: float32(m.intn(9))}}
	}
	m.stepLeader(l, LoadReported{Report: r})
}

// randomStep performs one random step of the model.
func (m *model) randomStep() {
	l := m.leaders[m.intn(len(m.leaders))]
	h := m.hosts[m.intn(len(m.hosts))]
	switch m.intn(12) {
	case 0, 1:
		m.advance()
	case 2, 3:
		m.stepLeader(l, Tick{})
	case 4, 5:
		m.perform(l, true)
	case 6, 7:
		m.hostStep(h)
	case 8:
		m.beginRequest(h, m.keys[m.intn(len(m.keys))])
	case 9:
		m.sendReport(l, h, m.keys[m.intn(len(m.keys))])
		if len(m.requests) > 0 {
			m.endRequest(m.intn(len(m.requests)))
		}
	case 10:
		m.deliver(l)
	case 11:
		m.injectFault(h)
	}
}

// deliver delivers a release, an answer to a write, a session record and packs
// to a leader. Each may be out of date or delivered before.
func (m *model) deliver(l *modelLeader) {
	if len(l.releases) > 0 {
		m.stepLeader(l, ReleaseReceived{Release: l.releases[m.intn(len(l.releases))]})
	}
	if len(m.writeAnswers) > 0 {
		m.stepLeader(l, m.writeAnswers[m.intn(len(m.writeAnswers))])
	}
	records := m.records[m.hosts[m.intn(len(m.hosts))].self.Host]
	r := records[m.intn(len(records))]
	m.stepLeader(l, SessionObserved{Record: r.record, Version: r.version})
	if len(l.claims) > 0 {
		m.stepLeader(l, ClaimReceived{Claim: l.claims[m.intn(len(l.claims))]})
	}
	for _, versions := range m.packs {
		m.showPack(l, versions[m.intn(len(versions))])
	}
}

// injectFault may lose or stop a session, apply a delayed write or start a new
// session.
func (m *model) injectFault(h *modelHost) {
	m.randomRestore()
	switch m.intn(8) {
	case 0:
		m.loseSession(h)
	case 1:
		if h.alive && !h.lost {
			h.holder.BeginStop(m.now)
			m.record(h.record(session.Draining))
		}
	case 2, 3:
		if len(m.delayedWrites) > 0 {
			i := m.intn(len(m.delayedWrites))
			a := m.delayedWrites[i]
			m.delayedWrites = append(m.delayedWrites[:i], m.delayedWrites[i+1:]...)
			m.applyWrite(a)
		}
	case 4, 5:
		records := m.records[h.self.Host]
		last := records[len(records)-1].record.State
		// Sometimes a host gets a new session while its previous one is live.
		if last.Final() || m.intn(4) == 0 {
			m.startSession(h.self.Host, m.intn(2) == 0)
		}
	}
}

// runWithoutFaults delivers everything to everyone for a while, without new
// faults.
func (m *model) runWithoutFaults() {
	m.stepLeader(m.leaders[1], LeaderObserved{Leader: Leader{Session: m.leaders[0].core.cfg.Self, Term: 2}, Version: 2})
	for range 400 {
		m.advance()
		for _, l := range m.leaders {
			m.deliverRecords(l)
			for _, c := range l.claims {
				m.stepLeader(l, ClaimReceived{Claim: c})
			}
			l.claims = nil
			for _, r := range l.releases {
				m.stepLeader(l, ReleaseReceived{Release: r})
			}
			l.releases = nil
			m.showRestored(l)
			m.stepLeader(l, Tick{})
			for len(l.pending) > 0 {
				m.perform(l, false)
			}
		}
		for _, h := range m.hosts {
			for _, versions := range m.packs {
				m.deliverPack(h, versions[len(versions)-1])
			}
			m.hostStep(h)
		}
	}
}
