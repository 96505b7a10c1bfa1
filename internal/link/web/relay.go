package web

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"

	"github.com/figpier/figpier"
)

// copyBufferBytes is the size of the buffer through which an answer is streamed.
const copyBufferBytes = 32 << 10

// minFinalStatus is the lowest status of a final answer; lower ones are informational.
const minFinalStatus = 200

// Attempt records how far one attempt to send a request got. The transport's goroutines update it.
type Attempt struct {
	reached      atomic.Bool
	senderFailed atomic.Bool
}

// Reached reports whether the request got a connection, so that a byte of it may have reached the other end.
func (a *Attempt) Reached() bool { return a.reached.Load() }

// SenderFailed reports whether reading the request's body from the caller failed.
func (a *Attempt) SenderFailed() bool { return a.senderFailed.Load() }

// singleUseBody is a request body that the transport can't replay, so that it never resends a request by itself, not even
// one without a body. At its end it copies the trailers that the other end may see.
type singleUseBody struct {
	io.ReadCloser
	attempt *Attempt
	// received is the request whose trailers are copied, nil for none.
	received *http.Request
	// trailer belongs to the request that is sent.
	trailer http.Header
}

// Read implements io.Reader.
func (b *singleUseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.copyTrailer()
	case err != nil:
		b.attempt.senderFailed.Store(true)
	}
	return n, err
}

func (b *singleUseBody) copyTrailer() {
	if b.received == nil {
		return
	}
	for name := range b.trailer {
		b.trailer[name] = valuesWithoutKeys(b.received.Trailer[name], b.received.Header[figpier.HeaderKey])
	}
}

// NewRelayRequest returns the request that passes a received one on to an address with the given body, and the record of this
// attempt. Hop-by-hop headers and those that only the system may set are left out.
func NewRelayRequest(ctx context.Context, r *http.Request, address string, body io.ReadCloser, length int64) (*http.Request, *Attempt) {
	a := &Attempt{}
	trace := newTrace(a, length)
	trailer := allowedTrailers(r.Trailer)
	out := (&http.Request{
		Method: r.Method,
		URL: &url.URL{
			Scheme:   "http",
			Host:     address,
			Path:     r.URL.Path,
			RawPath:  r.URL.RawPath,
			RawQuery: r.URL.RawQuery,
		},
		Host:          r.Host,
		Header:        make(http.Header, len(r.Header)),
		Body:          &singleUseBody{ReadCloser: body, attempt: a, received: r, trailer: trailer},
		ContentLength: length,
		Trailer:       trailer,
	}).WithContext(httptrace.WithClientTrace(ctx, trace))
	CopyEndToEnd(out.Header, r.Header)
	if out.Header.Get("User-Agent") == "" {
		// Without an entry net/http adds a User-Agent of its own.
		out.Header.Set("User-Agent", "")
	}
	return out, a
}

// allowedTrailers returns the declared trailers without values, except for those that only the system may set; nil for none.
func allowedTrailers(declared http.Header) http.Header {
	var allowed http.Header
	for name := range declared {
		if figpier.ReservedHeader(name) {
			continue
		}
		if allowed == nil {
			allowed = http.Header{}
		}
		allowed[name] = nil
	}
	return allowed
}

// IsFinal reports whether a status is that of a final answer. A server in trouble may send any three digits, which net/http accepts.
func IsFinal(status int) bool { return status >= minFinalStatus }

// HasDetectableEnd reports whether the end of an answer can be distinguished from a broken connection.
func HasDetectableEnd(answer *http.Response) bool {
	return answer.ProtoMajor > 1 || answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
}

// RelayResponse streams an answer with its end-to-end headers and its trailers. It returns an error if the answer breaks off
// or can't be written.
func RelayResponse(w http.ResponseWriter, answer *http.Response) error {
	CopyEndToEnd(w.Header(), answer.Header)
	for name := range allowedTrailers(answer.Trailer) {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(answer.StatusCode)
	if answer.ContentLength < 0 {
		// Send the head at once: the first part of a stream may come much later.
		if err := http.NewResponseController(w).Flush(); err != nil {
			return err
		}
	}
	if err := stream(w, answer.Body, answer.ContentLength); err != nil {
		return err
	}
	for name := range allowedTrailers(answer.Trailer) {
		w.Header()[http.TrailerPrefix+name] = answer.Trailer[name]
	}
	return nil
}

// stream copies a body and flushes after each read. The last part of a body of known length is left to the flush at the
// handler's end; remaining is that length in bytes, -1 if unknown.
func stream(w http.ResponseWriter, body io.Reader, remaining int64) error {
	flush := http.NewResponseController(w).Flush
	buffer := buffers.get()
	defer buffers.put(buffer)
	for {
		n, err := body.Read(*buffer)
		remaining -= int64(n)
		if n > 0 {
			if _, werr := w.Write((*buffer)[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if n == 0 || remaining == 0 {
			continue
		}
		if ferr := flush(); ferr != nil {
			return ferr
		}
	}
}
