package system

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier/test/relay"
)

// maxWithdrawalDelay is how long a stream may last after its key was withdrawn.
const maxWithdrawalDelay = 4 * time.Second

// stream is an endless answer that a test reads in the background.
type stream struct {
	status int
	ended  chan time.Time // receives the time at which the stream ended
}

// openStream requests a streamed answer and returns after its first line has arrived.
func openStream(t *testing.T, url, key string) *stream {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	assert.NilError(t, err)
	r.Header.Set("Figpier-Key", key)
	answer, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	in := bufio.NewReader(answer.Body)
	_, err = in.ReadString('\n')
	assert.NilError(t, err)
	s := &stream{status: answer.StatusCode, ended: make(chan time.Time, 1)}
	go func() {
		_, _ = io.Copy(io.Discard, in)
		_ = answer.Body.Close()
		s.ended <- time.Now()
	}()
	return s
}

// assertEndsWithin fails the test if the stream lasts longer than d from now.
func (s *stream) assertEndsWithin(t *testing.T, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	select {
	case <-s.ended:
	case <-ctx.Done():
		t.Fatalf("the stream lasts longer than %v", d)
	}
}

// assertLasts fails the test if the stream ends within d from now.
func (s *stream) assertLasts(t *testing.T, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	select {
	case <-s.ended:
		t.Fatalf("the stream ended within %v", d)
	case <-ctx.Done():
	}
}

// keyID returns the ID of the only key in the configuration.
func (f *fleet) keyID(control []*process) string {
	f.t.Helper()
	var list struct {
		Keys []struct {
			ID string `json:"id"`
		} `json:"keys"`
	}
	text := f.runOperatorCommand(control, "key", "list", "--json")
	assert.NilError(f.t, json.Unmarshal([]byte(text), &list), text)
	assert.Equal(f.t, len(list.Keys), 1)
	return list.Keys[0].ID
}

func TestWithdrawnKeyEndsOpenStreams(t *testing.T) {
	f := newFleet(t)
	control := f.startControl("c1")
	key := f.configure(control, "a", "b")
	a := f.startNode("a1", "a", control)
	b := f.startNode("b1", "b", control)
	f.startBackend("sa", a, "--next", "b")
	f.startBackend("sb", b)
	direct := "http://" + b.callerAddress() + "/stream"
	throughChain := "http://" + a.callerAddress() + "/chain?then=/stream"
	for _, url := range []string{"http://" + b.callerAddress() + "/leaf", "http://" + a.callerAddress() + "/chain?then=/leaf"} {
		eventually(t, url, func() bool { return serves(t, url, key) })
	}
	streams := []*stream{openStream(t, direct, key), openStream(t, throughChain, key)}
	f.runOperatorCommand(control, "key", "withdraw", f.keyID(control))
	for _, s := range streams {
		s.assertEndsWithin(t, maxWithdrawalDelay)
	}
	status, _, _ := call(t, http.MethodGet, direct, key, nil)
	assert.Equal(t, status, http.StatusUnauthorized)
}

func TestStreamEndsAtANodeCutOffFromItsControlInstance(t *testing.T) {
	f := newFleet(t)
	control := f.startControl("c1")
	key := f.configure(control, "a")
	link, err := relay.Listen(t.Context(), control[0].messageAddress())
	assert.NilError(t, err)
	a := f.startNodeAt("a1", "a", link.Address())
	f.startBackend("sa", a)
	url := "http://" + a.callerAddress() + "/stream"
	eventually(t, "the node serves", func() bool { return serves(t, "http://"+a.callerAddress()+"/leaf", key) })
	s := openStream(t, url, key)
	link.DropAllTraffic()
	f.runOperatorCommand(control, "key", "withdraw", f.keyID(control))
	s.assertEndsWithin(t, maxWithdrawalDelay)
	status, _, header := call(t, http.MethodGet, url, key, nil)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, header.Get("Figpier-Refusal"), "stale-view")
}

func TestStreamLastsWhenAConnectionToAControlInstanceGoesSilent(t *testing.T) {
	f := newFleet(t)
	control := f.startControl("c1")
	key := f.configure(control, "a")
	link, err := relay.Listen(t.Context(), control[0].messageAddress())
	assert.NilError(t, err)
	a := f.startNodeAt("a1", "a", link.Address())
	f.startBackend("sa", a)
	leaf := "http://" + a.callerAddress() + "/leaf"
	eventually(t, "the node serves", func() bool { return serves(t, leaf, key) })
	s := openStream(t, "http://"+a.callerAddress()+"/stream", key)
	before := link.Accepted()
	link.DropTraffic()
	s.assertLasts(t, maxWithdrawalDelay)
	assert.Check(t, link.Accepted() > before, "the connection must be replaced")
	assert.Check(t, serves(t, leaf, key))
}

// serves reports whether a GET request is answered with 200 OK.
func serves(t *testing.T, url, key string) bool {
	t.Helper()
	status, _, _ := call(t, http.MethodGet, url, key, nil)
	return status == http.StatusOK
}
