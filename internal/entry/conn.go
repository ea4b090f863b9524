package entry

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

const (
	// maxPipelined bounds the requests of one connection that wait for their
	// answers; no more are read.
	maxPipelined = 16
	// readerBytes is the size of a connection's first read buffer. It grows
	// for a request whose head is longer.
	readerBytes = 4 << 10
	writerBytes = 4 << 10
	// closeWait is how long the caller has to read the last answer and to
	// close its side. Closing at once could cut the answer off.
	closeWait = time.Second
)

// conn is one connection of a caller. One goroutine reads requests until the
// connection ends, another writes the answers in the requests' order.
type conn struct {
	server *Server
	raw    net.Conn
	reader *bufio.Reader
	queue  chan *exchange

	mu sync.Mutex
	// waiting are the callers whose requests were read and are not answered.
	waiting []request.Caller
	// last says that no further request is taken.
	last bool
}

// exchange is one request and the answer to it.
type exchange struct {
	submission Submission
	// refusal is why the request never reached the router, or nil.
	refusal *result.Error
	pause   time.Duration
	head    bool // The answer has no body.
	closes  bool // The connection closes after the answer.
}

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writerBytes) }}

func newConn(s *Server, raw net.Conn) *conn {
	return &conn{server: s, raw: raw, reader: bufio.NewReaderSize(raw, readerBytes), queue: make(chan *exchange, maxPipelined)}
}

// serve reads requests until the connection ends. Callers that still wait then
// have hung up.
func (c *conn) serve() {
	defer c.server.forget(c)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		c.answerAll()
	}()
	for c.readOne() {
	}
	for _, caller := range c.left() {
		c.server.router.Gone(caller)
	}
	close(c.queue)
	<-answered
	_ = c.raw.Close()
}

// left returns the callers that wait.
func (c *conn) left() []request.Caller {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.waiting)
}

// readOne reads and submits one request. It returns false when the connection
// has ended.
func (c *conn) readOne() bool {
	if _, err := c.reader.Peek(1); err != nil {
		return false
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(c.server.options.ReadTimeout))
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	x, err := c.read(req)
	if err != nil {
		return false
	}
	if !c.take(x) {
		return c.discard()
	}
	_ = c.raw.SetReadDeadline(time.Time{})
	c.queue <- x
	if x.closes {
		return c.discard()
	}
	return true
}

// discard reads on, to learn when the caller closes its side.
func (c *conn) discard() bool {
	_, _ = io.Copy(io.Discard, c.reader)
	return false
}

// take notes that a request waits for its answer, unless the connection is
// about to close: then the request counts as not read.
func (c *conn) take(x *exchange) bool {
	c.mu.Lock()
	if c.last {
		c.mu.Unlock()
		return false
	}
	c.last = x.closes
	c.waiting = append(c.waiting, x.submission.Caller)
	c.mu.Unlock()
	if x.refusal == nil && !c.server.router.Submit(x.submission) {
		x.refusal = &result.Error{Code: result.RingFull, Detail: "the daemon is overloaded"}
		x.pause = overloadPause
	}
	return true
}

// read reads a request. An error is one of the connection; bytes that are no
// request, or a request that is too large, make an exchange that is refused.
func (c *conn) read(req *fasthttp.Request) (*exchange, error) {
	x := &exchange{submission: Submission{Caller: request.Caller(c.server.calls.Add(1)), Request: &request.Request{}}}
	if err := c.readRequest(req); err != nil {
		var broken net.Error
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &broken) {
			return nil, err
		}
		x.refusal = refusalOf(err)
		x.closes = true
		return x, nil
	}
	x.head = req.Header.IsHead()
	x.closes = req.Header.ConnectionClose()
	caller := x.submission.Caller
	x.submission, x.refusal = c.server.protocol.Parse(req, c.server.router)
	x.submission.Caller = caller
	x.submission.Reply = make(chan *request.Answer, 1)
	return x, nil
}

func refusalOf(err error) *result.Error {
	code := result.BadRequest
	var small *fasthttp.ErrSmallBuffer
	if errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.As(err, &small) {
		code = result.TooLarge
	}
	return &result.Error{Code: code, Detail: err.Error()}
}

func (c *conn) readRequest(req *fasthttp.Request) error {
	limit := c.server.options.MaxBodyBytes
	err := req.ReadLimitBody(c.reader, limit)
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) && c.reader.Size() < c.server.options.MaxHeaderBytes {
		c.grow()
		req.Reset()
		err = req.ReadLimitBody(c.reader, limit)
	}
	if err == nil && req.MayContinue() {
		if _, err = c.raw.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err == nil {
			err = req.ContinueReadBody(c.reader, limit)
		}
	}
	return err
}

// grow gives the connection a read buffer for the longest head.
func (c *conn) grow() {
	held, _ := c.reader.Peek(c.reader.Buffered())
	rest := io.MultiReader(bytes.NewReader(bytes.Clone(held)), c.raw)
	c.reader = bufio.NewReaderSize(rest, c.server.options.MaxHeaderBytes)
}

// answerAll writes the answers until the reader has ended and all requests are
// answered or given up.
func (c *conn) answerAll() {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	for x := range c.queue {
		resp.Reset()
		c.fill(resp, x)
		closes := c.answered(x)
		resp.SkipBody = x.head
		if closes {
			resp.SetConnectionClose()
		}
		if err := c.write(resp); err != nil {
			_ = c.raw.Close() // The caller hung up; the reader learns it now.
		}
		if closes {
			c.finish()
		}
	}
}

// fill waits for a request's answer and writes it into the response.
func (c *conn) fill(resp *fasthttp.Response, x *exchange) {
	if x.refusal != nil {
		c.server.router.Rejected(x.submission.Request, x.refusal)
		c.server.protocol.Refuse(resp, x.submission.Request, x.refusal, x.pause)
		return
	}
	select {
	case answer := <-x.submission.Reply:
		c.server.protocol.Respond(resp, answer)
	case <-c.server.closed:
		c.server.protocol.Respond(resp, &request.Answer{ID: x.submission.Request.ID, Code: result.OutcomeUnknown})
	}
}

// answered takes a request out of those that wait, and reports whether the
// connection closes after its answer: as the caller wants it, or because the
// server drains and no other request waits.
func (c *conn) answered(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = slices.DeleteFunc(c.waiting, func(w request.Caller) bool { return w == x.submission.Caller })
	if len(c.waiting) > 0 {
		return x.closes
	}
	if c.server.drains.Load() {
		c.last = true
		return true
	}
	if !x.closes {
		_ = c.raw.SetReadDeadline(time.Now().Add(c.server.options.IdleTimeout))
	}
	return x.closes
}

func (c *conn) write(resp *fasthttp.Response) error {
	w := writers.Get().(*bufio.Writer)
	defer writers.Put(w)
	w.Reset(c.raw)
	if err := resp.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// finish closes this side and leaves the caller time to close the other.
func (c *conn) finish() {
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(closeWait))
}

// closeIdle closes the connection if no request waits. One that crosses the
// close was not read.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = true
	if len(c.waiting) == 0 {
		_ = c.raw.Close()
	}
}
