package web

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"

	"github.com/figpier/figpier"
)

// NewForwardRequest returns the request that forwards an inbound request to an address, and the record of this attempt. The target
// is passed on byte for byte, and the headers are copied.
func NewForwardRequest(ctx context.Context, address string, i *figpier.Inbound, body io.ReadCloser) (*http.Request, *Attempt) {
	a := &Attempt{}
	trace := newTrace(a, i.Length())
	header := maps.Clone(i.Header())
	if header.Get("User-Agent") == "" {
		// Without an entry net/http adds a User-Agent of its own.
		header.Set("User-Agent", "")
	}
	out := &http.Request{
		Method:        i.Method(),
		URL:           forwardURL(address, i.Target()),
		Host:          i.Host(),
		Header:        header,
		Body:          http.NoBody,
		ContentLength: i.Length(),
	}
	if i.Length() != 0 || retriedByTransport(i) {
		out.Body = &singleUseBody{ReadCloser: body, attempt: a}
	}
	return out.WithContext(httptrace.WithClientTrace(ctx, trace)), a
}

// slashes begin a path that net/http would send in absolute form, as a host, if it were given as an opaque one.
const slashes = "//"

// forwardURL returns the URL of a request to an address whose target is sent byte for byte, if Forwardable reports true for it.
func forwardURL(address, target string) *url.URL {
	path, query, hasQuery := strings.Cut(target, "?")
	u := &url.URL{Scheme: "http", Host: address, RawQuery: query, ForceQuery: hasQuery && query == ""}
	if !strings.HasPrefix(path, slashes) {
		u.Opaque = path
		return u
	}
	u.RawPath = path
	u.Path, _ = url.PathUnescape(path)
	return u
}

// Forwardable reports whether a request's target can be sent on byte for byte. Only a path that begins with two slashes and holds
// characters that a URL must escape can't.
func Forwardable(target string) bool {
	return !strings.HasPrefix(target, slashes) || forwardURL("", target).RequestURI() == target
}

// retriedByTransport reports whether net/http resends a request without a body by itself when its connection breaks. Such
// requests get a body that the transport can't replay, because the caller of NewForwardRequest decides on retries.
func retriedByTransport(i *figpier.Inbound) bool {
	switch i.Method() {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	_, hasKey := i.Header()["Idempotency-Key"]
	_, hasXKey := i.Header()["X-Idempotency-Key"]
	return hasKey || hasXKey
}

// EndToEnd returns a copy of the headers without the hop-by-hop headers and those that only the system may set.
func EndToEnd(h http.Header) http.Header {
	kept := make(http.Header, len(h))
	CopyEndToEnd(kept, h)
	return kept
}

// WatchedBody is a body that calls a function once when reading it is over: with nil after the whole body, with the error
// of a failed read, or with ErrUnread if it is closed before its end.
type WatchedBody struct {
	io.ReadCloser
	once  sync.Once
	onEnd func(err error)
}

// NewWatchedBody returns a WatchedBody; onEnd runs in the goroutine that reads or closes the body.
func NewWatchedBody(body io.ReadCloser, onEnd func(err error)) *WatchedBody {
	return &WatchedBody{ReadCloser: body, onEnd: onEnd}
}

// ErrUnread reports a body that was closed before its end.
var ErrUnread = Error.New("the body was closed before its end")

// Read implements io.Reader.
func (b *WatchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.once.Do(func() { b.onEnd(nil) })
	case err != nil:
		b.once.Do(func() { b.onEnd(err) })
	}
	return n, err
}

// Close implements io.Closer.
func (b *WatchedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.onEnd(ErrUnread) })
	return err
}
