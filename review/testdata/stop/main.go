// Command stop stops a node beside an upstream that goes on making calls, and checks that no call is cut.
package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/figpier/figpier/review/testdata/bed"
)

// A request works for ownWork at its upstream, which then makes two calls, one after the other.
const (
	ownWork    = 1500 * time.Millisecond
	firstCall  = 1700 * time.Millisecond
	secondCall = 2300 * time.Millisecond
	timeout    = 6 * time.Second
	callLimit  = 3 * time.Second
	interval   = 100 * time.Millisecond
	parents    = 60
	// stopAfter is how many requests are sent before the node is stopped.
	stopAfter = 35
	// exemptUntil is how long after a SIGTERM a request may be sent that may be cut in the last sixth of the grace time.
	exemptUntil = 3 * time.Second
	// clockMargin is left for the time from the signal to the process, and for that from a write to the note of it.
	clockMargin = 50 * time.Millisecond
)

// call is a request that the upstream beside the stopped node made.
type call struct {
	attempt string
	outcome bed.Outcome
	// limit is the time that the caller had left.
	limit time.Duration
}

// history is what the upstreams saw.
type history struct {
	bed *bed.Bed

	mu    sync.Mutex
	calls []call
	// running holds when the called upstream began to work on a call.
	running map[string]time.Time
	broken  map[string]time.Time
	served  int
}

func main() {
	b := bed.New()
	b.StartControls(3)
	entry := b.StartNode("sidecar-1", "huvo11a", "zone-1")
	caller := b.StartNode("sidecar-2", "kafi81c", "zone-2")
	called := b.StartNode("sidecar-3", "lovo22d", "zone-3")
	b.Configure([]string{
		bed.Route("r-view", "hulo84.example", "/leny950/", "idempotent", timeout, "kafi81c", false),
		bed.Route("r-lookup", "tiru20.example", "/moba3/", "idempotent", callLimit, "lovo22d", true),
	}, []string{bed.Service("huvo11a"), bed.Service("kafi81c"), bed.Service("lovo22d")})
	h := &history{bed: b, running: map[string]time.Time{}, broken: map[string]time.Time{}}
	go b.StartUpstream(caller, "i-7f3a91c1", h.runParent).Beat()
	go b.StartUpstream(called, "i-7f3a91c2", h.runCall).Beat()
	for _, n := range []*bed.Node{entry, caller, called} {
		n.AwaitReady()
	}
	warmUps := 0
	if !bed.Await(20*time.Second, func() bool {
		warmUps++
		return h.send(entry, "/leny950/warm", fmt.Sprintf("%08x%08x", 0, warmUps)).Status == http.StatusOK
	}) {
		b.Fail("the route is not served")
	}
	time.Sleep(bed.Contact)

	var group sync.WaitGroup
	var stopped time.Time
	for i := range parents {
		if i == stopAfter {
			stopped = time.Now()
			if b.Trouble {
				group.Go(func() {
					caller.Terminate()
					caller.Start()
				})
			}
		}
		group.Go(func() {
			attempt := fmt.Sprintf("%08x%08x", 1, i+1)
			b.Note("client at %s: sent attempt %s", entry.Name, attempt)
			b.Note("client at %s: attempt %s: %v", entry.Name, attempt, h.send(entry, "/leny950/2f", attempt))
		})
		time.Sleep(interval)
	}
	group.Wait()
	b.End(h.lost(stopped) > 0)
}

func (h *history) send(n *bed.Node, target, attempt string) bed.Outcome {
	return bed.Request(n.Outbound(), bed.Head("GET", target, "hulo84.example", attempt, timeout, bed.KeyHeader), timeout)
}

