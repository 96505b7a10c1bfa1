package web

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/figpier/figpier"
)

// limitedMemory is a figpier.RequestMemory of a fixed size.
type limitedMemory struct {
	total int64
	used  atomic.Int64
}

func (*limitedMemory) Name() figpier.ServiceName { return figpier.MemoryService }

func (*limitedMemory) Start(context.Context, figpier.Directory) error { return nil }

func (*limitedMemory) Stop(context.Context) error { return nil }

func (m *limitedMemory) Reserve(n int64) bool {
	if m.used.Add(n) <= m.total {
		return true
	}
	m.used.Add(-n)
	return false
}

func (m *limitedMemory) Free(n int64) { m.used.Add(-n) }

// startCounted starts a server that counts the memory of requests. It echoes bodies, and holds requests to /hold until the test ends.
func startCounted(t *testing.T, m figpier.RequestMemory) *Server {
	t.Helper()
	s, err := Listen(t.Context(), ServerConfig{
		Address: "127.0.0.1:0",
		Memory:  m,
		Limits:  func() Limits { return NewLimits(LimitsConfig{HeaderBytes: 64 << 10}) },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/hold" {
				<-r.Context().Done()
				return
			}
			_, _ = io.Copy(w, r.Body)
		}),
	})
	assert.NilError(t, err)
	return s
}

// exchangeText sends a text on a connection and returns the answers' statuses until the connection ends or there are count.
func exchangeText(t *testing.T, c net.Conn, text string, count int) []int {
	t.Helper()
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	go func() { _, _ = io.WriteString(c, text) }()
	in := bufio.NewReader(c)
	var statuses []int
	for len(statuses) < count {
		a, err := http.ReadResponse(in, nil)
		if err != nil {
			break
		}
		_, _ = io.Copy(io.Discard, a.Body)
		statuses = append(statuses, a.StatusCode)
	}
	return statuses
}

func dialCounted(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// oddRequest returns a request of a path with a number of short header lines.
func oddRequest(path string, lines int) string {
	return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\n", lines) + "\r\n"
}

// waitFor waits until a number of bytes is reserved.
func (m *limitedMemory) waitFor(t *testing.T, condition string, met func(used int64) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if met(m.used.Load()) {
			return poll.Success()
		}
		return poll.Continue("%s: %d bytes are reserved", condition, m.used.Load())
	}, poll.WithTimeout(10*time.Second))
}

// TestOrdinaryRequestIsServedBesideOddOnes guards against odd requests that leave no memory for an ordinary caller.
func TestOrdinaryRequestIsServedBesideOddOnes(t *testing.T) {
	m := &limitedMemory{total: 1 << 20}
	s := startCounted(t, m)
	for range 8 {
		_, err := io.WriteString(dialCounted(t, s), oddRequest("/hold", 2000))
		assert.NilError(t, err)
	}
	m.waitFor(t, "the memory is used up", func(used int64) bool { return used > m.total/2 })
	assert.Equal(t, len(exchangeText(t, dialCounted(t, s), oddRequest("/", 4000), 1)), 0, "another odd request is cut off")
	c := dialCounted(t, s)
	for range 20 {
		assert.DeepEqual(t, exchangeText(t, c, oddRequest("/", 60), 1), []int{http.StatusOK})
	}
}

// TestReservedMemoryIsFreedAfterRequests guards against a reservation that outlasts its request, after which odd requests would be
// refused for good.
func TestReservedMemoryIsFreedAfterRequests(t *testing.T) {
	m := &limitedMemory{total: 4 << 20}
	s := startCounted(t, m)
	body := strings.Repeat("a\n", 2000)
	texts := map[string]string{
		"served":     oddRequest("/", 2000),
		"unfinished": strings.TrimSuffix(oddRequest("/", 2000), "\r\n"),
		"pipelined":  oddRequest("/", 20) + oddRequest("/", 2000),
		"malformed":  "GET\r\n" + oddRequest("/", 2000),
		"body":       fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body) + oddRequest("/", 2000),
		"split":      "GET / HTTP/1.1\r\nHost: a\r\nA: b\r\n \n" + strings.Repeat("a:\n", 2000) + "\r\n",
		"trailer":    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n" + strings.Repeat("a:\n", 1000) + "\r\n",
		"given up":   oddRequest("/hold", 2000),
	}
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			for range 10 {
				c := dialCounted(t, s)
				go func() { _, _ = io.WriteString(c, text) }()
				_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
				_, _ = io.Copy(io.Discard, c)
				_ = c.Close()
			}
			m.waitFor(t, "all is freed", func(used int64) bool { return used == 0 })
			assert.DeepEqual(t, exchangeText(t, dialCounted(t, s), oddRequest("/", 4000), 1), []int{http.StatusOK})
		})
	}
}

