package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// slots is the number of requests that an upstream runs at the same time.
const slots = 16

// Upstream is a sound server of an application. It runs requests that name it, answers 421 to others, and tells its node how it is.
type Upstream struct {
	ID      string
	Service string
	Work    time.Duration

	fleet  *Fleet
	node   *Node
	server *http.Server
	born   time.Time
	slot   chan struct{}

	mu       sync.Mutex
	sequence int
	draining bool
	arrivals []Arrival
}

// Arrival is a request that reached an upstream.
type Arrival struct {
	ID  string
	At  time.Time
	Ran bool
}

// StartUpstream starts the upstream of a node.
func (f *Fleet) StartUpstream(n *Node, id string, work time.Duration) (*Upstream, error) {
	u := &Upstream{ID: id, Service: n.Service, Work: work, fleet: f, node: n, born: time.Now(), slot: make(chan struct{}, slots)}
	l, err := net.Listen("tcp", n.Application())
	if err != nil {
		return nil, err
	}
	u.server = &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(l) }()
	f.Record.Printf("upstream %s of %s started at %s", id, n.Service, n.Application())
	return u, nil
}

// Exit ends the upstream at once.
func (u *Upstream) Exit() {
	u.fleet.Record.Printf("upstream %s exits", u.ID)
	_ = u.server.Close()
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", u.ID)
		if u.isDraining() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != u.ID {
		u.arrived(id, false)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case u.slot <- struct{}{}:
	default:
		u.arrived(id, false)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-u.slot }()
	u.arrived(id, true)
	select {
	case <-time.After(u.Work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Server-Signature", u.ID+"."+id)
	_, _ = fmt.Fprintf(w, "done %s\n", id)
}

func (u *Upstream) arrived(id string, ran bool) {
	u.mu.Lock()
	u.arrivals = append(u.arrivals, Arrival{ID: id, At: time.Now(), Ran: ran})
	u.mu.Unlock()
	u.fleet.Record.Printf("upstream %s: %s reaches it, ran %t", u.ID, id, ran)
}

func (u *Upstream) isDraining() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.draining
}

// RanAfter returns the requests that began to run later than a time.
func (u *Upstream) RanAfter(t time.Time) []Arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	var all []Arrival
	for _, a := range u.arrivals {
		if a.Ran && a.At.After(t) {
			all = append(all, a)
		}
	}
	return all
}

// SetDraining makes the upstream say in its health answers and heartbeats that it leaves.
func (u *Upstream) SetDraining() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = true
}

// NextHeartbeat returns the body of the upstream's next heartbeat.
func (u *Upstream) NextHeartbeat() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	state := "ready"
	if u.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": u.Service, "address": u.node.Application(), "zone": "dakar-a", "version": "v1", "slots": slots, "state": state,
		"warmup_remaining": "0ms", "sequence": u.sequence, "born": u.born.UnixMilli(),
	})
	return body
}

// URL returns the URL of the upstream's calls to its node at an address.
func (u *Upstream) URL(address string) string {
	return "http://" + address + "/figpier/instances/" + u.ID
}

// heartbeatPatience is how long the upstream waits for the answer to a heartbeat.
const heartbeatPatience = time.Second

// Beat sends one heartbeat and reports whether it was acknowledged.
func (u *Upstream) Beat() bool {
	body := u.NextHeartbeat()
	status := Call(http.MethodPut, u.URL(u.node.HeartbeatAddress()), body, heartbeatPatience)
	u.fleet.Record.Printf("upstream %s: heartbeat %s: %d", u.ID, body, status)
	return status == http.StatusOK
}

// Leave sends the deregistration and reports whether it was acknowledged.
func (u *Upstream) Leave() bool {
	body := fmt.Appendf(nil, `{"born":%d}`, u.born.UnixMilli())
	status := Call(http.MethodDelete, u.URL(u.node.HeartbeatAddress()), body, heartbeatPatience)
	u.fleet.Record.Printf("upstream %s: DELETE: %d", u.ID, status)
	return status == http.StatusOK
}

// KeepBeating sends heartbeats at the platform's interval until the context ends.
func (u *Upstream) KeepBeating(ctx context.Context) {
	for ctx.Err() == nil {
		u.Beat()
		select {
		case <-ctx.Done():
		case <-time.After(HeartbeatInterval):
		}
	}
}
