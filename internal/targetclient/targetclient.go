// Package targetclient sends requests to the target on the daemon's host, as
// docs/PROTOCOLS.md describes it. It sends each attempt once and says whether
// the attempt surely did not leave, was refused, was answered or was lost.
package targetclient

import (
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

const (
	dialTimeout = time.Second
	// idleTimeout is below a target's own, so that a connection is not used
	// at the moment when the target closes it.
	idleTimeout = 5 * time.Second
	// maxAnswerBytes leaves room in a message between daemons for what
	// stands beside the body.
	maxAnswerBytes = 3 << 20
	refusedHeader  = "Rhubarb-Refused"
)

// Grant is the right under which a request is sent.
type Grant struct {
	Owner   host.Session
	Epoch   uint64
	Expires mono.Time
}

// Call is one attempt at a target.
type Call struct {
	// Run numbers the sending; the target echoes it as the attempt.
	Run      uint64
	Request  *request.Request
	Slice    key.Slice
	Grant    Grant
	Deadline mono.Time
	// Wait is how long to wait for the answer, beyond the deadline if the
	// answer matters even when it is late.
	Wait time.Duration
}

// Verdict says what became of a call.
type Verdict uint8

// The verdicts.
const (
	// Answered: the target ran the request; the answer is whole.
	Answered Verdict = iota + 1
	// Refused: the target ran nothing; Reason says why.
	Refused
	// NotSent: no connection could be made; nothing left the process.
	NotSent
	// LostAfterSend: the request may have run; no whole answer came.
	LostAfterSend
	// Truncated: the target answered with more than the limit; it ran.
	Truncated
)

// RefusedFence is the reason of a target that refuses since another holds the
// slice, or since the request is meant for another life of it.
const RefusedFence = "fence"

// Reply is the result of a call.
type Reply struct {
	Verdict Verdict
	Reason  string
	Status  int
	Type    string
	Body    []byte
	// Header is as in request.Answer.
	Header []byte
}

// Client calls one target. It is safe for concurrent use.
type Client struct {
	address string
	http    *fasthttp.HostClient
	control *fasthttp.HostClient
}

// New returns a client of the target at address that opens at most the given
// number of connections for requests.
func New(address string, connections int) *Client {
	return &Client{
		address: address,
		http:    newHostClient(address, connections),
		control: newHostClient(address, 1),
	}
}

func newHostClient(address string, connections int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
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

// Close closes the connections that are idle.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// Do sends one attempt and waits for its end.
func (c *Client) Do(call Call) Reply {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.fill(req, call)
	if err := c.http.DoTimeout(req, resp, call.Wait); err != nil {
		return failed(err)
	}
	if !answers(resp, call) {
		return Reply{Verdict: LostAfterSend, Reason: "the answer is to another request"}
	}
	if reason := resp.Header.Peek(refusedHeader); len(reason) > 0 {
		return Reply{Verdict: Refused, Reason: string(reason), Status: resp.StatusCode()}
	}
	return Reply{
		Verdict: Answered,
		Status:  resp.StatusCode(),
		Type:    string(resp.Header.ContentType()),
		Body:    append([]byte(nil), resp.Body()...),
	}
}

// answers reports whether a response names the id and run of the call.
func answers(resp *fasthttp.Response, call Call) bool {
	id := string(resp.Header.Peek("Rhubarb-Request-Id"))
	run := string(resp.Header.Peek("Rhubarb-Attempt"))
	return id == call.Request.ID && run == strconv.FormatUint(call.Run, 10)
}

func (c *Client) fill(req *fasthttp.Request, call Call) {
	r := call.Request
	req.SetRequestURI("http://" + c.address + r.Path)
	h := &req.Header
	h.SetMethod(r.Method)
	h.SetContentType(r.Type)
	h.Set("Rhubarb-Request-Id", r.ID)
	h.Set("Rhubarb-Attempt", strconv.FormatUint(call.Run, 10))
	h.Set("Rhubarb-Key", r.Key)
	if call.Slice.ID != request.NoSlice {
		fillGrant(h, call)
	}
	h.Set("Rhubarb-Deadline", strconv.FormatInt(int64(call.Deadline), 10))
	h.Set("Rhubarb-Idempotent", strconv.FormatBool(r.Idempotent))
	h.Set("Rhubarb-Class", className(r.Class))
	req.SetBodyRaw(r.Body)
}

// fillGrant names the grant. A request that any target of its app may run has
// none: with an empty one, a target that checks grants would refuse it.
func fillGrant(h *fasthttp.RequestHeader, call Call) {
	h.Set("Rhubarb-Slice", call.Slice.String())
	h.Set("Rhubarb-Owner", call.Grant.Owner.String())
	h.Set("Rhubarb-Epoch", strconv.FormatUint(call.Grant.Epoch, 10))
	h.Set("Rhubarb-Grant-Expires", strconv.FormatInt(int64(call.Grant.Expires), 10))
}

func className(c request.Class) string {
	if c == request.Urgent {
		return "urgent"
	}
	return "normal"
}

func failed(err error) Reply {
	var op *net.OpError
	neverSent := errors.As(err, &op) && op.Op == "dial" ||
		errors.Is(err, fasthttp.ErrDialTimeout) ||
		errors.Is(err, fasthttp.ErrNoFreeConns)
	if neverSent {
		return Reply{Verdict: NotSent, Reason: err.Error()}
	}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return Reply{Verdict: Truncated, Reason: err.Error()}
	}
	return Reply{Verdict: LostAfterSend, Reason: err.Error()}
}

type cancelRequest struct {
	ID      string `json:"id"`
	Attempt uint64 `json:"attempt"`
}

type cancelAnswer struct {
	Stopped bool `json:"stopped"`
}

// Cancel asks the target to stop a run. It returns true only if the
// target says that the attempt did not and will not take effect.
func (c *Client) Cancel(id string, run uint64, wait time.Duration) bool {
	body, err := json.Marshal(cancelRequest{ID: id, Attempt: run})
	if err != nil {
		return false
	}
	raw, err := c.post("/target/cancel", body, wait)
	if err != nil {
		return false
	}
	var answer cancelAnswer
	return json.Unmarshal(raw, &answer) == nil && answer.Stopped
}

// Drain asks the target to finish what it has and take nothing new.
func (c *Client) Drain(wait time.Duration) error {
	_, err := c.post("/target/drain", []byte("{}"), wait)
	return err
}

func (c *Client) post(path string, body []byte, wait time.Duration) ([]byte, error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.address + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	if err := c.control.DoTimeout(req, resp, wait); err != nil {
		return nil, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, &result.Error{Code: result.TargetUnavailable, Field: path, Detail: "status " + strconv.Itoa(resp.StatusCode())}
	}
	return append([]byte(nil), resp.Body()...), nil
}
