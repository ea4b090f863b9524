package fakestore_test

import (
	"encoding/json"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/internal/fakestore"
)

// client calls a store on a loopback port.
type client struct {
	t    *testing.T
	base string
	http *fasthttp.Client
}

type answer struct {
	status  int
	version string
	body    []byte
	err     error
}

func start(t *testing.T, history int) (*fakestore.Server, client) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := fakestore.New(fakestore.Config{Seed: 1, History: history})
	done := make(chan error, 1)
	go func() { done <- server.Serve(ln) }()
	t.Cleanup(func() {
		must.NoError(t, server.Close())
		must.NoError(t, <-done)
	})
	noRepeat := func(*fasthttp.Request, int, error) (bool, bool) { return false, false }
	return server, client{t: t, base: "http://" + ln.Addr().String(), http: &fasthttp.Client{RetryIfErr: noRepeat}}
}

func (c client) do(method, path, ifVersion, body string) answer {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + path)
	req.Header.SetMethod(method)
	req.SetBodyString(body)
	if ifVersion != "" {
		req.Header.Set("If-Version", ifVersion)
	}
	err := c.http.Do(req, resp)
	return answer{
		status:  resp.StatusCode(),
		version: string(resp.Header.Peek("Version")),
		body:    append([]byte(nil), resp.Body()...),
		err:     err,
	}
}

func (c client) expect(status int, version, method, path, ifVersion, body string) answer {
	c.t.Helper()
	a := c.do(method, path, ifVersion, body)
	must.NoError(c.t, a.err)
	must.Eq(c.t, status, a.status)
	must.Eq(c.t, version, a.version)
	return a
}

const path = "/v1/objects/session/h1"

func TestObjectCalls(t *testing.T) {
	_, c := start(t, 10)
	c.expect(404, "", "GET", path, "", "")
	c.expect(409, "0", "PUT", path, "3", "x")
	c.expect(200, "1", "PUT", path, "0", "one")
	c.expect(409, "1", "PUT", path, "0", "two")
	c.expect(200, "2", "PUT", "/v1/objects/session/h2", "0", "other")
	c.expect(200, "3", "PUT", path, "1", "two")
	must.Eq(t, "two", string(c.expect(200, "3", "GET", path, "", "").body))
	c.expect(409, "3", "DELETE", path, "1", "")
	c.expect(200, "4", "DELETE", path, "3", "")
	c.expect(404, "0", "DELETE", path, "4", "")
	c.expect(400, "", "PUT", path, "", "x")
}

func TestValueAboveLimitIsRefused(t *testing.T) {
	_, c := start(t, 10)
	tooLarge := make([]byte, fakestore.MaxValueBytes+1)
	c.expect(200, "1", "PUT", path, "0", string(tooLarge[1:]))
	c.expect(413, "", "PUT", path, "1", string(tooLarge))
}

func TestListPages(t *testing.T) {
	_, c := start(t, 10)
	for i, name := range []string{"b", "a", "c"} {
		c.expect(200, strconv.Itoa(i+1), "PUT", "/v1/objects/k/"+name, "0", name)
	}
	first := c.expect(200, "", "GET", "/v1/objects/k?limit=2", "", "").body
	must.Eq(t, `{"items":[{"name":"a","version":2,"value":"YQ=="},{"name":"b","version":1,"value":"Yg=="}],"revision":3,"next":"b"}`, string(first))
	last := c.expect(200, "", "GET", "/v1/objects/k?after=b&limit=2", "", "").body
	must.Eq(t, `{"items":[{"name":"c","version":3,"value":"Yw=="}],"revision":3,"next":""}`, string(last))
}

func TestWatch(t *testing.T) {
	_, c := start(t, 2)
	c.expect(200, "1", "PUT", path, "0", "a")
	c.expect(200, "2", "PUT", path, "1", "b")
	c.expect(200, "3", "DELETE", path, "2", "")
	got := c.expect(200, "", "GET", "/v1/watch/session?revision=1&wait=0", "", "").body
	must.Eq(t, `{"events":[{"name":"h1","version":2,"deleted":false,"value":"Yg=="},{"name":"h1","version":3,"deleted":true}],"revision":3}`, string(got))
	c.expect(410, "", "GET", "/v1/watch/session?revision=0&wait=0", "", "")
	c.expect(410, "", "GET", "/v1/watch/session?revision=9&wait=0", "", "")
	none := c.expect(200, "", "GET", "/v1/watch/other?revision=3&wait=1", "", "").body
	must.Eq(t, `{"events":[],"revision":3}`, string(none))
}

