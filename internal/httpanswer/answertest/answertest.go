// Package answertest has a stand-in for a faulty server, which tests of several packages
// share.
package answertest

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
)

// Server answers each request with the bytes of a text.
type Server struct {
	// Address is "IP:port".
	Address  string
	accepted atomic.Int32
	text     string
	closes   bool
}

// Start starts a server until the end of the test. It closes each connection after an
// answer if closes is set.
func Start(t *testing.T, text string, closes bool) *Server {
	s := &Server{text: text, closes: closes}
	s.Address = StartFunc(t, s.serve)
	return s
}

// StartFunc starts a server that serves each connection with the given function, until
// the end of the test, and returns its address, "IP:port".
func StartFunc(t *testing.T, serve func(conn *net.TCPConn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

// Reset ends a connection by a reset.
func Reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// Accepted returns the number of connections accepted so far.
func (s *Server) Accepted() int {
	return int(s.accepted.Load())
}

func (s *Server) serve(conn *net.TCPConn) {
	s.accepted.Add(1)
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		var req fasthttp.Request
		if req.Read(r) != nil {
			return
		}
		if _, err := io.WriteString(conn, s.text); err != nil || s.closes {
			return
		}
	}
}
