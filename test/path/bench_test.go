package path

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
)

func answerOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// benchmarkCalls measures GET requests to a URL, one after the other, with bodies read to the end.
func benchmarkCalls(b *testing.B, url string) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer c.CloseIdleConnections()
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		r, err := http.NewRequestWithContext(b.Context(), http.MethodGet, url, nil)
		assert.NilError(b, err)
		r.Header.Set(figpier.HeaderKey, callerKey)
		answer, err := c.Do(r)
		assert.NilError(b, err)
		_, err = io.Copy(io.Discard, answer.Body)
		assert.NilError(b, err)
		_ = answer.Body.Close()
		assert.Equal(b, answer.StatusCode, http.StatusOK)
	}
}

// BenchmarkDirectCall measures a call to a backend server without a node. Its result is the baseline for BenchmarkOneHop.
func BenchmarkDirectCall(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(answerOK))
	defer s.Close()
	benchmarkCalls(b, s.URL+"/x")
}

// BenchmarkOneHop measures a call through one node.
func BenchmarkOneHop(b *testing.B) {
	n := newNode(b, newView(0, "a"), "a").serve(answerOK)
	benchmarkCalls(b, "http://"+n.caller.ListenAddress()+"/x")
}

// BenchmarkWholePath measures a call through two nodes, with a backend server behind each.
func BenchmarkWholePath(b *testing.B) {
	v := newView(0, "a", "b")
	a := newNode(b, v, "a")
	newNode(b, v, "b").serve(answerOK)
	exitClient := a.exitClient()
	a.serve(func(w http.ResponseWriter, r *http.Request) {
		answer, err := a.exitCall(exitClient, r, http.MethodGet, "http://b.figpier/x", nil)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer answer.Body.Close()
		w.WriteHeader(answer.StatusCode)
		_, _ = io.Copy(w, answer.Body)
	})
	benchmarkCalls(b, "http://"+a.caller.ListenAddress()+"/x")
}
