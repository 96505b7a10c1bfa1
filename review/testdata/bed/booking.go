package bed

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Names of a booking deployment.
const (
	bookingHost    = "jepu9.example"
	bookingPrefix  = "/puka111/"
	bookingService = "wuno96b"
)

// bookingDeadline is the deadline of each request and the timeout of the route.
const bookingDeadline = 3 * time.Second

// workTime is how long the upstream works on a request.
const workTime = 300 * time.Millisecond

// Booking is a deployment of three control instances and two nodes. Clients beside the first node send requests that are not
// idempotent to the only upstream, which runs beside the second one.
type Booking struct {
	bed      *Bed
	Upstream *Upstream
	front    *Node

	mu sync.Mutex
	// arrived and unserved hold the times of arrival at the upstream, and of answers other than a whole success, by the request's id.
	arrived  map[string]time.Time
	unserved map[string]time.Time
}

// StartBooking starts a booking deployment and returns once requests are served and all machines have been in touch for Contact.
func (b *Bed) StartBooking() *Booking {
	k := &Booking{bed: b, arrived: map[string]time.Time{}, unserved: map[string]time.Time{}}
	b.StartControls(3)
	k.front = b.StartNode("sidecar-1", "huvo11a", "zone-1")
	k.Upstream = b.StartUpstream(b.StartNode("sidecar-2", bookingService, "zone-2"), "i-7f3a91c2", k.run)
	go k.Upstream.Beat()
	b.Configure(
		[]string{Route("r-4xbxhc7", bookingHost, bookingPrefix, "non_idempotent", bookingDeadline, bookingService, false)},
		[]string{Service(bookingService), Service("huvo11a")},
	)
	k.front.AwaitReady()
	served := func() bool { return k.send(fmt.Sprint("warm", time.Now().UnixNano())).Status == http.StatusOK }
	if !Await(20*time.Second, served) {
		b.Fail("no request was served")
	}
	time.Sleep(Contact + time.Second)
	return k
}

// run works on a request at the upstream.
func (k *Booking) run(u *Upstream, c *Conn, r *http.Request) (open bool) {
	id := r.Header.Get("X-Attempt-Id")
	k.bed.Note("upstream: %s arrives and runs", id)
	k.mu.Lock()
	k.arrived[id] = time.Now()
	k.mu.Unlock()
	time.Sleep(workTime)
	return u.Answer(c, r, "200 OK", "booked") == nil
}

// send sends a request and records its outcome.
func (k *Booking) send(id string) Outcome {
	head := Head(http.MethodPost, bookingPrefix+"2f", bookingHost, id, bookingDeadline, KeyHeader, "Content-Length: 0")
	o := Request(k.front.Outbound(), head, bookingDeadline)
	k.bed.Note("client: %s: %v", id, o)
	if o.Status != http.StatusOK || !o.Whole {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.unserved[id] = time.Now()
	}
	return o
}

// DrainAndExit lets the upstream report that it drains, serve for a time after the acknowledgement, deregister and exit, while clients
// go on sending. It returns whether requests arrived later than Drain after the acknowledgement. disturb is called at the
// acknowledgement, before the later heartbeats.
func (k *Booking) DrainAndExit(servesFor time.Duration, disturb func()) (late bool) {
	u := k.Upstream
	u.StopBeating()
	time.Sleep(Heartbeat)
	if status := u.Send(u.HeartbeatBody("draining")); status != http.StatusOK {
		k.bed.Fail("the drain was not acknowledged: %d", status)
	}
	acknowledged := time.Now()
	k.bed.Note("upstream: the drain is acknowledged")
	disturb()
	go k.beatDraining(acknowledged.Add(servesFor))
	for i := 0; time.Since(acknowledged) < servesFor; i++ {
		go k.send(fmt.Sprintf("book%03d", i))
		time.Sleep(100 * time.Millisecond)
	}
	k.bed.Note("upstream: deregisters (status %d) and exits", u.Delete())
	u.Exit()
	time.Sleep(time.Second)
	return k.noteLate(acknowledged)
}

// beatDraining sends the heartbeats of an upstream that drains, until it exits.
func (k *Booking) beatDraining(exit time.Time) {
	for {
		time.Sleep(Heartbeat)
		if !time.Now().Before(exit) {
			return
		}
		k.bed.Note("upstream: a draining heartbeat is answered with %d", k.Upstream.Send(k.Upstream.HeartbeatBody("draining")))
	}
}

// noteLate records the requests that arrived later than Drain after the acknowledgement, and returns whether there are any.
func (k *Booking) noteLate(acknowledged time.Time) (late bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, at := range k.arrived {
		if at.Sub(acknowledged) <= Drain {
			continue
		}
		late = true
		_, cut := k.unserved[id]
		k.bed.Note("DRAIN: %s reached the upstream %.3f s after the drain was acknowledged; its client got no success: %t",
			id, at.Sub(acknowledged).Seconds(), cut)
	}
	return late
}
