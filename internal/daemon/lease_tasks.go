package daemon

import (
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/peer"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/takeover"
)

// Tasks of the lease loop.
type (
	sessionPutDone  struct{ result session.PutResult }
	sessionGetDone  struct{ result session.GetResult }
	takeoverPutDone struct{ result session.PutResult }
	takeoverGetDone struct{ result session.GetResult }
	renewReceived   struct {
		from  *peer.Conn
		renew session.Renew
	}
	renewResponseReceived struct{ response session.RenewResponse }
	sealRequestsReceived  struct{ requests takeover.SealRequests }
	sealResponseReceived  struct{ response takeover.SealResponse }
	// recordsObserved are session records observed by a watch or received from a
	// peer.
	recordsObserved struct {
		records []session.VersionedRecord
		deleted []host.Session
	}
	targetChanged struct{ target *session.Target }
	drainSession  struct{}
	leaveSession  struct{}
)

func (w sessionPutDone) handle(l *leaseLoop, now mono.Time) {
	l.step(now, w.result)
}

func (w sessionGetDone) handle(l *leaseLoop, now mono.Time) {
	l.step(now, w.result)
}

func (w takeoverPutDone) handle(l *leaseLoop, now mono.Time) {
	l.executeTakeover(l.takeover.PutResult(now, w.result))
}

func (w takeoverGetDone) handle(l *leaseLoop, now mono.Time) {
	l.executeTakeover(l.takeover.GetResult(now, w.result))
}

func (w renewReceived) handle(l *leaseLoop, now mono.Time) {
	if !l.session.MayWitness(now) {
		return
	}
	answer, ok := l.witness.Renew(now, w.renew)
	if !ok {
		return
	}
	frame, err := wire.Encode(wire.KindRenewResponse, answer)
	if err == nil {
		_ = w.from.Send(frame)
	}
}

func (w renewResponseReceived) handle(l *leaseLoop, now mono.Time) {
	l.step(now, w.response)
}

func (w sealRequestsReceived) handle(l *leaseLoop, now mono.Time) {
	l.executeTakeover(l.takeover.HandleSealRequests(now, w.requests))
}

func (w sealResponseReceived) handle(l *leaseLoop, now mono.Time) {
	l.executeTakeover(l.takeover.HandleSealResponse(now, w.response))
}

func (w recordsObserved) handle(l *leaseLoop, now mono.Time) {
	for _, v := range w.records {
		l.step(now, session.RecordObserved{Record: v})
		l.executeTakeover(l.takeover.RecordObserved(now, v))
	}
	for _, s := range w.deleted {
		l.executeTakeover(l.takeover.RecordDeleted(now, s))
		if s == l.self {
			l.step(now, session.RecordDeleted{})
		}
	}
	l.step(now, session.MembersChanged{List: l.fleet.sessionMembers()})
}

func (w targetChanged) handle(l *leaseLoop, now mono.Time) {
	l.step(now, session.TargetAnnounced{Target: w.target})
}

func (drainSession) handle(l *leaseLoop, now mono.Time) {
	l.step(now, session.Drain{})
}

func (leaveSession) handle(l *leaseLoop, now mono.Time) {
	l.step(now, session.Leave{})
}
