package daemon

import (
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/peer"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/takeover"
)

// What the lease duty is handed.
type (
	sessionPutDone  struct{ result session.PutResult }
	sessionGetDone  struct{ result session.GetResult }
	takeoverPutDone struct{ result session.PutResult }
	takeoverGetDone struct{ result session.GetResult }
	renewReceived   struct {
		from  *peer.Conn
		renew session.Renew
	}
	renewedReceived struct{ renewed session.Renewed }
	asksReceived    struct{ asks takeover.Asks }
	sealsReceived   struct{ seals takeover.Seals }
	// recordsSeen are session records as a watch or a peer showed them.
	recordsSeen struct {
		records []session.Versioned
		deleted []host.Session
	}
	targetChanged struct{ target *session.Target }
	drainSession  struct{}
	leaveSession  struct{}
)

func (w sessionPutDone) leaseWork(l *leaseDuty, now mono.Time) {
	l.step(now, w.result)
}

func (w sessionGetDone) leaseWork(l *leaseDuty, now mono.Time) {
	l.step(now, w.result)
}

func (w takeoverPutDone) leaseWork(l *leaseDuty, now mono.Time) {
	l.doTakeover(l.takeover.PutResult(now, w.result))
}

func (w takeoverGetDone) leaseWork(l *leaseDuty, now mono.Time) {
	l.doTakeover(l.takeover.GetResult(now, w.result))
}

func (w renewReceived) leaseWork(l *leaseDuty, now mono.Time) {
	if !l.session.MayWitness(now) {
		return
	}
	answer, ok := l.witness.Renew(now, w.renew)
	if !ok {
		return
	}
	frame, err := wire.Encode(wire.KindRenewed, answer)
	if err == nil {
		_ = w.from.Send(frame)
	}
}

func (w renewedReceived) leaseWork(l *leaseDuty, now mono.Time) {
	l.step(now, w.renewed)
}

func (w asksReceived) leaseWork(l *leaseDuty, now mono.Time) {
	l.doTakeover(l.takeover.Asked(now, w.asks))
}

func (w sealsReceived) leaseWork(l *leaseDuty, now mono.Time) {
	l.doTakeover(l.takeover.Sealed(now, w.seals))
}

func (w recordsSeen) leaseWork(l *leaseDuty, now mono.Time) {
	for _, v := range w.records {
		l.step(now, session.Seen{Found: v})
		l.doTakeover(l.takeover.Seen(now, v))
	}
	for _, s := range w.deleted {
		l.doTakeover(l.takeover.Deleted(now, s))
	}
	l.step(now, session.Members{List: l.fleet.members()})
}

func (w targetChanged) leaseWork(l *leaseDuty, now mono.Time) {
	l.step(now, session.Announce{Target: w.target})
}

func (drainSession) leaseWork(l *leaseDuty, now mono.Time) {
	l.step(now, session.Drain{})
}

func (leaveSession) leaseWork(l *leaseDuty, now mono.Time) {
	l.step(now, session.Leave{})
}
