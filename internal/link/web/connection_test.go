package web

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
)

// Bounds of the tests of receivers that read slowly.
const (
	testUnacknowledged = 300 * time.Millisecond
	testPause          = 2500 * time.Millisecond
	longBodyBytes      = 32 << 20
)

// serveAfterPause accepts connections, and answers each request with the length of its body, which it reads only after a pause.
func serveAfterPause(t *testing.T) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				b := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(b)
					if err != nil {
						return
					}
					<-time.After(testPause)
					n, err := io.Copy(io.Discard, r.Body)
					if err != nil {
						return
					}
					text := fmt.Sprint(n)
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a request that ends with 502 because its receiver reads nothing for a while within a long body.
func TestPauseOfTheReceiverWithinALongBodyEndsNoRequest(t *testing.T) {
	for name, length := range map[string]int64{"with a length": longBodyBytes, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			transport := NewTransport(TransportConfig{DialTimeout: time.Second, UnacknowledgedTimeout: testUnacknowledged, IdleTimeout: time.Second, IdleConnections: 4})
			inbound := figpier.NewInbound(figpier.InboundConfig{Method: http.MethodPost, Target: "/hold", Host: "a.example", Header: http.Header{}, Length: length})
			body := io.NopCloser(bytes.NewReader(make([]byte, longBodyBytes)))
			r, _ := NewForwardRequest(t.Context(), serveAfterPause(t), inbound, body)
			answer, err := transport.RoundTrip(r)
			assert.NilError(t, err)
			text, err := io.ReadAll(answer.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(text), fmt.Sprint(longBodyBytes))
		})
	}
}

// Guards against a connection on which no further request notices that the other host has gone, after one with a long body.
func TestConnectionTimesOutAgainAfterALongBody(t *testing.T) {
	transport := NewTransport(TransportConfig{DialTimeout: time.Second, UnacknowledgedTimeout: testUnacknowledged, IdleTimeout: time.Second, IdleConnections: 4})
	opened, err := transport.inner.DialContext(t.Context(), "tcp", serveAfterPause(t))
	assert.NilError(t, err)
	defer func() { _ = opened.Close() }()
	c, ok := opened.(*clientConn)
	assert.Assert(t, ok)
	for _, tt := range []struct {
		streamed bool
		want     time.Duration
	}{{false, testUnacknowledged}, {true, noUserTimeout}, {true, noUserTimeout}, {false, testUnacknowledged}} {
		assert.NilError(t, c.prepare(tt.streamed))
		var millis int
		assert.NilError(t, c.raw.Control(func(fd uintptr) { millis, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout) }))
		assert.NilError(t, err)
		assert.Equal(t, time.Duration(millis)*time.Millisecond, tt.want)
	}
}
