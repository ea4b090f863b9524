// Package sockets sets the timeouts after which the kernel closes a TCP
// connection whose other side no longer answers.
package sockets

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Keep-alive of an idle connection: the kernel probes it every
// keepAliveInterval, and closes it after keepAliveProbes probes without an
// answer.
const (
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

// SetUserTimeout makes the kernel close a TCP connection when sent bytes stay
// unacknowledged for the timeout, because the other machine is down or cut off.
func SetUserTimeout(fd int, timeout time.Duration) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
}

// Dialer returns a TCP dialer with the given timeout for opening a connection.
// Its connections use keep-alive probes and, as SetUserTimeout, the user
// timeout.
func Dialer(dialTimeout, userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			if controlErr := raw.Control(func(fd uintptr) { err = SetUserTimeout(int(fd), userTimeout) }); controlErr != nil {
				return controlErr
			}
			return err
		},
	}
}