// TestOddRequestOverHTTP2IsCounted guards against requests whose head does not show in the bytes of the connection.
func TestOddRequestOverHTTP2IsCounted(t *testing.T) {
	m := &limitedMemory{total: 64 << 10}
	s := startCounted(t, m)
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	defer transport.CloseIdleConnections()
	send := func(lines int) error {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.Address()+"/", http.NoBody)
		assert.NilError(t, err)
		for i := range lines {
			r.Header.Set(fmt.Sprintf("a%d", i), "")
		}
		a, err := transport.RoundTrip(r)
		if err != nil {
			return err
		}
		defer a.Body.Close()
		_, err = io.Copy(io.Discard, a.Body)
		return err
	}
	assert.NilError(t, send(20))
	assert.ErrorContains(t, send(1000), "INTERNAL_ERROR")
	assert.NilError(t, send(300))
	assert.NilError(t, send(300), "the memory of the request before is free")
	m.waitFor(t, "all is freed", func(used int64) bool { return used == 0 })
}

// TestBodyIsStreamedWhenNoMemoryIsLeftToBufferIt guards against requests whose buffered bodies add up beyond the memory.
func TestBodyIsStreamedWhenNoMemoryIsLeftToBufferIt(t *testing.T) {
	m := &limitedMemory{total: 40 << 10}
	a := &requestAccount{connection: &account{memory: m}}
	ctx := context.WithValue(t.Context(), accountKey{}, a)
	whole := strings.Repeat("a", 60<<10)
	first, err := NewReplayableBody(ctx, io.NopCloser(strings.NewReader(whole)), int64(len(whole)))
	assert.NilError(t, err)
	assert.Assert(t, first.streamed == nil)
	second, err := NewReplayableBody(ctx, io.NopCloser(strings.NewReader(whole)), int64(len(whole)))
	assert.NilError(t, err)
	text, err := io.ReadAll(second.Body())
	assert.NilError(t, err)
	assert.Equal(t, string(text), whole)
	assert.Assert(t, second.streamed != nil)
	a.release()
	assert.Equal(t, m.used.Load(), int64(0))
}

// TestUnreadBodyIsNoHead guards against a client whose connection is closed, or whose next request needs a reservation, because the rest of a
// body that a handler did not read counts as a head.
func TestUnreadBodyIsNoHead(t *testing.T) {
	m := &limitedMemory{}
	s, err := Listen(t.Context(), ServerConfig{
		Address: "127.0.0.1:0",
		Memory:  m,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) }),
	})
	assert.NilError(t, err)
	c := dialCounted(t, s)
	body := strings.Repeat("a line of a text that is sent to nobody\n", 5000)
	for range 3 {
		text := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		assert.DeepEqual(t, exchangeText(t, c, text, 1), []int{http.StatusTooManyRequests})
	}
}

// TestHeadEndsAtABlankLineOnly guards against heads that are counted in part because a line of one space came in two pieces.
func TestHeadEndsAtABlankLineOnly(t *testing.T) {
	pieces := []string{"GET / HTTP/1.1\r", "\n", "A: b\n", " ", "\n", "\t", "\r\n", "a", "\n"}
	for _, end := range [][]string{{"\r\n"}, {"\r", "\n"}, {"\n"}} {
		c := &serverConn{account: account{memory: &limitedMemory{}}, inHead: true}
		for _, piece := range pieces {
			assert.Assert(t, c.count([]byte(piece)))
			assert.Assert(t, c.inHead, "after %q", piece)
		}
		for _, piece := range end {
			assert.Assert(t, c.count([]byte(piece)))
		}
		assert.Assert(t, !c.inHead, "after %q", end)
	}
}
