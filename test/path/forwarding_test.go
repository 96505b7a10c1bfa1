package path

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"hash"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
)

// protocols are the protocols that callers may speak, each with whether it is HTTP/2.
var protocols = map[string]bool{"HTTP/1.1": false, "HTTP/2": true}

func TestIncompleteAnswerIsNotReportedAsComplete(t *testing.T) {
	answers := map[string]string{
		"short of its length": "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
		"without last chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"inside a chunk":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n64\r\nhalf",
		"bad chunk":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhalf\r\n0\r\n\r\n",
		"no length":           "HTTP/1.1 200 OK\r\n\r\nhalf",
		"inside the head":     "HTTP/1.1 200 OK\r\nContent-Le",
		"switched protocols":  "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nhalf",
		"HTTP/1.0, no length": "HTTP/1.0 200 OK\r\n\r\nhalf",
		"HTTP/2.0, no length": "HTTP/2.0 200 OK\r\n\r\nhalf",
	}
	for name, text := range answers {
		for protocol, http2 := range protocols {
			t.Run(name+" "+protocol, func(t *testing.T) {
				address := startTCPServer(t, func(c net.Conn) {
					defer c.Close()
					if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						_, _ = io.WriteString(c, text)
					}
				})
				n := newNode(t, newView(0, "a"), "a").announce(address)
				p, err := send(newClient(t, http2), n.request(http.MethodGet, "/once/x", nil))
				if err != nil {
					return
				}
				assert.Equal(t, p.status, http.StatusBadGateway, p.text)
				assert.Check(t, !p.notRun())
			})
		}
	}
}

func TestIncompleteAnswerFailsAtEachHop(t *testing.T) {
	v := newView(0, "a", "b")
	a := newNode(t, v, "a")
	newNode(t, v, "b").serve(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(flushingWriter{w}, "half")
	})
	exitClient := a.exitClient()
	exitErrors := make(chan error, 1)
	a.serve(func(w http.ResponseWriter, r *http.Request) {
		answer, err := a.exitCall(exitClient, r, http.MethodGet, "http://b.figpier/x", nil)
		if err == nil {
			defer answer.Body.Close()
			_, err = io.Copy(flushingWriter{w}, answer.Body)
		}
		exitErrors <- err
		panic(http.ErrAbortHandler)
	})
	_, err := send(newClient(t, false), a.request(http.MethodGet, "/x", nil))
	assert.Check(t, err != nil)
	assert.Check(t, <-exitErrors != nil)
	eventually(t, "the attempt counts as failed", func() bool {
		ended := a.router.endedOutcomes()
		return len(ended) == 1 && ended[0] == figpier.OutcomeFailed
	})
}

// patternReader generates a given number of bytes without storing them, and hashes what was read.
type patternReader struct {
	remaining int64
	sum       hash.Hash
	next      byte
}

func newPatternReader(n int64) *patternReader { return &patternReader{remaining: n, sum: sha256.New()} }

func (p *patternReader) Read(b []byte) (int, error) {
	if p.remaining == 0 {
		return 0, io.EOF
	}
	n := int(min(int64(len(b)), p.remaining))
	for i := range n {
		b[i] = p.next
		p.next += 7
	}
	p.remaining -= int64(n)
	p.sum.Write(b[:n])
	return n, nil
}

// serveEchoChain starts backend servers for two nodes. That of a forwards each request to service b while it arrives and
// streams the answer back. That of b echoes the body, and sends the trailer X-Length: the length, then the request's X-Mark.
func serveEchoChain(t testing.TB, a, b *node) {
	b.serve(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.Header().Set("Trailer", "X-Length")
		n, err := io.Copy(w, r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("X-Length", strconv.FormatInt(n, 10)+r.Trailer.Get("X-Mark"))
	})
	exitClient := a.exitClient()
	a.serve(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		out, _ := http.NewRequestWithContext(r.Context(), r.Method, "http://b.figpier/x", r.Body)
		out.Header.Set(figpier.HeaderCall, r.Header.Get(figpier.HeaderCall))
		out.Trailer = r.Trailer
		answer, err := exitClient.Do(out)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer answer.Body.Close()
		w.Header().Set("Trailer", "X-Length")
		w.WriteHeader(answer.StatusCode)
		if _, err := io.Copy(flushingWriter{w}, answer.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("X-Length", answer.Trailer.Get("X-Length"))
	})
}

// flushingWriter flushes after each write.
type flushingWriter struct{ http.ResponseWriter }

func (f flushingWriter) Write(b []byte) (int, error) {
	n, err := f.ResponseWriter.Write(b)
	if err == nil {
		err = http.NewResponseController(f.ResponseWriter).Flush()
	}
	return n, err
}

// peakHeap samples the heap until the context ends, then sends the greatest growth since the call, in bytes.
func peakHeap(ctx context.Context) <-chan uint64 {
	peak := make(chan uint64, 1)
	var baseline runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&baseline)
	go func() {
		tick := time.NewTicker(10 * time.Millisecond)
		defer tick.Stop()
		var highest uint64
		for {
			var now runtime.MemStats
			runtime.ReadMemStats(&now)
			highest = max(highest, now.HeapInuse)
			select {
			case <-ctx.Done():
				peak <- highest - min(highest, baseline.HeapInuse)
				return
			case <-tick.C:
			}
		}
	}()
	return peak
}

