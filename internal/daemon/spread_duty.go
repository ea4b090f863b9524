package daemon

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/peer"
	"github.com/rhubarbring/rhubarbring/internal/ring"
	"github.com/rhubarbring/rhubarbring/internal/storeclient"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/placement"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/spread"
)

const (
	spreadRingSize = 4096
	listPage       = 200
)

// spreadKinds are the kinds that daemons pass on, the same on all of them.
var spreadKinds = []spread.Kind{document.Kind, session.Kind, assignment.Kind, placement.LeaderKind}

// spreadWork is something for the spread duty to do.
type spreadWork interface {
	spreadWork(s *spreadDuty, now mono.Time)
}

// spreadDuty learns of documents, sessions, assignments and the leader, from
// the store if this daemon is its zone's relay and else from its peers, and
// hands them to the other duties.
type spreadDuty struct {
	d       *Daemon
	ring    *ring.Ring[spreadWork]
	core    *spread.Core
	watches map[spread.Kind]uint64 // number of the newest watch of a kind
	pacers  map[spread.Kind]*pacer
	// strangers are connections of daemons whose records are not known here.
	strangers map[host.Session]*peer.Conn
	adopted   adoption
	began     mono.Time
	zone      zoneForce
	ready     atomic.Bool
	relay     atomic.Bool
	stop      chan struct{}
	done      sync.WaitGroup
}

// adoption is what one step put in force.
type adoption struct {
	records []session.Versioned
	deleted []host.Session
	packs   []packVersion
}

func newSpreadDuty(d *Daemon, seed uint64, registry metrics.Registry) *spreadDuty {
	cfg := spread.DefaultConfig()
	cfg.Self = d.self
	cfg.Zone = d.settings.Zone
	cfg.Kinds = spreadKinds
	cfg.Seed = seed
	cfg.Keep = func(k spread.Key) bool {
		return k.Kind != document.Kind || k.Name == d.settings.Environment
	}
	return &spreadDuty{
		d:         d,
		began:     bootclock.Now(),
		ring:      ring.New[spreadWork]("spread", spreadRingSize, registry),
		core:      spread.New(cfg, bootclock.Now()),
		watches:   make(map[spread.Kind]uint64),
		pacers:    make(map[spread.Kind]*pacer),
		strangers: make(map[host.Session]*peer.Conn),
		stop:      make(chan struct{}),
	}
}

func (s *spreadDuty) start() {
	s.done.Add(2)
	go s.run()
	go s.introduce()
}

func (s *spreadDuty) close() {
	close(s.stop)
	s.done.Wait()
}

func (s *spreadDuty) run() {
	defer s.done.Done()
	tick := time.NewTicker(spread.DefaultConfig().Interval)
	defer tick.Stop()
	now := bootclock.Now()
	s.step(now, spread.Members{All: s.members()})
	s.step(now, spread.Tick{})
	for {
		select {
		case w := <-s.ring.Items():
			w.spreadWork(s, bootclock.Now())
		case <-tick.C:
			s.step(bootclock.Now(), spread.Tick{})
		case <-s.stop:
			return
		}
	}
}

// frame takes a message of another daemon.
func (s *spreadDuty) frame(from *peer.Conn, kind wire.Kind, payload []byte) error {
	received := func(m spread.Message) { s.ring.Push(spreadReceived{conn: from, message: m}) }
	switch kind {
	case wire.KindHave:
		return decoded(payload, func(m spread.Have) { received(&m) })
	case wire.KindAsk:
		return decoded(payload, func(m spread.Ask) { received(&m) })
	default:
		return decoded(payload, func(m spread.Objects) { received(&m) })
	}
}

func (s *spreadDuty) members() []spread.Member {
	members := []spread.Member{{Session: s.d.self, Zone: s.d.settings.Zone}}
	for id, v := range s.d.fleet.sessions.Load().records {
		if id != s.d.self && !v.Record.State.Final() {
			members = append(members, spread.Member{Session: id, Zone: v.Record.Place.Zone})
		}
	}
	return members
}

func (s *spreadDuty) step(now mono.Time, ev spread.Event) {
	for _, action := range s.core.Step(now, ev) {
		s.do(action)
	}
	s.publish()
	s.followForce(now)
	s.handOver(now)
}

// publish shows and logs whether the daemon is its zone's relay.
func (s *spreadDuty) publish() {
	relay := s.core.IsRelay()
	if s.relay.Swap(relay) == relay {
		return
	}
	id := event.RelayEnded
	if relay {
		id = event.RelayStarted
	}
	s.d.log.Event(id, "zone", string(s.d.settings.Zone))
}

