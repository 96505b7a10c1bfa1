// Command slashes sends requests whose paths begin with two slashes, and checks what the upstream is asked for.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/figpier/figpier/review/testdata/bed"
)

const (
	host     = "hulo84.example"
	requests = 20
	timeout  = 3 * time.Second
)

// asked is what the upstream was asked for, by attempt.
type asked struct {
	bed *bed.Bed

	mu      sync.Mutex
	targets map[string]string
}

func main() {
	b := bed.New()
	b.StartControls(3)
	entry := b.StartNode("sidecar-1", "huvo11a", "zone-1")
	target := b.StartNode("sidecar-2", "wuno96b", "zone-2")
	b.Configure(
		[]string{bed.Route("r-all", host, "/", "idempotent", timeout, "wuno96b", false)},
		[]string{bed.Service("huvo11a"), bed.Service("wuno96b")},
	)
	a := &asked{bed: b, targets: map[string]string{}}
	go b.StartUpstream(target, "i-7f3a91c2", a.run).Beat()
	entry.AwaitReady()
	target.AwaitReady()
	warmUps := 0
	if !bed.Await(20*time.Second, func() bool {
		warmUps++
		return send(b, entry, fmt.Sprintf("%08x%08x", 0, warmUps), "/leny950/warm").Status == http.StatusOK
	}) {
		b.Fail("the route is not served")
	}
	slashes := "/"
	if b.Trouble {
		slashes = "//"
	}
	changed := 0
	for i := range requests {
		attempt, sent := fmt.Sprintf("%08x%08x", 1, i+1), fmt.Sprintf("%sleny950/litters/%d?page=2", slashes, i+1)
		b.Note("client: attempt %s: sends GET %s for host %s", attempt, sent, host)
		b.Note("client: attempt %s: %v", attempt, send(b, entry, attempt, sent))
		if got, run := a.target(attempt); run && got != sent {
			changed++
			b.Note("UNASKED: attempt %s was sent for %s, and ran as %s", attempt, sent, got)
		}
	}
	b.Note("%d of %d requests ran with another path", changed, requests)
	b.End(changed > 0)
}

func send(b *bed.Bed, n *bed.Node, attempt, target string) bed.Outcome {
	return bed.Request(n.Outbound(), bed.Head("GET", target, host, attempt, timeout, bed.KeyHeader), timeout)
}

func (a *asked) run(u *bed.Upstream, c *bed.Conn, r *http.Request) bool {
	attempt := r.Header.Get("X-Attempt-Id")
	a.mu.Lock()
	a.targets[attempt] = r.RequestURI
	a.mu.Unlock()
	a.bed.Note("upstream %s: runs attempt %s: %s %s, read as path %q of host %q", u.ID, attempt, r.Method, r.RequestURI, r.URL.Path, r.Host)
	return u.Answer(c, r, "200 OK", "found") == nil
}

func (a *asked) target(attempt string) (target string, run bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	target, run = a.targets[attempt]
	return target, run
}
