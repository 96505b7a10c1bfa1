package pool

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/quota"
	"github.com/figpier/figpier/internal/wire/message"
)

// registrationTime is how long after the start of all processes an instance may know too few nodes to divide a limit among; each node polls within it.
const registrationTime = time.Second

// Config builds a Pool.
type Config struct {
	// Address is this control instance's IP address and port for messages.
	Address string
	// Window is the length of the sliding window in which the fleet's requests are compared with the limit.
	Window time.Duration
	// OverageFraction is the fraction by which the fleet may exceed a limit within the window.
	OverageFraction float64
	// SlackRequests is the number of requests by which the fleet may exceed a limit within the window, in addition to OverageFraction.
	SlackRequests float64
	// Log receives a debug line for each transfer that failed.
	Log *logrus.Entry
}

// Pool is the service that answers the nodes' requests for tokens.
type Pool struct {
	config   Config
	clock    figpier.Clock
	catalog  figpier.Catalog
	registry figpier.Registry
	exchange figpier.Exchange
	// messenger sends requests for tokens to the other control instances.
	messenger figpier.Messenger

	// startedAt is when this service started.
	startedAt time.Time

	// mu guards the fields below.
	mu     sync.Mutex
	quotas *quota.Table
	// shortages holds the state of transfers by customer, for those whose pool here has been empty.
	shortages map[figpier.CustomerID]*shortage
}

// New returns a pool that has not started.
func New(c Config) *Pool {
	return &Pool{config: c, shortages: map[figpier.CustomerID]*shortage{}}
}

// Name implements figpier.Service.
func (p *Pool) Name() figpier.ServiceName { return figpier.PoolService }

// Start implements figpier.Service.
func (p *Pool) Start(_ context.Context, d figpier.Directory) (err error) {
	p.clock = d.Clock()
	p.startedAt = p.clock.Now()
	p.quotas = quota.New(quota.Config{
		Window:          p.config.Window,
		OverageFraction: p.config.OverageFraction,
		SlackRequests:   p.config.SlackRequests,
		Start:           p.startedAt,
		Credit:          true,
		Held:            p.held,
	})
	if p.catalog, err = figpier.FindCatalog(d); err != nil {
		return err
	}
	if p.registry, err = figpier.FindRegistry(d); err != nil {
		return err
	}
	if p.exchange, err = figpier.FindExchange(d); err != nil {
		return err
	}
	if p.messenger, err = figpier.FindMessenger(d); err != nil {
		return err
	}
	p.messenger.Handle(figpier.MethodPool, p.handleTokenRequest)
	p.messenger.Handle(figpier.MethodTransfer, p.handleTransfer)
	return nil
}

// held is quota.Config.Held: the nodes that poll this instance hold its share.
func (p *Pool) held(now time.Time) (nodes int, total time.Duration) {
	nodes, _ = p.registry.CountPolling(now)
	return nodes, p.registry.PolledTime(now)
}

// Stop implements figpier.Service.
func (p *Pool) Stop(context.Context) error { return nil }

// handleTokenRequest answers a node. If this pool has no token, it asks another control instance for some, and reserves one
// that it will earn soon if there is none. The answer is Idle if no node polls this instance, or while too few nodes are known.
func (p *Pool) handleTokenRequest(ctx context.Context, decode figpier.Decode) (any, error) {
	var m message.PoolAsk
	if err := decode(&m); err != nil {
		return nil, err
	}
	now := p.clock.Now()
	polling, all := p.registry.CountPolling(now)
	if polling == 0 || m.Nodes == 0 && !p.registry.Settled(now) && now.Sub(p.startedAt) < registrationTime {
		return message.PoolAnswer{Idle: true}, nil
	}
	// An instance that has just started may know fewer nodes than the asking node does.
	all = max(all, m.Nodes)
	a := p.grant(now, m, polling, all, p.quotas.Take)
	if a.Granted {
		return a, nil
	}
	p.requestTransfer(ctx, figpier.CustomerID(m.Customer), m.Priority)
	m.Owed = 0
	paid := a.Paid
	a = p.grant(p.clock.Now(), m, polling, all, p.quotas.Reserve)
	a.Paid = paid
	return a, nil
}

// spend is quota.Table.Take or quota.Table.Reserve.
type spend func(now time.Time, c figpier.CustomerID, l figpier.Limit, share float64, p figpier.PriorityClass) (wait time.Duration, ok bool)

// grant takes the tokens that the node owes and then one more from a customer's pool. For a customer without an account it
// always grants, as the node may know a newer routing table.
func (p *Pool) grant(now time.Time, m message.PoolAsk, polling, all int, one spend) message.PoolAnswer {
	c := figpier.CustomerID(m.Customer)
	limit, ok := p.limit(c)
	if !ok {
		return message.PoolAnswer{Granted: true}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	share := p.quotas.PoolShare(limit, polling, all)
	paid := p.quotas.Settle(now, c, limit, share, m.Owed)
	wait, granted := one(now, c, limit, share, priorityOf(m.Priority))
	return message.PoolAnswer{Granted: granted, WaitMillis: ceilMillis(wait), Paid: paid}
}

// priorityOf returns the priority class in a message, within the range of the classes.
func priorityOf(class *int) figpier.PriorityClass {
	if class == nil {
		return figpier.HighestPriority
	}
	return figpier.PriorityClass(min(max(*class, int(figpier.HighestPriority)), int(figpier.LowestPriority)))
}

// ceilMillis rounds a wait up to milliseconds, so that no node retries too soon and a wait under 1 ms is not sent as 0.
func ceilMillis(wait time.Duration) int {
	return int((wait + time.Millisecond - 1).Milliseconds())
}

// limit returns the limit of a customer, false if the routing table has no account for it.
func (p *Pool) limit(c figpier.CustomerID) (figpier.Limit, bool) {
	t := p.catalog.Configuration().Table()
	if t == nil {
		return figpier.Limit{}, false
	}
	a, ok := t.Account(c)
	if !ok {
		return figpier.Limit{}, false
	}
	return a.Limit(), true
}
