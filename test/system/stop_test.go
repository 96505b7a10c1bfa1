package system

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxDrainNotice is how long after the start of a drain the backend server may still get new requests.
const maxDrainNotice = 2500 * time.Millisecond

// loadGenerator is a number of callers, each of which sends one request after the other, and counts of their answers.
type loadGenerator struct {
	stopped atomic.Bool
	callers sync.WaitGroup
	served  atomic.Int64
	refused atomic.Int64 // answers marked as not run, and refused connections
	failed  atomic.Int64
}

// startLoad starts eight callers. A refused connection counts as a refusal.
func startLoad(t *testing.T, method, url, key string) *loadGenerator {
	l := &loadGenerator{}
	for range 8 {
		l.callers.Go(func() {
			for !l.stopped.Load() {
				l.sendOne(t, method, url, key)
			}
		})
	}
	return l
}

// sendOne sends one request and counts its answer. A request that was neither served nor refused counts as failed.
func (l *loadGenerator) sendOne(t *testing.T, method, url, key string) {
	status, text, header := call(t, method, url, key, strings.NewReader("body"))
	switch {
	case status == http.StatusOK:
		l.served.Add(1)
	case strings.Contains(text, "connection refused"):
		l.refused.Add(1)
	case header.Get("Figpier-Not-Run") == "true":
		l.refused.Add(1)
		t.Logf("status %d: %s", status, text)
	default:
		l.failed.Add(1)
		t.Logf("status %d: %s", status, text)
	}
}

// stop waits for the callers' last answers.
func (l *loadGenerator) stop() {
	l.stopped.Store(true)
	l.callers.Wait()
}

// twoUpstreams is a fleet with one node of service "a", whose backend server calls service "b", and two nodes of "b".
type twoUpstreams struct {
	key      string
	url      string   // of a request to "a" that is passed on to "b"
	b1, b2   *process // nodes of "b"
	sb1, sb2 *process // their backend servers
}

func (f *fleet) startTwoUpstreams() *twoUpstreams {
	f.t.Helper()
	control := f.startControl("c1")
	p := &twoUpstreams{key: f.configure(control, "a", "b")}
	// Without retries, a refusal by a node that is leaving reaches the caller.
	f.runOperatorCommand(control, "profile", "apply", f.writeFile("p", strings.Replace(profileText, `"treeBudget": 2`, `"treeBudget": 0`, 1)))
	a := f.startNode("a1", "a", control)
	p.b1 = f.startNode("b1", "b", control)
	p.b2 = f.startNode("b2", "b", control)
	f.startBackend("sa", a, "--next", "b")
	p.sb1 = f.startBackend("sb1", p.b1, "--work", "50ms")
	p.sb2 = f.startBackend("sb2", p.b2, "--work", "50ms")
	p.url = "http://" + a.callerAddress() + "/chain?then=/leaf"
	return p
}

// waitUntilServing waits until requests have reached the backend servers of both nodes of "b".
func (p *twoUpstreams) waitUntilServing(t *testing.T) {
	t.Helper()
	eventually(t, "both upstreams serve", func() bool {
		return serves(t, p.url, p.key) && fetchCounts(t, p.sb1).Runs > 0 && fetchCounts(t, p.sb2).Runs > 0
	})
}

func TestPlannedStopOfANodeFailsNoRequest(t *testing.T) {
	f := newFleet(t)
	p := f.startTwoUpstreams()
	p.waitUntilServing(t)
	l := startLoad(t, http.MethodGet, p.url, p.key)
	p.b2.signal(syscall.SIGTERM)
	code := p.b2.wait()
	time.Sleep(100 * time.Millisecond)
	l.stop()

	assert.Equal(t, code, 0, p.b2.log())
	assert.Check(t, l.served.Load() > 0)
	assert.Equal(t, l.refused.Load(), int64(0))
	assert.Equal(t, l.failed.Load(), int64(0))
}

func TestPlannedStopOfAnEntryNodeFailsNoRequest(t *testing.T) {
	f := newFleet(t)
	p := f.startTwoUpstreams()
	p.waitUntilServing(t)
	l := startLoad(t, http.MethodPost, "http://"+p.b2.callerAddress()+"/leaf", p.key)
	p.b2.signal(syscall.SIGTERM)
	code := p.b2.wait()
	l.stop()

	assert.Equal(t, code, 0, p.b2.log())
	assert.Check(t, l.served.Load() > 0)
	assert.Equal(t, l.failed.Load(), int64(0))
}

func TestDrainingBackendServerGetsNoNewRequestsAfterTheNotice(t *testing.T) {
	f := newFleet(t)
	p := f.startTwoUpstreams()
	p.waitUntilServing(t)
	l := startLoad(t, http.MethodGet, p.url, p.key)
	status, _, _ := call(t, http.MethodPost, "http://"+p.sb2.serverAddress()+"/drain", "", nil)
	assert.Equal(t, status, http.StatusNoContent)
	time.Sleep(maxDrainNotice)
	runsAfterNotice := fetchCounts(t, p.sb2).Runs
	before := l.served.Load()
	eventually(t, "the other upstream continues to serve", func() bool { return l.served.Load() > before+20 })
	l.stop()

	assert.Equal(t, fetchCounts(t, p.sb2).Runs, runsAfterNotice)
	assert.Equal(t, l.refused.Load(), int64(0))
	assert.Equal(t, l.failed.Load(), int64(0))
}

func TestKilledNodeServesAgainAfterARestart(t *testing.T) {
	f := newFleet(t)
	control := f.startControl("c1")
	key := f.configure(control, "a")
	a := f.startNode("a1", "a", control)
	f.startBackend("sa", a)
	url := "http://" + a.callerAddress() + "/leaf"
	nodeServes := func() bool { return serves(t, url, key) }
	eventually(t, "the node serves", nodeServes)
	a.kill()
	assert.Check(t, !nodeServes())
	a.start()
	eventually(t, "the node serves again", nodeServes)
}
