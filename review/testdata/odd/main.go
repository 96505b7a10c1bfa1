// Command odd has another writer send a heartbeat with a missing field under the ID of an upstream that has deregistered.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/figpier/figpier/review/testdata/bed"
)

// Times from the acknowledgement of the deregistration.
const (
	oddAt  = 4 * time.Second
	exitAt = 9 * time.Second
	endAt  = 11 * time.Second
)

const (
	work     = 300 * time.Millisecond
	interval = 25 * time.Millisecond
	timeout  = 3 * time.Second
)

// run is a request that the leaving upstream began to work on.
type run struct {
	attempt string
	at      time.Time
}

type history struct {
	bed *bed.Bed

	mu   sync.Mutex
	runs map[string][]run
	cut  map[string]bool
}

func main() {
	b := bed.New()
	b.StartControls(3)
	entry := b.StartNode("sidecar-1", "huvo11a", "zone-1")
	leaving := b.StartNode("sidecar-2", "wuno96b", "zone-2")
	staying := b.StartNode("sidecar-3", "wuno96b", "zone-2")
	b.Configure(
		[]string{bed.Route("r-confirm", "jepu9.example", "/puka111/", "non_idempotent", timeout, "wuno96b", false)},
		[]string{bed.Service("huvo11a"), bed.Service("wuno96b")},
	)
	h := &history{bed: b, runs: map[string][]run{}, cut: map[string]bool{}}
	gone := b.StartUpstream(leaving, "i-7f3a91c1", h.run)
	go gone.Beat()
	go b.StartUpstream(staying, "i-7f3a91c2", h.run).Beat()
	for _, n := range []*bed.Node{entry, leaving, staying} {
		n.AwaitReady()
	}
	warmUps := 0
	if !bed.Await(20*time.Second, func() bool {
		warmUps++
		h.send(entry, fmt.Sprintf("%08x%08x", 0, warmUps))
		return h.count(gone.ID) > 0
	}) {
		b.Fail("the route is not served by the upstream that is to leave")
	}
	time.Sleep(bed.Contact + time.Second)

	stop, clients := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(clients)
		h.sendUntil(entry, stop)
	}()
	time.Sleep(time.Second)

	gone.StopBeating()
	if status := gone.Delete(); status != http.StatusOK {
		b.Fail("the deregistration was answered with %d", status)
	}
	acknowledged := time.Now()
	b.Note("upstream %s: deregistered, acknowledged with 200", gone.ID)
	if b.Trouble {
		sleepUntil(acknowledged.Add(oddAt))
		body := fmt.Sprintf(`{"service":"wuno96b","address":"%s:8547","zone":"zone-2","version":"v1","slots":72,"state":"ready",`+
			`"warmup_remaining":"0ms","sequence":1}`, leaving.IP)
		b.Note("another writer: its heartbeat %s for %s is answered with %d", body, gone.ID, gone.Send(body))
	}
	sleepUntil(acknowledged.Add(exitAt))
	gone.Exit()
	b.Note("upstream %s: has exited", gone.ID)
	sleepUntil(acknowledged.Add(endAt))
	close(stop)
	<-clients
	b.End(h.late(gone.ID, acknowledged) > 0)
}

func sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }

// run works on a request, and notes if its connection is closed meanwhile.
func (h *history) run(u *bed.Upstream, c *bed.Conn, r *http.Request) bool {
	attempt := r.Header.Get("X-Attempt-Id")
	h.mu.Lock()
	h.runs[u.ID] = append(h.runs[u.ID], run{attempt: attempt, at: time.Now()})
	h.mu.Unlock()
	h.bed.Note("upstream %s: runs attempt %s", u.ID, attempt)
	if !c.Idle(work) || u.Answer(c, r, "200 OK", "confirmed") != nil {
		h.mu.Lock()
		h.cut[attempt] = true
		h.mu.Unlock()
		h.bed.Note("upstream %s: attempt %s ended with its connection", u.ID, attempt)
		return false
	}
	return true
}

func (h *history) count(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.runs[id])
}

func (h *history) send(n *bed.Node, attempt string) {
	head := bed.Head("POST", "/puka111/2f", "jepu9.example", attempt, timeout, bed.KeyHeader, "Content-Length: 0")
	o := bed.Request(n.Outbound(), head, timeout)
	h.bed.Note("client at %s: attempt %s: %v", n.Name, attempt, o)
}

// sendUntil sends a request each interval, and returns once all have ended.
func (h *history) sendUntil(n *bed.Node, stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for i := 1; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		group.Go(func() { h.send(n, fmt.Sprintf("%08x%08x", 1, i)) })
	}
}

// late returns the number of requests that reached the upstream later than the drain period after the acknowledgement.
func (h *history) late(id string, acknowledged time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	late, cut := 0, 0
	for _, r := range h.runs[id] {
		if r.at.Sub(acknowledged) <= bed.Drain {
			continue
		}
		late++
		h.bed.Note("DRAIN: attempt %s reached upstream %s %.3f s after it had been acknowledged as gone", r.attempt, id, r.at.Sub(acknowledged).Seconds())
		if h.cut[r.attempt] {
			cut++
		}
	}
	h.bed.Note("%d requests reached the upstream too late; %d of them were lost when it exited", late, cut)
	return late
}
