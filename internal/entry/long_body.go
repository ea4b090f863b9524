package entry

import (
	"io"
	"time"

	"github.com/rhubarbring/rhubarbring/request"
)

// longBodyProgress bounds the wait for the next bytes of a long body once a target is
// getting it: the caller decides how long it keeps the target's slot.
const longBodyProgress = time.Second

// keepLongBody leaves the body of a request to the gate's daemon. The connection closes
// after the answer, since the body may not have been read then. A second attempt would
// have no body.
func (c *conn) keepLongBody(x *exchange, r io.Reader, length int) {
	x.closeAfter = true
	if x.refusal != nil {
		return
	}
	c.stream.readWithin = longBodyProgress
	token, body := c.server.longBodies.Add(r, int64(length))
	x.long, x.answered = body, make(chan struct{})
	x.submission.Request.Long = &request.LongBody{Token: token, Length: int64(length)}
	x.submission.Request.MaxAttempts = 1
}

// dropLongBody gives up the body of a request that is not submitted.
func (c *conn) dropLongBody(x *exchange) {
	if x.long == nil {
		return
	}
	c.server.longBodies.Take(x.submission.Request.Long.Token)
	c.stream.readWithin = 0
}

// awaitLongBody waits until nobody reads the body of a request from this connection any
// more: it has been read or given up, or the request is answered and the body was never
// asked for. It returns false if a reader does not notice the answer: the connection is
// closed then, and that reader is the only one that may still use it.
func (c *conn) awaitLongBody(x *exchange) bool {
	select {
	case <-x.long.Ended():
	case <-x.answered:
		if !c.withdrawLongBody(x) {
			_ = c.raw.Close()
			return false
		}
	}
	c.stream.readWithin = 0
	return true
}

// withdrawLongBody takes a body back whose request is answered. It returns false if
// another reader has it and does not end within lingerTimeout.
func (c *conn) withdrawLongBody(x *exchange) bool {
	if c.server.longBodies.Take(x.submission.Request.Long.Token) != nil {
		return true
	}
	select {
	case <-x.long.Ended():
		return true
	case <-time.After(lingerTimeout):
		return false
	}
}
