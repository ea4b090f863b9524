package entry

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/request"
)

// heldRouter takes each request and leaves the answer to the test.
type heldRouter struct {
	fullRouter
	taken chan Submission
	gone  chan request.Caller
}

func (h *heldRouter) Submit(s Submission) bool {
	h.taken <- s
	return true
}

func (h *heldRouter) Gone(c request.Caller) { h.gone <- c }

func startHeld(t *testing.T) (*heldRouter, func() net.Conn) {
	router := &heldRouter{taken: make(chan Submission, 1), gone: make(chan request.Caller, 1)}
	s := New(router, NewAPI(1))
	must.NoError(t, s.Start("127.0.0.1:0"))
	t.Cleanup(s.Stop)
	return router, func() net.Conn {
		conn, err := net.Dial("tcp", s.listen.Addr().String())
		must.NoError(t, err)
		_, err = conn.Write([]byte("POST /app/pay/ HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"))
		must.NoError(t, err)
		return conn
	}
}

func TestACallerThatHangsUpIsGone(t *testing.T) {
	router, call := startHeld(t)
	stays := call()
	first := <-router.taken
	leaves := call()
	second := <-router.taken
	must.NoError(t, leaves.Close())
	must.Eq(t, second.Caller, <-router.gone)
	second.Reply <- &request.Answer{}
	first.Reply <- &request.Answer{Status: fasthttp.StatusOK, Body: []byte("kept")}
	var resp fasthttp.Response
	must.NoError(t, stays.SetReadDeadline(time.Now().Add(10*time.Second)))
	must.NoError(t, resp.Read(bufio.NewReader(stays)))
	must.Eq(t, "kept", string(resp.Body()))
	must.NoError(t, stays.Close())
	must.Eq(t, 0, len(router.gone))
}
