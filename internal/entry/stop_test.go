package entry

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// Guards against callers whose connection is closed without an answer when a stop
// reaches its timeout: the answer and the close raced.
func TestStopAnswersEveryOpenRequestAtItsTimeout(t *testing.T) {
	const callers = 100
	router := &manualRouter{submitted: make(chan Submission, callers), gone: make(chan request.CallID, callers)}
	s := New(router, NewAPI(1), Bounds{})
	must.NoError(t, s.Start("127.0.0.1:0"))
	var conns []net.Conn
	for range callers {
		conn, err := net.Dial("tcp", s.listener.Addr().String())
		must.NoError(t, err)
		_, err = conn.Write([]byte("POST /app/pay/ HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"))
		must.NoError(t, err)
		conns = append(conns, conn)
		<-router.submitted
	}
	s.Stop(lateRequestGrace)
	unknown, _ := result.Lookup(result.OutcomeUnknown)
	for _, conn := range conns {
		var resp fasthttp.Response
		must.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
		must.NoError(t, resp.Read(bufio.NewReader(conn)))
		must.Eq(t, unknown.HTTPStatus, resp.StatusCode())
		must.NoError(t, conn.Close())
	}
}

// Guards against a stop that cuts an answer while its caller reads it, and against one
// that leaves the connection open afterwards.
func TestStopFinishesAnswersThatAreRead(t *testing.T) {
	router := &manualRouter{submitted: make(chan Submission, 1), gone: make(chan request.CallID, 1)}
	s := New(router, NewAPI(1), Bounds{})
	must.NoError(t, s.Start("127.0.0.1:0"))
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	must.NoError(t, err)
	_, err = conn.Write([]byte("POST /app/pay/ HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"))
	must.NoError(t, err)
	body := make([]byte, 32<<20) // More than the kernel's buffers take.
	(<-router.submitted).Reply <- &request.Answer{Status: fasthttp.StatusOK, Body: body}
	reader := bufio.NewReader(conn)
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(30*time.Second)))
	_, err = reader.Peek(1) // The answer is being written.
	must.NoError(t, err)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.Stop(30 * time.Second)
	}()
	for _, open := range s.openConns() {
		for !open.isClosing() {
			time.Sleep(time.Millisecond)
		}
	}
	var resp fasthttp.Response
	must.NoError(t, resp.Read(reader))
	must.Eq(t, len(body), len(resp.Body()))
	_, err = reader.ReadByte()
	must.ErrorIs(t, err, io.EOF)
	must.NoError(t, conn.Close())
	<-stopped
}

// isClosing reports whether the connection takes no further requests.
func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.noMoreRequests
}