func TestLargeBodiesStreamBothWaysInBoundedMemory(t *testing.T) {
	const length = 100 << 20
	const maxHeapGrowth = 48 << 20
	contentLengths := map[string]int64{"HTTP/1.1": -1, "HTTP/2": length}
	for protocol, http2 := range protocols {
		t.Run(protocol, func(t *testing.T) {
			v := newView(0, "a", "b")
			a := newNode(t, v, "a")
			serveEchoChain(t, a, newNode(t, v, "b"))
			body := newPatternReader(length)
			r := a.request(http.MethodPost, "/x", body)
			r.ContentLength = contentLengths[protocol]
			ctx, cancel := context.WithCancel(t.Context())
			peak := peakHeap(ctx)
			answer, err := newClient(t, http2).Do(r)
			assert.NilError(t, err)
			defer answer.Body.Close()
			got := sha256.New()
			n, err := io.Copy(got, answer.Body)
			cancel()
			assert.NilError(t, err)
			assert.Equal(t, n, int64(length))
			assert.Check(t, bytes.Equal(got.Sum(nil), body.sum.Sum(nil)))
			assert.Check(t, <-peak < maxHeapGrowth)
			assert.Equal(t, answer.Trailer.Get("X-Length"), strconv.Itoa(length))
		})
	}
}

func TestTrailersAreForwardedBothWays(t *testing.T) {
	for protocol, http2 := range protocols {
		t.Run(protocol, func(t *testing.T) {
			v := newView(0, "a", "b")
			a := newNode(t, v, "a")
			serveEchoChain(t, a, newNode(t, v, "b"))
			r := a.request(http.MethodPost, "/x", io.NopCloser(strings.NewReader("hello")))
			r.ContentLength = -1
			r.Trailer = http.Header{"X-Mark": {"!"}}
			p := mustSend(t, newClient(t, http2), r)
			assert.Equal(t, p.text, "hello")
			assert.Equal(t, p.trailer.Get("X-Length"), "5!")
		})
	}
}

func TestEveryCallerGetsItsOwnAnswer(t *testing.T) {
	for protocol, http2 := range protocols {
		t.Run(protocol, func(t *testing.T) {
			v := newView(0, "a", "b")
			a := newNode(t, v, "a")
			serveEchoChain(t, a, newNode(t, v, "b"))
			c := newClient(t, http2)
			var callers sync.WaitGroup
			for i := range 8 {
				callers.Go(func() {
					for j := range 40 {
						ctx, cancel := context.WithCancel(t.Context())
						want := strings.Repeat(fmt.Sprintf("%d-%d ", i, j), 1+j*50)
						r := a.request(http.MethodPost, "/x", strings.NewReader(want)).WithContext(ctx)
						if j%4 == 3 {
							time.AfterFunc(time.Duration(j)*20*time.Microsecond, cancel)
						}
						p, err := send(c, r)
						cancel()
						if err == nil {
							assert.Check(t, p.status == http.StatusOK && p.text == want, "caller %d call %d: %d %.200s", i, j, p.status, p.text)
						}
					}
				})
			}
			callers.Wait()
		})
	}
}

func TestAttemptsOfACallTreeStayInBudget(t *testing.T) {
	const budget, exitCalls = 3, 4
	answers := map[string]http.HandlerFunc{
		"connection closed": func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) },
		"incomplete":        func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "9") },
		"not run": func(w http.ResponseWriter, r *http.Request) {
			markNotRun(w, r)
			w.WriteHeader(503)
		},
		"complete": func(http.ResponseWriter, *http.Request) {},
	}
	for name, h := range answers {
		t.Run(name, func(t *testing.T) {
			v := newView(budget, "a", "b")
			a := newNode(t, v, "a")
			var runs atomic.Int64
			for range 3 {
				newNode(t, v, "b").serve(func(w http.ResponseWriter, r *http.Request) {
					runs.Add(1)
					h(w, r)
				})
			}
			exitClient := a.exitClient()
			a.serve(func(w http.ResponseWriter, r *http.Request) {
				var calls sync.WaitGroup
				for range exitCalls {
					calls.Go(func() {
						answer, err := a.exitCall(exitClient, r, http.MethodGet, "http://b.figpier/x", nil)
						if err == nil {
							answer.Body.Close()
						}
					})
				}
				calls.Wait()
				l, ok := a.handles.Find(figpier.Handle(r.Header.Get(figpier.HeaderCall)))
				assert.Check(t, ok && l.UnusedBudget() <= budget)
			})
			assert.Equal(t, mustSend(t, newClient(t, false), a.request(http.MethodGet, "/x", nil)).status, http.StatusOK)
			assert.Check(t, runs.Load() <= exitCalls+budget, "%d runs", runs.Load())
			assert.Check(t, runs.Load() >= exitCalls)
		})
	}
}

func TestExitCallsRequireALiveRequest(t *testing.T) {
	v := newView(0, "a", "b")
	a := newNode(t, v, "a")
	newNode(t, v, "b").serve(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "b") })
	exitClient := a.exitClient()
	endedRequests := make(chan *http.Request, 1)
	a.serve(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		answer, err := a.exitCall(exitClient, r, http.MethodGet, "http://b.figpier/x", nil)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer answer.Body.Close()
		_, _ = io.Copy(w, answer.Body)
		endedRequests <- r.Clone(context.Background())
	})
	p := mustSend(t, newClient(t, false), a.request(http.MethodGet, "/x", nil))
	assert.Equal(t, p.text, "b", "an exit call is allowed after the head of the answer")
	ended := <-endedRequests
	eventually(t, "the request has ended", func() bool { return a.handles.Len() == 0 })
	answer, err := a.exitCall(exitClient, ended, http.MethodGet, "http://b.figpier/x", nil)
	assert.NilError(t, err)
	defer answer.Body.Close()
	assert.Equal(t, answer.StatusCode, http.StatusForbidden)
	assert.Equal(t, answer.Header.Get(figpier.HeaderRefusal), string(figpier.RefusalHandleUnknown))
}
