package web

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
)

// exchange is an answer of a stand-in, and the body that is expected of it, empty for none.
type exchange struct {
	answer string
	body   string
}

// serveExchanges answers the requests of one connection in turn, with each answer in pieces of some bytes.
func serveExchanges(t *testing.T, exchanges []exchange, pieceBytes int) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		b := bufio.NewReader(c)
		for _, e := range exchanges {
			if _, err := http.ReadRequest(b); err != nil {
				return
			}
			for rest := e.answer; rest != ""; {
				n := min(pieceBytes, len(rest))
				_, _ = io.WriteString(c, rest[:n])
				rest = rest[n:]
				if pieceBytes < 4 {
					time.Sleep(50 * time.Microsecond) // lets the other end read it as a piece
				}
			}
		}
		_, _ = b.ReadByte()
	}()
	return l.Addr().String()
}

// Guards against a folded line that is found in one of the places where a head may be and not in another, and against lines of a body that
// are taken for lines of a head.
func TestFoldedLinesAreFoundInHeadsOnly(t *testing.T) {
	whole := exchange{"HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 8\r\n\r\n\n lin\r\n\t", "\n lin\r\n\t"}
	informed := exchange{"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1  102 Processing\n\n" + whole.answer, whole.body}
	chunked := exchange{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n\n  \n\r\n0\r\n\r\n", "\n  \n"}
	folded := exchange{"HTTP/1.1 200 OK\r\nX-A: 1\r\n X-B: 2\r\nContent-Length: 1\r\n\r\nx", ""}
	foldedLast := exchange{"HTTP/1.1 200 OK\nContent-Length: 1\nX-A: 1\n\t\n\nx", ""}
	foldedHint := exchange{"HTTP/1.1 103 Early Hints\r\nLink: a\r\n ; b\r\n\r\n" + whole.answer, ""}
	foldedAfterHint := exchange{"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + folded.answer, ""}
	for name, exchanges := range map[string][]exchange{
		"none":                    {whole, informed, chunked, whole},
		"first answer":            {folded},
		"later answer":            {whole, chunked, folded},
		"last line of a head":     {whole, foldedLast},
		"informational answer":    {whole, foldedHint},
		"after an informational":  {foldedAfterHint},
		"later, after such a one": {informed, foldedAfterHint},
	} {
		t.Run(name, func(t *testing.T) {
			for _, pieceBytes := range []int{1, 2, 3, 7, 1000} {
				address := serveExchanges(t, exchanges, pieceBytes)
				transport := NewTransport(TransportConfig{DialTimeout: time.Second, UnacknowledgedTimeout: time.Second, IdleTimeout: time.Second, IdleConnections: 4})
				for i, e := range exchanges {
					inbound := figpier.NewInbound(figpier.InboundConfig{Method: http.MethodGet, Target: "/", Host: "a.example", Header: http.Header{}})
					r, _ := NewForwardRequest(t.Context(), address, inbound, http.NoBody)
					answer, err := transport.RoundTrip(r)
					if e.body == "" {
						assert.Check(t, err != nil, "answer %d in pieces of %d", i, pieceBytes)
						break
					}
					assert.NilError(t, err, "answer %d in pieces of %d", i, pieceBytes)
					body, err := io.ReadAll(answer.Body)
					assert.NilError(t, err)
					assert.NilError(t, answer.Body.Close())
					assert.Equal(t, string(body), e.body)
				}
			}
		})
	}
}
