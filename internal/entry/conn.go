package entry

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/internal/longbody"
	"github.com/rhubarbring/rhubarbring/membudget"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

const (
	// maxPipelined bounds the requests of one connection that wait for their
	// answers to be written. The connection is not read further until there is
	// room.
	maxPipelined = 16
	// initialReadBufferBytes is the size of a connection's first read buffer.
	// It is replaced by one of MaxHeaderBytes if a request's headers don't fit.
	initialReadBufferBytes = 4 << 10
	writeBufferBytes       = 4 << 10
	// lingerTimeout is how long the caller has to read the last answer and to
	// close its side. Closing at once could reset the connection and cut the
	// answer off.
	lingerTimeout = time.Second
)

// conn is one connection of a caller. One goroutine reads requests until the
// connection ends, another writes the answers in the order of the requests.
type conn struct {
	server *Server
	id     membudget.ID
	raw    net.Conn
	// stream is the connection as it is read and written.
	stream    *stream
	reader    *bufio.Reader
	limits    Options // Of the request that is being read.
	exchanges chan *exchange

	mu sync.Mutex
	// unanswered are the call IDs of requests that were read and not answered.
	unanswered []request.CallID
	// noMoreRequests is set when the connection is about to close: requests
	// that are read later are dropped.
	noMoreRequests bool
	// reading is set while a request is being read, writing while an answer is
	// being written.
	reading, writing bool
}

// exchange is one request with what is needed to answer it.
type exchange struct {
	submission Submission
	// refusal is why the request was refused before the router, or nil.
	// retryAfter then tells the caller when to try again, if it is not 0.
	refusal    *result.Error
	retryAfter time.Duration
	isHead     bool // for HEAD: the answer has no body
	closeAfter bool // the connection closes after the answer
	bodyBytes  int  // reserved until the answer
	// answerBytes are counted for the answer until it is written.
	answerBytes int
	// long is the body if it is to be read later; nil for others. answered is closed
	// once its request is answered.
	long     *longbody.Body
	answered chan struct{}
}

var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, raw: raw, exchanges: make(chan *exchange, maxPipelined)}
	c.stream = &stream{Conn: raw, progress: func() { s.memory.setState(c, membudget.Delivering) }}
	c.reader = bufio.NewReaderSize(c.stream, initialReadBufferBytes)
	return c
}

// serve reads requests until the connection ends. It then reports that the
// callers of the requests that still wait for an answer are gone.
func (c *conn) serve() {
	defer c.server.removeConn(c)
	_ = c.raw.SetReadDeadline(time.Now().Add(c.server.currentOptions().IdleTimeout))
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		c.writeAnswers()
	}()
	for c.serveRequest() {
	}
	for _, call := range c.unansweredCalls() {
		c.server.router.CallerGone(call)
	}
	close(c.exchanges)
	<-writerDone
	_ = c.raw.Close()
}

// unansweredCalls returns a copy of the calls that wait for an answer.
func (c *conn) unansweredCalls() []request.CallID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.unanswered)
}

// serveRequest reads and submits one request. It returns false when the
// connection has ended.
func (c *conn) serveRequest() bool {
	if _, err := c.reader.Peek(1); err != nil {
		return false
	}
	c.limits = c.server.currentOptions()
	c.setReading(true)
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	x, err := c.readExchange(req)
	if err != nil {
		return false
	}
	if !c.submit(x) {
		c.dropLongBody(x)
		c.releaseBody(x.bodyBytes)
		return c.discardInput()
	}
	c.exchanges <- x
	if x.long != nil && !c.awaitLongBody(x) {
		return false
	}
	if x.closeAfter {
		return c.discardInput()
	}
	return true
}

// setReading sets whether a request is being read. Its header has a deadline.
func (c *conn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
	if reading {
		_ = c.raw.SetReadDeadline(time.Now().Add(c.limits.HeaderTimeout))
	}
	c.updateState()
}

// updateState counts the connection by what it does. The lock must be held.
func (c *conn) updateState() {
	state := membudget.Idle
	switch {
	case c.writing:
		return // The stream counts each part that it writes.
	case len(c.unanswered) > 0:
		state = membudget.Running
	case c.reading:
		state = membudget.Receiving
	}
	c.server.memory.setState(c, state)
}

// releaseBody gives back what was reserved for a body.
func (c *conn) releaseBody(bytes int) {
	c.server.memory.shrink(c, bytes*bodyBytesFactor)
}

// discardInput reads and drops input until the caller closes its side or the
// read deadline passes. It returns false: the connection has ended.
func (c *conn) discardInput() bool {
	_, _ = io.Copy(io.Discard, c.reader)
	return false
}

