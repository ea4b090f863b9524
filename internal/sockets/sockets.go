// Package sockets sets how long a connection may go without a sign of life of
// the other side.
package sockets

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A connection on which nothing is sent is asked for a sign of life every
// keepAliveInterval, and given up after keepAliveProbes questions without an answer.
const (
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

// SetUserTimeout makes the kernel give a TCP connection up when bytes that were sent
// are not acknowledged for a time: the other machine is gone or cut off.
func SetUserTimeout(fd int, timeout time.Duration) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
}

// Dialer returns a dialer of TCP connections that are given up as Abandon says.
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
