package ranks

import (
	"context"
	"sync"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/rank"
)

// Ranker makes the rank policy a service. It implements figpier.Ranker.
type Ranker struct {
	clock figpier.Clock

	mu     sync.Mutex // guards policy
	policy *rank.Ranker
}

// New returns a ranker, to be started by the kernel.
func New() *Ranker { return &Ranker{policy: rank.New(rank.Config{})} }

// Name implements figpier.Service.
func (r *Ranker) Name() figpier.ServiceName { return figpier.RankService }

// Start implements figpier.Service.
func (r *Ranker) Start(_ context.Context, d figpier.Directory) error {
	r.clock = d.Clock()
	return nil
}

// Stop implements figpier.Service.
func (r *Ranker) Stop(context.Context) error { return nil }

// Rank implements figpier.Ranker.
func (r *Ranker) Rank(id figpier.RequestID, c figpier.CustomerID, weight float64, p figpier.PriorityClass) figpier.Rank {
	q := rank.NewRequest(rank.RequestConfig{ID: id, Customer: c, Weight: weight, Class: p})
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy.Rank(now, q)
}

// Served implements figpier.Ranker.
func (r *Ranker) Served(c figpier.CustomerID, elapsed time.Duration) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.Served(now, c, elapsed)
}
