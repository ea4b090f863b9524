package entry

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/rhubarbring/rhubarbring/request"
)

// waiting is the connections whose callers wait for an answer. One goroutine
// looks after all of them, so that a request needs no timer of its own.
type waiting struct {
	mu    sync.Mutex
	conns map[request.Caller]net.Conn
	// first is told when a caller begins to wait and no other does.
	first chan struct{}
	every time.Duration // between two looks
}

func newWaiting(every time.Duration) *waiting {
	return &waiting{conns: make(map[request.Caller]net.Conn), first: make(chan struct{}, 1), every: every}
}

func (w *waiting) add(caller request.Caller, conn net.Conn) {
	w.mu.Lock()
	w.conns[caller] = conn
	alone := len(w.conns) == 1
	w.mu.Unlock()
	if !alone {
		return
	}
	select {
	case w.first <- struct{}{}:
	default: // It is told already.
	}
}

func (w *waiting) nobody() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.conns) == 0
}

func (w *waiting) remove(caller request.Caller) {
	w.mu.Lock()
	delete(w.conns, caller)
	w.mu.Unlock()
}

type waiter struct {
	caller request.Caller
	conn   net.Conn
}

func (w *waiting) list(into []waiter) []waiter {
	w.mu.Lock()
	defer w.mu.Unlock()
	for caller, conn := range w.conns {
		into = append(into, waiter{caller, conn})
	}
	return into
}

// watch calls gone once for each caller that hangs up while it waits, until
// done is closed. It may also call it for one that was just answered.
func (w *waiting) watch(gone func(request.Caller), done <-chan struct{}) {
	tick := time.NewTicker(w.every)
	defer tick.Stop()
	var list []waiter
	for {
		wake := tick.C
		if w.nobody() {
			wake = nil // Sleep until somebody waits.
		}
		select {
		case <-done:
			return
		case <-w.first:
			continue
		case <-wake:
		}
		list = w.list(list[:0])
		for _, waiter := range list {
			if hungUp(waiter.conn) {
				w.remove(waiter.caller)
				gone(waiter.caller)
			}
		}
		clear(list)
	}
}

// hungUp reports whether the other side has closed the connection: a peek
// that finds its end. Bytes that wait, or none, mean that it is there. It
// does not wait for a reader of the connection.
func hungUp(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n == 0 && peekErr == nil || peekErr == unix.ECONNRESET
	})
	return closed || err != nil
}
