package jsonrpc

import (
	"compress/flate"
	"io"
	"net"
	"sync"
)

// compressedMark is the first byte of a compressed connection. A connection that isn't compressed begins with the length of a
// message, which is never 0.
const compressedMark = 0

// compressedConn compresses what it writes and decompresses what it reads. Both directions keep their window from message to
// message, so that a message costs little more than its difference from earlier ones.
type compressedConn struct {
	net.Conn
	reader io.Reader

	mu     sync.Mutex // guards writer
	writer *flate.Writer
}

func newCompressedConn(c net.Conn) (*compressedConn, error) {
	w, err := flate.NewWriter(c, flate.DefaultCompression)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &compressedConn{Conn: c, reader: flate.NewReader(c), writer: w}, nil
}

// openCompressed marks an opened connection as compressed and returns it as such.
func openCompressed(c net.Conn) (net.Conn, error) {
	if _, err := c.Write([]byte{compressedMark}); err != nil {
		return nil, Error.Wrap(err)
	}
	return newCompressedConn(c)
}

// Read implements net.Conn.
func (c *compressedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// Write implements net.Conn. The other process can read all of p without waiting for more.
func (c *compressedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.writer.Write(p)
	if err != nil {
		return n, Error.Wrap(err)
	}
	return n, Error.Wrap(c.writer.Flush())
}

// acceptedConn is an accepted connection, which is compressed if its first byte says so. Nothing is written to it before that
// byte has been read, because this end only answers.
type acceptedConn struct {
	net.Conn

	mu sync.Mutex
	// inner is what to read from and write to, nil before the first byte has been read.
	inner net.Conn
}

// Read implements net.Conn.
func (c *acceptedConn) Read(p []byte) (int, error) {
	if inner := c.current(); inner != nil {
		return inner.Read(p)
	}
	if len(p) == 0 {
		return 0, nil
	}
	n, err := c.Conn.Read(p[:1])
	if n == 0 {
		return 0, err
	}
	if p[0] != compressedMark {
		c.setCurrent(c.Conn)
		return n, err
	}
	inner, err := newCompressedConn(c.Conn)
	if err != nil {
		return 0, err
	}
	c.setCurrent(inner)
	return inner.Read(p)
}

// Write implements net.Conn.
func (c *acceptedConn) Write(p []byte) (int, error) {
	if inner := c.current(); inner != nil {
		return inner.Write(p)
	}
	return c.Conn.Write(p)
}

func (c *acceptedConn) current() net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inner
}

func (c *acceptedConn) setCurrent(inner net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inner = inner
}