// submit adds the request to the unanswered ones and passes it to the router;
// if the router does not accept it, it is refused as overloaded. It returns
// false if the connection is about to close: the request is then dropped and
// gets no answer.
func (c *conn) submit(x *exchange) bool {
	c.mu.Lock()
	if c.noMoreRequests {
		c.mu.Unlock()
		return false
	}
	c.noMoreRequests = x.closeAfter
	c.unanswered = append(c.unanswered, x.submission.Call)
	c.reading = x.closeAfter // Further input is dropped, but it may go on.
	_ = c.raw.SetReadDeadline(time.Time{})
	c.updateState()
	c.mu.Unlock()
	if x.refusal == nil && !c.server.router.Submit(x.submission) {
		x.refusal = &result.Error{Code: result.RingFull, Detail: "the daemon is overloaded"}
	}
	if x.refusal != nil && x.refusal.Code >= result.NoOwner {
		x.retryAfter = refusalRetryAfter
	}
	return true
}

// readExchange reads one request. It returns an error if the connection failed.
// Bytes that are not an HTTP request, and requests that are too large or find no
// room, result in a refused exchange, after which the connection closes.
func (c *conn) readExchange(req *fasthttp.Request) (*exchange, error) {
	call := request.CallID(c.server.lastCallID.Add(1))
	if err := c.readHeader(req); err != nil {
		x := &exchange{submission: Submission{Call: call, Request: &request.Request{}}, closeAfter: true}
		x.refusal = refusalForReadError(err)
		return x, connectionError(err)
	}
	x := &exchange{isHead: req.Header.IsHead(), closeAfter: req.Header.ConnectionClose()}
	var bodyErr error
	var long io.Reader
	x.bodyBytes, long, bodyErr = c.readBody(req)
	if err := connectionError(bodyErr); err != nil {
		return nil, err
	}
	x.submission, x.refusal = c.server.protocol.Parse(req, c.server.router)
	x.submission.Call = call
	x.submission.Reply = make(chan *request.Answer, 1)
	x.submission.HoldAnswer = func(bytes int) {
		x.answerBytes = bytes * answerBytesFactor
		c.server.memory.force(c, x.answerBytes)
	}
	if bodyErr != nil {
		x.closeAfter = true
		x.refusal = refusalForReadError(bodyErr)
	}
	if long != nil {
		c.keepLongBody(x, long, req.Header.ContentLength())
	}
	return x, nil
}

// connectionError returns the error of a connection that failed, and nil for others.
func connectionError(err error) error {
	var netErr net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) {
		return err
	}
	return nil
}

// refusalForReadError returns TooLarge if the headers exceed their limit, the error
// itself if it is a refusal, else BadRequest.
func refusalForReadError(err error) *result.Error {
	var refusal *result.Error
	if errors.As(err, &refusal) {
		return refusal
	}
	code := result.BadRequest
	var smallBuffer *fasthttp.ErrSmallBuffer
	if errors.As(err, &smallBuffer) {
		code = result.TooLarge
	}
	return &result.Error{Code: code, Detail: err.Error()}
}

// readHeader reads the request line and the headers of a request. If they don't fit
// the read buffer, it reads again with a buffer for the largest headers.
func (c *conn) readHeader(req *fasthttp.Request) error {
	err := req.Header.Read(c.reader)
	var smallBuffer *fasthttp.ErrSmallBuffer
	if errors.As(err, &smallBuffer) && c.reader.Size() < c.limits.MaxHeaderBytes {
		if !c.server.memory.grow(c, c.limits.MaxHeaderBytes*headerBytesFactor) {
			return &result.Error{Code: result.BodiesFull, Detail: "no room for a long header"}
		}
		c.growReadBuffer()
		req.Reset()
		err = req.Header.Read(c.reader)
	}
	if err == nil && c.limits.MaxHeaderBytes < c.reader.Size() && headerBytes(&req.Header) > c.limits.MaxHeaderBytes {
		return &result.Error{Code: result.TooLarge, Detail: "the header has more than " + strconv.Itoa(c.limits.MaxHeaderBytes) + " bytes"}
	}
	return err
}

// headerBytes returns the length of a request line and its fields.
func headerBytes(h *fasthttp.RequestHeader) int {
	return len(h.Method()) + len(h.RequestURI()) + len("  HTTP/1.1\r\n") + len(h.RawHeaders())
}

// growReadBuffer replaces the read buffer by one for the largest headers, and
// keeps the bytes that are buffered.
func (c *conn) growReadBuffer() {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	rest := io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c.stream)
	c.reader = bufio.NewReaderSize(rest, c.limits.MaxHeaderBytes)
}
