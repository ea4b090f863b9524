package daemon

import (
	"encoding/json"
	"time"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/objectstore"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/placement"
	"github.com/rhubarbring/rhubarbring/restore"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/targetstatus"
)

// Tasks of the placement loop.
type (
	placementPutDone struct {
		write  placement.Write
		answer storeAnswer
	}
	placementGetDone struct {
		read   placement.Read
		answer storeAnswer
	}
	storeSynced struct {
		sessions []objectstore.Object
		packs    []objectstore.Object
	}
	sessionsChanged struct {
		records []session.VersionedRecord
		deleted []host.Session
	}
	packChanged   struct{ pack packVersion }
	packMissing   struct{ lostPack }
	leaderChanged struct {
		leader  placement.Leader
		version uint64
	}
	appsChanged     struct{ apps []placement.App }
	releaseReceived struct{ release handover.Release }
	loadReceived    struct{ report placement.LoadReport }
	localRelease    struct{ release handover.Release }
	// claimReceived is a claim of another daemon, and localClaim one of this one.
	claimReceived struct{ claim handover.Claim }
	localClaim    struct{ claim handover.Claim }
	localLoad     struct{ report placement.LoadReport }
	// targetStatusReported is what the daemon beside a target reports of it, and
	// localTargetStatus what this daemon has to report to the leader.
	targetStatusReported struct {
		from   host.Session
		report targetstatus.Report
	}
	localTargetStatus struct{ report targetstatus.Report }
)

func (w placementPutDone) handle(p *placementLoop, now mono.Time) {
	p.storeHealth.record(now, w.answer.code)
	kind, name, token := w.write.Kind, w.write.Name, w.write.Token
	switch w.answer.code {
	case result.OK:
		p.step(now, placement.WriteAccepted{Kind: kind, Name: name, Token: token, Version: w.answer.object.Version})
	case result.StoreConflict:
		p.log.Event(event.PackRefused, "name", name)
		p.step(now, placement.WriteRejected{Kind: kind, Name: name, Token: token})
	default:
		p.log.Event(event.PackDoubtful, "name", name, "token", token)
		p.step(now, placement.WriteUnconfirmed{Kind: kind, Name: name, Token: token})
	}
}

func (w placementGetDone) handle(p *placementLoop, now mono.Time) {
	p.storeHealth.record(now, w.answer.code)
	found := w.answer.code == result.OK
	missing := w.answer.code == result.StoreNotFound
	if !found && !missing {
		return
	}
	if w.read.Kind == placement.LeaderKind {
		p.observeLeader(now, w.answer, found)
		return
	}
	if w.read.Kind == session.ObjectKind {
		p.observeSession(now, w.read.Name, w.answer.object, found)
		return
	}
	if found {
		p.observePack(now, w.answer.object)
		return
	}
	if app, first, ok := assignment.ParsePackName(w.read.Name); ok {
		p.step(now, placement.PackMissing{App: app, First: first, Version: w.answer.object.Version})
	}
}

func (p *placementLoop) observeLeader(now mono.Time, answer storeAnswer, found bool) {
	seen := placement.LeaderObserved{}
	if found {
		if json.Unmarshal(answer.object.Value, &seen.Leader) != nil {
			return
		}
		seen.Version = answer.object.Version
	}
	p.step(now, seen)
}

func (p *placementLoop) observeSession(now mono.Time, name string, object objectstore.Object, found bool) {
	id, ok := session.ParseObjectName(name)
	if !ok {
		return
	}
	if !found {
		p.step(now, placement.SessionMissing{Session: id})
		return
	}
	if record, err := session.Decode(object.Value); err == nil {
		p.step(now, placement.SessionObserved{Record: record, Version: object.Version})
	}
}

func (p *placementLoop) observePack(now mono.Time, object objectstore.Object) {
	pack, err := assignment.Decode(object.Value)
	if err != nil {
		p.log.Event(event.BadObject, "object", object.Kind+"/"+object.Name, "cause", err.Error())
		return
	}
	p.spreadRestored(object)
	p.step(now, placement.PackObserved{Pack: pack, Version: object.Version})
}

