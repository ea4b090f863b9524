package daemon

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/balance"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/gate"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/eventlog"
	"github.com/rhubarbring/rhubarbring/internal/peer"
	"github.com/rhubarbring/rhubarbring/internal/ring"
	"github.com/rhubarbring/rhubarbring/internal/targetclient"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/loadmeter"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/placement"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

const (
	routingRingSize = 1 << 14
	// submissionLimit leaves room in the ring for answers and ends of runs,
	// without which outcomes would become unknown.
	submissionLimit = routingRingSize / 2
	// idleTick is the time between two ticks when nothing is due sooner, and
	// leastTick bounds how soon.
	idleTick        = 50 * time.Millisecond
	leastTick       = time.Millisecond
	targetGoneAfter = 3 * time.Second
	// late answers of requests that must not repeat are waited for this long
	// after the deadline.
	lateAnswerWait = 10 * time.Second
	cancelWait     = 100 * time.Millisecond
	// forgetAfter is longer than any deadline and the wait for a late answer.
	forgetAfter = 90 * time.Second
	forgetEvery = time.Second
	// reportEvery is the time between two reports of load, and reportedKeys
	// the hottest keys named in each.
	reportEvery = 5 * time.Second
	// reportsPerSecond bounds what reaches the leader: at 130 bytes a report
	// some 5 KB a second.
	reportsPerSecond = 40
	// hotKeyEvery is the time between two looks for a key that is too hot to
	// wait for the next report.
	hotKeyEvery  = 15 * time.Second
	reportedKeys = 8
)

// routingWork is something for the routing duty to do.
type routingWork interface {
	routingWork(r *routingDuty, now mono.Time)
}

// routingDuty decides about requests: as entry, whom each is sent to, and as
// gate, what reaches the local target. Both roles need the same map of owners,
// so they share one duty and one copy of it.
type routingDuty struct {
	self   host.Session
	place  host.Place
	fleet  *fleet
	peers  *peer.Transport
	log    *eventlog.Log
	lease  func() mono.Time
	ring   *ring.Ring[routingWork]
	router *request.Router
	// balancer chooses gates; balanced is what it was last given.
	balancer *balance.Balancer
	balanced map[key.App][]balance.Gate
	// crossed is how many control bytes to other regions were counted.
	crossed int64
	holder  *handover.Holder
	owners  *assignment.Map
	gate    *gate.Gate // nil until a target has announced itself
	target  *localTarget
	// retired are gates of earlier targets that still have runs.
	retired []*gate.Gate
	// released is told of each release, which goes to the placement leader.
	released func(handover.Release)
	// reportLoad is told of the load on the target, for the leader.
	reportLoad func(placement.LoadReport)
	// targetGone is told that the target stopped announcing itself.
	targetGone func()
	// raise and settle take outcomes at risk.
	raise  func(request.Risk)
	settle func(request.Settlement)

	replies map[request.Caller]chan *request.Answer
	sent    map[uint64]sending
	over    bool // the daemon's session ended
	origins map[host.Session]*peer.Conn
	merged  map[key.Slice]int64 // when a carved-out key last returned, milliseconds since 1970
	history history
	// out and gateOut collect what the cores ask for; doing and gateDoing
	// are being done. Their memory is used again.
	out, doing         request.Actions
	gateOut, gateDoing gate.Actions
	stats              routingStats

	meter      *loadmeter.Meter
	reports    uint64
	nextReport mono.Time
	nextHotKey mono.Time
	nextForget mono.Time
	ready      atomic.Bool
	idle       atomic.Bool

	stop chan struct{}
	done sync.WaitGroup
}

// sending is a request that went to another daemon and is not answered yet.
type sending struct {
	to   host.Session
	conn *peer.Conn
	at   mono.Time
}

// run is a request at the local target.
type run struct {
	number   uint64
	gate     *gate.Gate
	slice    key.SliceID
	key      string
	ticket   handover.Ticket
	started  mono.Time
	deadline mono.Time
}

// localTarget is the target on this host as it last announced itself.
type localTarget struct {
	app      key.App
	client   *targetclient.Client
	lastSeen mono.Time
	load     float32 // as the target says itself
	slots    int
	gone     bool
}

type routingStats struct {
	latency metrics.Histogram
	service metrics.Histogram
}

const latencySample = 4096

