package router

import (
	"context"
	"sync"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/routing"
)

// statisticsRetention is how long statistics of an unused member are kept, and the interval at which old ones are dropped.
const statisticsRetention = time.Minute

// Config holds the settings of a Router.
type Config struct {
	// DataCentre is where the node runs.
	DataCentre figpier.DataCentre
	// Region is where the data centre is.
	Region figpier.Region
	// Seed is the seed of the random choices.
	Seed uint64
}

// Router makes the routing policy a service. It implements figpier.Router and figpier.Explainer.
type Router struct {
	clock figpier.Clock
	view  figpier.ConfigurationView

	mu     sync.Mutex // guards the fields below
	policy *routing.Tracker
	// lastCleanup is when statistics of unused members were last dropped.
	lastCleanup time.Time
}

// New returns a router, to be started by the kernel.
func New(c Config) *Router {
	return &Router{policy: routing.New(routing.Config{DataCentre: c.DataCentre, Region: c.Region, Seed: c.Seed})}
}

// Name implements figpier.Service.
func (r *Router) Name() figpier.ServiceName { return figpier.RouterService }

// Start implements figpier.Service.
func (r *Router) Start(_ context.Context, d figpier.Directory) (err error) {
	r.clock = d.Clock()
	r.view, err = figpier.FindView(d)
	return err
}

// Stop implements figpier.Service.
func (r *Router) Stop(context.Context) error { return nil }

// Pick implements figpier.Router.
func (r *Router) Pick(c *figpier.Call, tried []figpier.InstanceID) (*figpier.Member, error) {
	members, now := r.view.Members(c.Service()), r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	m, verdict := r.policy.Pick(now, c.Service(), members, c.Rank(), tried)
	switch verdict {
	case routing.Picked:
		return m, nil
	case routing.Refused:
		return nil, figpier.Refuse(figpier.RefusalCutOff)
	default:
		return nil, figpier.Refuse(figpier.RefusalNoUpstream)
	}
}

// Begin implements figpier.Router.
func (r *Router) Begin(m *figpier.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.Begin(m)
}

// End implements figpier.Router.
func (r *Router) End(m *figpier.Member, o figpier.Outcome, cutOff figpier.Rank) {
	members, now := r.view.Members(m.Service()), r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.End(now, m, members, o.Kind(), cutOff)
	if now.Sub(r.lastCleanup) > statisticsRetention {
		r.lastCleanup = now
		r.policy.Forget(now, statisticsRetention)
	}
}

// CutOff implements figpier.Router.
func (r *Router) CutOff(s figpier.UpstreamService) figpier.Rank {
	members, now := r.view.Members(s), r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy.CutOff(now, members)
}

// Bindings implements figpier.Explainer: it returns the ejected members.
func (r *Router) Bindings(now time.Time) []figpier.Binding {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []figpier.Binding
	r.policy.Ejected(now, func(m *figpier.Member, since time.Time) {
		all = append(all, figpier.NewBinding(figpier.BindingConfig{
			Kind:    figpier.LimitEjection,
			Service: m.Service(),
			Place:   string(m.Instance()),
			Since:   since,
		}))
	})
	return all
}
