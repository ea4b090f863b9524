package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	headerID       = "X-Request-Id"
	headerInstance = "X-Expected-Instance"
	beatEvery      = 870 * time.Millisecond
)

// server stands in for an application server beside a node: it runs at once what
// finds a slot, and refuses the rest.
type server struct {
	n      *node
	id     string
	slots  int
	born   int64
	server *http.Server
	// run answers a request that was admitted.
	run func(w http.ResponseWriter, r *http.Request)
	// pre, if set, handles what is no request that may run, and reports whether it has.
	pre  func(w http.ResponseWriter, r *http.Request) bool
	done chan struct{}

	mu      sync.Mutex
	running int
	runs    map[string]int // By the id of the request.
	ended   bool
	state   string
	seq     uint64
	beganAt map[string]time.Time // By the id of the request; nil if nobody asks.
}

// startServer starts a server at the address that its node has for it, and its
// check-ins.
func (w *world) startServer(n *node, slots int, run func(http.ResponseWriter, *http.Request)) (*server, error) {
	s, err := w.listenServer(n, n.app, slots, run)
	if err != nil {
		return nil, err
	}
	go s.beatForever()
	return s, nil
}

// listenServer starts a server that sends no check-ins by itself.
func (w *world) listenServer(n *node, address string, slots int, run func(http.ResponseWriter, *http.Request)) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	born := time.Now().UnixMilli()
	s := &server{n: n, id: fmt.Sprintf("i-%s-%d", n.name, born), slots: slots, born: born, run: run, done: make(chan struct{}), runs: make(map[string]int), state: "ready"}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	w.servers = append(w.servers, s)
	return s, nil
}

func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	close(s.done)
	_ = s.server.Close()
}

func (s *server) refuse(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set(headerID, r.Header.Get(headerID))
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get(headerInstance); want != "" && want != s.id {
		s.refuse(w, r, http.StatusMisdirectedRequest)
		return
	}
	if s.pre != nil && s.pre(w, r) {
		return
	}
	id := r.Header.Get(headerID)
	s.mu.Lock()
	if s.running >= s.slots {
		s.mu.Unlock()
		s.refuse(w, r, http.StatusServiceUnavailable)
		return
	}
	s.running++
	s.runs[id]++
	if s.beganAt != nil {
		s.beganAt[id] = time.Now()
	}
	load := fmt.Sprintf("%d,0,%d", s.running, s.slots)
	s.mu.Unlock()
	s.n.w.rec.line("server of %s runs %s", s.n.name, id)
	w.Header().Set(headerID, id)
	w.Header().Set("X-Response-Signature", "signed."+s.id+"."+id)
	w.Header().Set("X-Server-Load", load)
	s.run(w, r)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	s.n.w.rec.line("server of %s has answered %s", s.n.name, id)
}

// isRunning reports whether the server runs a request.
func (s *server) isRunning() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running > 0
}

// hasRun returns how often the server ran a request.
func (s *server) hasRun(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *server) beatForever() {
	client := &http.Client{Timeout: time.Second}
	for {
		s.beat(client)
		select {
		case <-s.done:
			return
		case <-time.After(beatEvery):
		}
	}
}

// beat sends one check-in to the node on the same machine.
func (s *server) beat(client *http.Client) bool {
	s.mu.Lock()
	s.seq++
	body, _ := json.Marshal(map[string]any{
		"service": s.n.service, "address": s.n.app, "zone": s.n.zone, "version": "v1", "slots": s.slots,
		"state": s.state, "coldLeft": "0ms", "sequence": s.seq, "born": s.born,
	})
	s.mu.Unlock()
	resp, err := client.Post("http://"+s.n.announce+"/v1/Instances.Heartbeat/"+s.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// workOf returns how long a request asks its server to work.
func workOf(r *http.Request) time.Duration {
	ms, _ := strconv.Atoi(r.URL.Query().Get("work"))
	return time.Duration(ms) * time.Millisecond
}
