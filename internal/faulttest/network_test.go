package faulttest

import (
	"errors"
	"net"
	"sync"
	"time"
)

// storeName is the store's name in the network.
const storeName = "store"

// network carries the connections of daemons to each other and to the store
// through relays, so that a link can be cut. A cut link loses nothing at once:
// it holds bytes back, as TCP does, and no new connection can be opened.
type network struct {
	mu      sync.Mutex
	names   map[string]string // by address
	cut     map[[2]string]bool
	changed chan struct{} // closed and replaced at each change of a cut
}

func newNetwork() *network {
	return &network{names: map[string]string{}, cut: map[[2]string]bool{}, changed: make(chan struct{})}
}

// name says whose an address is.
func (n *network) name(address, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[address] = name
}

// set cuts or heals all links between two groups.
func (n *network) set(cut bool, a, b []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, x := range a {
		for _, y := range b {
			n.cut[[2]string{x, y}] = cut
			n.cut[[2]string{y, x}] = cut
		}
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// state says whether two are cut off from each other, and returns a channel
// that is closed at the next change.
func (n *network) state(a, b string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{a, b}], n.changed
}

// whole waits until two are connected, at most until stop is closed.
func (n *network) whole(a, b string, stop <-chan struct{}) bool {
	for {
		cut, changed := n.state(a, b)
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-stop:
			return false
		}
	}
}

var errCut = errors.New("the link is cut")

// dial returns the daemon.WithDial function of a host.
func (n *network) dial(from string) func(string, time.Duration) (net.Conn, error) {
	return func(address string, within time.Duration) (net.Conn, error) {
		n.mu.Lock()
		to := n.names[address]
		n.mu.Unlock()
		stop := make(chan struct{})
		timer := time.AfterFunc(within, func() { close(stop) })
		defer timer.Stop()
		if !n.whole(from, to, stop) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errCut}
		}
		far, err := net.DialTimeout("tcp", address, within)
		if err != nil {
			return nil, err
		}
		return n.relay(from, to, far)
	}
}

// relay returns the near end of a pair of connections, the far end of which
// is pumped to and from a connection that is open already.
func (n *network) relay(from, to string, far net.Conn) (net.Conn, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer func() { _ = ln.Close() }()
	near, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		return nil, err
	}
	middle, err := ln.Accept()
	if err != nil {
		return nil, err
	}
	go n.pump(from, to, far, middle)
	go n.pump(from, to, middle, far)
	return near, nil
}

const pumpBytes = 64 << 10

// pump carries bytes one way. An end of the connection is held back by a cut
// like any other byte.
func (n *network) pump(from, to string, dst, src net.Conn) {
	buffer := make([]byte, pumpBytes)
	for {
		count, err := src.Read(buffer)
		n.whole(from, to, nil)
		if count > 0 {
			_, _ = dst.Write(buffer[:count])
		}
		if err != nil {
			_ = dst.Close()
			_ = src.Close()
			return
		}
	}
}
