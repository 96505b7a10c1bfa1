package web

import (
	"net"
	"net/http/httptrace"
	"syscall"
	"time"
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, whose value is in milliseconds; package syscall lacks it.
const tcpUserTimeout = 18

// noUserTimeout leaves it to the kernel's retransmissions, which take minutes, to find that a host has gone.
const noUserTimeout time.Duration = 0

// clientConn is a connection of a transport. Its fields are used by one request at a time.
type clientConn struct {
	net.Conn
	raw syscall.RawConn
	// unacknowledged is the timeout of requests that can be sent again, and current the one in force.
	unacknowledged time.Duration
	current        time.Duration
}

// prepare sets how long the other host may leave data unacknowledged before the kernel closes the connection. The kernel counts a
// receiver that doesn't read as one that doesn't acknowledge, so there is no such time for a body that is streamed and may fill the
// receiver's window. Its request ends at its deadline, and could not be sent again before.
func (c *clientConn) prepare(streamed bool) error {
	timeout := c.unacknowledged
	if streamed {
		timeout = noUserTimeout
	}
	if timeout == c.current {
		return nil
	}
	c.current = timeout
	return setUserTimeout(c.raw, timeout)
}

// newTrace returns the trace of an attempt to send a request with a body of a length, -1 for an unknown one.
func newTrace(a *Attempt, length int64) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		a.reached.Store(true)
		if c, ok := info.Conn.(*clientConn); ok {
			_ = c.prepare(streams(length)) // fails on a closed connection only, which the request then finds
		}
	}}
}

// setUserTimeout has the kernel close a connection whose data stays unacknowledged for the timeout.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(optionErr)
}
