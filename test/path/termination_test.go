package path

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
)

// blockingHandler returns a handler that blocks until its request is cancelled, and channels that receive a value when a
// request began and when it ended.
func blockingHandler() (h http.HandlerFunc, began, ended chan struct{}) {
	began = make(chan struct{}, 64)
	ended = make(chan struct{}, 64)
	return func(_ http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	}, began, ended
}

// serveExitCallsToB starts a backend server for node a that forwards each request's path to service b and answers with
// the status, and with the reason of a refusal in X-Exit.
func serveExitCallsToB(a *node) {
	exitClient := a.exitClient()
	a.serve(func(w http.ResponseWriter, r *http.Request) {
		answer, err := a.exitCall(exitClient, r, http.MethodGet, "http://b.figpier"+r.URL.Path, nil)
		if err != nil {
			return
		}
		defer answer.Body.Close()
		w.Header().Set("X-Exit", answer.Header.Get(figpier.HeaderRefusal))
		w.WriteHeader(answer.StatusCode)
	})
}

func TestCancellationReleasesTheCallAtEachHop(t *testing.T) {
	for protocol, http2 := range protocols {
		t.Run(protocol, func(t *testing.T) {
			v := newView(0, "a", "b")
			a := newNode(t, v, "a")
			b := newNode(t, v, "b")
			h, began, ended := blockingHandler()
			b.serve(h)
			serveExitCallsToB(a)
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				<-began
				cancel()
			}()
			_, err := send(newClient(t, http2), a.request(http.MethodGet, "/x", nil).WithContext(ctx))
			assert.ErrorIs(t, err, context.Canceled)
			<-ended
			eventually(t, "no call is live", func() bool { return a.handles.Len()+b.handles.Len() == 0 })
		})
	}
}

func TestDeadlineReleasesTheCallAtEachHop(t *testing.T) {
	v := newView(0, "a", "b")
	a := newNode(t, v, "a")
	b := newNode(t, v, "b")
	h, _, ended := blockingHandler()
	b.serve(h)
	serveExitCallsToB(a)
	p := mustSend(t, newClient(t, false), a.request(http.MethodGet, "/short/x", nil))
	assert.Equal(t, p.status, http.StatusGatewayTimeout)
	assert.Check(t, !p.notRun())
	<-ended
	eventually(t, "no call is live", func() bool { return a.handles.Len()+b.handles.Len() == 0 })
}

func TestCallerThatDoesNotReadIsEndedAtTheDeadline(t *testing.T) {
	n := newNode(t, newView(0, "a"), "a").serve(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.Copy(w, newPatternReader(1<<30))
	})
	c, err := net.Dial("tcp", n.caller.ListenAddress())
	assert.NilError(t, err)
	defer c.Close()
	_, err = fmt.Fprintf(c, "GET /short/x HTTP/1.1\r\nHost: a\r\nFigpier-Key: %s\r\n\r\n", callerKey)
	assert.NilError(t, err)
	eventually(t, "the request runs", func() bool { return n.handles.Len() == 1 })
	eventually(t, "the call has ended", func() bool { return n.handles.Len() == 0 })
}

func TestCallerThatDoesNotSendIsEndedAtTheDeadline(t *testing.T) {
	n := newNode(t, newView(0, "a"), "a").serve(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})
	c, err := net.Dial("tcp", n.caller.ListenAddress())
	assert.NilError(t, err)
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST /short/x HTTP/1.1\r\nHost: a\r\nFigpier-Key: %s\r\nContent-Length: 100\r\n\r\nhalf", callerKey)
	assert.NilError(t, err)
	eventually(t, "the request runs", func() bool { return n.handles.Len() == 1 })
	eventually(t, "the call has ended", func() bool { return n.handles.Len() == 0 })
	_, err = io.Copy(io.Discard, c)
	assert.NilError(t, err, "the node must close the connection")
}

func TestWithdrawnKeyEndsStreamsAtEachHop(t *testing.T) {
	endings := map[string]struct {
		end    func(v *fakeView)
		reason figpier.RefusalReason
	}{
		"withdrawn":  {(*fakeView).withdrawAllKeys, figpier.RefusalWithdrawn},
		"stale view": {(*fakeView).makeStale, figpier.RefusalStaleView},
	}
	for name, tt := range endings {
		t.Run(name, func(t *testing.T) {
			v := newView(0, "a", "b")
			a := newNode(t, v, "a")
			b := newNode(t, v, "b")
			h, began, ended := blockingHandler()
			b.serve(h)
			serveExitCallsToB(a)
			go func() {
				<-began
				tt.end(v)
			}()
			p := mustSend(t, newClient(t, false), a.request(http.MethodGet, "/x", nil))
			assert.Equal(t, p.reason(), string(tt.reason))
			assert.Check(t, !p.notRun())
			<-ended
			eventually(t, "no call is live", func() bool { return a.handles.Len()+b.handles.Len() == 0 })
		})
	}
}

func TestWithdrawnKeyDoesNotEndRequestsOnOpenRoutes(t *testing.T) {
	v := newView(0, "a")
	n := newNode(t, v, "a").serve(func(w http.ResponseWriter, _ *http.Request) {
		v.withdrawAllKeys()
		_, _ = io.WriteString(w, "whole")
	})
	p := mustSend(t, newClient(t, false), n.request(http.MethodGet, "/open/x", nil))
	assert.Equal(t, p.text, "whole")
}

func TestClosedNodeRefusesNewRequestsAndFinishesRunningOnes(t *testing.T) {
	release := make(chan struct{})
	began := make(chan struct{}, 1)
	n := newNode(t, newView(0, "a"), "a").serve(func(w http.ResponseWriter, _ *http.Request) {
		began <- struct{}{}
		<-release
		_, _ = io.WriteString(w, "whole")
	})
	running := make(chan *reply, 1)
	go func() { running <- mustSend(t, newClient(t, false), n.request(http.MethodGet, "/x", nil)) }()
	<-began
	n.backend.RefuseCalls()
	p := mustSend(t, newClient(t, false), n.request(http.MethodGet, "/x", nil))
	assert.Equal(t, p.reason(), string(figpier.RefusalLeaving))
	assert.Check(t, p.notRun())
	close(release)
	assert.Equal(t, (<-running).text, "whole")
}

func TestDrainAppliesToOneIncarnationOfTheBackendServer(t *testing.T) {
	n := newNode(t, newView(0, "a"), "a").serve(func(http.ResponseWriter, *http.Request) {})
	address, err := n.backend.Address()
	assert.NilError(t, err)
	post := func(path, body string) {
		answer, err := http.Post("http://"+n.backend.ListenAddress()+path, "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		assert.NilError(t, answer.Body.Close())
		assert.Equal(t, answer.StatusCode, http.StatusNoContent)
	}
	serves := func() bool {
		return mustSend(t, newClient(t, false), n.request(http.MethodGet, "/x", nil)).status == http.StatusOK
	}
	post("/figpier/drain", "")
	eventually(t, "the node refuses requests", func() bool { return !serves() })
	post("/figpier/announce", fmt.Sprintf(`{"address": %q, "slots": 1}`, address))
	assert.Check(t, !serves(), "an announcement by the draining incarnation must not end the drain")
	post("/figpier/announce", fmt.Sprintf(`{"address": %q, "slots": 1, "incarnation": "2"}`, address))
	eventually(t, "the next incarnation serves", serves)
}
