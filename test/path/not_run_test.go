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

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
)

// startSingleAnswerServer starts a server that answers the first request of each connection, and closes the connection
// without an answer when it has read a second. It counts the requests in runs, except those to /warm.
func startSingleAnswerServer(t *testing.T, runs *atomic.Int64) string {
	return startTCPServer(t, func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for n := range 2 {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			if r.URL.Path != "/warm" {
				runs.Add(1)
			}
			if n == 0 {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}
	})
}

func TestRequestOnAReusedConnectionIsSentOnce(t *testing.T) {
	tests := map[string]struct {
		method, body, key, expect string
	}{
		"GET":                          {method: http.MethodGet},
		"GET with key":                 {method: http.MethodGet, key: "k"},
		"HEAD":                         {method: http.MethodHead},
		"POST without body":            {method: http.MethodPost, key: "k"},
		"POST":                         {method: http.MethodPost, body: "x"},
		"POST with key":                {method: http.MethodPost, body: "x", key: "k"},
		"POST with expectation":        {method: http.MethodPost, body: "x", key: "k", expect: "100-continue"},
		"DELETE with key and no body":  {method: http.MethodDelete, key: "k"},
		"OPTIONS with key and no body": {method: http.MethodOptions, key: "k"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			n := newNode(t, newView(3, "a"), "a").announce(startSingleAnswerServer(t, &runs))
			c := newClient(t, false)
			assert.Equal(t, mustSend(t, c, n.request(http.MethodGet, "/warm", nil)).status, http.StatusOK)
			r := n.request(tt.method, "/once/x", strings.NewReader(tt.body))
			if tt.key != "" {
				r.Header.Set(figpier.HeaderIdempotencyKey, tt.key)
			}
			if tt.expect != "" {
				r.Header.Set("Expect", tt.expect)
			}
			p := mustSend(t, c, r)
			assert.Equal(t, runs.Load(), int64(1))
			assert.Equal(t, p.status, http.StatusBadGateway)
			assert.Equal(t, p.reason(), string(figpier.RefusalBackendFailed))
			assert.Check(t, !p.notRun())
		})
	}
}

// markNotRun marks the answer to a request as one that says that the request was not run.
func markNotRun(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(figpier.HeaderNotRun, figpier.NotRunMark)
	w.Header().Set(figpier.HeaderRequestID, r.Header.Get(figpier.HeaderRequestID))
}

// TestEarlierRefusalIsNotTakenForTheRequests guards against a backend server that writes an earlier refusal once more on a kept
// connection: the caller of a request that runs must not be told that it was not run, and no other backend server may run it.
func TestEarlierRefusalIsNotTakenForTheRequests(t *testing.T) {
	tests := map[string]struct {
		named  string
		status int
	}{
		"naming another request": {"an-earlier-request", http.StatusBadGateway},
		"naming none":            {"", http.StatusServiceUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := newNode(t, newView(0, "a"), "a").serve(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(figpier.HeaderNotRun, figpier.NotRunMark)
				if tt.named != "" {
					w.Header().Set(figpier.HeaderRequestID, tt.named)
				}
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			p := mustSend(t, newClient(t, false), n.request(http.MethodGet, "/x", nil))
			assert.Equal(t, p.status, tt.status)
			assert.Assert(t, !p.notRun())
		})
	}
}

// TestAnswerWithoutFinalStatusFails guards against an answer with a status such as 000, also to a HEAD request, that ends the caller's
// connection or is taken for a refusal.
func TestAnswerWithoutFinalStatusFails(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodHead} {
		t.Run(method, func(t *testing.T) {
			n := newNode(t, newView(0, "a"), "a").serve(func(w http.ResponseWriter, r *http.Request) {
				c, buffer, err := http.NewResponseController(w).Hijack()
				assert.Check(t, err)
				_, _ = fmt.Fprintf(buffer, "HTTP/1.1 000 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
					figpier.HeaderRequestID, r.Header.Get(figpier.HeaderRequestID), figpier.HeaderNotRun, figpier.NotRunMark)
				_ = buffer.Flush()
				_ = c.Close()
			})
			p := mustSend(t, newClient(t, false), n.request(method, "/x", nil))
			assert.Equal(t, p.status, http.StatusBadGateway)
			assert.Assert(t, !p.notRun())
		})
	}
}