// spreadRestored passes a pack that this daemon has read on as if it had written it,
// if the store has come back from a copy. Holders that do not know of that yet must
// see its entries within restore.NoticeTime of the leader. What they have seen
// already is not sent again.
func (p *placementLoop) spreadRestored(object objectstore.Object) {
	if restore.VersionOf(object.Version).Era > 0 {
		p.store.onWritten(object)
	}
}

func (w storeSynced) handle(p *placementLoop, now mono.Time) {
	for _, object := range w.sessions {
		if record, err := session.Decode(object.Value); err == nil {
			p.step(now, placement.SessionObserved{Record: record, Version: object.Version})
		}
	}
	for _, object := range w.packs {
		p.observePack(now, object)
	}
	p.step(now, placement.ListingComplete{})
}

func (w sessionsChanged) handle(p *placementLoop, now mono.Time) {
	for _, v := range w.records {
		p.step(now, placement.SessionObserved{Record: v.Record, Version: v.Version})
		if v.Record.State != session.Live {
			p.scheduleEarlyTick()
		}
	}
	for _, s := range w.deleted {
		p.step(now, placement.SessionDeleted{Session: s})
	}
}

func (w packChanged) handle(p *placementLoop, now mono.Time) {
	if p.core.IsLeader() {
		p.step(now, placement.PackObserved{Pack: w.pack.pack, Version: w.pack.version})
	}
}

func (w packMissing) handle(p *placementLoop, now mono.Time) {
	if p.core.IsLeader() {
		p.step(now, placement.PackMissing{App: w.app, First: w.first, Version: w.version})
	}
}

func (w leaderChanged) handle(p *placementLoop, now mono.Time) {
	p.step(now, placement.LeaderObserved{Leader: w.leader, Version: w.version})
}

func (w appsChanged) handle(p *placementLoop, now mono.Time) {
	p.step(now, placement.AppsChanged{Apps: w.apps})
}

func (w releaseReceived) handle(p *placementLoop, now mono.Time) {
	p.step(now, placement.ReleaseReceived{Release: w.release})
	p.scheduleEarlyTick()
}

// scheduleEarlyTick makes a planning round follow soon if this daemon leads.
func (p *placementLoop) scheduleEarlyTick() {
	if p.earlyTickPending || !p.core.IsLeader() {
		return
	}
	p.earlyTickPending = true
	time.AfterFunc(earlyTickDelay, func() { p.pushWait(earlyTickDue{}) })
}

// earlyTickDue runs a scheduled early tick.
type earlyTickDue struct{}

func (earlyTickDue) handle(p *placementLoop, now mono.Time) {
	p.earlyTickPending = false
	p.step(now, placement.Tick{})
}

func (w claimReceived) handle(p *placementLoop, now mono.Time) {
	p.step(now, placement.ClaimReceived{Claim: w.claim})
	p.scheduleEarlyTick()
}

func (w localClaim) handle(p *placementLoop, now mono.Time) {
	p.sendToLeader(now, wire.KindClaim, w.claim, placement.ClaimReceived{Claim: w.claim})
	p.scheduleEarlyTick()
}

func (w loadReceived) handle(p *placementLoop, now mono.Time) {
	p.step(now, placement.LoadReported{Report: w.report})
}

func (w localRelease) handle(p *placementLoop, now mono.Time) {
	p.sendToLeader(now, wire.KindRelease, w.release, placement.ReleaseReceived{Release: w.release})
	p.scheduleEarlyTick()
}

func (w localLoad) handle(p *placementLoop, now mono.Time) {
	p.sendToLeader(now, wire.KindLoadReport, w.report, placement.LoadReported{Report: w.report})
}

func (w targetStatusReported) handle(p *placementLoop, now mono.Time) {
	p.step(now, placement.TargetStatusReported{From: w.from, Report: w.report})
	if w.report.Leaving {
		p.scheduleEarlyTick()
	}
}

func (w localTargetStatus) handle(p *placementLoop, now mono.Time) {
	p.sendToLeader(now, wire.KindTargetStatus, w.report, placement.TargetStatusReported{From: p.self, Report: w.report})
}
