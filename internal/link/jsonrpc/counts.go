package jsonrpc

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/figpier/figpier"
)

// traffic counts the bytes that a messenger exchanged.
type traffic struct {
	sent     atomic.Int64
	received atomic.Int64
}

// show registers the counts with the counters of the process, if it has any.
func (t *traffic) show(d figpier.Directory) {
	c, err := figpier.FindCounters(d)
	if err != nil {
		return
	}
	c.Gauge("message_sent_bytes", func() float64 { return float64(t.sent.Load()) })
	c.Gauge("message_received_bytes", func() float64 { return float64(t.received.Load()) })
}

// writeTimeout is how long one write may wait for the other process to read.
const writeTimeout = 2 * time.Second

// countedConn counts what passes through a connection.
type countedConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	// A connection that went silent must not hold its writers once its buffers are full.
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}