func newRoutingDuty(d *Daemon, cfg request.Config, hold handover.Config, registry metrics.Registry) *routingDuty {
	r := &routingDuty{
		self:    d.self,
		place:   d.place(),
		fleet:   d.fleet,
		peers:   d.peers,
		log:     d.log,
		lease:   d.lease.lease,
		ring:    ring.New[routingWork]("routing", routingRingSize, registry),
		holder:  handover.New(hold),
		owners:  assignment.NewMap(),
		replies: make(map[request.Caller]chan *request.Answer),
		sent:    make(map[uint64]sending),
		origins: make(map[host.Session]*peer.Conn),
		merged:  make(map[key.Slice]int64),
		meter:   loadmeter.New(bootclock.Now()),
		stop:    make(chan struct{}),
	}
	cfg.Self = d.self
	cfg.Map = r
	near := balance.DefaultConfig()
	near.Place = d.place()
	near.Seed = cfg.Seed
	r.balancer = balance.New(near, bootclock.Now())
	cfg.Chooser = r.balancer
	r.router = request.NewRouter(cfg)
	r.stats.latency = metrics.NewHistogram(metrics.NewUniformSample(latencySample))
	r.stats.service = metrics.NewHistogram(metrics.NewUniformSample(latencySample))
	_ = registry.Register("routing.service_us", r.stats.service)
	return r
}

func (r *routingDuty) start() {
	r.done.Add(1)
	go r.run()
}

func (r *routingDuty) close() {
	close(r.stop)
	r.done.Wait()
}

func (r *routingDuty) run() {
	defer r.done.Done()
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	due := bootclock.Now().Add(idleTick)
	for {
		select {
		case w := <-r.ring.Items():
			r.step(w)
		case <-timer.C:
			r.tick()
			due = bootclock.Now().Add(idleTick)
			timer.Reset(idleTick)
		case <-r.stop:
			return
		}
		due = r.hasten(timer, due)
	}
}

// hasten sets the timer to an earlier time if a core has something due before
// the next tick.
func (r *routingDuty) hasten(timer *time.Timer, due mono.Time) mono.Time {
	next := due
	if at, ok := r.router.NextTick(); ok {
		next = min(next, at)
	}
	if r.gate != nil {
		if at, ok := r.gate.NextTick(); ok {
			next = min(next, at)
		}
	}
	if next == due {
		return due
	}
	wait := max(next.Sub(bootclock.Now()), leastTick)
	timer.Reset(wait)
	return next
}

// step does one piece of work. The lease is read anew each time, so that a
// pause of the process shows before anything is admitted.
func (r *routingDuty) step(w routingWork) {
	now := bootclock.Now()
	r.holder.SetLease(r.lease())
	w.routingWork(r, now)
	r.flush(now)
}

// publish shows the other duties whether a planned stop may go on.
func (r *routingDuty) publish() {
	idle := r.holder.Stopped() && len(r.retired) == 0 && (r.gate == nil || r.gate.Idle())
	r.idle.Store(idle)
}

func (r *routingDuty) tick() {
	now := bootclock.Now()
	r.holder.SetLease(r.lease())
	r.router.Tick(now, &r.out)
	r.doHolder(now, r.holder.Tick(now))
	r.tickGates(now)
	r.forgetSent(now)
	r.countControl(now)
	r.report(now)
	r.flush(now)
	r.publish()
}

// report tells the leader every so often how busy the target is.
func (r *routingDuty) report(now mono.Time) {
	if r.gate == nil || now.Before(r.nextReport) && !r.hasHotKey(now) {
		return
	}
	r.nextHotKey = now.Add(hotKeyEvery)
	r.nextReport = now.Add(reportInterval(len(r.fleet.sessions.Load().records)))
	r.reports++
	slices, keys := r.meter.Take(now, reportedKeys)
	r.reportLoad(placement.LoadReport{
		From:     r.self,
		App:      r.target.app,
		Sequence: r.reports,
		Target:   r.target.load,
		Slices:   slices,
		Keys:     keys,
	})
}

// hasHotKey reports whether a key may have to be carved out: its load is at
// half the document's bound. It looks every hotKeyEvery.
func (r *routingDuty) hasHotKey(now mono.Time) bool {
	if now.Before(r.nextHotKey) {
		return false
	}
	r.nextHotKey = now.Add(hotKeyEvery)
	app, ok := r.fleet.app(r.target.app)
	if !ok || app.HotKeys == nil {
		return false
	}
	bound := app.HotKeys.Share * float64(r.target.slots) / 2
	return float64(r.meter.Hottest(now)) > bound
}

// reportInterval is the time between two reports in a fleet of so many
// daemons: the leader takes no more than reportsPerSecond.
func reportInterval(daemons int) time.Duration {
	spread := time.Duration(daemons) * time.Second / reportsPerSecond
	return max(reportEvery, spread)
}

