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

// idTag keeps the ids of this process apart from those of any other.
var (
	idTag  = strconv.FormatInt(time.Now().UnixNano(), 36)
	lastID atomic.Uint64
)

// route is where requests go and which processes work on them.
type route struct {
	address string
	path    string
	key     string
	daemons []int // process ids
}

// take measures one round of a sample.
func (s *Sample) take(length time.Duration) {
	client := newClient(s.Way.route.address, s.Connections)
	defer client.CloseIdleConnections()
	warm(client, s.Way.route, s.Connections)
	callers := make([]*caller, s.Connections)
	used := processorTime(s.Way.route.daemons)
	began := time.Now()
	pace := pacer{began: began, end: began.Add(length)}
	if s.Rate > 0 {
		pace.gap = time.Duration(float64(time.Second) / s.Rate)
	}
	var working sync.WaitGroup
	for i := range callers {
		c := &caller{client: client, route: s.Way.route, latency: hdrhistogram.New(1, maxLatency, significantDigits)}
		callers[i] = c
		working.Go(func() { c.run(&pace) })
	}
	working.Wait()
	s.Elapsed += time.Since(began)
	s.Processor += processorTime(s.Way.route.daemons) - used
	for _, c := range callers {
		s.Done += c.done
		s.Failed += c.failed
		s.Latency.Merge(c.latency)
	}
}

// warm opens the connections, so that no measured request waits for one.
func warm(client *fasthttp.HostClient, r route, connections int) {
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

// pacer says when each request is due: at even gaps, or at once if the gap is
// 0. The callers share it.
type pacer struct {
	began time.Time
	end   time.Time
	gap   time.Duration
	next  atomic.Int64
}

// wait returns when the next request counts from, and false at the end. A
// request that was due while all callers were busy counts from its due time;
// one that a caller waited for counts from the end of the wait.
func (p *pacer) wait() (time.Time, bool) {
	now := time.Now()
	if p.gap == 0 {
		return now, now.Before(p.end)
	}
	n := p.next.Add(1) - 1
	due := p.began.Add(time.Duration(n) * p.gap)
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
		from, more := p.wait()
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

// send returns the owner that the answer names, and whether it is an answer
// to this very request with status 200.
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
	req.SetBodyString(body)
	if err := client.DoTimeout(req, resp, callTimeout); err != nil {
		return "", false
	}
	own := string(resp.Header.Peek("Rhubarb-Request-Id")) == id
	return string(resp.Header.Peek("Rhubarb-Owner")), own && resp.StatusCode() == fasthttp.StatusOK
}
