package tablegate

import (
	"context"
	"sync"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/comeback"
	"github.com/figpier/figpier/internal/policy/roundrobin"
)

// Waits of a node that has just started or whose view is stale; a node gets the table with its first poll.
const (
	// maxTableWait bounds how long a request waits for the table.
	maxTableWait = time.Second
	// notReadyWait is the least Retry-After of a request that waited in vain.
	notReadyWait = 500 * time.Millisecond
)

// Parts of a request's time that it may wait before it is sent on; the rest is left to its run.
const (
	// patienceFraction is the part of the route's target latency, or of the time until the deadline if that is less.
	patienceFraction = 0.5
	// tableWaitDivisor divides the time until the deadline while the route is not known.
	tableWaitDivisor = 4
)

// Config holds the settings of a Gate.
type Config struct {
	// Service is the service on whose instance the callers run; calls carry it as their caller's service.
	Service figpier.UpstreamService
	// Propagation is how long after its acceptance a table has to be in force. A view that is older denies nothing.
	Propagation time.Duration
}

// Gate admits requests by the routing table. It implements figpier.Gate.
type Gate struct {
	config  Config
	clock   figpier.Clock
	view    figpier.ConfigurationView
	limiter figpier.Limiter
	ranker  figpier.Ranker
	ready   figpier.Readiness

	mu         sync.Mutex // guards the fields below
	roundRobin *roundrobin.Table
	// turns are those of the requests that came while the node was not ready.
	turns comeback.Queue
}

// New returns a gate, to be started by the kernel.
func New(c Config) *Gate { return &Gate{config: c, roundRobin: roundrobin.New()} }

// Name implements figpier.Service.
func (g *Gate) Name() figpier.ServiceName { return figpier.GateService }

// Start implements figpier.Service.
func (g *Gate) Start(_ context.Context, d figpier.Directory) (err error) {
	g.clock = d.Clock()
	if g.view, err = figpier.FindView(d); err != nil {
		return err
	}
	if g.limiter, err = figpier.FindLimiter(d); err != nil {
		return err
	}
	if g.ranker, err = figpier.FindRanker(d); err != nil {
		return err
	}
	g.ready, err = figpier.FindReadiness(d)
	return err
}

// Stop implements figpier.Service.
func (g *Gate) Stop(context.Context) error { return nil }

// Enter implements figpier.Gate. A request waits a part of its time for a view that can admit it, because a node that has just
// started, or has lost its control instance, mostly gets one within a second.
func (g *Gate) Enter(ctx context.Context, a *figpier.Arrival) (*figpier.Call, error) {
	route, err := g.awaitRoute(ctx, a)
	if err != nil {
		return figpier.NewCall(figpier.CallConfig{RequestID: a.ID()}), err
	}
	c := g.callConfig(a, route)
	if err := g.ready.Take(a.Received(), c.Deadline, c.Priority); err != nil {
		return figpier.NewCall(c), err
	}
	giveUp := a.Received().Add(patience(a, route))
	d, err := g.awaitDecision(ctx, a, route, giveUp)
	if err != nil {
		return figpier.NewCall(c), err
	}
	c = g.callConfig(a, d.route)
	c.Priority = priorityClass(d.table, d.route, d.account)
	if d.account != nil {
		c.Customer, c.KeyDigest = d.account.Customer(), d.digest
	}
	if c.Service, err = g.pickService(d.route); err != nil {
		return figpier.NewCall(c), err
	}
	if d.account != nil {
		token := figpier.NewTokenRequest(figpier.TokenRequestConfig{
			Customer: c.Customer,
			Service:  c.Service,
			Priority: d.route.Priority(),
			Patience: giveUp.Sub(g.clock.Now()),
		})
		if err := g.limiter.Take(ctx, token); err != nil {
			return figpier.NewCall(c), err
		}
	}
	c.Rank = g.ranker.Rank(c.RequestID, c.Customer, 1, c.Priority)
	return figpier.NewCall(c), nil
}

// callConfig returns what a route says of a request.
func (g *Gate) callConfig(a *figpier.Arrival, r *figpier.HostRoute) figpier.CallConfig {
	return figpier.CallConfig{
		RequestID:     a.ID(),
		Route:         r.Name(),
		Priority:      r.Priority(),
		Deadline:      a.Received().Add(requestTimeout(r, a)),
		Budget:        max(0, r.Attempts()-1),
		Idempotent:    r.Idempotent(),
		CallerService: g.config.Service,
	}
}

// patience returns how long a request may wait before it is sent on.
func patience(a *figpier.Arrival, r *figpier.HostRoute) time.Duration {
	whole := requestTimeout(r, a)
	if r.Target() > 0 {
		whole = min(whole, r.Target())
	}
	return time.Duration(patienceFraction * float64(whole))
}

