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

// Guards against an early answer that is lost because its connection is closed while the caller still sends, which resets it. No one reads
// the upload any more, as when its server has closed the connection.
func TestEarlyAnswerReachesACallerThatSendsOn(t *testing.T) {
	testEarlyAnswer(t, func(received *ReceivedBody) { _, _ = received.Read(make([]byte, 1)) })
}

// Guards against the same where the upload is still being sent on to its server when the answer ends.
func TestEarlyAnswerReachesACallerWhoseUploadIsStillRead(t *testing.T) {
	testEarlyAnswer(t, func(received *ReceivedBody) {
		_, _ = received.Read(make([]byte, 1))
		go func() { _, _ = io.Copy(io.Discard, received) }()
		<-time.After(20 * time.Millisecond) // lets the goroutine wait for the next part
	})
}

// testEarlyAnswer checks that a caller that sends its whole upload before it reads gets an answer that came early.
func testEarlyAnswer(t *testing.T, read func(received *ReceivedBody)) {
	t.Helper()
	const (
		chunks = 60
		pause  = 5 * time.Millisecond
	)
	s, err := Listen(t.Context(), ServerConfig{Address: "127.0.0.1:0", OnlyHTTP1: true, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received := ReceiveBody(r)
		defer received.End(w)
		read(received)
		received.PrepareAnswer(w, r)
		_, _ = io.WriteString(w, "early")
	})})
	assert.NilError(t, err)
	c, err := net.Dial("tcp", s.Address())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
	assert.NilError(t, err)
	for range chunks {
		_, err = fmt.Fprintf(c, "400\r\n%s\r\n", strings.Repeat("u", 1024))
		assert.NilError(t, err)
		<-time.After(pause)
	}
	_, err = io.WriteString(c, "0\r\n\r\n")
	assert.NilError(t, err)
	answer, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(string(answer), "early"), "%q", answer)
}
