package entry

import (
	"bufio"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// writeAnswers writes the answers in order until the reading goroutine has
// ended and all its requests are done with.
func (c *conn) writeAnswers() {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	for x := range c.exchanges {
		resp.Reset()
		c.fillResponse(resp, x)
		c.releaseBody(x.bodyBytes)
		c.setWriting(true)
		closes := c.markAnswered(x)
		resp.SkipBody = x.isHead
		if closes {
			resp.SetConnectionClose()
		}
		if err := c.writeResponse(resp); err != nil {
			_ = c.raw.Close() // The caller hung up: this ends the reading goroutine too.
		}
		resp.Reset() // It holds the answer's body.
		if x.long != nil {
			close(x.answered)
		}
		c.server.memory.shrink(c, x.answerBytes)
		c.setWriting(false)
		if closes || c.isLastAnswer() {
			c.closeWriteSide()
		}
	}
}

// setWriting sets whether an answer is being written.
func (c *conn) setWriting(writing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = writing
	c.updateState()
}

// fillResponse writes the refusal of a refused request, which it reports to the
// router, or waits for the answer and writes that.
func (c *conn) fillResponse(resp *fasthttp.Response, x *exchange) {
	if x.refusal != nil {
		c.server.router.RequestRejected(x.submission.Request, x.refusal)
		c.server.protocol.WriteRefusal(resp, x.submission.Request, x.refusal, x.retryAfter)
		return
	}
	c.server.protocol.WriteAnswer(resp, c.awaitAnswer(x))
}

// awaitAnswer waits for the router's answer. It returns one that leaves the outcome
// unknown if there is none when the server ends.
func (c *conn) awaitAnswer(x *exchange) *request.Answer {
	select {
	case answer := <-x.submission.Reply:
		return answer
	case <-c.server.closed:
	}
	select {
	case answer := <-x.submission.Reply:
		return answer
	default:
		return &request.Answer{ID: x.submission.Request.ID, Code: result.OutcomeUnknown}
	}
}

// markAnswered removes a request from the unanswered ones and reports whether
// the connection closes after its answer: because the caller asked for it, or
// because the server drains and no other request waits.
func (c *conn) markAnswered(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered = slices.DeleteFunc(c.unanswered, func(w request.CallID) bool { return w == x.submission.Call })
	if len(c.unanswered) > 0 {
		return x.closeAfter
	}
	if c.server.draining.Load() {
		c.noMoreRequests = true
		return true
	}
	if !x.closeAfter && !c.reading {
		_ = c.raw.SetReadDeadline(time.Now().Add(c.server.currentOptions().IdleTimeout))
	}
	return x.closeAfter
}

func (c *conn) writeResponse(resp *fasthttp.Response) error {
	w := writerPool.Get().(*bufio.Writer)
	defer writerPool.Put(w)
	c.stream.writeWithin = c.server.currentOptions().IdleTimeout
	w.Reset(c.stream)
	if err := resp.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// closeWriteSide closes the connection for writing and gives the caller
// lingerTimeout to close its side.
func (c *conn) closeWriteSide() {
	_ = c.stream.CloseWrite()
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// closeIdle closes the connection if no request waits for an answer and none is being
// written. A request that arrives at the same time is dropped and not run.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noMoreRequests = true
	if len(c.unanswered) == 0 && !c.writing {
		_ = c.raw.Close()
	}
}

// isLastAnswer reports whether the connection is to close after the answer that was
// just written, since closeIdle was called meanwhile.
func (c *conn) isLastAnswer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.noMoreRequests && len(c.unanswered) == 0
}
