package web

import (
	"bytes"
	"context"
	"io"
	"sync"

	"github.com/figpier/figpier"
)

// maxReplayBytes is the greatest length of a body that is buffered for further attempts.
const maxReplayBytes = 64 << 10

// ReplayableBody is a request body for several attempts. A short body of known length is buffered and can be sent again; any other
// is streamed and can't, once an attempt has begun to read it.
type ReplayableBody struct {
	buffered []byte
	// streamed is nil for a buffered body.
	streamed io.ReadCloser
	length   int64

	mu sync.Mutex // guards the fields below
	// attempt numbers the attempts, of which only the last may read a streamed body.
	attempt int
	// started is set once a streamed body has been read from.
	started bool
}

// NewReplayableBody reads the whole body if it is to be buffered, and returns a *figpier.Refusal if it breaks off. A length of -1
// means that it is not known. The context is that of the request, to whose memory the buffer counts.
func NewReplayableBody(ctx context.Context, body io.ReadCloser, length int64) (*ReplayableBody, error) {
	if streams(length) || !reserveBuffer(ctx, length) {
		return &ReplayableBody{streamed: body, length: length}, nil
	}
	buffered := bytes.NewBuffer(make([]byte, 0, length+bytes.MinRead))
	if _, err := buffered.ReadFrom(body); err != nil {
		return nil, figpier.Refuse(figpier.RefusalMalformed)
	}
	return &ReplayableBody{buffered: buffered.Bytes(), length: length}, nil
}

// streams reports whether a body of a length, -1 for an unknown one, is streamed.
func streams(length int64) bool { return length < 0 || length > maxReplayBytes }

// Length returns the length of the body in bytes, -1 where it is not known.
func (b *ReplayableBody) Length() int64 { return b.length }

// Body returns the body for one attempt, and takes a streamed body from the attempt before.
func (b *ReplayableBody) Body() io.ReadCloser {
	if b.streamed == nil {
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempt++
	return &attemptBody{ReadCloser: b.streamed, body: b, attempt: b.attempt}
}

// Reclaim reports whether a further attempt is possible, because no one has read from a streamed body. The last attempt, whose
// goroutines may outlive it, then can't read from it any more.
func (b *ReplayableBody) Reclaim() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.started {
		return false
	}
	b.attempt++
	return true
}

// begin reports whether an attempt may read the body, and notes that it does.
func (b *ReplayableBody) begin(attempt int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if attempt != b.attempt {
		return false
	}
	b.started = true
	return true
}

// attemptBody is a streamed body as one attempt reads it.
type attemptBody struct {
	io.ReadCloser
	body    *ReplayableBody
	attempt int
}

// errReclaimed reports a read by an attempt that is over.
var errReclaimed = Error.New("the body is read by another attempt")

// Read implements io.Reader.
func (b *attemptBody) Read(p []byte) (int, error) {
	if !b.body.begin(b.attempt) {
		return 0, errReclaimed
	}
	return b.ReadCloser.Read(p)
}

// Close implements io.Closer. It leaves the body open for another attempt that may still read it; the HTTP server closes it
// when the handler returns.
func (b *attemptBody) Close() error { return nil }
