package daemon

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/internal/objectstore"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/quarantine"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/spread"
)

// crashingTarget is a target whose process ends when it begins to run a request
// with the body "poison". It answers other requests with their body.
type crashingTarget struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
	ended    atomic.Bool
}

func startCrashingTarget(t testing.TB) *crashingTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	c := &crashingTarget{listener: listener}
	go c.accept()
	t.Cleanup(c.end)
	return c
}

func (c *crashingTarget) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		c.mu.Lock()
		c.conns = append(c.conns, conn)
		c.mu.Unlock()
		go c.serve(conn)
	}
}

func (c *crashingTarget) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		var req fasthttp.Request
		if req.Read(reader) != nil {
			return
		}
		if string(req.Body()) == "poison" {
			c.end()
			return
		}
		var resp fasthttp.Response
		for _, name := range []string{"Rhubarb-Request-Id", "Rhubarb-Attempt"} {
			resp.Header.SetBytesV(name, req.Header.Peek(name))
		}
		resp.SetBody(req.Body())
		writer := bufio.NewWriter(conn)
		if resp.Write(writer) != nil || writer.Flush() != nil {
			return
		}
	}
}

// end closes the listener and all connections, as the end of a process does.
func (c *crashingTarget) end() {
	c.ended.Store(true)
	_ = c.listener.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// announceInstance makes the target the owner's, as a new instance.
func (p *routingPair) announceInstance(c *crashingTarget, instance uint64) {
	p.owner.routing.ring.Push(targetAnnounced{control.Announcement{
		App: pairApp, Address: c.listener.Addr().String(), Slots: 12, Connections: 130, ChecksGrants: true, State: control.StateWarm, Instance: instance,
	}})
}

func TestRequestThatCrashedThreeTargetsIsNotRunAgain(t *testing.T) {
	p := newRoutingPair(t, event.Info)
	crashed := 0
	for instance := range uint64(8) {
		target := startCrashingTarget(t)
		p.announceInstance(target, instance+1)
		must.Eq(t, result.OK, p.call(t, p.entry, "before"+string('a'+rune(instance)), []byte("harmless")).Code)
		p.call(t, p.entry, "poison"+string('a'+rune(instance)), []byte("poison"))
		if target.ended.Load() {
			crashed++
		}
	}
	must.LessEq(t, 3, crashed)
}

func TestEndOfTargetNamesRequestsLostWithIt(t *testing.T) {
	p := newRoutingPair(t, event.Info)
	target := startCrashingTarget(t)
	p.announceInstance(target, 1)
	must.Eq(t, result.OK, p.call(t, p.entry, "a", []byte("harmless")).Code)
	must.Eq(t, result.AnswerLost, p.call(t, p.entry, "b", []byte("poison")).Code)
	p.announceInstance(startCrashingTarget(t), 2)
	p.owner.routing.sync()
	p.owner.log.Close()
	poison := &request.Request{App: pairApp, Key: "k", Method: "POST", Path: "/items", Body: []byte("poison")}
	must.StrContains(t, p.logs[1].String(), "name=target_crashed level=warn app=catalogue instance=1 requests="+quarantine.Of(poison).String())
}

func TestCrashesAtOtherHostsPutRequestIntoQuarantine(t *testing.T) {
	p := newRoutingPair(t, event.Info)
	target := startCrashingTarget(t)
	p.announceInstance(target, 1)
	poison := quarantine.Of(&request.Request{App: pairApp, Key: "k", Method: "POST", Path: "/items", Body: []byte("poison")})
	for instance := range uint64(3) {
		report := quarantine.Report{Crashes: []quarantine.Crash{{Instance: 100 + instance, Requests: []quarantine.Fingerprint{poison}}}}
		p.entry.routing.ring.Push(crashReportObserved{host: "third", report: report, version: instance + 1})
	}
	a := p.call(t, p.entry, "b", []byte("poison"))
	must.Eq(t, result.Quarantined, a.Code)
	must.Between(t, time.Minute, a.RetryAfter, time.Hour)
	must.Eq(t, result.OK, p.call(t, p.entry, "a", []byte("harmless")).Code)
	must.False(t, target.ended.Load())
}

func TestCrashReportIsWrittenAgainUntilStoreTakesIt(t *testing.T) {
	d := newRoutingPair(t, event.Info).owner
	run := func(f func(r *routingLoop)) {
		_, err := queryRouting(d, func(r *routingLoop, _ mono.Time) bool { f(r); return true })
		must.NoError(t, err)
	}
	next := func() storeCall {
		select {
		case call := <-d.store.ring.Items():
			return call
		default:
			return storeCall{}
		}
	}
	crash := quarantine.Crash{Instance: 1, Requests: []quarantine.Fingerprint{{1}}}
	run(func(r *routingLoop) {
		r.crashReport.add(bootclock.Now(), crash)
		r.writeCrashReport()
		r.writeCrashReport()
	})
	first := next()
	must.Eq(t, opPut, first.op)
	must.Eq(t, 0, first.ifVersion)
	must.Eq(t, "", next().kind, must.Sprint("one write at a time"))

	first.done(storeAnswer{code: result.StoreConflict})
	d.routing.sync()
	read := next()
	must.Eq(t, opGet, read.op)
	read.done(storeAnswer{object: objectstore.Object{Version: 41}})
	d.routing.sync()
	run(func(r *routingLoop) { r.writeCrashReport() })
	second := next()
	must.Eq(t, 41, second.ifVersion)
	second.done(storeAnswer{code: result.StoreDoubt})
	d.routing.sync()
	run(func(r *routingLoop) { r.writeCrashReport() })
	must.Eq(t, 41, next().ifVersion)
}

// Guards against a report from which daemons that start later learn of a crash, and not
// that the request was answered since.
func TestAnswerToSuspectGoesIntoTheReport(t *testing.T) {
	d := newRoutingPair(t, event.Info).owner
	req := &request.Request{App: pairApp, Key: "k", Method: "GET", Path: "/popular"}
	f := quarantine.Of(req)
	_, err := queryRouting(d, func(r *routingLoop, now mono.Time) bool {
		r.publishCrash(now, quarantine.Crash{Instance: 1, Requests: []quarantine.Fingerprint{f}})
		r.crashReport.changed = false
		r.requestAnswered(req)
		must.Eq(t, []quarantine.Fingerprint{f}, r.crashReport.report.Crashes[0].Answered)
		must.True(t, r.crashReport.changed)
		r.crashReport.changed = false
		r.requestAnswered(req)
		must.False(t, r.crashReport.changed, must.Sprint("it is no suspect any more"))
		return true
	})
	must.NoError(t, err)
}

func TestCrashesOfLongAgoLeaveTheReport(t *testing.T) {
	now := bootclock.Now()
	var c crashReport
	c.add(now, quarantine.Crash{Instance: 1})
	c.changed = false
	c.expire(now.Add(reportRetention))
	must.False(t, c.changed)
	c.expire(now.Add(reportRetention + time.Second))
	must.True(t, c.changed)
	must.SliceEmpty(t, c.report.Crashes)
}

func TestCrashReportThatSpreadsIsCounted(t *testing.T) {
	d := newRoutingPair(t, event.Info).entry
	var report quarantine.Report
	for instance := range uint64(2) {
		report.Add(quarantine.Crash{Instance: instance, Requests: []quarantine.Fingerprint{{1}}})
	}
	raw, err := report.Encode()
	must.NoError(t, err)
	must.SliceContains(t, spreadKinds, spread.Kind(quarantine.ObjectKind))
	d.spread.adopt(spread.Adopt{Key: spread.Key{Kind: quarantine.ObjectKind, Name: "third"}, Object: spread.Object{Name: "third", Version: 7, Value: raw}})
	held, err := queryRouting(d, func(r *routingLoop, now mono.Time) int { return r.quarantine.Held(now) })
	must.NoError(t, err)
	must.Eq(t, 1, held)
}
