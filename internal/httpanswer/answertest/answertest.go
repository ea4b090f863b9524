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
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &Server{Address: listener.Addr().String(), text: text, closes: closes}
	go s.accept(listener)
	return s
}

// Accepted returns the number of connections accepted so far.
func (s *Server) Accepted() int {
	return int(s.accepted.Load())
}

func (s *Server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.accepted.Add(1)
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
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
