package web

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
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

// Transport sends requests over HTTP/1.1 and refuses answers that net/http takes although their head or trailer is malformed. It closes
// connections to a host that no longer responds.
type Transport struct {
	inner *http.Transport
}

// NewTransport returns a transport without connections.
func NewTransport(c TransportConfig) *Transport {
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
		conn.expectsAnswer.Store(true)
		if conn.raw, err = opened.(*net.TCPConn).SyscallConn(); err != nil {
			return nil, errors.Join(Error.Wrap(err), opened.Close())
		}
		if c.Wrap != nil {
			conn.Conn = c.Wrap(address, opened)
		}
		return conn, nil
	}
	return &Transport{inner: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: c.IdleConnections,
		IdleConnTimeout:     c.IdleTimeout,
		DisableCompression:  true,
		// The default of 10 MB for each connection is more than the memory of a small instance allows.
		MaxResponseHeaderBytes: maxAnswerHeadBytes,
	}}
}

// RoundTrip implements http.RoundTripper. Reading the body of an answer fails if its trailer is malformed.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	answer, err := t.inner.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if answer.ProtoMajor != 1 {
		// net/http takes any digit from the first line, while the answer is framed as one of HTTP/1.
		_ = answer.Body.Close()
		return nil, Error.New("the answer states the protocol %q, want HTTP/1", answer.Proto)
	}
	if err := errors.Join(checkFieldNames(answer.Header), checkFieldNames(answer.Trailer)); err != nil {
		_ = answer.Body.Close()
		return nil, err
	}
	if len(answer.TransferEncoding) > 0 {
		answer.Body = &chunkedBody{ReadCloser: answer.Body, answer: answer}
	}
	return answer, nil
}

// CloseIdleConnections closes the connections that have no request.
func (t *Transport) CloseIdleConnections() { t.inner.CloseIdleConnections() }

// checkFieldNames returns an error if the name of a field has a blank, the only byte that net/http takes although no name may have it. Where
// the field was meant to frame the body, net/http has framed it in another way.
func checkFieldNames(h http.Header) error {
	for name := range h {
		if strings.Contains(name, " ") {
			return Error.New("the answer has a field with a blank in its name %q", name)
		}
	}
	return nil
}

// chunkedBody is the body of an answer, at whose end its trailer is checked.
type chunkedBody struct {
	io.ReadCloser
	answer *http.Response
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if nameErr := checkFieldNames(b.answer.Trailer); nameErr != nil {
		return n, nameErr
	}
	return n, err
}
