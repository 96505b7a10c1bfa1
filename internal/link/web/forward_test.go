package web

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
)

// endlessServer accepts connections, reads a request on each, and sends the start once and the rest over and over until the
// caller closes.
type endlessServer struct {
	address string
	// sent counts the bytes sent.
	sent atomic.Int64
	// closed gets a value for each connection that the caller closed.
	closed chan struct{}
}

func startEndlessServer(t *testing.T, start, rest string) *endlessServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &endlessServer{address: l.Addr().String(), closed: make(chan struct{}, 16)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			// Without a bound the kernel buffers megabytes that the transport doesn't read.
			_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10)
			go s.serve(c, start, rest)
		}
	}()
	return s
}

func (s *endlessServer) serve(c net.Conn, start, rest string) {
	defer func() {
		_ = c.Close()
		s.closed <- struct{}{}
	}()
	if _, err := c.Read(make([]byte, 4096)); err != nil {
		return
	}
	n, err := io.WriteString(c, start)
	for err == nil {
		s.sent.Add(int64(n))
		n, err = io.WriteString(c, rest)
	}
}

// TestTargetIsSentByteForByte guards against a path that runs as another one: net/http takes what follows two slashes at the beginning of
// an opaque path for a host.
func TestTargetIsSentByteForByte(t *testing.T) {
	for _, target := range []string{
		"/", "/a?b=c", "/a?", "/%7Ea//b/../c;x=1?q=%20&&z",
		"//", "//a/b/1?page=2", "//a:80@b/c?", "///a", "//%2F%2f/%41?//", "//a/b;c=1,2/(d)",
	} {
		assert.Assert(t, Forwardable(target), target)
		i := figpier.NewInbound(figpier.InboundConfig{Method: http.MethodGet, Host: "pups.example", Target: target, Header: http.Header{}})
		out, _ := NewForwardRequest(t.Context(), "10.1.0.26:8547", i, http.NoBody)
		var sent strings.Builder
		assert.NilError(t, out.Write(&sent))
		assert.Assert(t, strings.HasPrefix(sent.String(), "GET "+target+" HTTP/1.1\r\nHost: pups.example\r\n"), sent.String())
	}
	for _, target := range []string{"//a\"b", "//a%zz", "//\xff"} {
		assert.Assert(t, !Forwardable(target), target)
	}
}

// TestAnswerHeadWithoutEndIsCutOff covers servers that send bytes which are no answer until the caller closes: they must cost
// neither the memory of the process nor a connection for ever.
func TestAnswerHeadWithoutEndIsCutOff(t *testing.T) {
	for name, server := range map[string][2]string{
		"a header line":         {"HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("x", 1024)},
		"header lines":          {"HTTP/1.1 200 OK\r\n", "X-Line: " + strings.Repeat("x", 1024) + "\r\n"},
		"bytes of no protocol":  {"", strings.Repeat("\x00\xff", 512)},
		"informational answers": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"informational headers": {"", "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 1024) + "\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			s := startEndlessServer(t, server[0], server[1])
			transport := NewTransport(TransportConfig{DialTimeout: time.Second, UnacknowledgedTimeout: time.Second, IdleTimeout: time.Second, IdleConnections: 4})
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address+"/", nil)
			assert.NilError(t, err)
			answer, err := transport.RoundTrip(r)
			if err == nil {
				_ = answer.Body.Close()
			}
			assert.Assert(t, err != nil)
			assert.Assert(t, !errors.Is(err, context.DeadlineExceeded), "the server was cut off by the deadline alone: %v", err)
			<-s.closed
			// What the kernel buffers comes on top of what the transport reads.
			assert.Assert(t, s.sent.Load() < 4<<20, "%d bytes were sent", s.sent.Load())
		})
	}
}

// TestBodyWithoutEndEndsWithItsCaller covers an endless body whose caller has left, and one that no caller reads.
func TestBodyWithoutEndEndsWithItsCaller(t *testing.T) {
	for name, start := range map[string]string{
		"until the connection closes": "HTTP/1.1 200 OK\r\n\r\n",
		"in chunks":                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := startEndlessServer(t, start, "400\r\n"+strings.Repeat("x", 1024)+"\r\n")
			transport := NewTransport(TransportConfig{DialTimeout: time.Second, UnacknowledgedTimeout: time.Second, IdleTimeout: time.Second, IdleConnections: 4})
			ctx, cancel := context.WithCancel(t.Context())
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address+"/", nil)
			assert.NilError(t, err)
			answer, err := transport.RoundTrip(r)
			assert.NilError(t, err)
			_, err = io.CopyN(io.Discard, answer.Body, 1<<20)
			assert.NilError(t, err)
			cancel()
			select {
			case <-s.closed:
			case <-time.After(10 * time.Second):
				t.Fatal("the connection outlives its caller")
			}
			_ = answer.Body.Close()
		})
	}
}
