// Command drain shows what happens to an upstream that drains when a heartbeat of another writer, which lacks fields, comes in.
package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/figpier/figpier/review/testdata/bed"
)

// Names of the day.
const (
	host    = "jepu9.example"
	prefix  = "/puka111/"
	service = "wuno96b"
)

const (
	deadline = 3 * time.Second
	// workTime is how long the upstream works on a request.
	workTime = 300 * time.Millisecond
	// foreignAfter is when the heartbeat of the other writer comes, from the acknowledgement of the drain on.
	foreignAfter = 6200 * time.Millisecond
	// servesFor is how long the upstream serves after that acknowledgement before it deregisters and exits.
	servesFor = 7 * time.Second
)

// arrivals are the requests that reached the upstream, by their id.
type arrivals struct {
	mu  sync.Mutex
	all map[string]time.Time
}

func (a *arrivals) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all[id] = time.Now()
}

// after returns the ids and times of the arrivals after a time.
func (a *arrivals) after(t time.Time) map[string]time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	late := map[string]time.Time{}
	for id, at := range a.all {
		if at.After(t) {
			late[id] = at
		}
	}
	return late
}

func main() {
	b := bed.New()
	b.StartControls(3)
	front := b.StartNode("sidecar-1", "huvo11a", "zone-1")
	stock := b.StartNode("sidecar-2", service, "zone-2")
	seen := &arrivals{all: map[string]time.Time{}}
	u := b.StartUpstream(stock, "i-7f3a91c2", func(u *bed.Upstream, c *bed.Conn, r *http.Request) bool {
		id := r.Header.Get("X-Attempt-Id")
		seen.add(id)
		b.Note("upstream: %s arrives and runs", id)
		time.Sleep(workTime)
		return u.Answer(c, r, "200 OK", "stock") == nil
	})
	go u.Beat()
	b.Configure(
		[]string{bed.Route("r-4xbxhc7", host, prefix, "non_idempotent", deadline, service, false)},
		[]string{bed.Service(service), bed.Service("huvo11a")},
	)
	front.AwaitReady()
	served := func() bool { return send(b, front, fmt.Sprint("warm", time.Now().UnixNano())).Status == http.StatusOK }
	if !bed.Await(20*time.Second, served) {
		b.Fail("no request was served")
	}
	time.Sleep(bed.Contact + time.Second)

	u.StopBeating()
	time.Sleep(bed.Heartbeat)
	if status := u.Send(u.HeartbeatBody("draining")); status != http.StatusOK {
		b.Fail("the drain was not acknowledged: %d", status)
	}
	acknowledged := time.Now()
	b.Note("upstream: the drain is acknowledged")
	if b.Trouble {
		time.AfterFunc(foreignAfter, func() { sendForeign(b, u) })
	}
	go drainingBeats(b, u, acknowledged)
	unserved := &arrivals{all: map[string]time.Time{}}
	for i := 0; time.Since(acknowledged) < servesFor; i++ {
		go func() {
			id := fmt.Sprintf("book%03d", i)
			if o := send(b, front, id); o.Status != http.StatusOK || !o.Whole {
				unserved.add(id)
			}
		}()
		time.Sleep(100 * time.Millisecond)
	}
	b.Note("upstream: deregisters (status %d) and exits", u.Delete())
	u.Exit()
	time.Sleep(time.Second)

	late := seen.after(acknowledged.Add(bed.Drain))
	lost := unserved.after(acknowledged)
	for id, at := range late {
		_, cut := lost[id]
		b.Note("DRAIN: %s reached the upstream %.3f s after the drain was acknowledged; its client got no success: %t", id, at.Sub(acknowledged).Seconds(), cut)
	}
	b.End(len(late) > 0)
}

// drainingBeats sends the heartbeats of an upstream that drains, until it exits.
func drainingBeats(b *bed.Bed, u *bed.Upstream, acknowledged time.Time) {
	for time.Since(acknowledged) < servesFor-bed.Heartbeat {
		time.Sleep(bed.Heartbeat)
		b.Note("upstream: a draining heartbeat is answered with %d", u.Send(u.HeartbeatBody("draining")))
	}
}

// sendForeign sends a heartbeat of another writer, which lacks the fields zone, version, warmup_remaining and born.
func sendForeign(b *bed.Bed, u *bed.Upstream) {
	body := fmt.Sprintf(`{"service":%q,"address":%q,"slots":72,"state":"ready","sequence":4}`,
		service, net.JoinHostPort(u.Node.IP, bed.PortUpstream))
	b.Note("another writer: %s is answered with %d", body, u.Send(body))
}

// send sends a request and records its outcome.
func send(b *bed.Bed, n *bed.Node, id string) bed.Outcome {
	head := bed.Head(http.MethodPost, prefix+"2f", host, id, deadline, bed.KeyHeader, "Content-Length: 0")
	o := bed.Request(n.Outbound(), head, deadline)
	b.Note("client: %s: %v", id, o)
	return o
}
