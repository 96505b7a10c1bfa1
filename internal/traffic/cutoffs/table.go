package cutoffs

import (
	"context"
	"sync"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/cutoff"
)

// Table makes the table of cut-offs a service. It implements figpier.CutOffs and figpier.Explainer.
type Table struct {
	clock figpier.Clock

	mu     sync.Mutex // guards policy
	policy *cutoff.Table
}

// New returns an empty table, to be started by the kernel.
func New() *Table { return &Table{policy: cutoff.New()} }

// Name implements figpier.Service.
func (t *Table) Name() figpier.ServiceName { return figpier.CutOffService }

// Start implements figpier.Service.
func (t *Table) Start(_ context.Context, d figpier.Directory) error {
	t.clock = d.Clock()
	return nil
}

// Stop implements figpier.Service.
func (t *Table) Stop(context.Context) error { return nil }

// Record implements figpier.CutOffs.
func (t *Table) Record(c *figpier.Call, cutOff figpier.Rank) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.policy.Record(now, cutoff.NewRoute(c.Service(), c.Route()), cutOff)
}

// CutOff implements figpier.CutOffs.
func (t *Table) CutOff(c *figpier.Call) figpier.Rank {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.policy.CutOff(now, cutoff.NewRoute(c.Service(), c.Route()))
}

// Bindings implements figpier.Explainer: it returns the routes that have a cut-off.
func (t *Table) Bindings(now time.Time) []figpier.Binding {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []figpier.Binding
	t.policy.Each(now, func(r cutoff.Route, cutOff figpier.Rank, since time.Time) {
		all = append(all, figpier.NewBinding(figpier.BindingConfig{
			Kind:    figpier.LimitCutOff,
			Service: r.Service(),
			Place:   r.Pattern(),
			Since:   since,
			Limit:   float64(cutOff),
		}))
	})
	return all
}