// A waiting watch must return as soon as a change is made, long before its
// wait is over.
func TestWatchWaitsForTheChange(t *testing.T) {
	server, c := start(t, 10)
	got := make(chan answer, 1)
	go func() { got <- c.do("GET", "/v1/watch/session?revision=0&wait=60000", "", "") }()
	waitForCall(server, fakestore.MethodWatch)
	c.expect(200, "1", "PUT", path, "0", "a")
	must.StrContains(t, string((<-got).body), `"name":"h1"`)
}

// waitForCall returns once the store has counted a call of the method.
func waitForCall(server *fakestore.Server, m fakestore.Method) {
	for {
		for _, n := range server.Calls().Counts {
			if n.Method == m {
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
}

func TestOutageHasNoEffectAndBreaksWatches(t *testing.T) {
	server, c := start(t, 10)
	got := make(chan answer, 1)
	go func() { got <- c.do("GET", "/v1/watch/session?revision=0&wait=60000", "", "") }()
	waitForCall(server, fakestore.MethodWatch)
	server.SetFault(fakestore.Fault{Outage: true})
	must.Error(t, (<-got).err)
	for range 20 {
		a := c.do("PUT", path, "0", "x")
		must.True(t, a.err != nil || a.status == 503)
	}
	server.SetFault(fakestore.Fault{})
	c.expect(404, "", "GET", path, "", "")
}

func TestFaultAppliesOnlyToItsKinds(t *testing.T) {
	server, c := start(t, 10)
	server.SetFault(fakestore.Fault{Outage: true, OnlyKinds: []string{"document"}})
	c.expect(200, "1", "PUT", path, "0", "x")
	a := c.do("GET", "/v1/objects/document/d", "", "")
	must.True(t, a.err != nil || a.status == 503)
}

func TestLostAnswerTakesEffect(t *testing.T) {
	server, c := start(t, 10)
	server.SetFault(fakestore.Fault{LoseAnswers: 1})
	must.Error(t, c.do("PUT", path, "0", "x").err)
	c.expect(200, "1", "GET", path, "", "")
}

// A late write is refused with status 503 and applied later, but only if its
// condition holds then.
func TestLateWriteIsAppliedOnlyIfConditionHolds(t *testing.T) {
	server, c := start(t, 10)
	server.SetFault(fakestore.Fault{LateWritesMs: 20})
	c.expect(503, "", "PUT", path, "0", "late")
	c.expect(503, "", "PUT", path, "5", "wrong version")
	got := c.expect(200, "", "GET", "/v1/watch/session?revision=0&wait=60000", "", "").body
	must.StrContains(t, string(got), `"value":"bGF0ZQ=="`)
	must.StrContains(t, string(got), `"revision":1`)
}

func TestCallsAreCounted(t *testing.T) {
	_, c := start(t, 10)
	c.expect(200, "1", "PUT", path, "0", "x")
	c.expect(200, "1", "GET", path, "", "")
	c.expect(200, "1", "GET", path, "", "")
	c.expect(200, "", "GET", "/v1/watch/session?revision=1&wait=0", "", "")
	var calls fakestore.Calls
	must.NoError(t, json.Unmarshal(c.expect(200, "", "GET", "/stand/calls", "", "").body, &calls))
	must.Eq(t, []fakestore.Count{
		{Kind: "session", Method: fakestore.MethodGet, Calls: 2},
		{Kind: "session", Method: fakestore.MethodPut, Calls: 1},
		{Kind: "session", Method: fakestore.MethodWatch, Calls: 1},
	}, calls.Counts)
	must.Eq(t, 3, calls.Reads)
	must.Eq(t, 1, calls.Writes)
}

func TestFaultIsSetByHTTP(t *testing.T) {
	_, c := start(t, 10)
	c.expect(200, "", "POST", "/stand/fault", "", `{"slow_ms":1,"for_ms":60000}`)
	c.expect(400, "", "POST", "/stand/fault", "", `{"slow_ms":"x"}`)
	c.expect(404, "", "GET", path, "", "")
}

// Close must end Serve and free the address also if it is called first or
// twice.
func TestCloseBeforeServe(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := fakestore.New(fakestore.Config{Seed: 1, History: 10})
	must.NoError(t, server.Close())
	must.NoError(t, server.Close())
	must.NoError(t, server.Serve(ln))
	again, err := net.Listen("tcp", ln.Addr().String())
	must.NoError(t, err)
	must.NoError(t, again.Close())
}

func TestCloseConcurrentWithServe(t *testing.T) {
	for range 50 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		server := fakestore.New(fakestore.Config{Seed: 1, History: 10})
		done := make(chan error, 1)
		go func() { done <- server.Serve(ln) }()
		must.NoError(t, server.Close())
		must.NoError(t, <-done)
	}
}
