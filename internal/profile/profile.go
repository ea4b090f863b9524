// Package profile serves profiles of the running process over HTTP, for "go
// tool pprof".
package profile

import (
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/rhubarbring/rhubarbring/internal/listen"
)

const headerTimeout = 5 * time.Second

// Serve starts a server of profiles under /debug/pprof/ on address, "IP:port".
// It runs until Close is called. Errors are those of listen.TCP.
func Serve(address string) (*Server, error) {
	listener, err := listen.TCP("debug_address", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	s := &Server{listener: listener, http: &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// Server serves profiles over HTTP.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	_ = s.http.Close()
}