// awaitRoute returns the route of a request, which the node may get while the request waits. Only a view that may deny says that there
// is none.
func (g *Gate) awaitRoute(ctx context.Context, a *figpier.Arrival) (*figpier.HostRoute, error) {
	wait := maxTableWait
	if a.Remaining() > 0 {
		wait = min(wait, a.Remaining()/tableWaitDivisor)
	}
	var d decision
	decided := func() bool {
		mayDeny := g.mayDeny(a)
		d = decide(g.view.Configuration().Table(), a)
		return d.route != nil || d.table != nil && mayDeny
	}
	switch ok := g.await(ctx, a.Received().Add(wait), decided); {
	case d.route != nil:
		return d.route, nil
	case ok:
		return nil, figpier.Refuse(d.denial)
	case d.table != nil:
		return nil, g.refuseNotReady(figpier.RefusalStaleView, figpier.HighestPriority)
	}
	return nil, g.refuseNotReady(figpier.RefusalNotReady, figpier.HighestPriority)
}

// awaitDecision returns the decision of a view that may make it: one that may deny, where the request is denied, and one that is fresh
// enough for keys, where it is admitted by its key. The request waits for that until giveUp.
func (g *Gate) awaitDecision(ctx context.Context, a *figpier.Arrival, r *figpier.HostRoute, giveUp time.Time) (decision, error) {
	var d decision
	decided := func() bool {
		mayDeny, fresh := g.mayDeny(a), g.view.Fresh(g.clock.Now())
		d = decide(g.view.Configuration().Table(), a)
		if d.denial != "" {
			return mayDeny
		}
		return d.account == nil || fresh
	}
	if !g.await(ctx, giveUp, decided) {
		return d, g.refuseNotReady(figpier.RefusalStaleView, r.Priority())
	}
	if d.denial != "" {
		return d, figpier.Refuse(d.denial)
	}
	return d, nil
}

// mayDeny reports whether the view is known to be no older, as of the arrival of a request, than a table may take to be in force. It is
// asked before the table is read, so that the table is at least as new.
func (g *Gate) mayDeny(a *figpier.Arrival) bool {
	return a.Received().Sub(g.view.Confirmed()) < g.config.Propagation
}

// refuseNotReady returns a refusal that gives the caller a turn of its own to come back.
func (g *Gate) refuseNotReady(reason figpier.RefusalReason, c figpier.PriorityClass) *figpier.Refusal {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return figpier.NewRefusal(figpier.RefusalConfig{Reason: reason, RetryAfter: g.turns.Turn(now, c, 0, notReadyWait)})
}

// await waits until a condition on the view is met, and reports whether it was before giveUp and the end of the context.
func (g *Gate) await(ctx context.Context, giveUp time.Time, met func() bool) bool {
	changed := g.view.Changed()
	if met() {
		return true
	}
	over := make(chan struct{})
	cancel := g.clock.AfterFunc(giveUp.Sub(g.clock.Now()), func() { close(over) })
	defer cancel()
	for !met() {
		select {
		case <-changed:
			changed = g.view.Changed()
		case <-over:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// In a table with customers, a request's priority class is made of its customer's class and its route's class, of which the
// customer's weighs more. Class 0, the highest, is for requests without a customer.
const (
	routeClasses    = 3
	customerClasses = 3
)

// priorityClass returns the priority class of a request. In a table with customers, a request without one is a call that a
// backend server makes for a request that was admitted before. It has the highest priority, as refusing it would waste all
// work done for that request.
func priorityClass(t *figpier.Table, r *figpier.HostRoute, a *figpier.Account) figpier.PriorityClass {
	if !t.Keyed() {
		return r.Priority()
	}
	if a == nil {
		return figpier.HighestPriority
	}
	routeClass := min(r.Priority(), routeClasses-1)
	customerClass, _ := a.Priority()
	return 1 + min(customerClass, customerClasses-1)*routeClasses + routeClass
}

// requestTimeout returns how long a request may take: the route's timeout, or the time that the caller still waits if that
// is less.
func requestTimeout(r *figpier.HostRoute, a *figpier.Arrival) time.Duration {
	if a.Remaining() > 0 && a.Remaining() < r.Timeout() {
		return a.Remaining()
	}
	return r.Timeout()
}

// pickService picks the service for the next request of a route that may be split by weight over several services.
func (g *Gate) pickService(r *figpier.HostRoute) (figpier.UpstreamService, error) {
	if len(r.Parts()) == 1 {
		return r.Parts()[0].Service(), nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.roundRobin.Next(r)
	if !ok {
		return "", figpier.Refuse(figpier.RefusalNoUpstream)
	}
	return s, nil
}
