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
	// unwritableAfter is how long calls to the store must fail before a leader
	// notifies other daemons, and unwritableNoticeInterval the time between
	// two rounds of notices.
	unwritableAfter          = 600 * time.Millisecond
	unwritableNoticeInterval = time.Second
	// unwritableNoticeFanout is the largest number of daemons notified in one
	// round.
	unwritableNoticeFanout = 32
)

// storeHealth tracks whether the store answers the placement loop's own calls.
type storeHealth struct {
	failingSince mono.Time // 0 while the store answers.
	lastNotice   mono.Time
}

// record updates the state with the result of a call.
func (h *storeHealth) record(now mono.Time, code result.Code) {
	switch code {
	case result.StoreUnavailable, result.StoreDoubt:
		if h.failingSince == 0 {
			h.failingSince = now
		}
	default:
		h.failingSince = 0
	}
}

// leaderUnwritableReceived is the notice of another daemon that it leads and
// cannot write to the store.
type leaderUnwritableReceived struct{ notice placement.LeaderUnwritable }

func (w leaderUnwritableReceived) handle(p *placementLoop, now mono.Time) {
	p.step(now, w.notice)
}

// notifyUnwritable notifies other daemons if this one leads and its calls to the
// store have been failing.
func (p *placementLoop) notifyUnwritable(now mono.Time) {
	h := &p.storeHealth
	leader, ok := p.core.Leader()
	if !ok || !p.core.IsLeader() || h.failingSince == 0 || now.Sub(h.failingSince) < unwritableAfter || now.Sub(h.lastNotice) < unwritableNoticeInterval {
		return
	}
	h.lastNotice = now
	frame, err := wire.Encode(wire.KindLeaderUnwritable, placement.LeaderUnwritable{From: p.self, Term: leader.Term})
	if err != nil {
		p.log.Event(event.BadFrame, "peer", p.self.String(), "cause", err.Error())
		return
	}
	others := p.sampleLiveSessions()
	p.log.Event(event.LeaderStuck, "term", leader.Term, "failing_ms", now.Sub(h.failingSince).Milliseconds(), "told", len(others))
	for _, s := range others {
		_, _ = p.peers.Send(p.fleet.peerAddress(s), frame, 0) // A lost notice is repeated in the next round.
	}
}

// sampleLiveSessions returns up to unwritableNoticeFanout other live sessions,
// chosen at random.
func (p *placementLoop) sampleLiveSessions() []host.Session {
	var list []host.Session
	for s, v := range p.fleet.sessions.Load().records {
		if s != p.self && v.Record.State == session.Live {
			list = append(list, s)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), unwritableNoticeFanout)]
}
