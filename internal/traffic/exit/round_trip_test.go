package exit

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// cut ends the TCP connection of a TLS server's connection without a notice of TLS, in order or by a reset.
func cut(c net.Conn, inOrder bool) {
	secure, ok := c.(*tls.Conn)
	if !ok {
		return
	}
	if tcp, ok := secure.NetConn().(*net.TCPConn); ok && !inOrder {
		_ = tcp.SetLinger(0)
	}
	_ = secure.NetConn().Close()
}

// Guards against a part of an answer of another node that is taken for a whole one, because its TLS connection ends without a notice.
func TestAnswerOverTLSThatEndsWithoutANoticeIsNotWhole(t *testing.T) {
	for protocol, http2 := range map[string]bool{"HTTP/1.1": false, "HTTP/2": true} {
		for end, inOrder := range map[string]bool{"in order": true, "reset": false} {
			t.Run(protocol+", "+end, func(t *testing.T) {
				connections := make(chan net.Conn, 8)
				s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					c := <-connections
					if !http2 {
						hijacked, buffer, err := http.NewResponseController(w).Hijack()
						assert.Check(t, err)
						_, _ = io.WriteString(buffer, "HTTP/1.1 200 OK\r\n\r\npart")
						_ = buffer.Flush()
						cut(hijacked, inOrder)
						return
					}
					_, _ = io.WriteString(w, "part")
					_ = http.NewResponseController(w).Flush()
					cut(c, inOrder)
					<-r.Context().Done()
				}))
				s.EnableHTTP2 = http2
				if !http2 {
					s.TLS = &tls.Config{NextProtos: []string{}} //nolint:gosec // a server that negotiates no protocol
				}
				s.Config.ConnState = func(c net.Conn, state http.ConnState) {
					if state == http.StateNew {
						connections <- c
					}
				}
				s.StartTLS()
				defer s.Close()
				h := New(Config{TLS: &tls.Config{InsecureSkipVerify: true}, PingAfter: time.Second}) //nolint:gosec // a test of the end of the connection
				r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.URL, http.NoBody)
				assert.NilError(t, err)
				answer, err := h.roundTrip(r)
				if err != nil {
					return
				}
				defer func() { _ = answer.Body.Close() }()
				text, err := io.ReadAll(answer.Body)
				assert.Assert(t, err != nil, "an end in order after %q", text)
			})
		}
	}
}
