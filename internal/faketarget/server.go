package faketarget

import (
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/mono"
)

const (
	maxBodyBytes    = 1<<20 + 1
	readBufferBytes = 64 << 10
	ranPageLimit    = 10000
	// defaultDeadline bounds a request without a deadline header.
	defaultDeadline = 30 * time.Second
)

// cancelRequest is the body of POST /target/cancel.
type cancelRequest struct {
	ID      string `json:"id"`
	Attempt uint64 `json:"attempt"`
}

// cancelAnswer is the body of the answer to POST /target/cancel.
type cancelAnswer struct {
	Stopped bool `json:"stopped"`
}

// ranPage is the body of the answer to GET /stand/ran.
type ranPage struct {
	Records []Record `json:"records"`
	// Next is the value of the argument after for the next page.
	Next uint64 `json:"next"`
}

// NewServer returns the HTTP server of a target.
func NewServer(t *Target) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               t.handle,
		Name:                  "rhubarb-target",
		MaxRequestBodySize:    maxBodyBytes,
		ReadBufferSize:        readBufferBytes,
		NoDefaultServerHeader: true,
	}
}

// Serve answers requests from a listener within the target's connection limit.
func (t *Target) Serve(server *fasthttp.Server, ln net.Listener) error {
	return server.Serve(LimitListener(ln, t.config.Connections, t.config.ConnectCost))
}

func (t *Target) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); path {
	case "/target/cancel":
		t.handleCancel(ctx)
	case "/target/drain":
		t.Drain()
		writeJSON(ctx, t.Announcement())
	case "/target/health":
		writeJSON(ctx, t.Announcement())
	case "/stand/ran":
		t.handleRan(ctx)
	case "/stand/set":
		t.handleSet(ctx)
	default:
		t.handleRequest(ctx)
	}
}

func (t *Target) handleRequest(ctx *fasthttp.RequestCtx) {
	o := t.parseRequest(ctx)
	ctx.Response.Header.Set("Rhubarb-Request-Id", o.attempt.id)
	ctx.Response.Header.Set("Rhubarb-Attempt", o.attempt.number)
	record, refusal, err := t.run(o)
	t.stateStatus(&ctx.Response.Header)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	if refusal != "" {
		ctx.Response.Header.Set("Rhubarb-Refused", string(refusal))
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	writeJSON(ctx, newAnswer(record, t.Behaviour().AnswerBytes))
}

// stateStatus adds what the target says of itself to an answer.
func (t *Target) stateStatus(h *fasthttp.ResponseHeader) {
	b := t.Behaviour()
	if b.RateLimit > 0 {
		h.Set("Rhubarb-Rate-Limit", strconv.FormatFloat(b.RateLimit, 'g', -1, 64))
	}
	if b.Leaving {
		h.Set("Rhubarb-Leaving", "1")
	}
}

func (t *Target) parseRequest(ctx *fasthttp.RequestCtx) runRequest {
	header := func(name string) string { return string(ctx.Request.Header.Peek(name)) }
	number := func(name string) uint64 {
		n, _ := strconv.ParseUint(header(name), 10, 64)
		return n
	}
	o := runRequest{
		attempt: attempt{id: header("Rhubarb-Request-Id"), number: header("Rhubarb-Attempt")},
		grant: grant{
			slice:   header("Rhubarb-Slice"),
			owner:   header("Rhubarb-Owner"),
			epoch:   number("Rhubarb-Epoch"),
			expires: mono.Time(number("Rhubarb-Grant-Expires")),
		},
		deadline: mono.Time(number("Rhubarb-Deadline")),
	}
	if o.deadline == 0 {
		o.deadline = bootclock.Now().Add(defaultDeadline)
	}
	o.record = Record{
		Target:     t.config.Name,
		App:        t.config.App,
		ID:         o.attempt.id,
		Attempt:    o.attempt.number,
		Key:        header("Rhubarb-Key"),
		Slice:      o.grant.slice,
		Owner:      o.grant.owner,
		Epoch:      o.grant.epoch,
		Idempotent: header("Rhubarb-Idempotent") == "true",
		BodySum:    Sum(ctx.PostBody()),
	}
	return o
}

func (t *Target) handleCancel(ctx *fasthttp.RequestCtx) {
	var c cancelRequest
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	at := attempt{id: c.ID, number: strconv.FormatUint(c.Attempt, 10)}
	writeJSON(ctx, cancelAnswer{Stopped: t.cancel(at)})
}

func (t *Target) handleRan(ctx *fasthttp.RequestCtx) {
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	page := ranPage{Records: t.journal.after(after, ranPageLimit), Next: after}
	if n := len(page.Records); n > 0 {
		page.Next = page.Records[n-1].Seq
	}
	writeJSON(ctx, page)
}

// handleSet changes the fields that are in the body and keeps the others.
func (t *Target) handleSet(ctx *fasthttp.RequestCtx) {
	b := t.Behaviour()
	if err := json.Unmarshal(ctx.PostBody(), &b); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	t.SetBehaviour(b)
	writeJSON(ctx, b)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}
