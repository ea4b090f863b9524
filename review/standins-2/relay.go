package main

import (
	"io"
	"net"
	"sync"
)

// relay stands between a node and the server beside it. Connections that it has
// silenced stay open and carry nothing any more, whatever becomes of the server.
type relay struct {
	address, backend string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]*relayed
}

// relayed is a connection of a node, with the one to its server.
type relayed struct {
	server net.Conn
	silent bool
}

func newRelay(address, backend string) (*relay, error) {
	r := &relay{address: address, backend: backend, conns: make(map[net.Conn]*relayed)}
	return r, r.open()
}

// open accepts connections.
func (r *relay) open() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listener = listener
	r.mu.Unlock()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return nil
}

// shut refuses connections, as if nothing listened.
func (r *relay) shut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
}

// silence silences the connections that are open now, and returns their number.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.silent = true
	}
	return len(r.conns)
}

func (r *relay) isSilent(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conns[c] != nil && r.conns[c].silent
}

func (r *relay) serve(c net.Conn) {
	server, err := net.Dial("tcp", r.backend)
	if err != nil {
		_ = c.Close()
		return
	}
	r.mu.Lock()
	r.conns[c] = &relayed{server: server}
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); r.carry(c, c, server) }()
	go func() { defer both.Done(); r.carry(c, server, c) }()
	both.Wait()
	_ = server.Close()
	if !r.isSilent(c) {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		_ = c.Close()
	}
}

// carry copies bytes of a node's connection one way until one side ends. What arrives
// on a silent connection goes nowhere.
func (r *relay) carry(c, from, to net.Conn) {
	part := make([]byte, 32<<10)
	for {
		n, err := from.Read(part)
		if n > 0 && !r.isSilent(c) {
			if _, werr := to.Write(part[:n]); werr != nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		if err != io.EOF || !r.isSilent(c) {
			if !r.isSilent(c) {
				_ = c.Close()
			}
			if from == c {
				r.mu.Lock()
				other := r.conns[c]
				r.mu.Unlock()
				if other != nil {
					_ = other.server.Close()
				}
			}
		}
		return
	}
}

// close ends the relay and its connections.
func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
	for c, o := range r.conns {
		_ = c.Close()
		_ = o.server.Close()
	}
}
