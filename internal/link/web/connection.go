package web

import (
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, whose value is in milliseconds; package syscall lacks it.
const tcpUserTimeout = 18

// noUserTimeout leaves it to the kernel's retransmissions, which take minutes, to find that a host has gone.
const noUserTimeout time.Duration = 0

// errWriteFailed reports a connection that ended after a write on it had failed.
var errWriteFailed = Error.New("the connection ended after a write on it had failed, so that its end may be a reset")

// clientConn is a connection of a transport. An answer may end with its connection, so a read returns io.EOF only if no write has failed:
// the kernel reports a reset once, to a read or to a write, and reads after that find nothing but an end.
type clientConn struct {
	net.Conn
	raw syscall.RawConn
	// unacknowledged is the timeout of requests that can be sent again, and current the one in force. One request at a time uses them.
	unacknowledged time.Duration
	current        time.Duration

	// expectsAnswer is set by a request, and makes the next bytes that are read the beginning of an answer's head.
	expectsAnswer atomic.Bool
	head          answerHead // used by Read only
	readErr       error      // of the first read that failed, nil for none; used by Read only

	writing sync.Mutex // held during a write; guards writeErr
	// writeErr is the error of the first write that failed, nil for none.
	writeErr error
}

// Write implements net.Conn.
func (c *clientConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. Once it has failed it goes on failing, as net/http passes over the errors of reads ahead.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	n, err := c.Conn.Read(p)
	if n > 0 && c.expectsAnswer.Swap(false) {
		c.head = answerHead{active: true}
	}
	if c.head.scan(p[:n]) {
		n, err = 0, errFoldedLine
	}
	if errors.Is(err, io.EOF) {
		return n, c.endError()
	}
	c.readErr = err
	return n, err
}

// endError returns io.EOF for the end of the connection, or errWriteFailed if a write has failed. A write under way may have found a reset
// and not returned yet; it is interrupted, as the other host may never read what it waits to send.
func (c *clientConn) endError() error {
	_ = c.SetWriteDeadline(time.Now()) // fails on a closed connection only, whose writes have ended
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil && !errors.Is(c.writeErr, os.ErrDeadlineExceeded) {
		return errWriteFailed
	}
	return io.EOF
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
			c.expectsAnswer.Store(true)
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
