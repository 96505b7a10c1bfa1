package retry

import (
	"context"
	"sync"
	"time"

	"github.com/figpier/figpier"
	policy "github.com/figpier/figpier/internal/policy/retry"
	"github.com/figpier/figpier/internal/policy/spell"
)

// Bounds of the record of denied retries: how long a pause ends an entry, and the greatest number of entries.
const (
	deniedGap = 2 * time.Second
	maxDenied = 1000
)

// Judge makes the retry policy a service. It implements figpier.RetryJudge and figpier.Explainer.
type Judge struct {
	clock figpier.Clock
	view  figpier.ConfigurationView

	mu    sync.Mutex // guards the fields below
	judge *policy.Judge
	pacer *policy.Pacer
	// denied records for which customers and services retries are being denied because of the retry share.
	denied *spell.Table[policy.Pair]
}

// New returns a judge, to be started by the kernel.
func New() *Judge {
	return &Judge{
		judge:  policy.New(),
		pacer:  policy.NewPacer(),
		denied: spell.New[policy.Pair](spell.Config{Gap: deniedGap, Most: maxDenied}),
	}
}

// Name implements figpier.Service.
func (j *Judge) Name() figpier.ServiceName { return figpier.RetryService }

// Start implements figpier.Service.
func (j *Judge) Start(_ context.Context, d figpier.Directory) (err error) {
	j.clock = d.Clock()
	j.view, err = figpier.FindView(d)
	return err
}

// Stop implements figpier.Service.
func (j *Judge) Stop(context.Context) error { return nil }

// Pace implements figpier.RetryJudge.
func (j *Judge) Pace(c figpier.CustomerID, k figpier.IdempotencyKey, interval time.Duration) time.Duration {
	now := j.clock.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.pacer.Attempt(now, c, k, interval)
}

// Portion implements figpier.RetryJudge.
func (j *Judge) Portion(l figpier.LiveCall) int {
	b := policy.NewBudget(l.Unused())
	return l.TakeBudget(b.Portion())
}

// First implements figpier.RetryJudge. A service without a profile has no share of retries.
func (j *Judge) First(c *figpier.Call) {
	share := 0.0
	if p, ok := j.view.Configuration().ProfileOf(c.Service()); ok {
		share = p.Retry().Share()
	}
	now := j.clock.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.judge.First(now, policy.NewPair(c.Customer(), c.Service()), share)
}

// Again implements figpier.RetryJudge.
func (j *Judge) Again(c *figpier.Call, l figpier.LiveCall, o figpier.Outcome) (bool, figpier.RetryReason) {
	now, pair := j.clock.Now(), policy.NewPair(c.Customer(), c.Service())
	a := policy.NewAttempt(policy.AttemptConfig{
		Pair:       pair,
		Kind:       o.Kind(),
		Idempotent: c.Idempotent(),
		Deadline:   c.Deadline(),
	})
	j.mu.Lock()
	defer j.mu.Unlock()
	ok, reason := j.judge.Again(now, a, l.TakeBudget)
	if reason == figpier.NoRetryShare {
		j.denied.Mark(now, pair)
	}
	return ok, reason
}

// Bindings implements figpier.Explainer: it returns the customers and services whose retries are being denied.
func (j *Judge) Bindings(now time.Time) []figpier.Binding {
	j.mu.Lock()
	defer j.mu.Unlock()
	var all []figpier.Binding
	j.denied.Each(now, func(p policy.Pair, since time.Time, count int) {
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