func (s *spreadDuty) do(action spread.Action) {
	switch a := action.(type) {
	case spread.Send:
		s.send(a)
	case spread.Watch:
		s.watches[a.Kind]++
		go s.watch(a, s.watches[a.Kind], s.pace(a.Kind))
	case spread.Unwatch:
		s.watches[a.Kind]++
	case spread.List:
		go s.list(a)
	case spread.Adopt:
		s.adopt(a)
	case spread.Ready:
		s.ready.Store(true)
		s.d.fleet.introduced.Store(nil)
		s.d.log.Event(event.CaughtUp, "after_ms", bootclock.Now().Sub(s.began).Milliseconds(), "source", s.source())
		s.d.lease.wait(recordsSeen{})
	}
}

func (s *spreadDuty) send(a spread.Send) {
	frame, err := wire.Encode(messageKind(a.Message), a.Message)
	if err != nil {
		s.d.log.Event(event.BadFrame, "peer", a.To.String(), "cause", err.Error())
		return
	}
	if address := s.d.fleet.peerAddress(a.To); address != "" {
		_, _ = s.d.peers.Send(address, frame, 0)
		return
	}
	// A daemon that starts while the store is down has no record yet: it is
	// answered on the connection that it asked on.
	conn, ok := s.strangers[a.To]
	if ok && conn.Send(frame) != nil {
		delete(s.strangers, a.To)
	}
}

func messageKind(m spread.Message) wire.Kind {
	switch m.(type) {
	case *spread.Have:
		return wire.KindHave
	case *spread.Ask:
		return wire.KindAsk
	default:
		return wire.KindObjects
	}
}

// pace returns how long the next watch of a kind has to wait.
func (s *spreadDuty) pace(kind spread.Kind) time.Duration {
	p, ok := s.pacers[kind]
	if !ok {
		p = &pacer{}
		s.pacers[kind] = p
	}
	return p.delay(bootclock.Now())
}

// watch waits in the store, on a goroutine of its own.
func (s *spreadDuty) watch(a spread.Watch, number uint64, delay time.Duration) {
	select {
	case <-s.stop:
		return
	case <-time.After(delay):
	}
	changes, err := s.d.client.Watch(string(a.Kind), a.Revision, a.Wait)
	s.d.store.note("watch", string(a.Kind), err)
	s.ring.Wait(watchDone{watch: a, number: number, changes: changes, err: err}, s.stop)
}

func (s *spreadDuty) list(a spread.List) {
	page, err := s.d.client.List(string(a.Kind), a.After, listPage)
	s.d.store.note("list", string(a.Kind), err)
	s.ring.Wait(listDone{list: a, page: page, err: err}, s.stop)
}

// source says whom the daemon caught up with.
func (s *spreadDuty) source() string {
	if s.core.IsRelay() {
		return "store"
	}
	return "peers"
}

func (s *spreadDuty) adopt(a spread.Adopt) {
	var err error
	switch a.Key.Kind {
	case document.Kind:
		err = s.adoptDocument(a.Object)
	case session.Kind:
		err = s.adoptSession(a.Object)
	case assignment.Kind:
		err = s.adoptPack(a.Object)
	case placement.LeaderKind:
		err = s.adoptLeader(a)
	}
	if err != nil {
		s.d.log.Event(event.BadObject, "object", string(a.Key.Kind)+"/"+a.Key.Name, "cause", err.Error())
	}
}

func (s *spreadDuty) adoptDocument(o spread.Object) error {
	if o.Deleted {
		return nil
	}
	stored, err := document.DecodeStored(o.Value)
	if err != nil {
		return err
	}
	doc, err := stored.Document()
	if err != nil {
		s.d.log.Event(event.DocumentRefused, "environment", s.d.settings.Environment, "version", stored.Version, "hash", stored.Hash.Short(), "cause", err.Error())
		return nil
	}
	if !doc.Serves(s.d.settings.Environment) {
		s.d.log.Event(event.DocumentElsewhere, "environment", s.d.settings.Environment, "version", stored.Version, "names", doc.Environment+" "+doc.Trial)
		return nil
	}
	if !s.d.fleet.adopt(stored, doc) {
		return nil
	}
	s.d.log.Event(event.DocumentInForce, "environment", s.d.settings.Environment, "version", stored.Version, "hash", stored.Hash.Short(), "who", stored.Who)
	s.d.placement.wait(appsChanged{apps: placementApps(stored, doc)})
	return nil
}

func (s *spreadDuty) adoptSession(o spread.Object) error {
	if o.Deleted {
		if id, ok := session.ParseName(o.Name); ok {
			s.adopted.deleted = append(s.adopted.deleted, id)
		}
		return nil
	}
	record, err := session.Decode(o.Value)
	if err != nil {
		return err
	}
	s.adopted.records = append(s.adopted.records, session.Versioned{Version: o.Version, Record: record})
	return nil
}

func (s *spreadDuty) adoptPack(o spread.Object) error {
	if o.Deleted {
		return nil
	}
	pack, err := assignment.Decode(o.Value)
	if err != nil {
		return err
	}
	s.adopted.packs = append(s.adopted.packs, packVersion{pack: pack, version: o.Version})
	return nil
}

