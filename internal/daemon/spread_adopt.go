package daemon

import (
	"encoding/json"
	"time"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/evacuation"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/placement"
	"github.com/rhubarbring/rhubarbring/quarantine"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/spread"
)

// catchUpSource returns where the daemon got the state that it caught up with.
func (s *spreadLoop) catchUpSource() string {
	if s.core.IsRelay() {
		return "store"
	}
	return "peers"
}

func (s *spreadLoop) adopt(a spread.Adopt) {
	var err error
	switch a.Key.Kind {
	case document.Kind:
		err = s.adoptDocument(a.Object, a.Waited)
	case session.ObjectKind:
		err = s.adoptSession(a.Object)
	case assignment.Kind:
		err = s.adoptPack(a.Object, a.Written)
	case placement.LeaderKind:
		err = s.adoptLeader(a)
	case quarantine.ObjectKind:
		err = s.adoptCrashReport(a.Object)
	case evacuation.ObjectKind:
		s.adoptEvacuation(a.Object)
	}
	if err != nil {
		s.d.log.Event(event.BadObject, "object", string(a.Key.Kind)+"/"+a.Key.Name, "cause", err.Error())
	}
}

// adoptDocument puts a document in force if it is newer than the one that is. It was
// waited for since another daemon first told of it.
func (s *spreadLoop) adoptDocument(o spread.Object, waited time.Duration) error {
	if o.Deleted {
		return nil
	}
	begin := bootclock.Now()
	stored, err := document.DecodeStored(o.Value)
	if err != nil {
		return err
	}
	if !s.d.fleet.isNewDocument(stored.Version) {
		return nil
	}
	doc, err := stored.Document()
	if err != nil {
		s.d.fleet.refuse(stored.Version)
		s.d.log.Event(event.DocumentRefused, "environment", s.d.settings.Environment, "version", stored.Version, "hash", stored.Hash.Short(), "cause", err.Error())
		return nil
	}
	if !doc.AllowedIn(s.d.settings.Environment) {
		s.d.log.Event(event.DocumentElsewhere, "environment", s.d.settings.Environment, "version", stored.Version, "names", doc.Environment+" "+doc.Trial)
		return nil
	}
	if !s.d.fleet.adopt(stored, doc) {
		return nil
	}
	s.d.log.Event(event.DocumentInForce, "environment", s.d.settings.Environment, "version", stored.Version, "hash", stored.Hash.Short(), "who", stored.Who,
		"waited_ms", waited.Milliseconds(), "took_ms", bootclock.Now().Sub(begin).Milliseconds())
	s.d.routing.ring.PushWait(documentChanged{document: doc}, s.stop)
	s.d.placement.pushWait(appsChanged{apps: placementApps(stored, doc)})
	s.d.applyEvacuations()
	return nil
}

func (s *spreadLoop) adoptSession(o spread.Object) error {
	if o.Deleted {
		if id, ok := session.ParseObjectName(o.Name); ok {
			s.adopted.deleted = append(s.adopted.deleted, id)
		}
		return nil
	}
	record, err := session.Decode(o.Value)
	if err != nil {
		return err
	}
	s.adopted.records = append(s.adopted.records, session.VersionedRecord{Version: o.Version, Record: record})
	return nil
}

func (s *spreadLoop) adoptPack(o spread.Object, written bool) error {
	if o.Deleted {
		s.adoptPackDeletion(o)
		return nil
	}
	pack, err := assignment.Decode(o.Value)
	if err != nil {
		return err
	}
	s.adopted.packs = append(s.adopted.packs, packVersion{pack: pack, version: o.Version, written: written})
	return nil
}

// adoptPackDeletion passes on that the store has lost a pack. Packs are never
// deleted: the store came back from a copy that is older than the pack.
func (s *spreadLoop) adoptPackDeletion(o spread.Object) {
	app, first, ok := assignment.ParsePackName(o.Name)
	if !ok {
		return
	}
	lost := lostPack{app: app, first: first, version: o.Version}
	s.d.routing.ring.PushWait(packLost{lost}, s.stop)
	s.d.placement.pushWait(packMissing{lost})
}

func (s *spreadLoop) adoptLeader(a spread.Adopt) error {
	if a.Key.Name != placement.LeaderName || a.Object.Deleted {
		return nil
	}
	var leader placement.Leader
	if err := json.Unmarshal(a.Object.Value, &leader); err != nil {
		return err
	}
	s.d.placement.pushWait(leaderChanged{leader: leader, version: a.Object.Version})
	return nil
}

func (s *spreadLoop) adoptCrashReport(o spread.Object) error {
	if o.Deleted {
		return nil
	}
	report, err := quarantine.DecodeReport(o.Value)
	if err != nil {
		return err
	}
	s.d.routing.ring.PushWait(crashReportObserved{host: o.Name, report: report, version: o.Version}, s.stop)
	return nil
}

// distribute passes the objects that a step adopted to the loops that depend on
// them.
func (s *spreadLoop) distribute(now mono.Time) {
	a := s.adopted
	s.adopted = adoptedObjects{}
	if len(a.records)+len(a.deleted) > 0 {
		s.sessionsChanged(now, a)
	}
	if len(a.packs) == 0 {
		return
	}
	s.d.routing.ring.PushWait(packsObserved{packs: a.packs}, s.stop)
	for _, p := range a.packs {
		s.d.placement.pushWait(packChanged{pack: p})
	}
}

func (s *spreadLoop) sessionsChanged(now mono.Time, a adoptedObjects) {
	newer := s.d.fleet.update(a.records, a.deleted)
	s.d.lease.pushWait(recordsObserved{records: newer, deleted: a.deleted})
	s.d.placement.pushWait(sessionsChanged{records: newer, deleted: a.deleted})
	s.d.routing.ring.PushWait(gatesChanged{}, s.stop)
	s.d.risk.ring.Push(fleetChanged{})
	for _, v := range newer {
		if v.Record.State.Final() {
			s.d.routing.ring.PushWait(sessionEnded{session: v.Record.Session}, s.stop)
		}
	}
	s.step(now, spread.Members{All: s.members()})
}

// placementApps converts a document's apps to the form that placement uses.
func placementApps(stored *document.Stored, doc *document.Document) []placement.App {
	apps := make([]placement.App, 0, len(doc.Apps))
	for _, a := range doc.Apps {
		if !hasSlices(a) {
			continue
		}
		app := placement.App{
			Name:           a.Name,
			Slices:         sliceCount(a),
			DividedByKey:   a.DividedByKey,
			DividedByRange: a.KeyNumbers > 0,
			MaxDeadline:    stored.LongestDeadline(a),
			Weights:        placement.Weights{Imbalance: a.Weights.Imbalance, Churn: a.Weights.Churn, Unavailable: a.Weights.Unavailable},
			MaxMoves:       a.MaxMovesPerRound,
			Regions:        doc.RegionsForSlices(a.Name),
		}
		if a.HotKeys != nil {
			app.HotKeys = placement.HotKeys{Share: a.HotKeys.Share, Expiry: a.HotKeys.Expiry.Std(), Maximum: a.HotKeys.Maximum}
		}
		apps = append(apps, app)
	}
	return apps
}
