package web

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
)

const (
	// readAheadBytes is how many bytes net/http may have read on a connection and not used yet.
	readAheadBytes = 4 << 10
	// minTextLineBytes is the average length of the lines of a body below which they are counted as lines of a trailer or of another head.
	minTextLineBytes = 16
)

// errMemory ends a connection whose requests take more memory than is left.
var errMemory = Error.New("no memory is left for a request of this size")

// serverConn is a connection of a server. It counts the memory of a request's head while net/http reads it, so that the head is cut off
// before it takes more than is left.
type serverConn struct {
	net.Conn
	account account
	// readsHeads means that the bytes read are those of requests, and not of TLS records.
	readsHeads bool

	mu sync.Mutex // guards the fields below
	// inHead means that the next byte belongs to a head.
	inHead bool
	// lineText means that the current line of the head has bytes other than its end.
	lineText bool
	// served means that a handler has begun since the connection was last idle.
	served bool
	// head is the estimate for the head.
	head int64
	// ahead is the estimate for lines that have been read beyond the head, in the last aheadBytes bytes.
	ahead      int64
	aheadBytes int
}

// Read implements net.Conn.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || !c.readsHeads || c.count(p[:n]) {
		return n, err
	}
	_ = c.Close()
	// After other errors net/http answers with a status 400.
	return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errMemory}
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	c.account.close()
	return c.Conn.Close()
}

// CloseWrite closes the sending side, which net/http does before it closes a connection whose request it has not read to the end.
func (c *serverConn) CloseWrite() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return Error.New("a connection of type %T has no sending side", c.Conn)
	}
	return Error.Wrap(tcp.CloseWrite())
}

// count adds the estimate for bytes that have been read, and returns false if no memory is left for them.
func (c *serverConn) count(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.head + c.ahead
	if c.inHead {
		p = c.countHead(p)
	}
	if !c.inHead {
		c.countAhead(p)
	}
	return c.account.add(c.head + c.ahead - before)
}

// countHead adds the bytes that belong to the head, and returns those behind its end.
func (c *serverConn) countHead(p []byte) (rest []byte) {
	for len(p) > 0 {
		line, next, ended := bytes.Cut(p, []byte{'\n'})
		c.head += int64(len(p) - len(next))
		c.lineText = c.lineText || len(line) > 0 && string(line) != "\r"
		if !ended {
			return nil
		}
		c.head += headerLineBytes
		blank := !c.lineText
		c.lineText = false
		p = next
		if blank {
			c.inHead = false
			return p
		}
	}
	return nil
}

// countAhead counts the lines of a trailer or of the next head among bytes behind the head. Only the last readAheadBytes can be in use.
func (c *serverConn) countAhead(p []byte) {
	p = p[max(0, len(p)-readAheadBytes):]
	if c.aheadBytes+len(p) > readAheadBytes {
		c.ahead, c.aheadBytes = 0, 0
	}
	c.aheadBytes += len(p)
	if lines := bytes.Count(p, []byte{'\n'}); lines*minTextLineBytes > len(p) {
		c.ahead += int64(lines * headerLineBytes)
	}
}

// beginRequest notes that a head has been read to its end, and that a handler begins.
func (c *serverConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead, c.served = false, true
}

// endRequest notes that the connection waits for the next request. What was read beyond the last one may be the beginning of its head.
func (c *serverConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.served {
		return
	}
	c.account.add(-c.head)
	c.head, c.ahead, c.aheadBytes = c.ahead, 0, 0
	c.inHead, c.lineText, c.served = true, false, false
}

// followConnState ends the request of a connection that has become idle. Until then net/http may still discard the rest of its body, which
// is no head.
func followConnState(c net.Conn, s http.ConnState) {
	if s != http.StateIdle {
		return
	}
	if counted, ok := c.(*serverConn); ok {
		counted.endRequest()
	}
}

// connKey is the key of the connection in the contexts of its requests.
type connKey struct{}

// withConn adds the serverConn of a connection to its context.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	return context.WithValue(ctx, connKey{}, c)
}

// resetUnfinished returns a handler that resets the connection of an HTTP/1.0 request whose handler panics. The answer to such a request
// may end with its connection, which the HTTP server would close in order, and a TLS connection even with a notice.
func resetUnfinished(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		finished := false
		defer func() {
			if !finished {
				resetConn(r.Context())
			}
		}()
		next.ServeHTTP(w, r)
		finished = true
	})
}

// resetConn resets the connection of a request's context.
func resetConn(ctx context.Context) {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return
	}
	inner := c
	if counted, ok := c.(*serverConn); ok {
		inner = counted.Conn
	}
	if tcp, ok := inner.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // makes the close a reset
	}
	_ = c.Close()
}