// runParent serves a client's request, for which it makes two calls through the node of its own machine.
func (h *history) runParent(u *bed.Upstream, c *bed.Conn, r *http.Request) bool {
	attempt := r.Header.Get("X-Attempt-Id")
	if r.URL.Path == "/leny950/warm" {
		o := h.makeCall(u, attempt+"-0", 0, callLimit)
		if o.Status != http.StatusOK {
			return u.Answer(c, r, "500 Internal Server Error", "") == nil
		}
		return u.Answer(c, r, "200 OK", "warm") == nil
	}
	started := time.Now()
	remaining, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil {
		h.bed.Note("upstream %s: attempt %s has no deadline: %v", u.ID, attempt, err)
		return false
	}
	deadline := started.Add(time.Duration(remaining) * time.Millisecond)
	h.bed.Note("upstream %s: runs attempt %s with X-Deadline-Ms %d", u.ID, attempt, remaining)
	time.Sleep(ownWork)
	for i, work := range []time.Duration{firstCall, secondCall} {
		// A call expires at the deadline of the request that it is made for.
		limit := min(callLimit, time.Until(deadline))
		if o := h.makeCall(u, fmt.Sprintf("%s-%d", attempt, i+1), work, limit); o.Status != http.StatusOK || !o.Whole {
			h.bed.Note("upstream %s: attempt %s ends with 500 after %.3f s, as a call failed", u.ID, attempt, time.Since(started).Seconds())
			return u.Answer(c, r, "500 Internal Server Error", "") == nil
		}
	}
	return u.Answer(c, r, "200 OK", "viewed") == nil
}

// makeCall makes a call of a duration through the node of the upstream's machine.
func (h *history) makeCall(u *bed.Upstream, attempt string, work, limit time.Duration) bed.Outcome {
	h.bed.Note("upstream %s: calls, attempt %s, with %.3f s left", u.ID, attempt, limit.Seconds())
	head := bed.Head("GET", fmt.Sprintf("/moba3/%d", work.Milliseconds()), "tiru20.example", attempt, limit)
	o := bed.Request(u.Node.Outbound(), head, limit)
	h.bed.Note("upstream %s: attempt %s: %v", u.ID, attempt, o)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, call{attempt: attempt, outcome: o, limit: limit})
	return o
}

// runCall works on a call for the milliseconds that its path names. It drops the call when its connection closes.
func (h *history) runCall(u *bed.Upstream, c *bed.Conn, r *http.Request) bool {
	attempt := r.Header.Get("X-Attempt-Id")
	var milliseconds int
	_, _ = fmt.Sscanf(r.URL.Path, "/moba3/%d", &milliseconds)
	h.mu.Lock()
	h.running[attempt] = time.Now()
	h.mu.Unlock()
	h.bed.Note("upstream %s: runs attempt %s with X-Deadline-Ms %s", u.ID, attempt, r.Header.Get("X-Deadline-Ms"))
	if !c.Idle(time.Duration(milliseconds) * time.Millisecond) {
		h.bed.Note("upstream %s: the connection of attempt %s was closed while it worked", u.ID, attempt)
		h.mu.Lock()
		h.broken[attempt] = time.Now()
		h.mu.Unlock()
		return false
	}
	return u.Answer(c, r, "200 OK", "found") == nil
}

// lost returns the number of calls that were sent later than exemptUntil after the SIGTERM, were passed on, and ended without a whole
// answer before their deadline while their upstream worked on them.
func (h *history) lost(stopped time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	lost, late, cut := 0, 0, 0
	for _, c := range h.calls {
		after := c.outcome.Sent.Sub(stopped)
		_, run := h.running[c.attempt]
		whole := c.outcome.Status == http.StatusOK && c.outcome.Whole
		if after <= 0 || !run {
			continue
		}
		if after > exemptUntil+clockMargin {
			late++
		}
		lasted := c.outcome.Ended.Sub(c.outcome.Sent)
		if whole || lasted >= min(c.limit, callLimit) {
			continue
		}
		if after <= exemptUntil+clockMargin {
			cut++
			continue
		}
		lost++
		h.bed.Note("LOST: attempt %s was sent %.3f s after the SIGTERM, passed on, and ended after %.3f s while its upstream worked: %v",
			c.attempt, after.Seconds(), lasted.Seconds(), c.outcome)
	}
	h.bed.Note("%d calls sent later than %v after the stop were run; %d of them lost; %d earlier ones were cut, which is not counted", late, exemptUntil, lost, cut)
	return lost
}
