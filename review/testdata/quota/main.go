// Command quota counts the requests of a tenant that run in any window while the control instance in the zone of its node is killed.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/figpier/figpier/review/testdata/bed"
)

// Names of the day.
const (
	host    = "hulo84.example"
	prefix  = "/leny950/"
	service = "wuno96b"
)

// Limit of the tenant, and the bounds of the rule.
const (
	rate    = 40
	burst   = 600
	window  = 5 * time.Second
	overage = 0.1
	slack   = 20
)

const (
	deadline = 1200 * time.Millisecond
	target   = 300 * time.Millisecond
	// usual is the tenant's usual rate in requests a second, and hot how many times as much it sends.
	usual = 40
	hot   = 7.5
	// settleTime is how long the tenant sends nothing after the start, so that its burst is there.
	settleTime = 20 * time.Second
	// killAfter is when the control instance is killed, from the start of the tenant's traffic on, which lasts for trafficTime.
	killAfter   = 2100 * time.Millisecond
	trafficTime = 6500 * time.Millisecond
)

// execution is a request that ran.
type execution struct{ sent, arrived time.Time }

// history holds the times at which requests were sent and ran, by their id.
type history struct {
	mu      sync.Mutex
	sent    map[string]time.Time
	arrived map[string]time.Time
}

func (h *history) record(of map[string]time.Time, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	of[id] = time.Now()
}

// executions returns the requests that ran.
func (h *history) executions() []execution {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []execution
	for id, at := range h.arrived {
		all = append(all, execution{sent: h.sent[id], arrived: at})
	}
	return all
}

func main() {
	b := bed.New()
	controls := b.StartControls(3)
	n := b.StartNode("sidecar-1", service, "zone-2")
	h := &history{sent: map[string]time.Time{}, arrived: map[string]time.Time{}}
	run := func(u *bed.Upstream, c *bed.Conn, r *http.Request) bool {
		h.record(h.arrived, r.Header.Get("X-Attempt-Id"))
		return u.Answer(c, r, "200 OK", "stock") == nil
	}
	go b.StartUpstream(n, "i-7f3a91c2", run).Beat()
	first := bed.Configuration{
		Version:  1,
		Routes:   []string{bed.RouteWithTarget("r-frzm2d5", host, prefix, "idempotent", deadline, target, service, false)},
		Services: []string{bed.Service(service)},
		Tenants:  []string{fmt.Sprintf(`[%q,[%q],1,%d,%d]`, bed.Tenant, bed.Key, rate, burst)},
	}
	if !b.PutConfiguration(20*time.Second, first) {
		b.Fail("the configuration was not accepted")
	}
	n.AwaitReady()
	time.Sleep(settleTime)

	b.Note("clients: the tenant sends %.0f requests a second from now on", usual*hot)
	if b.Trouble {
		time.AfterFunc(killAfter, controls[1].Kill)
	}
	var group sync.WaitGroup
	began := time.Now()
	for i := 0; time.Since(began) < trafficTime; i++ {
		group.Go(func() { send(b, h, n, fmt.Sprintf("view%05d", i)) })
		time.Sleep(time.Until(began.Add(time.Duration(float64(i+1) / (usual * hot) * float64(time.Second)))))
	}
	group.Wait()
	b.End(exceeds(b, h.executions()))
}

// send sends a request of the tenant and records its outcome.
func send(b *bed.Bed, h *history, n *bed.Node, id string) {
	h.record(h.sent, id)
	o := bed.Request(n.Outbound(), bed.Head(http.MethodGet, prefix+"2f", host, id, deadline, bed.KeyHeader), deadline)
	b.Note("client: %s: %v", id, o)
}

// exceeds records the window with the most requests that were sent and ran in it, and returns whether they are too many.
func exceeds(b *bed.Bed, all []execution) bool {
	allowed := (rate*window.Seconds()+burst)*(1+overage) + slack
	most, from := 0, time.Time{}
	for _, first := range all {
		count := 0
		for _, e := range all {
			if !e.sent.Before(first.sent) && !e.arrived.After(first.sent.Add(window)) {
				count++
			}
		}
		if count > most {
			most, from = count, first.sent
		}
	}
	b.Note("QUOTA: at most %d requests were sent and ran in a window of %v, that from %.3f s on; allowed are %.0f", most, window, b.Since(from), allowed)
	return float64(most) > allowed
}
