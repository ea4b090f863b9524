package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const shardKeys = 65536

// run is one run of a request at a server.
type run struct {
	id      string
	server  string
	begin   time.Time
	end     time.Time
	caller  string
	method  string
	target  string
	bodyLen int
	key     int
}

// ledger collects what all servers ran and held.
type ledger struct {
	mu    sync.Mutex
	runs  map[string][]*run
	total int
}

func newLedger() *ledger { return &ledger{runs: make(map[string][]*run)} }

func (l *ledger) begin(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.id] = append(l.runs[r.id], r)
	l.total++
}

// runsOf returns the runs of a request.
func (l *ledger) runsOf(id string) []*run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*run(nil), l.runs[id]...)
}

// runsAt returns the runs at a server.
func (l *ledger) runsAt(server string) []*run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*run
	for _, runs := range l.runs {
		for _, r := range runs {
			if r.server == server {
				out = append(out, r)
			}
		}
	}
	return out
}

// keyHold is what a server holds of one key.
type keyHold struct {
	fence uint64
	until time.Time
	from  time.Time
}

// server is a stand-in for an application server, as the platform's pages
// describe one.
type server struct {
	rec     *recorder
	ledger  *ledger
	owners  *ownerCheck
	name    string // Its id.
	life    int    // Counts its starts under this id.
	service string
	zone    string
	address string
	slots   int
	queue   int
	sharded bool
	work    time.Duration
	// answer may change what is sent for one request; nil sends the answer.
	answer func(c *serverConn, r *http.Request, id string, head, body []byte) bool
	// refuse says that the server is to refuse a request without running it.
	refuse func(id string) bool
	// arrived is called when a request has arrived on a connection.
	arrived func(c *serverConn, id string)
	// closesAfterGrant says whether the answer to a grant closes the connection.
	closesAfterGrant func() bool

	control  string // Where it sends its heartbeats.
	listener net.Listener
	born     int64

	mu       sync.Mutex
	state    string
	running  int
	waiting  int
	keys     map[int]keyHold
	seen     map[int]uint64
	working  map[int]int
	sequence uint64
	stopped  bool // It sends no more heartbeats.
	ended    bool
	acks     int
	conns    map[net.Conn]bool
}

// serverConn is one connection to a server.
type serverConn struct {
	net.Conn
	reader *bufio.Reader
	// pending is sent where the next response is expected.
	pending []byte
}

func (s *server) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.listener = listener
	s.born = time.Now().UnixMilli()
	s.state = "ready"
	s.keys, s.seen, s.working = make(map[int]keyHold), make(map[int]uint64), make(map[int]int)
	s.conns = make(map[net.Conn]bool)
	go s.acceptLoop()
	return nil
}

func (s *server) acceptLoop() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(&serverConn{Conn: c, reader: bufio.NewReader(c)})
	}
}

func (s *server) serve(c *serverConn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c.Conn)
		s.mu.Unlock()
	}()
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if !s.handle(c, r, body) {
			return
		}
	}
}

// handle answers one request and reports whether the connection goes on.
func (s *server) handle(c *serverConn, r *http.Request, body []byte) bool {
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != s.name {
		return write(c, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: "+s.name+"\r\nX-Not-Executed: 1\r\nX-Request-Id: "+r.Header.Get("X-Request-Id")+"\r\nContent-Length: 0\r\n\r\n")
	}
	switch r.URL.Path {
	case "/v1/grant":
		return s.grant(c, body)
	case "/v1/release":
		return s.release(c, body)
	case "/health":
		return write(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: "+s.name+"\r\nContent-Length: 0\r\n\r\n")
	}
	return s.request(c, r, body)
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

func refusal(status int, id string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), id)
}

// request runs a request, or refuses it.
func (s *server) request(c *serverConn, r *http.Request, body []byte) bool {
	id := r.Header.Get("X-Request-Id")
	if s.arrived != nil {
		s.arrived(c, id)
	}
	if id == "" {
		return write(c, refusal(http.StatusBadRequest, id))
	}
	if s.refuse != nil && s.refuse(id) || !s.admit(r) {
		return s.respond(c, r, id, []byte(refusal(http.StatusServiceUnavailable, id)), nil)
	}
	key := -1
	if s.sharded {
		n, err := strconv.Atoi(r.Header.Get("X-Shard-Key"))
		if err != nil || !s.beginKey(n) {
			s.leave()
			s.rec.line("server %s refuses %s: it does not hold key %d", s.name, id, n)
			return s.respond(c, r, id, []byte(refusal(http.StatusMisdirectedRequest, id)), nil)
		}
		key = n
	}
	this := &run{id: id, server: s.name, begin: time.Now(), caller: r.Header.Get("X-Caller-Service"), method: r.Method, target: r.RequestURI, bodyLen: len(body), key: key}
	s.ledger.begin(this)
	s.rec.line("server %s runs %s", s.name, id)
	status := 200
	left := 10 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	if left < s.work {
		time.Sleep(left)
		status = http.StatusGatewayTimeout
	} else {
		time.Sleep(s.work)
	}
	if key >= 0 {
		s.endKey(key)
	}
	s.leave()
	s.rec.line("server %s ends %s: %d", s.name, id, status)
	answer := []byte(bodyOf(s.name, id))
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Response-Signature: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), id, signatureOf(s.name, id), len(answer))
	return s.respond(c, r, id, []byte(head), answer)
}

// respond sends an answer, unless the case's own function has done so.
func (s *server) respond(c *serverConn, r *http.Request, id string, head, body []byte) bool {
	if s.answer != nil {
		return s.answer(c, r, id, head, body)
	}
	return write(c, string(head)+string(body))
}

