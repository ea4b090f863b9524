// Package targetclient sends requests to the target on the daemon's host over
// the protocol that docs/PROTOCOLS.md describes. It sends each run of a request
// at most once and reports whether it was answered, was refused, was certainly
// not sent, or was sent without a complete answer.
package targetclient

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/httpanswer"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/targetstatus"
)

const (
	dialTimeout = time.Second
	// idleTimeout is shorter than a target's own, so that a connection is not
	// reused at the moment when the target closes it.
	idleTimeout = 5 * time.Second
	// maxAnswerBytes leaves room for the other fields in a message between
	// daemons that carries the body.
	maxAnswerBytes = 3 << 20
	refusedHeader  = "Rhubarb-Refused"
	limitHeader    = "Rhubarb-Rate-Limit"
	leavingHeader  = "Rhubarb-Leaving"
)

// Grant is the grant of a slice under which a request is sent.
type Grant struct {
	Owner   host.Session
	Epoch   uint64
	Expires mono.Time
}

// Call is one run of a request at a target.
type Call struct {
	// RunID is the number of this run. It is sent in the header
	// Rhubarb-Attempt, and the target repeats it in its answer.
	RunID    uint64
	Request  *request.Request
	Slice    key.Slice
	Grant    Grant
	Deadline mono.Time
	// LongBody is the body if Request.Long names it. Only the caller closes it.
	LongBody io.Reader
	// Timeout bounds the wait for the answer. It may end after the deadline, if
	// the answer matters even when it is late.
	Timeout time.Duration
}

// Verdict is the result of a call as far as the client knows it.
type Verdict uint8

// The values of Verdict.
const (
	// Answered means that the target ran the request and the answer is
	// complete.
	Answered Verdict = iota + 1
	// Refused means that the target did not run the request; Reply.Reason says
	// why.
	Refused
	// NotSent means that no connection could be opened or was free, so that
	// nothing was sent.
	NotSent
	// LostAfterSend means that the request may have run, but no complete
	// answer to it arrived.
	LostAfterSend
	// AnswerTooLarge means that the target ran the request, but its answer is
	// larger than maxAnswerBytes and was discarded.
	AnswerTooLarge
)

// ReasonFence is the Reason of a refusal because another session holds the
// slice, or because the request is meant for another instance of the target.
const ReasonFence = "fence"

// ReasonCancelled is the Reason of a run that was cancelled before it was sent.
const ReasonCancelled = "cancelled"

// ReasonBodyGone is the Reason of a run that was not sent, since the entry daemon does
// not have its long body any more.
const ReasonBodyGone = "body"

// Reply is the result of a call.
type Reply struct {
	Verdict Verdict
	Reason  string
	Status  int
	Type    string
	Body    []byte
	// Header is as in request.Answer.
	Header []byte
	// ConnRefused is set with NotSent if the host refused the connection: no
	// process listens at the target's address.
	ConnRefused bool
	// Statement is what the answer says of the target itself, whatever the verdict.
	Statement targetstatus.Statement
}

// Client sends requests to one target. It is safe for concurrent use.
type Client struct {
	address       string
	requestClient *fasthttp.HostClient
	controlClient *fasthttp.HostClient
}

// New returns a client of the target at address. It opens at most the given
// number of connections for requests, and one more for Cancel and Drain.
func New(address string, connections int) *Client {
	return &Client{
		address:       address,
		requestClient: newHostClient(address, connections),
		controlClient: newHostClient(address, 1),
	}
}

func newHostClient(address string, connections int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		Transport:                 httpanswer.Transport{},
		MaxConns:                  connections,
		MaxIdleConnDuration:       idleTimeout,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxAnswerBytes,
		DisablePathNormalizing:    true,
		NoDefaultUserAgentHeader:  true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
		Dial: func(addr string) (net.Conn, error) {
			return fasthttp.DialTimeout(addr, dialTimeout)
		},
	}
}

// Address returns the target's address.
func (c *Client) Address() string {
	return c.address
}

// Close closes the idle connections. Calls in flight continue.
func (c *Client) Close() {
	c.requestClient.CloseIdleConnections()
	c.controlClient.CloseIdleConnections()
}

// IsListening reports whether the target accepts a connection. A connection
// that is neither accepted nor refused counts as accepted.
func (c *Client) IsListening() bool {
	conn, err := fasthttp.DialTimeout(c.address, dialTimeout)
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return true
}

// Do sends one run and waits for its answer, for call.Timeout at most.
func (c *Client) Do(call Call) Reply {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.fillRequest(req, call)
	if err := c.requestClient.DoTimeout(req, resp, call.Timeout); err != nil {
		return failureReply(err)
	}
	said := statementOf(&resp.Header)
	if !matchesCall(resp, call) {
		return Reply{Verdict: LostAfterSend, Reason: "the answer is to another request", Statement: said}
	}
	said.Conclusive = true
	if reason := resp.Header.Peek(refusedHeader); len(reason) > 0 {
		return Reply{Verdict: Refused, Reason: string(reason), Status: resp.StatusCode(), Statement: said}
	}
	return Reply{
		Verdict:   Answered,
		Status:    resp.StatusCode(),
		Type:      string(resp.Header.ContentType()),
		Body:      append([]byte(nil), resp.Body()...),
		Statement: said,
	}
}

