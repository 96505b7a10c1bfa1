package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figpier/figpier"
)

// Behaviour of the callers and limits of the generator.
const (
	// highPriorityShare is the share of the requests that go to highPriorityPath.
	highPriorityShare     = 0.04
	maxAttemptsPerRequest = 4
	retryPause            = 40 * time.Millisecond
	maxRecordedAttempts   = 1 << 18
	// maxInFlight is the number of requests in flight beyond which new ones are skipped and count as lost.
	maxInFlight = 6000
)

// customers are the names of the customers, which are also their keys.
var customers = []string{"c0", "c1", "c2", "c3", "c4", "c5", "c6", "c7"}

// customerShares are the shares of the load by customer; two of them are large.
var customerShares = []float64{0.25, 0.25, 0.1, 0.1, 0.1, 0.1, 0.05, 0.05}

// request is one request of a caller, with all of its attempts.
type request struct {
	// customer is an index into customers.
	customer     int
	highPriority bool
	// sentAfter is the time from the start of the case to the first attempt.
	sentAfter time.Duration
	attempts  int
	served    bool
	// skipped means that it was not sent because of maxInFlight.
	skipped bool
}

// attempt is one call to an entry node, which starts a tree of calls along the chain.
type attempt struct {
	// runs counts the executions at the backend servers of all services.
	runs   atomic.Int32
	served atomic.Bool
}

// record holds what happened in one case.
type record struct {
	started time.Time
	// mu guards requests while the load runs.
	mu       sync.Mutex
	requests []*request
	// lastAttempt is the id of the last attempt. The id is the index into attempts; attempts past its end are not recorded.
	lastAttempt atomic.Int64
	attempts    []attempt
	inFlight    atomic.Int64
}

func newRecord() *record {
	return &record{started: time.Now(), attempts: make([]attempt, maxRecordedAttempts)}
}

// countRun counts an execution that belongs to an attempt. Backend servers call it from any goroutine.
func (r *record) countRun(id int) {
	if id >= 0 && id < maxRecordedAttempts {
		r.attempts[id].runs.Add(1)
	}
}

// phase is a period of constant open-loop load; its fields mean the same as those of surgeCase.
type phase struct {
	duration      time.Duration
	load          float64
	customerScale map[int]float64
}

// generator sends requests to the entry nodes as a Poisson process, so that slow answers don't slow the load down.
type generator struct {
	record         *record
	entryAddresses []string
	client         *http.Client
	random         *rand.Rand
	pending        sync.WaitGroup
}

func newGenerator(r *record, entries []string) *generator {
	return &generator{
		record:         r,
		entryAddresses: entries,
		client:         &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}},
		random:         rand.New(rand.NewPCG(1, 1)),
	}
}

// run generates the load of all phases and waits for the last request to end.
func (g *generator) run(ctx context.Context, phases []phase) {
	at := time.Duration(0)
	end := time.Duration(0)
	for _, p := range phases {
		end += p.duration
		for at < end {
			pause(ctx, time.Until(g.record.started.Add(at)))
			customer, rate := g.nextArrival(p)
			g.startRequest(ctx, customer, at)
			at += time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
		}
	}
	g.pending.Wait()
}

// nextArrival draws the customer of the next request and returns it with the phase's rate in requests per second.
func (g *generator) nextArrival(p phase) (customer int, rate float64) {
	total := 0.0
	weights := make([]float64, len(customerShares))
	for i, s := range customerShares {
		weights[i] = s
		if x, ok := p.customerScale[i]; ok {
			weights[i] *= x
		}
		total += weights[i]
	}
	u := g.random.Float64() * total
	for i, weight := range weights {
		if u < weight {
			customer = i
			break
		}
		u -= weight
	}
	return customer, p.load * total * capacity
}

// startRequest records a request and sends it in a goroutine of its own.
func (g *generator) startRequest(ctx context.Context, customer int, at time.Duration) {
	q := &request{customer: customer, highPriority: g.random.Float64() < highPriorityShare, sentAfter: at}
	g.record.mu.Lock()
	g.record.requests = append(g.record.requests, q)
	g.record.mu.Unlock()
	entry := g.random.IntN(len(g.entryAddresses))
	if g.record.inFlight.Load() >= maxInFlight {
		q.skipped = true
		return
	}
	g.record.inFlight.Add(1)
	g.pending.Go(func() {
		defer g.record.inFlight.Add(-1)
		g.sendWithRetries(ctx, q, entry)
	})
}

// sendWithRetries sends a request up to maxAttemptsPerRequest times, to the entry nodes in turn, until it is served. It
// retries every failure without backoff, as impatient callers do.
func (g *generator) sendWithRetries(ctx context.Context, q *request, entry int) {
	for q.attempts < maxAttemptsPerRequest {
		q.attempts++
		if g.sendAttempt(ctx, q, g.entryAddresses[(entry+q.attempts)%len(g.entryAddresses)]) {
			q.served = true
			return
		}
		pause(ctx, retryPause)
	}
}

// sendAttempt sends one attempt and reports whether it was served with status 200.
func (g *generator) sendAttempt(ctx context.Context, q *request, entry string) bool {
	id := int(g.record.lastAttempt.Add(1))
	path := ordinaryPath
	if q.highPriority {
		path = highPriorityPath
	}
	ctx, cancel := context.WithTimeout(ctx, routeDeadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s?attempt=%d", entry, path, id), nil)
	if err != nil {
		return false
	}
	r.Header.Set(figpier.HeaderKey, customers[q.customer])
	response, err := g.client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	served := err == nil && response.StatusCode == http.StatusOK
	if served && id < maxRecordedAttempts {
		g.record.attempts[id].served.Store(true)
	}
	return served
}
