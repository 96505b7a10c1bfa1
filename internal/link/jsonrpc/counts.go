package jsonrpc

import (
	"net"
	"sync"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/link/bytecount"
)

// byteCounts counts the bytes of the requests that this process sends and of their answers, so that each byte between two
// processes is counted at one of them.
type byteCounts struct {
	directory figpier.Directory
	// link counts the bytes on the wire of the connections that this process opened, without the overhead of TLS.
	link bytecount.Counts

	mu sync.Mutex // guards methods
	// methods counts the bytes of messages, before compression.
	methods map[figpier.Method]*bytecount.Counts
}

// start adds the counts to the metrics of the process, if it exposes any.
func (b *byteCounts) start(d figpier.Directory) {
	b.directory = d
	b.methods = map[figpier.Method]*bytecount.Counts{}
	b.link.Start(d, "message_link_bytes", "")
	c, err := figpier.FindCounters(d)
	if err != nil {
		return
	}
	c.Gauge("message_sent_bytes", func() float64 { n, _ := b.link.Total(); return float64(n) })
	c.Gauge("message_received_bytes", func() float64 { _, n := b.link.Total(); return float64(n) })
}

// add counts a request of a method and its answer.
func (b *byteCounts) add(m figpier.Method, address string, sent, received int) {
	b.mu.Lock()
	c, ok := b.methods[m]
	if !ok {
		c = &bytecount.Counts{}
		c.Start(b.directory, "message_bytes", `method="`+string(m)+`"`)
		b.methods[m] = c
	}
	b.mu.Unlock()
	c.Add(address, sent, received)
}

// writeTimeout bounds one write to a connection.
const writeTimeout = 2 * time.Second

// boundedConn is a connection that bounds its writes.
type boundedConn struct {
	net.Conn
}

// Write implements net.Conn.
func (c boundedConn) Write(p []byte) (int, error) {
	// If the other process no longer reads, the buffers fill up; the writers must not be blocked for longer than this.
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