func signatureOf(server, id string) string { return "sig." + server + "." + id }

func bodyOf(server, id string) string {
	return strings.Repeat("answer of "+server+" to "+id+"\n", 20)
}

// admit takes a slot, waits for one in the queue, or returns false if the server
// is full.
func (s *server) admit(_ *http.Request) bool {
	s.mu.Lock()
	if s.running >= s.slots && s.waiting >= s.queue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.running < s.slots {
			s.running++
			s.waiting--
			s.mu.Unlock()
			return true
		}
		s.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}

func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *server) beginKey(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.keys[n]
	if !ok || !time.Now().Before(h.until) {
		return false
	}
	s.working[n]++
	return true
}

func (s *server) endKey(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.working[n]--
}

// grantCall is the body of a grant or a release.
type grantCall struct {
	First    int    `json:"from"`
	Last     int    `json:"target"`
	Fence    uint64 `json:"fence"`
	HoldTime string `json:"hold_time"`
	Handover string `json:"handover"`
}

func (s *server) grant(c *serverConn, body []byte) bool {
	var g grantCall
	hold, err := time.Duration(0), json.Unmarshal(body, &g)
	if err == nil {
		hold, err = time.ParseDuration(g.HoldTime)
	}
	if err != nil || g.First < 0 || g.Last >= shardKeys || g.First > g.Last {
		return write(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
	}
	now := time.Now()
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return false
	}
	for n := g.First; n <= g.Last; n++ {
		if s.seen[n] > g.Fence {
			s.mu.Unlock()
			s.rec.line("server %s refuses the grant of %d-%d at epoch %d: it has seen %d", s.name, g.First, g.Last, g.Fence, s.seen[n])
			return write(c, "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n")
		}
	}
	renewal := true
	for n := g.First; n <= g.Last; n++ {
		held, ok := s.keys[n]
		isHeld := ok && held.fence == g.Fence && now.Before(held.until)
		from := now
		if isHeld {
			from = held.from
		} else {
			renewal = false
		}
		s.seen[n] = g.Fence
		s.keys[n] = keyHold{fence: g.Fence, until: now.Add(hold), from: from}
	}
	// Under the lock, so that no grant counts for a server that has ended.
	s.owners.granted(s.lifeName(), g.First, g.Last, g.Fence, now, now.Add(hold))
	s.mu.Unlock()
	if !renewal {
		s.rec.line("server %s takes keys %d-%d at epoch %d for %s", s.lifeName(), g.First, g.Last, g.Fence, g.HoldTime)
	}
	if s.closesAfterGrant != nil && s.closesAfterGrant() {
		write(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return false
	}
	return write(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
}

func (s *server) release(c *serverConn, body []byte) bool {
	var g grantCall
	if err := json.Unmarshal(body, &g); err != nil {
		return write(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
	}
	s.mu.Lock()
	for n := g.First; n <= g.Last && n < shardKeys; n++ {
		delete(s.keys, n)
	}
	s.mu.Unlock()
	s.rec.line("server %s releases keys %d-%d of epoch %d", s.name, g.First, g.Last, g.Fence)
	s.owners.released(s.lifeName(), g.First, g.Last, time.Now())
	for s.worksOn(g.First, g.Last) {
		time.Sleep(time.Millisecond)
	}
	return write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Handover: h%d-%d-%d\r\nContent-Length: 0\r\n\r\n", g.First, g.Last, g.Fence))
}

func (s *server) worksOn(first, last int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, count := range s.working {
		if count > 0 && first <= n && n <= last {
			return true
		}
	}
	return false
}

// lifeName names this start of the server.
func (s *server) lifeName() string {
	if s.life == 0 {
		return s.name
	}
	return fmt.Sprintf("%s (start %d)", s.name, s.life)
}

// heartbeat returns the body of the next heartbeat.
func (s *server) heartbeat() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	b, _ := json.Marshal(map[string]any{"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": s.state, "coldLeft": "0ms", "sequence": s.sequence, "born": s.born})
	return b
}

// beat sends one heartbeat and reports whether it was confirmed.
func (s *server) beat() bool {
	return s.deliver(s.heartbeat())
}

// deliver sends a heartbeat to the control address of its machine.
func (s *server) deliver(b []byte) bool {
	return s.call("/v1/Instances.Heartbeat/", b)
}

// call posts to the control address of the server's machine and reports whether
// the answer was a success.
func (s *server) call(path string, b []byte) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+s.control+path+s.name, "application/json", bytes.NewReader(b))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// beatForever sends heartbeats until the server is stopped.
func (s *server) beatForever(every time.Duration) {
	for {
		s.mu.Lock()
		stopped := s.stopped
		s.mu.Unlock()
		if stopped {
			return
		}
		if s.beat() {
			s.mu.Lock()
			s.acks++
			s.mu.Unlock()
		}
		time.Sleep(every)
	}
}

func (s *server) currentState() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

func (s *server) stopBeats() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
}

// deregister says that the server is about to exit, and reports whether that was
// confirmed.
func (s *server) deregister() bool {
	b, _ := json.Marshal(map[string]any{"born": s.born})
	return s.call("/v1/Instances.Deregister/", b)
}

func (s *server) setState(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

// kill ends the server as a crash does.
func (s *server) kill() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.ended = true
	s.keys = make(map[int]keyHold)
	for c := range s.conns {
		_ = c.Close()
	}
	if s.owners != nil {
		s.owners.released(s.lifeName(), 0, shardKeys-1, time.Now())
	}
}
