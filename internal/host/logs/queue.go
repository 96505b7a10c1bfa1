package logs

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxQueuedLines and maxQueuedBytes limit the number and the total size of the lines in a queue: most have a few hundred bytes, but a line
// may name what a caller sent.
const (
	maxQueuedLines = 4096
	maxQueuedBytes = 2 << 20
)

// flushTimeout is how long Flush waits for the output.
const flushTimeout = 200 * time.Millisecond

// Queue is a writer that never blocks, for use by any goroutine. If the output can't keep up, it drops lines, counts them, and
// writes the count before the next line that it writes.
type Queue struct {
	output  io.Writer
	entries chan queueEntry
	// bytes is the total size of the lines in entries.
	bytes   atomic.Int64
	dropped atomic.Int64
}

// queueEntry is a line, or a flush marker if flushed is set.
type queueEntry struct {
	line []byte
	// flushed is closed when all lines before the marker have been written.
	flushed chan struct{}
}

// NewQueue returns a queue in front of an output, and starts the goroutine that writes to it until the process ends.
func NewQueue(output io.Writer) *Queue {
	q := &Queue{output: output, entries: make(chan queueEntry, maxQueuedLines)}
	go q.run()
	return q
}

// Write implements io.Writer for one whole line, which it copies. It never returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	size := int64(len(line))
	if q.bytes.Add(size) <= maxQueuedBytes {
		select {
		case q.entries <- queueEntry{line: append([]byte(nil), line...)}:
			return len(line), nil
		default:
		}
	}
	q.bytes.Add(-size)
	q.dropped.Add(1)
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since the last such count was written.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Flush waits until the lines queued so far have been written, at most flushTimeout. It is called at the end of a process.
func (q *Queue) Flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	flushed := make(chan struct{})
	select {
	case q.entries <- queueEntry{flushed: flushed}:
	case <-ctx.Done():
		return
	}
	select {
	case <-flushed:
	case <-ctx.Done():
	}
}

// run writes the queued lines to the output, in a goroutine of its own.
func (q *Queue) run() {
	for e := range q.entries {
		if e.flushed != nil {
			close(e.flushed)
			continue
		}
		line := e.line
		q.bytes.Add(-int64(len(line)))
		n := q.dropped.Swap(0)
		if n > 0 {
			line = append(fmt.Appendf(nil, "{\"level\":\"warning\",\"msg\":\"log lines were dropped: the output is too slow\",%q:%d}\n", FieldLeftOut, n), line...)
		}
		if _, err := q.output.Write(line); err != nil {
			// The error has nowhere else to go, so the line only counts as dropped, with those whose count it carried.
			q.dropped.Add(n + 1)
		}
	}
}
