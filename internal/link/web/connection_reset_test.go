package web

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// dialed returns a connection of a transport and its other end.
func dialed(t *testing.T) (c net.Conn, other *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	transport := NewTransport(TransportConfig{DialTimeout: time.Second, UnacknowledgedTimeout: time.Second, IdleTimeout: time.Second, IdleConnections: 4})
	c, err = transport.inner.DialContext(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	accepted, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	other, ok := accepted.(*net.TCPConn)
	assert.Assert(t, ok)
	return c, other
}

// reset resets a connection from its other end.
func reset(t *testing.T, other *net.TCPConn) {
	t.Helper()
	assert.NilError(t, other.SetLinger(0))
	assert.NilError(t, other.Close())
}

// Guards against a part of an answer that is taken for a whole one: the kernel reports a reset once, here to a write, and a read after
// that returns io.EOF.
func TestReadAfterAWriteThatFoundTheResetIsNoEnd(t *testing.T) {
	c, other := dialed(t)
	_, err := io.WriteString(other, "part")
	assert.NilError(t, err)
	part := make([]byte, len("part"))
	_, err = io.ReadFull(c, part)
	assert.NilError(t, err)
	reset(t, other)
	for err == nil {
		_, err = io.WriteString(c, "upload")
	}
	for range 2 {
		n, err := c.Read(part)
		assert.Equal(t, n, 0)
		assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "%v", err)
	}
}

// slowWriteConn is a connection whose write finds a reset, and returns only some time after a read has found the end.
type slowWriteConn struct {
	net.Conn
	found chan struct{}
}

func (c *slowWriteConn) Write([]byte) (int, error) {
	close(c.found)
	<-time.After(20 * time.Millisecond)
	return 0, syscall.ECONNRESET
}

func (c *slowWriteConn) Read([]byte) (int, error) {
	<-c.found
	return 0, io.EOF
}

// Guards against a read that finds the end of a reset connection while the write that found the reset has not returned yet.
func TestReadBesideAWriteThatFoundTheResetIsNoEnd(t *testing.T) {
	inner, other := net.Pipe()
	defer func() { _ = inner.Close() }()
	defer func() { _ = other.Close() }()
	c := &clientConn{Conn: &slowWriteConn{Conn: inner, found: make(chan struct{})}}
	go func() { _, _ = io.WriteString(c, "upload") }()
	_, err := c.Read(make([]byte, 1))
	assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "%v", err)
}

// Guards against a whole answer that gets lost because its end is waited for until a write ends that the other host does not read.
func TestEndBesideABlockedWriteIsAnEnd(t *testing.T) {
	c, other := dialed(t)
	blocked := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, longBodyBytes))
		blocked <- err
	}()
	_, err := io.WriteString(other, "whole")
	assert.NilError(t, err)
	assert.NilError(t, other.CloseWrite())
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	text, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "whole")
	assert.Assert(t, <-blocked != nil)
}