func (s *spreadDuty) adoptLeader(a spread.Adopt) error {
	if a.Key.Name != placement.LeaderName || a.Object.Deleted {
		return nil
	}
	var leader placement.Leader
	if err := json.Unmarshal(a.Object.Value, &leader); err != nil {
		return err
	}
	s.d.placement.wait(leaderChanged{leader: leader, version: a.Object.Version})
	return nil
}

// handOver gives what a step adopted to the duties that depend on it.
func (s *spreadDuty) handOver(now mono.Time) {
	a := s.adopted
	s.adopted = adoption{}
	if len(a.records)+len(a.deleted) > 0 {
		s.sessionsChanged(now, a)
	}
	if len(a.packs) == 0 {
		return
	}
	s.d.routing.ring.Wait(packsSeen{packs: a.packs}, s.stop)
	for _, p := range a.packs {
		s.d.placement.wait(packChanged{pack: p})
	}
}

func (s *spreadDuty) sessionsChanged(now mono.Time, a adoption) {
	newer := s.d.fleet.put(a.records, a.deleted)
	s.d.lease.wait(recordsSeen{records: newer, deleted: a.deleted})
	s.d.placement.wait(sessionsChanged{records: newer})
	s.d.routing.ring.Wait(gatesChanged{}, s.stop)
	s.d.risk.ring.Push(fleetChanged{})
	for _, v := range newer {
		if v.Record.State.Final() {
			s.d.routing.ring.Wait(sessionEnded{session: v.Record.Session}, s.stop)
		}
	}
	s.step(now, spread.Members{All: s.members()})
}

// placementApps returns what placement needs to know of a document's apps.
func placementApps(stored *document.Stored, doc *document.Document) []placement.App {
	apps := make([]placement.App, 0, len(doc.Apps))
	for _, a := range doc.Apps {
		app := placement.App{
			Name:         a.Name,
			Slices:       slicesOf(a),
			DividedByKey: a.DividedByKey,
			MaxDeadline:  stored.LongestDeadline(a),
			Weights:      placement.Weights{Imbalance: a.Weights.Imbalance, Churn: a.Weights.Churn, Unavailable: a.Weights.Unavailable},
			MaxMoves:     a.MaxMovesPerRound,
		}
		if a.HotKeys != nil {
			app.HotKeys = placement.HotKeys{Share: a.HotKeys.Share, Expiry: a.HotKeys.Expiry.Std(), Maximum: a.HotKeys.Maximum}
		}
		apps = append(apps, app)
	}
	return apps
}

// What the spread duty is handed.
type (
	spreadReceived struct {
		conn    *peer.Conn
		message spread.Message
	}
	watchDone struct {
		watch   spread.Watch
		number  uint64
		changes storeclient.Changes
		err     error
	}
	listDone struct {
		list spread.List
		page storeclient.Page
		err  error
	}
	// objectWritten is an object that this daemon itself wrote.
	objectWritten struct{ object storeclient.Object }
)

func (w spreadReceived) spreadWork(s *spreadDuty, now mono.Time) {
	from := w.conn.Session()
	if from.IsNobody() {
		return
	}
	if s.d.fleet.peerAddress(from) == "" {
		s.strangers[from] = w.conn
	} else {
		delete(s.strangers, from)
	}
	s.step(now, spread.Received{From: from, Message: w.message})
}

func (w watchDone) spreadWork(s *spreadDuty, now mono.Time) {
	if s.watches[w.watch.Kind] != w.number {
		return
	}
	if w.err != nil {
		s.storeFailed(now, w.watch.Kind, w.err)
		return
	}
	s.step(now, spread.Watched{Kind: w.watch.Kind, Revision: w.changes.Revision, Objects: objects(w.changes.Events)})
}

func (s *spreadDuty) storeFailed(now mono.Time, kind spread.Kind, err error) {
	if storeclient.IsTooOld(err) {
		s.step(now, spread.Watched{Kind: kind, TooOld: true})
		return
	}
	s.step(now, spread.StoreFailed{Kind: kind})
}

func (w listDone) spreadWork(s *spreadDuty, now mono.Time) {
	if w.err != nil {
		s.step(now, spread.StoreFailed{Kind: w.list.Kind})
		return
	}
	s.step(now, spread.Listed{
		Kind:     w.list.Kind,
		After:    w.list.After,
		Revision: w.page.Revision,
		Objects:  objects(w.page.Items),
		Next:     w.page.Next,
	})
}

// A pack that this daemon wrote concerns its own slices at once; the others
// hear of it through the store's watch.
func (w objectWritten) spreadWork(s *spreadDuty, now mono.Time) {
	if err := s.adoptPack(spread.Object{Name: w.object.Name, Version: w.object.Version, Value: w.object.Value}); err == nil {
		s.handOver(now)
	}
}

func objects(items []storeclient.Object) []spread.Object {
	out := make([]spread.Object, 0, len(items))
	for _, o := range items {
		out = append(out, spread.Object{Name: o.Name, Version: o.Version, Deleted: o.Deleted, Value: o.Value})
	}
	return out
}
