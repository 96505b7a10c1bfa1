package path

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/baseline/fixed"
	"github.com/figpier/figpier/internal/kernel/registry"
	"github.com/figpier/figpier/internal/kernel/system"

	"github.com/figpier/figpier/internal/host/logs"
	"github.com/figpier/figpier/internal/host/memory"
	"github.com/figpier/figpier/internal/host/metrics"
	"github.com/figpier/figpier/internal/traffic/backend"
	"github.com/figpier/figpier/internal/traffic/caller"
	"github.com/figpier/figpier/internal/traffic/cutoffs"
	"github.com/figpier/figpier/internal/traffic/exit"
	"github.com/figpier/figpier/internal/traffic/gate"
	"github.com/figpier/figpier/internal/traffic/handles"
	"github.com/figpier/figpier/internal/traffic/peer"
	"github.com/figpier/figpier/internal/traffic/ranks"
	"github.com/figpier/figpier/internal/traffic/runner"
)

// loopback is a listen address on which the system chooses the port.
const loopback = "127.0.0.1:0"

// node is a node under test. It has no control instance: a fakeView supplies its configuration and members.
type node struct {
	t       testing.TB
	service figpier.UpstreamService
	handles *handles.Table
	router  *orderedRouter
	caller  *caller.Listener
	peer    *peer.Listener
	backend *backend.Server
	slots   int // capacity that announce states for the backend server
}

// startSignal is a service that closes its channel when it starts. Registered last, it reports that all others have started.
type startSignal chan struct{}

func (s startSignal) Name() figpier.ServiceName { return "test.started" }

func (s startSignal) Start(context.Context, figpier.Directory) error {
	close(s)
	return nil
}

func (s startSignal) Stop(context.Context) error { return nil }

// newNode starts a node for a service, adds it to the members of the view, and stops it when the test ends.
func newNode(t testing.TB, v *fakeView, service figpier.UpstreamService) *node {
	t.Helper()
	exits := exit.New(exit.Config{PingAfter: time.Second})
	n := &node{
		t:       t,
		service: service,
		handles: handles.New(),
		router:  &orderedRouter{view: v},
		caller:  caller.New(caller.Config{Address: loopback}),
		peer:    peer.New(peer.Config{Address: loopback, Service: service, PingAfter: time.Second}),
		backend: backend.New(backend.Config{Address: loopback, AnnouncementTimeout: time.Hour, DrainNotice: 50 * time.Millisecond}, exits),
		slots:   16,
	}
	logger, err := logs.New(logs.Config{Output: io.Discard})
	assert.NilError(t, err)
	k := registry.New(registry.Config{Clock: system.Clock{}})
	ready := make(startSignal)
	for _, s := range []figpier.Service{
		memory.New(memory.Config{}), metrics.New(metrics.Config{}), logs.NewRequests(logger), v,
		n.handles, ranks.New(), cutoffs.New(), fixed.NewLimiter(), fixed.NewClaims(), fixed.NewAdmission(16), n.router, fixed.NewDecider(),
		gate.New(gate.Config{Service: service}), runner.New(), exits, n.backend, n.peer, n.caller, ready,
	} {
		assert.NilError(t, k.Register(s))
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- k.Run(ctx, func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.Background(), time.Second)
		})
	}()
	select {
	case <-ready:
	case err := <-ended:
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	v.addMember(figpier.NewMember(figpier.MemberConfig{
		Instance:    figpier.InstanceID(n.peer.ListenAddress()),
		Service:     service,
		PeerAddress: n.peer.ListenAddress(),
	}))
	return n
}

// serve starts a backend server with the handler and announces it to the node.
func (n *node) serve(h http.HandlerFunc) *node {
	n.t.Helper()
	s := httptest.NewServer(h)
	n.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return n.announce(s.Listener.Addr().String())
}

