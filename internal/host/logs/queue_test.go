package logs

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedOutput blocks each write until it is released.
type blockedOutput struct {
	release chan struct{}
	written bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.release
	return o.written.Write(p)
}

// TestLongLinesBehindASlowOutputAreBoundedBySize guards against a queue that counts its lines but not their bytes: with an output that
// does not read, lines that name what a caller sent took tens of megabytes.
func TestLongLinesBehindASlowOutputAreBoundedBySize(t *testing.T) {
	o := &blockedOutput{release: make(chan struct{})}
	q := NewQueue(o)
	long := []byte(strings.Repeat("x", 16<<10) + "\n")
	const lines = maxQueuedLines / 2
	for range lines {
		n, err := q.Write(long)
		assert.NilError(t, err)
		assert.Equal(t, n, len(long))
	}
	assert.Assert(t, q.bytes.Load() <= maxQueuedBytes, "%d bytes", q.bytes.Load())
	dropped := q.Dropped()
	// One more line may be on its way to the output.
	kept := lines - dropped
	assert.Assert(t, kept >= maxQueuedBytes/int64(len(long)) && kept <= maxQueuedBytes/int64(len(long))+1, "%d lines are kept", kept)

	close(o.release)
	deadline := time.Now().Add(time.Minute)
	for q.bytes.Load() > 0 && time.Now().Before(deadline) {
		<-time.After(time.Millisecond)
	}
	_, _ = q.Write([]byte("last\n"))
	q.Flush()
	assert.Equal(t, int64(bytes.Count(o.written.Bytes(), long)), kept)
	assert.Assert(t, bytes.HasSuffix(o.written.Bytes(), []byte("last\n")))
	assert.Equal(t, q.bytes.Load(), int64(0))
}
