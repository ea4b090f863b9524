package bench

import (
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
)

const callTimeout = 5 * time.Second

// idTag and lastID form request ids. The tag keeps the ids of this process
// distinct from those of other runs.
var (
	idTag  = strconv.FormatInt(time.Now().UnixNano(), 36)
	lastID atomic.Uint64
)

// route is where requests are sent and which daemons handle them.
type route struct {
	address    string
	path       string
	key        string
	daemonPIDs []int // process ids
}

// runRound measures one round and adds it to the sample.
func (s *Sample) runRound(length time.Duration) {
	client := newClient(s.Path.route.address, s.Connections)
	defer client.CloseIdleConnections()
	openConnections(client, s.Path.route, s.Connections)
	callers := make([]*caller, s.Connections)
	used := cpuTime(s.Path.route.daemonPIDs)
	began := time.Now()
	pace := pacer{began: began, end: began.Add(length)}
	if s.Rate > 0 {
		pace.interval = time.Duration(float64(time.Second) / s.Rate)
	}
	var working sync.WaitGroup
	for i := range callers {
		c := &caller{client: client, route: s.Path.route, latency: hdrhistogram.New(1, maxLatency, significantDigits)}
		callers[i] = c
		working.Go(func() { c.run(&pace) })
	}
	working.Wait()
	s.Elapsed += time.Since(began)
	s.CPUTime += cpuTime(s.Path.route.daemonPIDs) - used
	for _, c := range callers {
		s.Done += c.done
		s.Failed += c.failed
		s.Latency.Merge(c.latency)
	}
}

// openConnections sends as many requests at once as there are connections, so
// that measured requests do not include the time to connect.
func openConnections(client *fasthttp.HostClient, r route, connections int) {
	var opening sync.WaitGroup
	for range connections {
		opening.Go(func() { _, _ = send(client, r) })
	}
	opening.Wait()
}

func newClient(address string, connections int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                     address,
		MaxConns:                 connections,
		NoDefaultUserAgentHeader: true,
		RetryIfErr:               func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:                     func(a string) (net.Conn, error) { return fasthttp.DialTimeout(a, callTimeout) },
	}
}

// pacer schedules requests at a fixed interval, or immediately if the interval
// is 0. All callers of a round share it.
type pacer struct {
	began     time.Time
	end       time.Time
	interval  time.Duration
	nextIndex atomic.Int64
}

// next waits until the next request is due and returns the time from which its
// latency counts, or false at the end of the round. If a request was due while
// all callers were busy, its latency counts from the due time, so that queueing
// is included. If a caller waited for the due time, its latency counts from the
// end of the wait, so that a late wake-up is not included.
func (p *pacer) next() (time.Time, bool) {
	now := time.Now()
	if p.interval == 0 {
		return now, now.Before(p.end)
	}
	n := p.nextIndex.Add(1) - 1
	due := p.began.Add(time.Duration(n) * p.interval)
	if !due.Before(p.end) {
		return due, false
	}
	early := due.Sub(now)
	if early <= 0 {
		return due, true
	}
	time.Sleep(early)
	return time.Now(), true
}

// caller sends one request at a time.
type caller struct {
	client  *fasthttp.HostClient
	route   route
	latency *hdrhistogram.Histogram
	done    uint64
	failed  uint64
}

func (c *caller) run(p *pacer) {
	for {
		from, more := p.next()
		if !more {
			return
		}
		if _, ok := send(c.client, c.route); !ok {
			c.failed++
			continue
		}
		c.done++
		_ = c.latency.RecordValue(min(int64(time.Since(from)), maxLatency))
	}
}

// send sends a request. It returns the owner named in the answer, and whether
// the answer has the request's id and status 200.
func send(client *fasthttp.HostClient, r route) (owner string, ok bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	id := idTag + "-" + strconv.FormatUint(lastID.Add(1), 10)
	req.SetRequestURI("http://" + r.address + r.path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set("Rhubarb-Key", r.key)
	req.Header.Set("Rhubarb-Request-Id", id)
	req.Header.Set("Rhubarb-Attempt", "1")
	req.SetBodyString(requestBody)
	if err := client.DoTimeout(req, resp, callTimeout); err != nil {
		return "", false
	}
	own := string(resp.Header.Peek("Rhubarb-Request-Id")) == id
	return string(resp.Header.Peek("Rhubarb-Owner")), own && resp.StatusCode() == fasthttp.StatusOK
}
