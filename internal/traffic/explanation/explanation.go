package explanation

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

// Explanation is the figpier.Explainer that collects the bindings of all others of a node, and sends them to control
// instances on request.
type Explanation struct {
	clock      figpier.Clock
	explainers []figpier.Explainer
}

// New returns an explanation, to be started by the kernel.
func New() *Explanation { return &Explanation{} }

// Name implements figpier.Service.
func (e *Explanation) Name() figpier.ServiceName { return figpier.ExplanationService }

// Start implements figpier.Service.
func (e *Explanation) Start(_ context.Context, d figpier.Directory) error {
	names := []figpier.ServiceName{
		figpier.AdmissionService,
		figpier.CutOffService,
		figpier.RouterService,
		figpier.RetryService,
		figpier.LimiterService,
	}
	for _, name := range names {
		s, err := d.Find(name)
		if err != nil {
			return err
		}
		if x, ok := s.(figpier.Explainer); ok {
			e.explainers = append(e.explainers, x)
		}
	}
	e.clock = d.Clock()
	m, err := figpier.FindMessenger(d)
	if err != nil {
		return err
	}
	m.Handle(figpier.MethodExplain, e.handleExplain)
	return nil
}

// handleExplain handles a control instance's request for the limits that bind now.
func (e *Explanation) handleExplain(context.Context, figpier.Decode) (any, error) {
	now := e.clock.Now()
	a := &message.Explanation{Bindings: []message.Binding{}}
	for _, b := range e.Bindings(now) {
		a.Bindings = append(a.Bindings, codec.FromBinding(b, now))
	}
	return a, nil
}

// Stop implements figpier.Service.
func (e *Explanation) Stop(context.Context) error { return nil }

// Bindings implements figpier.Explainer, oldest first.
func (e *Explanation) Bindings(now time.Time) []figpier.Binding {
	var all []figpier.Binding
	for _, x := range e.explainers {
		all = append(all, x.Bindings(now)...)
	}
	slices.SortFunc(all, func(a, b figpier.Binding) int {
		return cmp.Or(
			a.Since().Compare(b.Since()),
			cmp.Compare(a.Kind(), b.Kind()),
			cmp.Compare(a.Service(), b.Service()),
			cmp.Compare(a.Customer(), b.Customer()),
			cmp.Compare(a.Place(), b.Place()),
		)
	})
	return all
}