// forgetSent drops sendings whose late answers are no longer waited for.
func (r *routingDuty) forgetSent(now mono.Time) {
	if now.Before(r.nextForget) {
		return
	}
	r.nextForget = now.Add(forgetEvery)
	for seq, s := range r.sent {
		if now.Sub(s.at) > forgetAfter {
			delete(r.sent, seq)
		}
	}
}

func (r *routingDuty) tickGates(now mono.Time) {
	r.retired = slices.DeleteFunc(r.retired, (*gate.Gate).Idle)
	for _, g := range r.retired {
		g.Tick(now, wallMs(), &r.gateOut)
	}
	if r.gate == nil {
		return
	}
	t := r.target
	if !t.gone && now.Sub(t.lastSeen) > targetGoneAfter {
		t.gone = true
		r.gate.TargetGone(now, &r.gateOut)
		r.targetGone()
	}
	r.gate.Tick(now, wallMs(), &r.gateOut)
}

// flush carries out what the cores asked for. Local sendings may ask for more,
// which is collected aside meanwhile.
func (r *routingDuty) flush(now mono.Time) {
	for len(r.out.Local) > 0 || r.pending() {
		r.out, r.doing = r.doing, r.out
		r.doRouter(now, &r.doing)
		r.doing.Reset()
		r.gateOut, r.gateDoing = r.gateDoing, r.gateOut
		r.doGate(now, &r.gateDoing)
		r.gateDoing.Reset()
	}
}

func (r *routingDuty) pending() bool {
	o, g := &r.out, &r.gateOut
	return len(o.Sends)+len(o.Cancels)+len(o.Acks)+len(o.Replies)+len(o.Raises)+len(o.Settles) > 0 ||
		len(g.Starts)+len(g.Cancels)+len(g.Answers)+len(g.Raises)+len(g.Settles) > 0
}

func (r *routingDuty) doRouter(now mono.Time, out *request.Actions) {
	for _, s := range out.Sends {
		r.send(now, s)
	}
	for _, req := range out.Local {
		r.arrive(now, r.self, req)
	}
	for _, c := range out.Cancels {
		r.cancel(now, c)
	}
	for _, a := range out.Acks {
		r.ack(a)
	}
	for _, reply := range out.Replies {
		r.reply(reply)
	}
	for _, risk := range out.Raises {
		r.raise(risk)
	}
	for _, s := range out.Settles {
		r.settle(s)
	}
}

func (r *routingDuty) send(now mono.Time, s request.Send) {
	req := s.Request
	r.logSent(s.To, req)
	frame, err := wire.Encode(wire.KindRequest, req)
	if err != nil {
		r.router.SendFailed(now, req.Seq, result.TooLarge, &r.out)
		return
	}
	address := r.fleet.peerAddress(s.To)
	if address == "" || r.over {
		r.router.SendFailed(now, req.Seq, result.PeerUnreachable, &r.out)
		return
	}
	conn, err := r.peers.Send(address, frame, peer.Tag(req.Seq))
	if err != nil {
		r.router.SendFailed(now, req.Seq, result.PeerUnreachable, &r.out)
		return
	}
	r.sent[req.Seq] = sending{to: s.To, conn: conn, at: now}
}

func (r *routingDuty) cancel(now mono.Time, c request.SendCancel) {
	if c.To == r.self {
		if r.gate != nil {
			r.gate.Cancelled(now, r.self, c.Cancel, &r.gateOut)
		}
		return
	}
	s, ok := r.sent[c.Cancel.Seq]
	if !ok {
		return
	}
	if frame, err := wire.Encode(wire.KindCancel, c.Cancel); err == nil {
		_ = s.conn.Send(frame)
	}
}

// ack tells a gate which of its answers reached their callers. A lost one
// makes the gate raise an outcome that is known, should this daemon be lost.
func (r *routingDuty) ack(a request.SendAck) {
	if a.To == r.self {
		if r.gate != nil {
			r.gate.Acked(r.self, a.Ack)
		}
		return
	}
	frame, err := wire.Encode(wire.KindAck, a.Ack)
	if err != nil {
		return
	}
	if address := r.fleet.peerAddress(a.To); address != "" {
		_, _ = r.peers.Send(address, frame, 0)
	}
}

func (r *routingDuty) reply(reply request.Reply) {
	a := reply.Answer
	r.logAnswered(a)
	ch, ok := r.replies[reply.Caller]
	if !ok {
		return
	}
	delete(r.replies, reply.Caller)
	ch <- a
}

