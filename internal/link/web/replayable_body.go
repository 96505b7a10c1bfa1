package web

import (
	"bytes"
	"io"
	"sync/atomic"

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
	// started is set once a streamed body has been read from.
	started atomic.Bool
}

// NewReplayableBody reads the whole body if it is to be buffered, and returns a *figpier.Refusal if it breaks off. A length of -1
// means that it is not known.
func NewReplayableBody(body io.ReadCloser, length int64) (*ReplayableBody, error) {
	if length < 0 || length > maxReplayBytes {
		return &ReplayableBody{streamed: body, length: length}, nil
	}
	buffered, err := io.ReadAll(body)
	if err != nil {
		return nil, figpier.Refuse(figpier.RefusalMalformed)
	}
	return &ReplayableBody{buffered: buffered, length: length}, nil
}

// Length returns the length of the body in bytes, -1 where it is not known.
func (b *ReplayableBody) Length() int64 { return b.length }

// Body returns the body for one attempt.
func (b *ReplayableBody) Body() io.ReadCloser {
	if b.streamed == nil {
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	return &startedBody{ReadCloser: b.streamed, started: &b.started}
}

// Consumed reports whether no further attempt is possible, because a streamed body has been read from.
func (b *ReplayableBody) Consumed() bool { return b.streamed != nil && b.started.Load() }

// startedBody records whether a streamed body has been read from.
type startedBody struct {
	io.ReadCloser
	started *atomic.Bool
}

// Read implements io.Reader.
func (b *startedBody) Read(p []byte) (int, error) {
	b.started.Store(true)
	return b.ReadCloser.Read(p)
}

// Close implements io.Closer. It leaves the body open for another attempt that may still read it; the HTTP server closes it
// when the handler returns.
func (b *startedBody) Close() error { return nil }