func TestNotRunMarkIsDroppedWhenTheRequestMayHaveRun(t *testing.T) {
	v := newView(0, "a", "b")
	a := newNode(t, v, "a")
	exitClient := a.exitClient()
	newNode(t, v, "b").serve(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	refuse := func(w http.ResponseWriter, r *http.Request, status int) {
		markNotRun(w, r)
		w.WriteHeader(status)
	}
	markReceived := make(chan struct{})
	lateExitStatus := make(chan int, 1)
	a.serve(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/honest":
			refuse(w, r, http.StatusServiceUnavailable)
		case "/success":
			refuse(w, r, http.StatusOK)
		case "/failure":
			refuse(w, r, http.StatusInternalServerError)
		case "/after-exit":
			answer, err := a.exitCall(exitClient, r, http.MethodGet, "http://b.figpier/x", nil)
			if err == nil {
				answer.Body.Close()
			}
			refuse(w, r, http.StatusServiceUnavailable)
		case "/before-exit":
			refuse(w, r, http.StatusServiceUnavailable)
			_ = http.NewResponseController(w).Flush()
			<-markReceived
			answer, err := a.exitCall(exitClient, r, http.MethodGet, "http://b.figpier/x", nil)
			if err != nil {
				lateExitStatus <- 0
				return
			}
			answer.Body.Close()
			lateExitStatus <- answer.StatusCode
		}
	})
	tests := map[string]struct {
		status int
		notRun bool
	}{
		"/honest":     {http.StatusServiceUnavailable, true},
		"/success":    {http.StatusOK, false},
		"/failure":    {http.StatusInternalServerError, false},
		"/after-exit": {http.StatusServiceUnavailable, false},
	}
	for path, tt := range tests {
		p := mustSend(t, newClient(t, false), a.request(http.MethodGet, path, nil))
		assert.Equal(t, p.status, tt.status, path)
		assert.Equal(t, p.notRun(), tt.notRun, path)
	}
	answer, err := newClient(t, false).Do(a.request(http.MethodGet, "/before-exit", nil))
	assert.NilError(t, err)
	defer answer.Body.Close()
	assert.Equal(t, answer.Header.Get(figpier.HeaderNotRun), figpier.NotRunMark)
	close(markReceived)
	assert.Equal(t, <-lateExitStatus, http.StatusForbidden, "an exit call after the \"not run\" mark must be refused")
}

func TestRefusalAfterAFailedAttemptIsNotMarkedNotRun(t *testing.T) {
	fail := func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) }
	refuse := func(w http.ResponseWriter, r *http.Request) {
		markNotRun(w, r)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"notRun": true}`)
	}
	tests := map[string]struct {
		servers []http.HandlerFunc
		status  int
		notRun  bool
	}{
		"failed, then refused":  {[]http.HandlerFunc{fail, refuse}, http.StatusServiceUnavailable, false},
		"refused, then failed":  {[]http.HandlerFunc{refuse, fail}, http.StatusBadGateway, false},
		"refused, then refused": {[]http.HandlerFunc{refuse, refuse}, http.StatusServiceUnavailable, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			v := newView(8, "a", "b")
			a := newNode(t, v, "a")
			for _, h := range tt.servers {
				newNode(t, v, "b").serve(h)
			}
			exitClient := a.exitClient()
			exitReplies := make(chan *reply, 1)
			a.serve(func(_ http.ResponseWriter, r *http.Request) {
				out, _ := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://b.figpier/x", nil)
				out.Header.Set(figpier.HeaderCall, r.Header.Get(figpier.HeaderCall))
				p, err := send(exitClient, out)
				assert.Check(t, err)
				exitReplies <- p
			})
			mustSend(t, newClient(t, false), a.request(http.MethodGet, "/x", nil))
			p := <-exitReplies
			assert.Equal(t, p.status, tt.status)
			assert.Equal(t, p.notRun(), tt.notRun)
			assert.Equal(t, p.bodyNotRun(t), tt.notRun)
		})
	}
}

func TestClaimRecordsTheOutcomeOfItsRun(t *testing.T) {
	tests := map[string]struct {
		first  http.HandlerFunc
		second string
	}{
		"whole answer": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }, string(figpier.RefusalAlreadyRun)},
		"not run": {func(w http.ResponseWriter, r *http.Request) {
			markNotRun(w, r)
			w.WriteHeader(http.StatusTooManyRequests)
		}, ""},
		"no answer": {func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) }, string(figpier.RefusalClaimUnknown)},
		"broken answer": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "half")
		}, string(figpier.RefusalClaimUnknown)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			n := newNode(t, newView(0, "a"), "a").serve(func(w http.ResponseWriter, r *http.Request) {
				if runs.Add(1) == 1 {
					tt.first(w, r)
				}
			})
			attempt := func() (*reply, error) {
				r := n.request(http.MethodPost, "/once/x", strings.NewReader("hold"))
				r.Header.Set(figpier.HeaderIdempotencyKey, "k")
				return send(newClient(t, false), r)
			}
			_, _ = attempt()
			eventually(t, "the first run has ended", func() bool { return n.handles.Len() == 0 })
			p, err := attempt()
			assert.NilError(t, err)
			assert.Equal(t, p.reason(), tt.second)
			if tt.second != "" {
				assert.Equal(t, runs.Load(), int64(1))
				assert.Check(t, !p.notRun())
			}
		})
	}
}

func TestUnreachableBackendServerIsMarkedNotRun(t *testing.T) {
	l, err := net.Listen("tcp", loopback)
	assert.NilError(t, err)
	unusedAddress := l.Addr().String()
	assert.NilError(t, l.Close())
	n := newNode(t, newView(0, "a"), "a").announce(unusedAddress)
	for range 2 {
		r := n.request(http.MethodPost, "/once/x", strings.NewReader("hold"))
		r.Header.Set(figpier.HeaderIdempotencyKey, "k")
		p := mustSend(t, newClient(t, false), r)
		assert.Equal(t, p.status, http.StatusBadGateway)
		assert.Check(t, p.notRun(), "a second attempt under the same idempotency key must be admitted too")
	}
}
