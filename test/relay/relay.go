package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors that Listen returns.
var Error = errs.Class("relay")

// Relay forwards connections to one address and, on demand, delays, drops or resets them. Its methods may be called from
// any goroutine.
type Relay struct {
	listener net.Listener
	target   string
	// dropNew makes each new connection drop all data from its start.
	dropNew atomic.Bool
	// delay is a time.Duration.
	delay    atomic.Int64
	accepted atomic.Int64

	mu sync.Mutex
	// connections holds all connections accepted so far, also those that have ended. Guarded by mu.
	connections []*connection
}

// connection is one forwarded connection: the one accepted from the caller and the one opened to the server.
type connection struct {
	// dropBoth discards the data of both directions.
	dropBoth atomic.Bool
	// dropResponses discards the data that the server sends.
	dropResponses atomic.Bool
	caller        net.Conn
	server        net.Conn
}

// Listen starts a relay to the target address on a free loopback port. The relay and its connections close when the
// context ends.
func Listen(ctx context.Context, target string) (*Relay, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	r := &Relay{listener: l, target: target}
	go r.accept(ctx)
	context.AfterFunc(ctx, r.close)
	return r, nil
}

// Address returns the IP address and port that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Accepted returns the number of connections forwarded so far.
func (r *Relay) Accepted() int64 { return r.accepted.Load() }

// DropTraffic discards all further data of the open connections, which stay open; new ones work. It simulates a peer that
// vanishes without closing its connections.
func (r *Relay) DropTraffic() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.connections {
		c.dropBoth.Store(true)
	}
}

// DropResponses discards all further data that the server sends on the open connections, which stay open; new ones work.
func (r *Relay) DropResponses() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.connections {
		c.dropResponses.Store(true)
	}
}

// Delay delays each write on all connections, in both directions, by d; 0 ends the delay.
func (r *Relay) Delay(d time.Duration) { r.delay.Store(int64(d)) }

// Reset closes the open connections on both sides; new ones work.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.connections {
		_ = c.caller.Close()
		_ = c.server.Close()
	}
}

// DropAllTraffic discards all further data of the open connections and of new ones, as a network partition does.
func (r *Relay) DropAllTraffic() {
	r.dropNew.Store(true)
	r.DropTraffic()
}

func (r *Relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.connections {
		_ = c.caller.Close()
		_ = c.server.Close()
	}
}

func (r *Relay) accept(ctx context.Context) {
	for {
		caller, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := (&net.Dialer{}).DialContext(ctx, "tcp", r.target)
		if err != nil {
			_ = caller.Close()
			continue
		}
		r.accepted.Add(1)
		r.forward(&connection{caller: caller, server: server})
	}
}

func (r *Relay) forward(c *connection) {
	c.dropBoth.Store(r.dropNew.Load())
	r.mu.Lock()
	r.connections = append(r.connections, c)
	r.mu.Unlock()
	go c.pump(c.caller, dropWriter{relay: r, dropBoth: &c.dropBoth, destination: c.server})
	go c.pump(c.server, dropWriter{relay: r, dropBoth: &c.dropBoth, dropResponses: &c.dropResponses, destination: c.caller})
}

// pump forwards one direction until its source closes. The close is passed on only if the data is not being dropped.
func (c *connection) pump(from net.Conn, w dropWriter) {
	_, _ = io.Copy(w, from)
	if !w.drops() {
		_ = w.destination.Close()
	}
}

// dropWriter forwards one direction of a connection, or discards its data; dropResponses is nil for the direction to the
// server.
type dropWriter struct {
	relay         *Relay
	dropBoth      *atomic.Bool
	dropResponses *atomic.Bool
	destination   net.Conn
}

// drops reports whether the data of this direction is discarded.
func (w dropWriter) drops() bool {
	return w.dropBoth.Load() || w.dropResponses != nil && w.dropResponses.Load()
}

// Write waits for the relay's delay and forwards b. Discarded data counts as written.
func (w dropWriter) Write(b []byte) (int, error) {
	if d := w.relay.delay.Load(); d > 0 {
		<-time.After(time.Duration(d))
	}
	if w.drops() {
		return len(b), nil
	}
	return w.destination.Write(b)
}
