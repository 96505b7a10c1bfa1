package web

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// onceListener is a listener whose Close may be called more than once, always with the result of the first call.
type onceListener struct {
	net.Listener
	once sync.Once
	err  error
}

// Close implements net.Listener.
func (l *onceListener) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}

// setDeadline makes Accept fail with os.ErrDeadlineExceeded from a time on.
func (l *onceListener) setDeadline(t time.Time) error {
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok {
		return Error.New("a listener of type %T has no deadline", l.Listener)
	}
	return Error.Wrap(tcp.SetDeadline(t))
}

// connListener is the listener of one HTTP server. It opens no port: Accept returns the connections that the Server accepted
// and passed to deliver.
type connListener struct {
	address net.Addr
	server  *http.Server
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once // guards the closing of closed
}

func newConnListener(address net.Addr) *connListener {
	return &connListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// deliver passes a connection to the HTTP server, or closes it if the listener is closed.
func (l *connListener) deliver(c net.Conn) {
	select {
	case l.conns <- c:
	case <-l.closed:
		_ = c.Close()
	}
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *connListener) Addr() net.Addr { return l.address }
