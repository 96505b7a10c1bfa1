package process

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/control/members"
	"github.com/figpier/figpier/internal/control/subscription"
	"github.com/figpier/figpier/internal/kernel/registry"
	"github.com/figpier/figpier/internal/kernel/system"
)

// bubbleClock returns the fake time of a synctest bubble.
type bubbleClock struct{ system.Clock }

// Now implements figpier.Clock.
func (bubbleClock) Now() time.Time { return time.Now() }

// network carries messages from a node to control instances. Those to and from a silent instance are lost without an error.
type network struct {
	mu       sync.Mutex
	handlers map[string]map[figpier.Method]figpier.MessageHandler
	// delays are the one-way delays to the instances, by address.
	delays map[string]time.Duration
	silent map[string]bool
}

func newNetwork() *network {
	return &network{
		handlers: map[string]map[figpier.Method]figpier.MessageHandler{},
		delays:   map[string]time.Duration{},
		silent:   map[string]bool{},
	}
}

func (n *network) silence(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[address] = true
}

func (n *network) restore(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.silent, address)
}

func (n *network) isSilent(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silent[address]
}

// endpoint implements figpier.Messenger for one process.
type endpoint struct {
	network *network
	address string
}

func (*endpoint) Name() figpier.ServiceName                      { return figpier.MessengerService }
func (*endpoint) Start(context.Context, figpier.Directory) error { return nil }
func (*endpoint) Stop(context.Context) error                     { return nil }

func (e *endpoint) Handle(m figpier.Method, h figpier.MessageHandler) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	if e.network.handlers[e.address] == nil {
		e.network.handlers[e.address] = map[figpier.Method]figpier.MessageHandler{}
	}
	e.network.handlers[e.address][m] = h
}

// Request implements figpier.Messenger. An instance that falls silent while it holds a request answers it no more.
func (e *endpoint) Request(ctx context.Context, address string, m figpier.Method, message, answer any) error {
	e.network.mu.Lock()
	h, delay := e.network.handlers[address][m], e.network.delays[address]
	e.network.mu.Unlock()
	text, err := json.Marshal(message)
	if err != nil {
		return err
	}
	if err := e.travel(ctx, address, delay); err != nil {
		return err
	}
	reply, err := h(ctx, func(into any) error { return json.Unmarshal(text, into) })
	if err != nil {
		return err
	}
	if err := e.travel(ctx, address, delay); err != nil {
		return err
	}
	if text, err = json.Marshal(reply); err != nil {
		return err
	}
	return json.Unmarshal(text, answer)
}

// travel returns after the delay, or with the context's error if that ends first or the instance is silent.
func (e *endpoint) travel(ctx context.Context, address string, delay time.Duration) error {
	if e.network.isSilent(address) {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(delay):
		return nil
	}
}

// controlInstance is a control instance that answers polls. It stands for the replicated log, the catalog and the exchange of the
// real one.
type controlInstance struct {
	network *network
	place   figpier.ControlPlace
	places  func() []figpier.ControlPlace

	mu            sync.Mutex
	configuration *figpier.Configuration
	subscribers   []func(*figpier.Configuration)
	// stalledAt is when its disk stopped taking writes, zero for a disk that works. From then on it neither gets a configuration nor
	// proves that it is current.
	stalledAt time.Time
}

// followerQuorumAge is the quorum age of a follower in calm: its proof travels through two heartbeats of the leader.
const followerQuorumAge = 600 * time.Millisecond

func (c *controlInstance) accept(next *figpier.Configuration) {
	c.mu.Lock()
	if !c.stalledAt.IsZero() {
		c.mu.Unlock()
		return
	}
	c.configuration = next
	subscribers := c.subscribers
	c.mu.Unlock()
	for _, f := range subscribers {
		f(next)
	}
}

// stall stops the disk right after the instance proved that it is current, as a change shortly before makes it.
func (c *controlInstance) stall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stalledAt = time.Now()
}

