package web

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestBodyIsReadByOneAttemptOnly guards against an upstream that gets a body with a part missing: the goroutine of an attempt that has
// failed may still begin to read the body, which the next attempt reads too.
func TestBodyIsReadByOneAttemptOnly(t *testing.T) {
	b, err := NewReplayableBody(t.Context(), io.NopCloser(strings.NewReader("whole")), -1)
	assert.NilError(t, err)
	failed := b.Body()
	assert.Assert(t, b.Reclaim())
	next := b.Body()
	n, err := failed.Read(make([]byte, 2))
	assert.Equal(t, n, 0)
	assert.ErrorIs(t, err, errReclaimed)
	text, err := io.ReadAll(next)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "whole")
	assert.Assert(t, !b.Reclaim())
}

// TestRefusedBodyIsNotPassedOn guards against bytes of a request's body that reach an upstream after the request was refused, with those
// missing that the HTTP server has discarded meanwhile.
func TestRefusedBodyIsNotPassedOn(t *testing.T) {
	for _, started := range []bool{false, true} {
		t.Run(fmt.Sprint(started), func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("whole"))
			b := ReceiveBody(r)
			if started {
				_, err := b.Read(make([]byte, 2))
				assert.NilError(t, err)
			}
			w := httptest.NewRecorder()
			b.PrepareRefusal(w, r)
			assert.Equal(t, w.Header().Get("Connection") == "close", started)
			_, err := r.Body.Read(make([]byte, 2))
			assert.ErrorIs(t, err, errSealed)
		})
	}
}

// TestConnectionIsKeptAfterAWholeBody guards against an answer that closes the connection though nothing of the request is left unread.
func TestConnectionIsKeptAfterAWholeBody(t *testing.T) {
	for _, body := range []io.Reader{nil, strings.NewReader(""), strings.NewReader("whole")} {
		r := httptest.NewRequest(http.MethodPost, "/", body)
		b := ReceiveBody(r)
		_, err := io.ReadAll(r.Body)
		assert.NilError(t, err)
		w := httptest.NewRecorder()
		b.PrepareAnswer(w, r)
		assert.Equal(t, w.Header().Get("Connection"), "")
	}
}