// arrive hands a request to the gate, if there is one.
func (r *routingDuty) arrive(now mono.Time, from host.Session, req *request.Request) {
	if r.gate != nil {
		r.gate.Arrive(now, wallMs(), from, req, &r.gateOut)
		return
	}
	a := &request.Answer{ID: req.ID, Attempt: req.Attempt, Seq: req.Seq, Code: result.NotOwner, Owner: string(r.self.Host)}
	r.gateOut.Answers = append(r.gateOut.Answers, gate.Answer{To: from, Answer: a})
}

func (r *routingDuty) doGate(now mono.Time, out *gate.Actions) {
	for i := range out.Starts {
		r.startRun(now, &out.Starts[i])
	}
	for _, c := range out.Cancels {
		go r.cancelRun(r.gate, r.target.client, c)
	}
	for _, a := range out.Answers {
		r.answer(now, a)
	}
	for _, risk := range out.Raises {
		r.raise(risk)
	}
	for _, s := range out.Settles {
		r.settle(s)
	}
}

// answer sends a gate's answer back to the entry daemon. One that can't be
// sent is lost: the entry daemon learns of the lost connection, or its
// deadline passes, and it tells its caller so.
func (r *routingDuty) answer(now mono.Time, a gate.Answer) {
	if a.Answer.Code != result.OK {
		r.logRefused(a.Answer)
	}
	if a.To == r.self {
		r.router.Answered(now, r.self, a.Answer, &r.out)
		return
	}
	origin, ok := r.origins[a.To]
	if !ok {
		return
	}
	if frame, err := wire.Encode(wire.KindAnswer, a.Answer); err == nil {
		_ = origin.Send(frame)
	}
}

// startRun sends a run to the target on a goroutine of its own. The slice
// stays held until the run is over.
func (r *routingDuty) startRun(now mono.Time, s *gate.Start) {
	req := s.Request
	r.logStarted(s)
	active := &run{number: s.Run, gate: r.gate, slice: req.Slice, key: req.Key, started: now, deadline: s.Deadline}
	if req.Slice != request.NoSlice {
		ticket, verdict := r.holder.Begin(now, key.Slice{App: req.App, ID: req.Slice})
		if !verdict.Admitted() {
			r.gate.TargetRefused(now, s.Run, verdict.Code, &r.gateOut)
			return
		}
		active.ticket = ticket
	}
	call := targetclient.Call{
		Run:      s.Run,
		Request:  req,
		Slice:    key.Slice{App: req.App, ID: req.Slice},
		Grant:    targetclient.Grant{Owner: s.Owner, Epoch: s.Epoch, Expires: s.Expires},
		Deadline: s.Deadline,
		Wait:     s.Deadline.Sub(now) + lateAnswerWait,
	}
	client := r.target.client
	go func() { r.ring.Wait(runEnded{run: active, reply: client.Do(call)}, r.stop) }()
}

func (r *routingDuty) cancelRun(g *gate.Gate, client *targetclient.Client, c gate.CancelRun) {
	stopped := client.Cancel(c.ID, c.Run, cancelWait)
	r.ring.Wait(cancelEnded{gate: g, run: c.Run, stopped: stopped}, r.stop)
}

func (r *routingDuty) doHolder(now mono.Time, actions []handover.Action) {
	changed := false
	for _, action := range actions {
		switch a := action.(type) {
		case handover.Admit:
			changed = true
			r.log.Event(event.SliceAdmitted, "slice", a.Slice.String(), "epoch", a.Epoch)
		case handover.StopAdmitting:
			changed = true
			r.log.Event(event.SliceDraining, "slice", a.Slice.String(), "epoch", a.Epoch, "next", a.Next.String())
		case handover.TellReleased:
			r.log.Event(event.SliceReleased, "slice", key.Slice{App: a.Release.App, ID: a.Release.ID}.String(), "epoch", a.Release.Epoch)
			r.released(a.Release)
		case handover.ReportOverdue:
			r.log.Event(event.DrainOverdue, "slice", a.Slice.String(), "epoch", a.Epoch, "in_flight", a.InFlight)
		case handover.ReportOverruled:
			r.log.Event(event.SliceOverruled, "slice", a.Slice.String(), "epoch", a.Epoch, "newest", a.Newest)
		}
	}
	if changed && r.gate != nil {
		r.gate.OwnershipChanged(now, &r.gateOut)
	}
}

func wallMs() int64 {
	return time.Now().UnixMilli()
}