// announce announces a backend server at an address and waits until the node knows it.
func (n *node) announce(address string) *node {
	n.t.Helper()
	body := fmt.Sprintf(`{"address": %q, "slots": %d}`, address, n.slots)
	answer, err := http.Post("http://"+n.backend.ListenAddress()+"/figpier/announce", "application/json", strings.NewReader(body))
	assert.NilError(n.t, err)
	assert.Equal(n.t, answer.StatusCode, http.StatusNoContent)
	eventually(n.t, "the backend server is known", func() bool {
		known, err := n.backend.Address()
		return err == nil && known == address
	})
	return n
}

// exitClient returns a client with which the node's backend server makes exit calls: the node is its HTTP proxy.
func (n *node) exitClient() *http.Client {
	proxy := &url.URL{Scheme: "http", Host: n.backend.ListenAddress()}
	t := &http.Transport{Proxy: http.ProxyURL(proxy)}
	n.t.Cleanup(t.CloseIdleConnections)
	return &http.Client{Transport: t}
}

// exitCall makes an exit call on behalf of a request that the backend server is handling. It takes the context and the
// call handle from that request.
func (n *node) exitCall(c *http.Client, parent *http.Request, method, target string, body io.Reader) (*http.Response, error) {
	r, err := http.NewRequestWithContext(parent.Context(), method, target, body)
	if err != nil {
		return nil, err
	}
	r.Header.Set(figpier.HeaderCall, parent.Header.Get(figpier.HeaderCall))
	return c.Do(r)
}

// newClient returns a caller's client that speaks only HTTP/2 without TLS, or only HTTP/1.1.
func newClient(t testing.TB, http2 bool) *http.Client {
	p := &http.Protocols{}
	p.SetHTTP1(!http2)
	p.SetUnencryptedHTTP2(http2)
	transport := &http.Transport{Protocols: p, DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// request returns a request to the node's callers' listener, with a valid key.
func (n *node) request(method, path string, body io.Reader) *http.Request {
	r, err := http.NewRequestWithContext(n.t.Context(), method, "http://"+n.caller.ListenAddress()+path, body)
	assert.NilError(n.t, err)
	r.Header.Set(figpier.HeaderKey, callerKey)
	return r
}

// reply is an answer whose body has been read to its end.
type reply struct {
	status  int
	header  http.Header
	trailer http.Header
	text    string
}

// notRun reports whether the answer is marked as not run.
func (p *reply) notRun() bool { return p.header.Get(figpier.HeaderNotRun) == figpier.NotRunMark }

// reason returns the reason of a refusal, empty for other answers.
func (p *reply) reason() string { return p.header.Get(figpier.HeaderRefusal) }

// bodyNotRun returns the notRun field of a refusal's body.
func (p *reply) bodyNotRun(t testing.TB) bool {
	t.Helper()
	var body struct {
		NotRun bool `json:"notRun"`
	}
	assert.NilError(t, json.Unmarshal([]byte(p.text), &body), p.text)
	return body.NotRun
}

// send sends a request and reads the whole answer. It returns an error if the answer is incomplete.
func send(c *http.Client, r *http.Request) (*reply, error) {
	answer, err := c.Do(r)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return nil, err
	}
	return &reply{status: answer.StatusCode, header: answer.Header, trailer: answer.Trailer, text: string(text)}, nil
}

// mustSend sends a request and fails the test if no complete answer arrives.
func mustSend(t testing.TB, c *http.Client, r *http.Request) *reply {
	t.Helper()
	p, err := send(c, r)
	assert.NilError(t, err)
	return p
}

// eventually waits until a condition is met, and fails the test if it is not met within 20 s.
func eventually(t testing.TB, condition string, met func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if met() {
			return poll.Success()
		}
		return poll.Continue("%s", condition)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

// closeConnection closes the connection of a request without sending an answer.
func closeConnection(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

// startTCPServer starts a server that handles each connection on its own goroutine, and returns its address.
func startTCPServer(t testing.TB, handle func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", loopback)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go handle(c)
		}
	}()
	return l.Addr().String()
}
