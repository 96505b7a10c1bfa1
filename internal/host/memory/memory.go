package memory

import (
	"context"
	"math"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/figpier/figpier"
)

const (
	// defaultHeapBytes is the size of the heap that is assumed if neither the settings nor GOMEMLIMIT tell it.
	defaultHeapBytes = 256 << 20
	// heapFraction is the part of the process's memory that the heap may take; the rest is left to the program and the kernel's buffers.
	heapFraction = 0.8
	// requestFraction is the part of the heap for requests that take more memory than an ordinary one.
	requestFraction = 0.25
	// logInterval is the least time between two log lines.
	logInterval = time.Second
)

// Config holds the settings of a Bound.
type Config struct {
	// Bytes is the memory that the process may use, 0 for the limit in GOMEMLIMIT or else a default.
	Bytes int64
	// Log receives a line at the start, and one when no memory is left, at most once each logInterval. It is optional.
	Log *logrus.Entry
}

// Bound limits the heap of the process and implements figpier.RequestMemory.
type Bound struct {
	config  Config
	total   int64
	used    atomic.Int64
	refused atomic.Int64

	mu       sync.Mutex // guards lastLine
	lastLine time.Time
	clock    figpier.Clock
}

// New returns a bound, to be started by the kernel.
func New(c Config) *Bound {
	return &Bound{config: c, total: int64(requestFraction * float64(heapBytes(c)))}
}

// heapBytes returns the size that the heap may have.
func heapBytes(c Config) int64 {
	if c.Bytes > 0 {
		return int64(heapFraction * float64(c.Bytes))
	}
	// A negative argument leaves the limit as it is.
	if limit := debug.SetMemoryLimit(-1); limit != math.MaxInt64 {
		return limit
	}
	return defaultHeapBytes
}

// Name implements figpier.Service.
func (b *Bound) Name() figpier.ServiceName { return figpier.MemoryService }

// Start implements figpier.Service.
func (b *Bound) Start(_ context.Context, d figpier.Directory) error {
	b.clock = d.Clock()
	if b.config.Bytes > 0 {
		debug.SetMemoryLimit(heapBytes(b.config))
	}
	if b.config.Log != nil {
		b.config.Log.WithFields(logrus.Fields{"memory": b.config.Bytes, "heap": heapBytes(b.config), "requests": b.total}).
			Info("bounding the memory of requests; a memory of 0 is not told by the settings")
	}
	counters, err := figpier.FindCounters(d)
	if err != nil {
		return nil //nolint:nilerr // a process without metrics has the same bound
	}
	counters.Gauge("request_memory_bytes", func() float64 { return float64(b.used.Load()) })
	counters.Gauge("request_memory_limit_bytes", func() float64 { return float64(b.total) })
	counters.Gauge("request_memory_refusals_total", func() float64 { return float64(b.refused.Load()) })
	return nil
}

// Stop implements figpier.Service.
func (b *Bound) Stop(context.Context) error { return nil }

// Reserve implements figpier.RequestMemory.
func (b *Bound) Reserve(bytes int64) bool {
	if b.used.Add(bytes) <= b.total {
		return true
	}
	b.used.Add(-bytes)
	b.refused.Add(1)
	b.logRefusal(bytes)
	return false
}

// logRefusal logs that a number of bytes was not left, unless it has done so in the last logInterval.
func (b *Bound) logRefusal(bytes int64) {
	if b.config.Log == nil {
		return
	}
	now := b.clock.Now()
	b.mu.Lock()
	recent := !b.lastLine.IsZero() && now.Sub(b.lastLine) < logInterval
	if !recent {
		b.lastLine = now
	}
	b.mu.Unlock()
	if recent {
		return
	}
	b.config.Log.WithFields(logrus.Fields{"bytes": bytes, "used": b.used.Load(), "limit": b.total, "refusals": b.refused.Load()}).
		Warn("cut a request off: no memory is left for requests that take more than an ordinary one")
}

// Free implements figpier.RequestMemory.
func (b *Bound) Free(bytes int64) { b.used.Add(-bytes) }
