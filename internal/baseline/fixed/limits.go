package fixed

import (
	"context"
	"sync"
	"time"

	"github.com/figpier/figpier"
)

// The kernel checks at start only that a service has the interface under whose name it is found.
var _ figpier.Limiter = (*Limiter)(nil)

// Limiter implements figpier.Limiter with a separate token bucket on each node.
type Limiter struct {
	clock figpier.Clock
	view  figpier.ConfigurationView

	mu      sync.Mutex
	buckets map[bucketKey]*bucket
}

type bucketKey struct {
	customer figpier.CustomerID
	service  figpier.UpstreamService
}

type bucket struct {
	tokens   float64
	refilled time.Time
}

// NewLimiter returns a limiter that has not started.
func NewLimiter() *Limiter { return &Limiter{buckets: map[bucketKey]*bucket{}} }

// Name implements figpier.Service.
func (l *Limiter) Name() figpier.ServiceName { return figpier.LimiterService }

// Start implements figpier.Service.
func (l *Limiter) Start(_ context.Context, d figpier.Directory) (err error) {
	l.clock = d.Clock()
	l.view, err = figpier.FindView(d)
	return err
}

// Stop implements figpier.Service.
func (l *Limiter) Stop(context.Context) error { return nil }

// Take implements figpier.Limiter.
func (l *Limiter) Take(_ context.Context, r figpier.TokenRequest) error {
	c, s := r.Customer(), r.Service()
	profile, ok := l.view.Configuration().ProfileOf(s)
	if !ok {
		return figpier.Refuse(figpier.RefusalNoProfile)
	}
	limit := profile.Limit(c)
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	k := bucketKey{customer: c, service: s}
	b, ok := l.buckets[k]
	if !ok {
		b = &bucket{tokens: limit.Burst(), refilled: now}
		l.buckets[k] = b
	}
	b.tokens = min(limit.Burst(), b.tokens+limit.Rate()*now.Sub(b.refilled).Seconds())
	b.refilled = now
	if b.tokens < 1 {
		return figpier.Refuse(figpier.RefusalOverRate)
	}
	b.tokens--
	return nil
}

// Claims implements figpier.Claims with a separate table on each node. Claims never expire.
type Claims struct {
	mu       sync.Mutex
	refusals map[claimKey]figpier.RefusalReason
}

type claimKey struct {
	bucketKey
	key figpier.IdempotencyKey
}

// NewClaims returns claims without entries.
func NewClaims() *Claims { return &Claims{refusals: map[claimKey]figpier.RefusalReason{}} }

// Name implements figpier.Service.
func (c *Claims) Name() figpier.ServiceName { return figpier.ClaimService }

// Start implements figpier.Service.
func (c *Claims) Start(context.Context, figpier.Directory) error { return nil }

// Stop implements figpier.Service.
func (c *Claims) Stop(context.Context) error { return nil }

// Claim implements figpier.Claims.
func (c *Claims) Claim(_ context.Context, call *figpier.Call) (figpier.Claim, error) {
	k := claimKey{bucketKey: bucketKey{customer: call.Customer(), service: call.Service()}, key: call.IdempotencyKey()}
	c.mu.Lock()
	defer c.mu.Unlock()
	if reason, claimed := c.refusals[k]; claimed {
		return nil, figpier.Refuse(reason)
	}
	c.refusals[k] = figpier.RefusalRunning
	return &claim{claims: c, key: k}, nil
}

type claim struct {
	claims *Claims
	key    claimKey
}

// Finish implements figpier.Claim.
func (c *claim) Finish(_ context.Context, o figpier.Outcome) {
	c.claims.mu.Lock()
	defer c.claims.mu.Unlock()
	switch o.Kind() {
	case figpier.OutcomeNotRun, figpier.OutcomeOverloaded, figpier.OutcomeUnreached:
		delete(c.claims.refusals, c.key)
	case figpier.OutcomeDone:
		c.claims.refusals[c.key] = figpier.RefusalAlreadyRun
	default:
		c.claims.refusals[c.key] = figpier.RefusalClaimUnknown
	}
}
