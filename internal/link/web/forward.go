package web

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/figpier/figpier"
)

// maxAnswerHeadBytes bounds the head of an answer, with its informational ones, for servers that send a head without end.
const maxAnswerHeadBytes = 256 << 10

// keepAliveProbes is the number of unanswered keep-alive probes after which a connection is closed.
const keepAliveProbes = 2

// TransportConfig holds the settings of a transport.
type TransportConfig struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// UnacknowledgedTimeout is how long the other host may leave data or a keep-alive probe unacknowledged.
	UnacknowledgedTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept.
	IdleTimeout time.Duration
	// IdleConnections is the number of idle connections kept for each address.
	IdleConnections int
	// Wrap wraps each opened connection to an address. It is optional.
	Wrap func(address string, c net.Conn) net.Conn
}

// NewTransport returns an HTTP/1.1 transport that closes connections to a host that no longer responds.
func NewTransport(c TransportConfig) *http.Transport {
	dialer := &net.Dialer{
		Timeout: c.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     c.UnacknowledgedTimeout,
			Interval: c.UnacknowledgedTimeout,
			Count:    keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, c.UnacknowledgedTimeout) },
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn := &clientConn{Conn: opened, unacknowledged: c.UnacknowledgedTimeout, current: c.UnacknowledgedTimeout}
		if conn.raw, err = opened.(*net.TCPConn).SyscallConn(); err != nil {
			return nil, errors.Join(Error.Wrap(err), opened.Close())
		}
		if c.Wrap != nil {
			conn.Conn = c.Wrap(address, opened)
		}
		return conn, nil
	}
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: c.IdleConnections,
		IdleConnTimeout:     c.IdleTimeout,
		DisableCompression:  true,
		// The default of 10 MB for each connection is more than the memory of a small instance allows.
		MaxResponseHeaderBytes: maxAnswerHeadBytes,
	}
}

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
