package tablegate

import (
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/roundrobin"
)

// notReadyRetryAfter is the Retry-After of a node that has just started or whose view is stale; a node gets the table with
// its first poll.
const notReadyRetryAfter = time.Second

// Config holds the settings of a Gate.
type Config struct {
	// Service is the service on whose instance the callers run; calls carry it as their caller's service.
	Service figpier.UpstreamService
}

// Gate admits requests by the routing table. It implements figpier.Gate.
type Gate struct {
	config  Config
	clock   figpier.Clock
	view    figpier.ConfigurationView
	limiter figpier.Limiter
	ranker  figpier.Ranker

	mu         sync.Mutex // guards roundRobin
	roundRobin *roundrobin.Table
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
	g.ranker, err = figpier.FindRanker(d)
	return err
}

// Stop implements figpier.Service.
func (g *Gate) Stop(context.Context) error { return nil }

// Enter implements figpier.Gate.
func (g *Gate) Enter(ctx context.Context, a *figpier.Arrival) (*figpier.Call, error) {
	t := g.view.Configuration().Table()
	if t == nil {
		return nil, figpier.NewRefusal(figpier.RefusalConfig{Reason: figpier.RefusalNotReady, RetryAfter: notReadyRetryAfter})
	}
	route, ok := t.Route(a.Host(), a.Path())
	if !ok {
		return nil, figpier.Refuse(figpier.RefusalNoRoute)
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
	account, digest, err := g.identify(t, route, a)
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
		if err := g.limiter.Take(ctx, c.Customer, c.Service); err != nil {
			return figpier.NewCall(c), err
		}
	}
	c.Rank = g.ranker.Rank(c.RequestID, c.Customer, 1, c.Priority)
	return figpier.NewCall(c), nil
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
// in a table without keys.
func (g *Gate) identify(t *figpier.Table, r *figpier.HostRoute, a *figpier.Arrival) (*figpier.Account, figpier.KeyDigest, error) {
	var none figpier.KeyDigest
	if r.Open() || !t.Keyed() {
		return nil, none, nil
	}
	if len(a.Keys()) == 0 {
		return nil, none, figpier.Refuse(figpier.RefusalKeyMissing)
	}
	if !g.view.Fresh(g.clock.Now()) {
		return nil, none, figpier.NewRefusal(figpier.RefusalConfig{Reason: figpier.RefusalStaleView, RetryAfter: notReadyRetryAfter})
	}
	// Keys are looked up by digest, so that the duration of a lookup reveals nothing about the secret.
	digest := figpier.KeyDigest(sha256.Sum256([]byte(a.Keys()[0])))
	account, ok := t.AccountOf(digest)
	if !ok {
		return nil, none, figpier.Refuse(figpier.RefusalKeyUnknown)
	}
	return account, digest, nil
}
