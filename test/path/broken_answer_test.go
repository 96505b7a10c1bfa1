package path

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// brokenServer is the backend server of a service that callers reach directly and by calls. It serves each connection with the function
// that the test sets.
type brokenServer struct {
	handle atomic.Pointer[func(net.Conn, *http.Request)]
	// send holds the ways to send a request to it, by name. They return the status of a whole answer and its text.
	send map[string]func(body io.Reader) (*reply, error)
}

// startBrokenServer starts a backend server that is reached over HTTP/1.1, over HTTP/2, and by calls from the node of another service.
func startBrokenServer(t *testing.T) *brokenServer {
	t.Helper()
	s := &brokenServer{}
	address := startTCPServer(t, func(c net.Conn) {
		defer c.Close()
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			(*s.handle.Load())(c, r)
		}
	})
	v := newView(0, "a", "b")
	caller := newNode(t, v, "a")
	b := newNode(t, v, "b").announce(address)
	exitClient := caller.exitClient()
	called := make(chan *reply, 1)
	caller.serve(func(_ http.ResponseWriter, r *http.Request) {
		answer, err := caller.exitCall(exitClient, r, r.Method, "http://b.figpier/x", r.Body)
		if err != nil {
			called <- nil
			return
		}
		defer answer.Body.Close()
		text, err := io.ReadAll(answer.Body)
		if err != nil {
			called <- nil
			return
		}
		called <- &reply{status: answer.StatusCode, header: answer.Header, text: string(text)}
	})
	s.send = map[string]func(io.Reader) (*reply, error){}
	for protocol, http2 := range protocols {
		client := newClient(t, http2)
		s.send[protocol] = func(body io.Reader) (*reply, error) {
			return send(client, b.request(http.MethodPost, "/x", body))
		}
	}
	client := newClient(t, false)
	s.send["call"] = func(body io.Reader) (*reply, error) {
		_, _ = send(client, caller.request(http.MethodPost, "/x", body))
		if p := <-called; p != nil {
			return p, nil
		}
		return nil, io.ErrUnexpectedEOF
	}
	return s
}

// serve serves the connections from now on with a function that gets a request whose body has not been read.
func (s *brokenServer) serve(f func(net.Conn, *http.Request)) { s.handle.Store(&f) }

// TestAnswerWithABrokenFieldNameFails guards against an answer in whose head or trailer the name of a field holds a blank or a control byte,
// and that is passed on, with that line or with a body that is framed in another way than its server meant.
func TestAnswerWithABrokenFieldNameFails(t *testing.T) {
	framings := map[string]string{
		"length":        "Content-Length: 5\r\nX-Good: 1\r\n%s\r\n\r\nwhole",
		"chunks":        "Transfer-Encoding: chunked\r\nX-Good: 1\r\n%s\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"trailer":       "Transfer-Encoding: chunked\r\nTrailer: X-Bad\r\n\r\n5\r\nwhole\r\n0\r\n%s\r\n\r\n",
		"announcement":  "Transfer-Encoding: chunked\r\nTrailer: X-Good, X Bad\r\n%.0s\r\n5\r\nwhole\r\n0\r\nX-Good: 1\r\n\r\n",
		"not announced": "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n%s\r\n\r\n",
	}
	lines := []string{
		"X Bad: 1", "X-Bad : 1", "X-Bad\t: 1", " X-Bad: 1", "\tX-Bad: 1", "X-\x01Bad: 1", "X-Bad\x00: 1", "X-\rBad: 1", "X-Bad\x7f: 1", ": 1",
		"Content-Length : 4", "Transfer-Encoding : chunked",
	}
	s := startBrokenServer(t)
	for way, send := range s.send {
		for framing, format := range framings {
			t.Run(way+", "+framing, func(t *testing.T) {
				for _, line := range lines {
					s.serve(func(c net.Conn, _ *http.Request) { _, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n"+format, line) })
					p, err := send(strings.NewReader("x"))
					assert.Check(t, err != nil || p.status == http.StatusBadGateway, "%q: %v", line, p)
				}
			})
		}
	}
}

// TestAnswerThatIsResetDuringTheUploadFails guards against a part of an answer that is passed on as a whole one because the write of the
// upload found the reset, and not the read of the answer.
func TestAnswerThatIsResetDuringTheUploadFails(t *testing.T) {
	framings := map[string]string{
		"no length":             "\r\npart",
		"length":                "Content-Length: 9\r\n\r\npart",
		"chunks":                "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"chunks up to the last": "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n",
		"trailers":              "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nX-Sum: 1\r\n",
	}
	s := startBrokenServer(t)
	for way, send := range s.send {
		for framing, text := range framings {
			t.Run(way+", "+framing, func(t *testing.T) {
				for _, delay := range []time.Duration{0, 200 * time.Microsecond, time.Millisecond, 3 * time.Millisecond} {
					s.serve(func(c net.Conn, r *http.Request) {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+text)
						_ = c.SetReadDeadline(time.Now().Add(delay))
						_, _ = io.Copy(io.Discard, r.Body)
						_ = c.(*net.TCPConn).SetLinger(0)
					})
					for range 10 {
						p, err := send(io.MultiReader(strings.NewReader("x"), newPatternReader(200_000)))
						assert.Check(t, err != nil || p.status == http.StatusBadGateway, "reset after %s: %v", delay, p)
					}
				}
			})
		}
	}
}
