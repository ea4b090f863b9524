package load

import (
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/faketarget"
	"github.com/rhubarbring/rhubarbring/internal/httpanswer"
	"github.com/rhubarbring/rhubarbring/result"
)

const (
	dialTimeout        = 500 * time.Millisecond
	maxConnsPerDaemon  = 1024
	maxIdleConnTimeout = 10 * time.Second
)

// dialError marks a failure to connect: nothing was sent.
type dialError struct{ cause error }

// Error returns the cause's text.
func (e *dialError) Error() string { return "dial: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.cause }

// client is a sender over HTTP. It waits for an answer until grace after the
// request's deadline.
type client struct {
	http  *fasthttp.Client
	grace time.Duration
}

func newClient(grace time.Duration) *client {
	return &client{grace: grace, http: &fasthttp.Client{
		Transport:                httpanswer.Transport{},
		Dial:                     dial,
		MaxConnsPerHost:          maxConnsPerDaemon,
		MaxIdleConnDuration:      maxIdleConnTimeout,
		NoDefaultUserAgentHeader: true,
		// Without this the HTTP client resends by itself on a broken
		// connection; callers decide what is sent again and must see each
		// sending.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

func dial(address string) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(address, dialTimeout)
	if err != nil {
		return nil, &dialError{err}
	}
	return conn, nil
}

func (c *client) send(r Request, daemon string, attempt int, budget time.Duration) reply {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	fillRequest(req, r, daemon, attempt, budget)
	w := Sending{Daemon: daemon, SentNs: int64(bootclock.Now())}
	err := c.http.DoTimeout(req, resp, budget+c.grace)
	w.AnsweredNs = int64(bootclock.Now())
	w.Connected = connected(err)
	if err != nil {
		w.Error = err.Error()
		return reply{sending: w}
	}
	readResponse(&w, resp, r)
	ms, _ := strconv.ParseInt(string(resp.Header.Peek("Rhubarb-Retry-After")), 10, 64)
	return reply{sending: w, retryAfter: time.Duration(ms) * time.Millisecond}
}

// connected reports whether a sending had a connection, given its error. If
// not, nothing was sent.
func connected(err error) bool {
	var d *dialError
	return !errors.As(err, &d) && !errors.Is(err, fasthttp.ErrNoFreeConns)
}

func fillRequest(req *fasthttp.Request, r Request, daemon string, attempt int, budget time.Duration) {
	req.SetRequestURI("http://" + daemon + "/app/" + r.App + "/items")
	req.Header.SetMethod(fasthttp.MethodPost)
	if r.Key != "" {
		req.Header.Set("Rhubarb-Key", r.Key)
	}
	req.Header.Set("Rhubarb-Request-Id", r.ID)
	req.Header.Set("Rhubarb-Id-Time", idTime(r.ID))
	req.Header.Set("Rhubarb-Attempt", strconv.Itoa(attempt))
	req.Header.Set("Rhubarb-Deadline", strconv.FormatInt(max(1, budget.Milliseconds()), 10))
	req.Header.Set("Rhubarb-Idempotent", strconv.FormatBool(r.Idempotent))
	if r.Urgent {
		req.Header.Set("Rhubarb-Class", "urgent")
	}
	req.SetBody(r.Body)
}

// readResponse copies the answer's status, code and outcome to w. An answer
// without an outcome header is not the daemon's. Only a "done" answer with the
// request's id and a complete body that matches the request counts as its own.
func readResponse(w *Sending, resp *fasthttp.Response, r Request) {
	header := func(name string) string { return string(resp.Header.Peek(name)) }
	w.Status = resp.StatusCode()
	w.Code, _ = strconv.Atoi(header("Rhubarb-Code"))
	w.Outcome = header("Rhubarb-Outcome")
	if w.Outcome != result.Done.String() {
		return
	}
	w.BelongsToRequest = header("Rhubarb-Request-Id") == r.ID && faketarget.IsAnswerTo(resp.Body(), r.ID, r.Key, r.Body)
}