// fakeLog, fakeCatalog and fakeExchange implement what subscription.Server uses of these services.
type (
	fakeLog struct {
		figpier.ReplicatedLog
		*controlInstance
	}
	fakeCatalog struct {
		figpier.Catalog
		*controlInstance
	}
	fakeExchange struct {
		figpier.Exchange
		*controlInstance
	}
)

func (fakeLog) Name() figpier.ServiceName                           { return figpier.ReplicaService }
func (fakeLog) Start(context.Context, figpier.Directory) error      { return nil }
func (fakeLog) Stop(context.Context) error                          { return nil }
func (fakeLog) Leader() figpier.InstanceID                          { return "" }
func (fakeCatalog) Name() figpier.ServiceName                       { return figpier.CatalogService }
func (fakeCatalog) Start(context.Context, figpier.Directory) error  { return nil }
func (fakeCatalog) Stop(context.Context) error                      { return nil }
func (fakeExchange) Name() figpier.ServiceName                      { return figpier.ExchangeService }
func (fakeExchange) Start(context.Context, figpier.Directory) error { return nil }
func (fakeExchange) Stop(context.Context) error                     { return nil }

func (l fakeLog) QuorumAge(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stalledAt.IsZero() {
		return followerQuorumAge
	}
	return now.Sub(l.stalledAt)
}

func (c fakeCatalog) Configuration() *figpier.Configuration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.configuration
}

func (c fakeCatalog) Subscribe(f func(*figpier.Configuration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers = append(c.subscribers, f)
}

func (x fakeExchange) Controls() []figpier.ControlPlace { return x.places() }

// Fakes of what a gate uses besides its view. They admit every request.
type (
	openLimiter   struct{}
	openRanker    struct{}
	openReadiness struct{}
)

func (openLimiter) Name() figpier.ServiceName                        { return figpier.LimiterService }
func (openLimiter) Start(context.Context, figpier.Directory) error   { return nil }
func (openLimiter) Stop(context.Context) error                       { return nil }
func (openLimiter) Take(context.Context, figpier.TokenRequest) error { return nil }

func (openRanker) Name() figpier.ServiceName                      { return figpier.RankService }
func (openRanker) Start(context.Context, figpier.Directory) error { return nil }
func (openRanker) Stop(context.Context) error                     { return nil }
func (openRanker) Served(figpier.CustomerID, time.Duration)       {}
func (openRanker) Rank(figpier.RequestID, figpier.CustomerID, float64, figpier.PriorityClass) figpier.Rank {
	return 0
}

func (openReadiness) Name() figpier.ServiceName                          { return figpier.ReadinessService }
func (openReadiness) Start(context.Context, figpier.Directory) error     { return nil }
func (openReadiness) Stop(context.Context) error                         { return nil }
func (openReadiness) Ready() bool                                        { return true }
func (openReadiness) Leaving() bool                                      { return false }
func (openReadiness) Take(_, _ time.Time, _ figpier.PriorityClass) error { return nil }
func (openReadiness) Ending() context.Context                            { return context.Background() }

// run runs the services until the test ends.
func run(t *testing.T, services ...figpier.Service) {
	t.Helper()
	k := registry.New(registry.Config{Clock: bubbleClock{}})
	assert.NilError(t, registerAll(k, services...))
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		done <- k.Run(ctx, func() (context.Context, context.CancelFunc) { return context.WithCancel(context.Background()) })
	}()
	t.Cleanup(func() {
		stop()
		assert.NilError(t, <-done)
	})
}

// start runs the instance's services.
func (c *controlInstance) start(t *testing.T) {
	t.Helper()
	run(t,
		&endpoint{network: c.network, address: c.place.Address()},
		fakeLog{controlInstance: c}, fakeCatalog{controlInstance: c}, fakeExchange{controlInstance: c},
		members.New(members.Config{Lease: defaultMemberLease}),
		subscription.New(subscription.Config{}),
	)
}
