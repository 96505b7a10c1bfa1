package bytecount

import (
	"fmt"
	"net"
	"sync/atomic"

	"github.com/figpier/figpier"
)

// Directions of the bytes, as the label of the metrics.
const (
	sent = iota
	received
)

var directionNames = [...]string{sent: "sent", received: "received"}

// Counts are the bytes sent and received by distance. The zero value is ready for use, by any goroutine.
type Counts struct {
	bytes  [4][2]atomic.Int64
	source figpier.DistanceSource
}

// Start looks up the distances of addresses, and exposes the counts as gauges with the labels in addition to distance and
// direction, such as `method="poll"`. A process without metrics counts all the same.
func (c *Counts) Start(d figpier.Directory, name string, labels string) {
	c.source, _ = figpier.FindDistanceSource(d)
	counters, err := figpier.FindCounters(d)
	if err != nil {
		return
	}
	if labels != "" {
		labels += ","
	}
	for _, distance := range figpier.Distances {
		for direction, directionName := range directionNames {
			gauge := fmt.Sprintf("%s{%sdistance=%q,direction=%q}", name, labels, distance, directionName)
			counters.Gauge(gauge, func() float64 { return float64(c.bytes[distance][direction].Load()) })
		}
	}
}

// Add counts the bytes of one exchange with the process at an address.
func (c *Counts) Add(address string, bytesSent, bytesReceived int) {
	d := c.distance(address)
	c.bytes[d][sent].Add(int64(bytesSent))
	c.bytes[d][received].Add(int64(bytesReceived))
}

// Total returns the bytes sent and received at all distances.
func (c *Counts) Total() (bytesSent, bytesReceived int64) {
	for d := range c.bytes {
		bytesSent += c.bytes[d][sent].Load()
		bytesReceived += c.bytes[d][received].Load()
	}
	return bytesSent, bytesReceived
}

// Conn returns a connection that counts its bytes. The distance of the address is that at the time of the call.
func (c *Counts) Conn(address string, inner net.Conn) net.Conn {
	return &conn{Conn: inner, bytes: &c.bytes[c.distance(address)]}
}

func (c *Counts) distance(address string) figpier.Distance {
	if c.source == nil {
		return figpier.DistanceUnknown
	}
	return c.source.Distance(address)
}

// conn is a connection that counts its bytes.
type conn struct {
	net.Conn
	bytes *[2]atomic.Int64
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes[received].Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes[sent].Add(int64(n))
	return n, err
}
