package tablegate

import (
	"context"
	"crypto/sha256"
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
	t, route, err := g.awaitRoute(ctx, a)
	if err != nil {
		return figpier.NewCall(figpier.CallConfig{RequestID: a.ID()}), err
	}
	c := figpier.CallConfig{
		RequestID:     a.ID(),
		Route:         route.Name(),
		Priority:      route.Priority(),
		Deadline:      a.Received().Add(requestTimeout(route, a)),
		Budget:        max(0, route.Attempts()-1),
		Idempotent:    route.Idempotent(),
		CallerService: g.config.Service,
	}
	if err := g.ready.Take(a.Received(), c.Deadline, c.Priority); err != nil {
		return figpier.NewCall(c), err
	}
	patience := c.Deadline.Sub(a.Received())
	if route.Target() > 0 {
		patience = min(patience, route.Target())
	}
	patience = time.Duration(patienceFraction * float64(patience))
	account, digest, err := g.identify(ctx, t, route, a, patience)
	if err != nil {
		return figpier.NewCall(c), err
	}
	if account != nil {
		c.Customer, c.KeyDigest = account.Customer(), digest
	}
	c.Priority = priorityClass(t, route, account)
	if c.Service, err = g.pickService(route); err != nil {
		return figpier.NewCall(c), err
	}
	if account != nil {
		token := figpier.NewTokenRequest(figpier.TokenRequestConfig{
			Customer: c.Customer,
			Service:  c.Service,
			Priority: route.Priority(),
			Patience: a.Received().Add(patience).Sub(g.clock.Now()),
		})
		if err := g.limiter.Take(ctx, token); err != nil {
			return figpier.NewCall(c), err
		}
	}
	c.Rank = g.ranker.Rank(c.RequestID, c.Customer, 1, c.Priority)
	return figpier.NewCall(c), nil
}

// awaitRoute returns the route of a request and its table, both of which the node may get while the request waits. Only a view that may
// deny says that there is no route.
func (g *Gate) awaitRoute(ctx context.Context, a *figpier.Arrival) (t *figpier.Table, route *figpier.HostRoute, err error) {
	patience := maxTableWait
	if a.Remaining() > 0 {
		patience = min(patience, a.Remaining()/tableWaitDivisor)
	}
	found := false
	decided := func() bool {
		mayDeny := g.mayDeny(a)
		if t = g.view.Configuration().Table(); t == nil {
			return false
		}
		route, found = t.Route(a.Host(), a.Path())
		return found || mayDeny
	}
	if !g.await(ctx, a.Received().Add(patience), decided) {
		reason := figpier.RefusalStaleView
		if t == nil {
			reason = figpier.RefusalNotReady
		}
		return nil, nil, g.refuseNotReady(reason, figpier.HighestPriority)
	}
	if !found {
		return nil, nil, figpier.Refuse(figpier.RefusalNoRoute)
	}
	return t, route, nil
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

// identify returns the account whose key came with the request, and the key's digest. The account is nil on an open route and
// in a table without keys. It waits for a view that can decide until patience is over.
func (g *Gate) identify(ctx context.Context, t *figpier.Table, r *figpier.HostRoute, a *figpier.Arrival, patience time.Duration) (*figpier.Account, figpier.KeyDigest, error) {
	var none figpier.KeyDigest
	if r.Open() || !t.Keyed() {
		return nil, none, nil
	}
	if len(a.Keys()) == 0 {
		return nil, none, g.denyWithoutKey(ctx, r, a, patience)
	}
	// Keys are looked up by digest, so that the duration of a lookup reveals nothing about the secret.
	digest := figpier.KeyDigest(sha256.Sum256([]byte(a.Keys()[0])))
	var account *figpier.Account
	found := false
	decided := func() bool {
		mayDeny := g.mayDeny(a)
		if !g.view.Fresh(g.clock.Now()) {
			return false
		}
		// The key may have been withdrawn, or given, while the request waited.
		if newer := g.view.Configuration().Table(); newer != nil {
			t = newer
		}
		account, found = t.AccountOf(digest)
		return found || mayDeny
	}
	if !g.await(ctx, a.Received().Add(patience), decided) {
		return nil, none, g.refuseNotReady(figpier.RefusalStaleView, r.Priority())
	}
	if !found {
		return nil, none, figpier.Refuse(figpier.RefusalKeyUnknown)
	}
	return account, digest, nil
}

// denyWithoutKey returns the refusal of a request that came without the key that its route requires.
func (g *Gate) denyWithoutKey(ctx context.Context, r *figpier.HostRoute, a *figpier.Arrival, patience time.Duration) *figpier.Refusal {
	if !g.await(ctx, a.Received().Add(patience), func() bool { return g.mayDeny(a) }) {
		return g.refuseNotReady(figpier.RefusalStaleView, r.Priority())
	}
	return figpier.Refuse(figpier.RefusalKeyMissing)
}