// statementOf returns what a target says of itself in the header of an answer.
func statementOf(h *fasthttp.ResponseHeader) targetstatus.Statement {
	s := targetstatus.Statement{Leaving: targetstatus.SaysLeaving(stringsOf(h.PeekAll(leavingHeader)))}
	if limits := stringsOf(h.PeekAll(limitHeader)); len(limits) > 0 {
		s.LimitNamed, s.Limit = true, targetstatus.ParseLimit(limits)
	}
	return s
}

func stringsOf(values [][]byte) []string {
	out := make([]string, len(values))
	for i, v := range values {
		out[i] = string(v)
	}
	return out
}

// matchesCall reports whether a response has the request id and the run number
// of the call.
func matchesCall(resp *fasthttp.Response, call Call) bool {
	id := string(resp.Header.Peek("Rhubarb-Request-Id"))
	run := string(resp.Header.Peek("Rhubarb-Attempt"))
	return id == call.Request.ID && run == strconv.FormatUint(call.RunID, 10)
}

func (c *Client) fillRequest(req *fasthttp.Request, call Call) {
	r := call.Request
	req.SetRequestURI("http://" + c.address + r.Path)
	h := &req.Header
	h.SetMethod(r.Method)
	h.SetContentType(r.ContentType)
	h.Set("Rhubarb-Request-Id", r.ID)
	h.Set("Rhubarb-Attempt", strconv.FormatUint(call.RunID, 10))
	h.Set("Rhubarb-Key", r.Key)
	if call.Slice.ID != request.NoSlice {
		fillGrant(h, call)
	}
	h.Set("Rhubarb-Deadline", strconv.FormatInt(int64(call.Deadline), 10))
	h.Set("Rhubarb-Idempotent", strconv.FormatBool(r.Idempotent))
	h.Set("Rhubarb-Class", className(r.Class))
	req.SetBodyRaw(r.Body)
}

// fillGrant sets the headers of the grant. A request that any target of its app
// may run has none of them: a target that checks grants would refuse it with
// empty ones.
func fillGrant(h *fasthttp.RequestHeader, call Call) {
	h.Set("Rhubarb-Slice", call.Slice.String())
	h.Set("Rhubarb-Owner", call.Grant.Owner.String())
	h.Set("Rhubarb-Epoch", strconv.FormatUint(call.Grant.Epoch, 10))
	h.Set("Rhubarb-Grant-Expires", strconv.FormatInt(int64(call.Grant.Expires), 10))
}

func className(c request.Class) string {
	if c.Rank() == 0 {
		return "urgent"
	}
	return "normal"
}

// failureReply returns the reply for a transport error.
func failureReply(err error) Reply {
	var op *net.OpError
	neverSent := errors.As(err, &op) && op.Op == "dial" ||
		errors.Is(err, fasthttp.ErrDialTimeout) ||
		errors.Is(err, fasthttp.ErrNoFreeConns)
	if neverSent {
		return Reply{Verdict: NotSent, Reason: err.Error(), ConnRefused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return Reply{Verdict: AnswerTooLarge, Reason: err.Error()}
	}
	return Reply{Verdict: LostAfterSend, Reason: err.Error()}
}

type cancelRequest struct {
	ID      string `json:"id"`
	Attempt uint64 `json:"attempt"`
}

type cancelResponse struct {
	Stopped bool `json:"stopped"`
}

// Cancel asks the target to stop a run. It returns true only if the target
// confirms that the run has not taken effect and never will.
func (c *Client) Cancel(id string, run uint64, wait time.Duration) bool {
	body, err := json.Marshal(cancelRequest{ID: id, Attempt: run})
	if err != nil {
		return false
	}
	raw, err := c.post("/target/cancel", body, wait)
	if err != nil {
		return false
	}
	var answer cancelResponse
	return json.Unmarshal(raw, &answer) == nil && answer.Stopped
}

// Drain asks the target to finish its current runs and to accept no new ones.
func (c *Client) Drain(wait time.Duration) error {
	_, err := c.post("/target/drain", []byte("{}"), wait)
	return err
}

// post sends a message other than a request and returns the body of the answer.
// Each goes out on a connection of its own: its answer names no request, so that
// a second copy of an earlier answer could not be told from it.
func (c *Client) post(path string, body []byte, wait time.Duration) ([]byte, error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.address + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetConnectionClose()
	req.SetBody(body)
	if err := c.controlClient.DoTimeout(req, resp, wait); err != nil {
		return nil, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, &result.Error{Code: result.TargetUnavailable, Field: path, Detail: "status " + strconv.Itoa(resp.StatusCode())}
	}
	return append([]byte(nil), resp.Body()...), nil
}
