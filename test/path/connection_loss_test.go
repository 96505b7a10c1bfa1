package path

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/test/relay"
)

// newNodeBehindRelay starts a node whose peers reach it through a relay, which can drop or reset the connections.
func newNodeBehindRelay(t *testing.T, v *fakeView, service figpier.UpstreamService) (*node, *relay.Relay) {
	t.Helper()
	n := newNode(t, v, service)
	link, err := relay.Listen(t.Context(), n.peer.ListenAddress())
	assert.NilError(t, err)
	v.mu.Lock()
	defer v.mu.Unlock()
	last := len(v.members) - 1
	c := v.members[last].Config()
	c.PeerAddress = link.Address()
	v.members[last] = figpier.NewMember(c)
	return n, link
}

func TestSilentPeerConnectionIsReplaced(t *testing.T) {
	v := newView(8, "a", "b")
	a := newNode(t, v, "a")
	b, link := newNodeBehindRelay(t, v, "b")
	b.serve(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "b") })
	exitClient := a.exitClient()
	a.serve(func(w http.ResponseWriter, r *http.Request) {
		answer, err := a.exitCall(exitClient, r, http.MethodGet, "http://b.figpier/quick/x", nil)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer answer.Body.Close()
		w.WriteHeader(answer.StatusCode)
		_, _ = io.Copy(w, answer.Body)
	})
	c := newClient(t, false)
	assert.Equal(t, mustSend(t, c, a.request(http.MethodGet, "/x", nil)).text, "b")
	link.DropTraffic()
	began := time.Now()
	first := mustSend(t, c, a.request(http.MethodGet, "/x", nil))
	assert.Check(t, time.Since(began) < quickRouteDeadline, "the answer came after the route's deadline")
	assert.Check(t, !first.notRun(), "a request that may have run must not be marked \"not run\"")
	eventually(t, "the connection is replaced", func() bool {
		return mustSend(t, c, a.request(http.MethodGet, "/x", nil)).text == "b"
	})
	assert.Equal(t, link.Accepted(), int64(2))
}

func TestRequestOnASilentPeerConnectionIsRetriedOnAnotherNode(t *testing.T) {
	v := newView(8, "a", "b")
	a := newNode(t, v, "a")
	answerB := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "b") }
	b, link := newNodeBehindRelay(t, v, "b")
	b.serve(answerB)
	newNode(t, v, "b").serve(answerB)
	exitClient := a.exitClient()
	a.serve(func(w http.ResponseWriter, r *http.Request) {
		answer, err := a.exitCall(exitClient, r, http.MethodGet, "http://b.figpier/quick/x", nil)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer answer.Body.Close()
		_, _ = io.Copy(w, answer.Body)
	})
	c := newClient(t, false)
	for range 2 {
		assert.Equal(t, mustSend(t, c, a.request(http.MethodGet, "/x", nil)).text, "b")
		link.DropTraffic()
	}
}

func TestSilentBackendServerConnectionsAreReplaced(t *testing.T) {
	const connections = 8
	v := newView(0, "a")
	n := newNode(t, v, "a")
	n.serve(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, "whole")
	})
	server, err := n.backend.Address()
	assert.NilError(t, err)
	link, err := relay.Listen(t.Context(), server)
	assert.NilError(t, err)
	n.announce(link.Address())
	c := newClient(t, false)
	warmUpReplies := make(chan *reply, connections)
	for range connections {
		go func() { warmUpReplies <- mustSend(t, c, n.request(http.MethodGet, "/short/x", nil)) }()
	}
	for range connections {
		assert.Equal(t, (<-warmUpReplies).text, "whole")
	}
	link.DropTraffic()
	timedOut := 0
	for range connections {
		p := mustSend(t, c, n.request(http.MethodGet, "/short/x", nil))
		if p.text != "whole" {
			assert.Equal(t, p.status, http.StatusGatewayTimeout)
			timedOut++
		}
	}
	assert.Equal(t, timedOut, 1, "the first timeout must replace all connections to the backend server")
}

func TestRequestOnABrokenPeerConnectionIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		v := newView(8, "a", "b")
		a := newNode(t, v, "a")
		b, link := newNodeBehindRelay(t, v, "b")
		var runs atomic.Int64
		b.serve(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if runs.Add(1) > 1 {
				link.Reset()
				<-r.Context().Done()
			}
		})
		exitClient := a.exitClient()
		a.serve(func(w http.ResponseWriter, r *http.Request) {
			answer, err := a.exitCall(exitClient, r, method, "http://b.figpier/once/x", nil)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			defer answer.Body.Close()
			w.WriteHeader(answer.StatusCode)
		})
		c := newClient(t, false)
		assert.Equal(t, mustSend(t, c, a.request(http.MethodGet, "/x", nil)).status, http.StatusOK)
		p := mustSend(t, c, a.request(http.MethodGet, "/x", nil))
		assert.Equal(t, p.status, http.StatusBadGateway)
		assert.Equal(t, runs.Load(), int64(2), method)
	}
}
