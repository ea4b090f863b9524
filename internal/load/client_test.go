package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/internal/faketarget"
	"github.com/rhubarbring/rhubarbring/internal/httpanswer/answertest"
)

// serve runs an HTTP server on a loopback port until the test ends.
func serve(t *testing.T, handler fasthttp.RequestHandler) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &fasthttp.Server{Handler: handler}
	done := make(chan error, 1)
	go func() { done <- server.Serve(ln) }()
	t.Cleanup(func() {
		must.NoError(t, ln.Close())
		must.NoError(t, <-done)
	})
	return ln.Addr().String()
}

// targetHandler runs requests on a fake target and adds the headers of a
// daemon's answer.
func targetHandler(t *testing.T) fasthttp.RequestHandler {
	target := faketarget.New(faketarget.Config{Slots: 64, Connections: 64, Behaviour: faketarget.Behaviour{FalseLoad: -1}})
	handler := faketarget.NewServer(target).Handler
	must.NotNil(t, handler)
	return func(ctx *fasthttp.RequestCtx) {
		id := string(ctx.Request.Header.Peek("Rhubarb-Request-Id"))
		ctx.Request.Header.Del("Rhubarb-Deadline")
		handler(ctx)
		ctx.Response.Header.Set("Rhubarb-Request-Id", id)
		ctx.Response.Header.Set("Rhubarb-Outcome", "done")
	}
}

var testRequest = Request{ID: "1-a", App: "x", Key: "k", Body: []byte("b")}

func TestAnswerToOwnRequestIsOwn(t *testing.T) {
	daemon := serve(t, targetHandler(t))
	w := newClient(time.Second).send(testRequest, daemon, 1, time.Second).sending
	must.Eq(t, "done", w.Outcome)
	must.True(t, w.BelongsToRequest)
}

// An answer to another request or body, an answer under another id and a
// truncated answer must not count as the caller's own.
func TestAnswerOfAnotherRequestIsNotOwn(t *testing.T) {
	run := targetHandler(t)
	handlers := map[string]fasthttp.RequestHandler{
		"answer to another request": func(ctx *fasthttp.RequestCtx) {
			ctx.Request.Header.Set("Rhubarb-Request-Id", "other")
			run(ctx)
			ctx.Response.Header.Set("Rhubarb-Request-Id", "1-a")
		},
		"answer to another body": func(ctx *fasthttp.RequestCtx) {
			ctx.Request.SetBodyString("other")
			run(ctx)
		},
		"answer under another id": func(ctx *fasthttp.RequestCtx) {
			run(ctx)
			ctx.Response.Header.Set("Rhubarb-Request-Id", "other")
		},
		"truncated answer": func(ctx *fasthttp.RequestCtx) {
			run(ctx)
			body := ctx.Response.Body()
			ctx.SetBody(bytes.Clone(body[:len(body)-2]))
		},
	}
	for name, handler := range handlers {
		t.Run(name, func(t *testing.T) {
			w := newClient(time.Second).send(testRequest, serve(t, handler), 1, time.Second).sending
			must.Eq(t, "done", w.Outcome)
			must.False(t, w.BelongsToRequest)
		})
	}
}

// The HTTP client must not resend a request by itself when the connection
// breaks after the request: the caller would not see the second send.
func TestBrokenConnectionIsNotResent(t *testing.T) {
	var requests atomic.Int64
	daemon := serve(t, func(ctx *fasthttp.RequestCtx) {
		requests.Add(1)
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
	})
	w := newClient(time.Second).send(testRequest, daemon, 1, time.Second).sending
	must.True(t, w.Connected)
	must.Eq(t, "", w.Outcome)
	must.Eq(t, 1, requests.Load())
}

func TestRefusedConnectionIsNotConnected(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, ln.Close())
	w := newClient(time.Second).send(testRequest, ln.Addr().String(), 1, time.Second).sending
	must.False(t, w.Connected)
}

// Each request is recorded once, also if its first send was not run, and the
// summary agrees with the records.
func TestRunRecordsEachRequestOnce(t *testing.T) {
	var seen sync.Map
	run := targetHandler(t)
	daemon := serve(t, func(ctx *fasthttp.RequestCtx) {
		id := string(ctx.Request.Header.Peek("Rhubarb-Request-Id"))
		if _, again := seen.LoadOrStore(id, true); again || id[len(id)-1] != '7' {
			run(ctx)
			return
		}
		ctx.Response.Header.Set("Rhubarb-Outcome", "not_run")
		ctx.SetStatusCode(503)
	})
	c := testConfig()
	c.Daemons, c.ForMs, c.MaxInFlight, c.GraceMs = []string{daemon}, 200, 1000, 1000
	var out bytes.Buffer
	summary, err := Run(c, &out)
	must.NoError(t, err)
	lines := bufio.NewScanner(&out)
	records := uint64(0)
	for lines.Scan() {
		var r Record
		must.NoError(t, json.Unmarshal(lines.Bytes(), &r))
		last, answered := r.LastAnswered()
		must.True(t, answered, must.Sprintf("%+v", r))
		must.True(t, last.BelongsToRequest)
		records++
	}
	must.Eq(t, records, summary.Requests)
	must.Eq(t, records, summary.Done)
	must.Eq(t, 0, summary.Foreign)
	must.Positive(t, records)
}

// An answer without a status, which the HTTP library reads as 200, must not count as an
// answer of the daemon.
func TestMalformedAnswerIsAnError(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX Foo: 1\r\n"} {
		server := answertest.Start(t, head+"Rhubarb-Outcome: done\r\nContent-Length: 0\r\n\r\n", false)
		w := newClient(time.Second).send(testRequest, server.Address, 1, time.Second).sending
		must.NotEq(t, "", w.Error, must.Sprintf("%q", head))
		must.Eq(t, "", w.Outcome)
	}
}
