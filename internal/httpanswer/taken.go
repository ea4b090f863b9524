package httpanswer

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// acknowledgePoll is the time between two looks at what is not acknowledged.
const acknowledgePoll = time.Millisecond

// errBroken means that what was written will never be acknowledged.
var errBroken = errors.New("the connection is broken")

// AwaitTaken waits until the other end's host has acknowledged all that was written to a
// TCP connection, until the deadline at most, if there is one, and reports whether it has.
// An answer that ended with the connection is whole only then: a server that ends before
// it has the whole request looks like one that ends in order.
func AwaitTaken(conn syscall.Conn, deadline time.Time) bool {
	for deadline.IsZero() || time.Now().Before(deadline) {
		waiting, err := unacknowledged(conn)
		if err != nil {
			return false
		}
		if waiting == 0 {
			return true
		}
		time.Sleep(acknowledgePoll)
	}
	return false
}

// unacknowledged returns how many of the bytes written are not acknowledged. It returns
// an error if there are some and the connection is broken, or closed here.
func unacknowledged(conn syscall.Conn) (count int, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		if count, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); err == nil && count > 0 && isBroken(int(fd)) {
			err = errBroken
		}
	})
	return count, errors.Join(controlErr, err)
}

// isBroken reports whether a connection was reset or has failed.
func isBroken(fd int) bool {
	poll := []unix.PollFd{{Fd: int32(fd)}}
	n, err := unix.Poll(poll, 0)
	return err == nil && n > 0 && poll[0].Revents&(unix.POLLHUP|unix.POLLERR) != 0
}

// requestTaken is AwaitTaken for a connection of a client. It does not look below TLS,
// which tells an end in order from others itself.
func requestTaken(conn net.Conn, deadline time.Time) bool {
	tcp, ok := conn.(syscall.Conn)
	return !ok || AwaitTaken(tcp, deadline)
}
