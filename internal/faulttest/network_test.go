package faulttest

import (
	"errors"
	"net"
	"sync"
	"time"
)

// storeName is the store's name in the simulated network.
const storeName = "store"

// network relays the connections between daemons and from daemons to the store,
// so that a link can be cut. A cut does not break connections: bytes are held
// back, as TCP does while packets are lost, and new connections cannot be
// opened.
type network struct {
	mu      sync.Mutex
	names   map[string]string // by address
	cut     map[[2]string]bool
	changed chan struct{} // closed and replaced whenever a link changes
}

func newNetwork() *network {
	return &network{names: map[string]string{}, cut: map[[2]string]bool{}, changed: make(chan struct{})}
}

// setName records the name of the host or store at an address.
func (n *network) setName(address, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[address] = name
}

// setCut cuts or restores all links between two groups.
func (n *network) setCut(cut bool, a, b []string) {
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

// linkState reports whether the link between two names is cut, and returns a
// channel that is closed at the next change of any link.
func (n *network) linkState(a, b string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{a, b}], n.changed
}

// waitConnected waits until the link between two names is not cut. It returns
// false if stop is closed first.
func (n *network) waitConnected(a, b string, stop <-chan struct{}) bool {
	for {
		cut, changed := n.linkState(a, b)
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
		if !n.waitConnected(from, to, stop) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errCut}
		}
		far, err := net.DialTimeout("tcp", address, within)
		if err != nil {
			return nil, err
		}
		return n.relay(from, to, far)
	}
}

// relay returns a connection whose bytes are copied to and from far, which is
// already open, as long as the link is not cut.
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

const pumpBufferBytes = 64 << 10

// pump copies bytes in one direction. While the link is cut, it holds back both
// bytes and the end of the connection.
func (n *network) pump(from, to string, dst, src net.Conn) {
	buffer := make([]byte, pumpBufferBytes)
	for {
		count, err := src.Read(buffer)
		n.waitConnected(from, to, nil)
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
