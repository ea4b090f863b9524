package daemon

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/placement"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/session"
)

const (
	// stuckAfter is how long the store may fail a leader before it tells
	// others, and stuckEvery the time between two tellings.
	stuckAfter = 600 * time.Millisecond
	stuckEvery = time.Second
	// stuckTold bounds the daemons that are told each time.
	stuckTold = 32
)

// storeHealth is what the placement duty's own calls say of the store.
type storeHealth struct {
	failingSince mono.Time // 0 while the store answers.
	told         mono.Time
}

// note takes the result of a call.
func (h *storeHealth) note(now mono.Time, code result.Code) {
	switch code {
	case result.StoreUnavailable, result.StoreDoubt:
		if h.failingSince == 0 {
			h.failingSince = now
		}
	default:
		h.failingSince = 0
	}
}

// leaderStuck is another daemon's word that it leads and can't write.
type leaderStuck struct{ stuck placement.Stuck }

func (w leaderStuck) placementWork(p *placementDuty, now mono.Time) {
	p.step(now, w.stuck)
}

// tellStuck tells other daemons if this one leads and the store fails it.
func (p *placementDuty) tellStuck(now mono.Time) {
	h := &p.health
	leader, ok := p.core.Leader()
	if !ok || !p.core.Leads() || h.failingSince == 0 || now.Sub(h.failingSince) < stuckAfter || now.Sub(h.told) < stuckEvery {
		return
	}
	h.told = now
	frame, err := wire.Encode(wire.KindStuck, placement.Stuck{From: p.self, Term: leader.Term})
	if err != nil {
		p.log.Event(event.BadFrame, "peer", p.self.String(), "cause", err.Error())
		return
	}
	others := p.others()
	p.log.Event(event.LeaderStuck, "term", leader.Term, "failing_ms", now.Sub(h.failingSince).Milliseconds(), "told", len(others))
	for _, s := range others {
		_, _ = p.peers.Send(p.fleet.peerAddress(s), frame, 0) // One that is lost is told again.
	}
}

// others draws up to stuckTold other sessions that live.
func (p *placementDuty) others() []host.Session {
	var list []host.Session
	for s, v := range p.fleet.sessions.Load().records {
		if s != p.self && v.Record.State == session.Live {
			list = append(list, s)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), stuckTold)]
}
