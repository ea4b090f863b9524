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
// probeEvery, and given up after probeCount questions without an answer.
const (
	probeEvery = time.Second
	probeCount = 3
)

// Abandon makes the kernel give a TCP connection up when bytes that were sent
// are not acknowledged for a time: the other machine is gone or cut off.
func Abandon(fd int, after time.Duration) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(after.Milliseconds()))
}

// Dialer returns a dialer of TCP connections that are given up as Abandon says.
func Dialer(within, after time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         within,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeEvery, Interval: probeEvery, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			if controlErr := raw.Control(func(fd uintptr) { err = Abandon(int(fd), after) }); controlErr != nil {
				return controlErr
			}
			return err
		},
	}
}
