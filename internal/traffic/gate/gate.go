package gate

import (
	"context"
	"crypto/rand"
	"crypto/sha256"

	"github.com/figpier/figpier"
)

// maxKeyBytes is the greatest length of a customer key.
const maxKeyBytes = 256

// Config holds the settings of a Gate.
type Config struct {
	// Service is the service that the backend server beside the node runs.
	Service figpier.UpstreamService
}

// Gate admits requests by the profile of one service. It implements figpier.Gate.
type Gate struct {
	config  Config
	clock   figpier.Clock
	view    figpier.ConfigurationView
	limiter figpier.Limiter
	ranker  figpier.Ranker
	decider figpier.RetryDecider
}

// New returns a gate, to be started by the kernel.
func New(c Config) *Gate { return &Gate{config: c} }

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
	g.decider, err = figpier.FindRetryDecider(d)
	return err
}

// Stop implements figpier.Service.
func (g *Gate) Stop(context.Context) error { return nil }

// Enter implements figpier.Gate. A request counts towards its customer's fair share only once it has passed all checks.
func (g *Gate) Enter(ctx context.Context, a *figpier.Arrival) (*figpier.Call, error) {
	configuration := g.view.Configuration()
	profile, ok := configuration.ProfileOf(g.config.Service)
	if !ok {
		return nil, figpier.Refuse(figpier.RefusalNoProfile)
	}
	route, ok := profile.Match(a.Method(), a.Path())
	if !ok {
		return nil, figpier.Deny(g.view, g.clock.Now(), figpier.RefusalNoRoute)
	}
	customer, digest, err := g.identify(configuration, route, a)
	if err != nil {
		return nil, err
	}
	c := figpier.CallConfig{
		RequestID:      figpier.RequestID(rand.Text()),
		Customer:       customer,
		KeyDigest:      digest,
		Service:        g.config.Service,
		Route:          route.Pattern(),
		Priority:       route.Priority(),
		Deadline:       a.Received().Add(route.Deadline()),
		Budget:         profile.Retry().TreeBudget(),
		Idempotent:     route.Idempotent(),
		IdempotencyKey: a.IdempotencyKey(),
	}
	if err := g.checkLimits(ctx, c, profile); err != nil {
		return figpier.NewCall(c), err
	}
	c.Rank = g.ranker.Rank(c.RequestID, customer, profile.Weight(customer), c.Priority)
	return figpier.NewCall(c), nil
}

// checkLimits refuses a retry that comes sooner than the profile's interval, and a request over the customer's rate and
// burst.
func (g *Gate) checkLimits(ctx context.Context, c figpier.CallConfig, p *figpier.Profile) error {
	if wait := g.decider.CallerRetryDelay(c.Customer, c.IdempotencyKey, p.Retry().CallerInterval()); wait > 0 {
		return figpier.NewRefusal(figpier.RefusalConfig{Reason: figpier.RefusalRetryTooSoon, RetryAfter: wait})
	}
	if c.Customer == "" {
		return nil
	}
	return g.limiter.Take(ctx, figpier.NewTokenRequest(figpier.TokenRequestConfig{
		Customer: c.Customer,
		Service:  c.Service,
		Priority: c.Priority,
		Patience: c.Deadline.Sub(g.clock.Now()),
	}))
}

// identify returns the customer whose key came with the request, and the key's digest. Both are zero on an open route.
func (g *Gate) identify(c *figpier.Configuration, r *figpier.Route, a *figpier.Arrival) (figpier.CustomerID, figpier.KeyDigest, error) {
	var none figpier.KeyDigest
	keys := a.Keys()
	if r.Open() {
		return "", none, nil
	}
	if len(keys) == 0 {
		return "", none, figpier.Deny(g.view, g.clock.Now(), figpier.RefusalKeyMissing)
	}
	if len(keys) > 1 || keys[0] == "" || len(keys[0]) > maxKeyBytes {
		return "", none, figpier.Refuse(figpier.RefusalKeyMalformed)
	}
	if !g.view.Fresh(g.clock.Now()) {
		return "", none, figpier.Refuse(figpier.RefusalStaleView)
	}
	// Keys are looked up by digest, so that the duration of a lookup reveals nothing about the secret.
	digest := figpier.KeyDigest(sha256.Sum256([]byte(keys[0])))
	customer, ok := c.CustomerOf(digest)
	if !ok {
		return "", none, figpier.Refuse(figpier.RefusalKeyUnknown)
	}
	return customer, digest, nil
}
