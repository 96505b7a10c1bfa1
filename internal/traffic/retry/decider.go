package retry

import (
	"context"
	"sync"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/episode"
	policy "github.com/figpier/figpier/internal/policy/retry"
)

// Bounds of the record of denied retries: how long a pause ends an entry, and the greatest number of entries.
const (
	deniedGap = 2 * time.Second
	maxDenied = 1000
)

// Decider makes the retry policy a service. It implements figpier.RetryDecider and figpier.Explainer.
type Decider struct {
	clock figpier.Clock
	view  figpier.ConfigurationView

	mu      sync.Mutex // guards the fields below
	decider *policy.Decider
	pacer   *policy.Pacer
	// denied records for which customers and services retries are being denied because of the retry share.
	denied *episode.Table[policy.CustomerService]
}

// New returns a decider, to be started by the kernel.
func New() *Decider {
	return &Decider{
		decider: policy.New(),
		pacer:   policy.NewPacer(),
		denied:  episode.New[policy.CustomerService](episode.Config{Gap: deniedGap, MaxEntries: maxDenied}),
	}
}

// Name implements figpier.Service.
func (r *Decider) Name() figpier.ServiceName { return figpier.RetryService }

// Start implements figpier.Service.
func (r *Decider) Start(_ context.Context, d figpier.Directory) (err error) {
	r.clock = d.Clock()
	r.view, err = figpier.FindView(d)
	return err
}

// Stop implements figpier.Service.
func (r *Decider) Stop(context.Context) error { return nil }

// CallerRetryDelay implements figpier.RetryDecider.
func (r *Decider) CallerRetryDelay(c figpier.CustomerID, k figpier.IdempotencyKey, interval time.Duration) time.Duration {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pacer.Wait(now, c, k, interval)
}

// TakeBudgetPortion implements figpier.RetryDecider.
func (r *Decider) TakeBudgetPortion(l figpier.LiveCall) int {
	b := policy.NewBudget(l.UnusedBudget())
	return l.TakeBudget(b.Portion())
}

// CountFirstAttempt implements figpier.RetryDecider. A service without a profile has no share of retries.
func (r *Decider) CountFirstAttempt(c *figpier.Call) {
	share := 0.0
	if p, ok := r.view.Configuration().ProfileOf(c.Service()); ok {
		share = p.Retry().Share()
	}
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decider.CountFirstAttempt(now, policy.NewCustomerService(c.Customer(), c.Service()), share)
}

// MayRetry implements figpier.RetryDecider.
func (r *Decider) MayRetry(c *figpier.Call, l figpier.LiveCall, o figpier.Outcome) (bool, figpier.RetryReason) {
	now, customerService := r.clock.Now(), policy.NewCustomerService(c.Customer(), c.Service())
	a := policy.NewAttempt(policy.AttemptConfig{
		CustomerService: customerService,
		Kind:            o.Kind(),
		Idempotent:      c.Idempotent(),
		Deadline:        c.Deadline(),
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	ok, reason := r.decider.MayRetry(now, a, l.TakeBudget)
	if reason == figpier.NoRetryShare {
		r.denied.Record(now, customerService)
	}
	return ok, reason
}

// Bindings implements figpier.Explainer: it returns the customers and services whose retries are being denied.
func (r *Decider) Bindings(now time.Time) []figpier.Binding {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []figpier.Binding
	r.denied.Each(now, func(p policy.CustomerService, since time.Time, count int) {
		all = append(all, figpier.NewBinding(figpier.BindingConfig{
			Kind:     figpier.LimitRetryShare,
			Service:  p.Service(),
			Customer: p.Customer(),
			Since:    since,
			Count:    count,
		}))
	})
	return all
}
