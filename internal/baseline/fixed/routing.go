package fixed

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/figpier/figpier"
)

// Router implements figpier.Router with a random choice among the members that are not draining.
type Router struct {
	view figpier.ConfigurationView
}

// NewRouter returns a router that has not started.
func NewRouter() *Router { return &Router{} }

// Name implements figpier.Service.
func (r *Router) Name() figpier.ServiceName { return figpier.RouterService }

// Start implements figpier.Service.
func (r *Router) Start(_ context.Context, d figpier.Directory) (err error) {
	r.view, err = figpier.FindView(d)
	return err
}

// Stop implements figpier.Service.
func (r *Router) Stop(context.Context) error { return nil }

// Pick implements figpier.Router.
func (r *Router) Pick(c *figpier.Call, tried []figpier.InstanceID) (*figpier.Member, error) {
	var candidates []*figpier.Member
	for _, m := range r.view.Members(c.Service()) {
		if !m.Draining() && !slices.Contains(tried, m.Instance()) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return nil, figpier.Refuse(figpier.RefusalNoUpstream)
	}
	return candidates[rand.IntN(len(candidates))], nil
}

// Begin implements figpier.Router.
func (r *Router) Begin(*figpier.Member) {}

// End implements figpier.Router.
func (r *Router) End(*figpier.Member, figpier.Outcome, figpier.Rank) {}

// CutOff implements figpier.Router.
func (r *Router) CutOff(figpier.UpstreamService) figpier.Rank { return figpier.MaxRank }

// Decider implements figpier.RetryDecider with the budget of the tree of calls as the only limit.
type Decider struct{}

// NewDecider returns a decider for retries within the budget.
func NewDecider() *Decider { return &Decider{} }

// Name implements figpier.Service.
func (d *Decider) Name() figpier.ServiceName { return figpier.RetryService }

// Start implements figpier.Service.
func (d *Decider) Start(context.Context, figpier.Directory) error { return nil }

// Stop implements figpier.Service.
func (d *Decider) Stop(context.Context) error { return nil }

// CallerRetryDelay implements figpier.RetryDecider.
func (d *Decider) CallerRetryDelay(figpier.CustomerID, figpier.IdempotencyKey, time.Duration) time.Duration {
	return 0
}

// TakeBudgetPortion implements figpier.RetryDecider.
func (d *Decider) TakeBudgetPortion(l figpier.LiveCall) int {
	return l.TakeBudget((l.UnusedBudget() + 1) / 2)
}

// CountFirstAttempt implements figpier.RetryDecider.
func (d *Decider) CountFirstAttempt(*figpier.Call) {}

// MayRetry implements figpier.RetryDecider.
func (d *Decider) MayRetry(c *figpier.Call, l figpier.LiveCall, o figpier.Outcome) (bool, figpier.RetryReason) {
	reason := figpier.RetryFailed
	switch o.Kind() {
	case figpier.OutcomeDone, figpier.OutcomeCancelled:
		return false, figpier.NoRetryDone
	case figpier.OutcomeUnreached:
		reason = figpier.RetryUnreached
	case figpier.OutcomeNotRun, figpier.OutcomeOverloaded:
		reason = figpier.RetryNotRun
	case figpier.OutcomeFailed:
		if !c.Idempotent() {
			return false, figpier.NoRetryUnsafe
		}
	}
	if l.TakeBudget(1) == 0 {
		return false, figpier.NoRetryBudget
	}
	return true, reason
}
