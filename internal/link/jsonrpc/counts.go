package jsonrpc

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/figpier/figpier"
)

// byteCounts counts the bytes that a messenger sent and received, without the overhead of TLS.
type byteCounts struct {
	sent     atomic.Int64
	received atomic.Int64
}

// register adds the counts to the metrics of the process, if it exposes any.
func (b *byteCounts) register(d figpier.Directory) {
	c, err := figpier.FindCounters(d)
	if err != nil {
		return
	}
	c.Gauge("message_sent_bytes", func() float64 { return float64(b.sent.Load()) })
	c.Gauge("message_received_bytes", func() float64 { return float64(b.received.Load()) })
}

// writeTimeout bounds one write to a connection.
const writeTimeout = 2 * time.Second

// countedConn is a connection that counts its bytes and bounds its writes.
type countedConn struct {
	net.Conn
	counts *byteCounts
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counts.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	// If the other process no longer reads, the buffers fill up; the writers must not be blocked for longer than this.
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.counts.sent.Add(int64(n))
	return n, err
}
