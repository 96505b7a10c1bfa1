package web

import (
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

// Guards against a caller that waits in vain for the end of an answer that breaks off: the HTTP server does not close the connection if another
// goroutine reads the end of the request's body while the handler returns.
func TestAnswerThatBreaksOffBesideTheEndOfTheUploadIsEnded(t *testing.T) {
	const (
		rounds  = 400
		upload  = "4\r\nhold\r\n"
		chunks  = 40
		maxWait = 10 * time.Second
	)
	var round atomic.Int64
	s, err := Listen(t.Context(), ServerConfig{Address: "127.0.0.1:0", OnlyHTTP1: true, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received := ReceiveBody(r)
		defer received.End(w)
		read := make(chan struct{})
		go func() {
			defer close(read)
			_, _ = io.Copy(io.Discard, received)
		}()
		received.PrepareAnswer(w, r)
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-read:
		case <-time.After(time.Duration(round.Add(1)%50) * 10 * time.Microsecond):
		}
		panic(http.ErrAbortHandler)
	})})
	assert.NilError(t, err)
	for i := range rounds {
		c, err := net.Dial("tcp", s.Address())
		assert.NilError(t, err)
		assert.NilError(t, c.SetDeadline(time.Now().Add(maxWait)))
		_, err = fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
		assert.NilError(t, err)
		go func() {
			for range chunks {
				if _, err := io.WriteString(c, upload); err != nil {
					return
				}
			}
			_, _ = io.WriteString(c, "0\r\n\r\n")
		}()
		answer, err := io.ReadAll(c)
		timeout, isTimeout := err.(net.Error) //nolint:errorlint // the error of the connection itself
		assert.Assert(t, !isTimeout || !timeout.Timeout(), "round %d: no end after %q", i, answer)
		assert.Assert(t, !strings.Contains(string(answer), "\r\n0\r\n"), "%q", answer)
		_ = c.Close()
	}
}
