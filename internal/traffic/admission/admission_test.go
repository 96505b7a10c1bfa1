package admission

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/host/metrics"
	"github.com/figpier/figpier/internal/kernel/registry"
	"github.com/figpier/figpier/internal/kernel/system"
	policy "github.com/figpier/figpier/internal/policy/admission"
	"github.com/figpier/figpier/internal/traffic/cutoffs"
	"github.com/figpier/figpier/internal/traffic/ranks"
)

// startAdmission returns an admission and its cut-offs, both started.
func startAdmission(t *testing.T) (*Admission, *cutoffs.Table) {
	t.Helper()
	k := registry.New(registry.Config{Clock: system.Clock{}})
	a, table := New(Config{Service: "booking"}), cutoffs.New()
	for _, s := range []figpier.Service{metrics.New(metrics.Config{}), ranks.New(), table, a} {
		assert.NilError(t, k.Register(s))
		assert.NilError(t, s.Start(t.Context(), k))
	}
	return a, table
}

func callOf(r figpier.Rank) *figpier.Call {
	return figpier.NewCall(figpier.CallConfig{
		Customer: "c",
		Service:  "booking",
		Route:    "GET /",
		Rank:     r,
		Deadline: time.Now().Add(time.Minute),
	})
}

func reasonOf(t *testing.T, err error) figpier.RefusalReason {
	t.Helper()
	var r *figpier.Refusal
	assert.Assert(t, errors.As(err, &r))
	assert.Assert(t, r.NotRun())
	return r.Reason()
}

func TestSlotsAreFreedWhenCallersStopWaiting(t *testing.T) {
	a, _ := startAdmission(t)
	a.SetSlots(4)
	var callers sync.WaitGroup
	for i := range 200 {
		callers.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i%7)*time.Millisecond)
			defer cancel()
			ticket, err := a.Admit(ctx, callOf(figpier.Rank(i)))
			if err == nil {
				ticket.Release(figpier.NewOutcome(figpier.OutcomeDone, time.Millisecond))
			}
		})
	}
	callers.Wait()
	assert.Equal(t, a.controller.Running(), 0)
	assert.Equal(t, a.controller.Waiting(), 0)
	assert.Equal(t, len(a.verdicts), 0)
}

func TestFreedSlotGoesToTheWaitingCallWithLowestRank(t *testing.T) {
	a, _ := startAdmission(t)
	a.controller = policy.New(policy.Config{QueueTime: time.Minute})
	a.SetSlots(1)
	first, err := a.Admit(t.Context(), callOf(1))
	assert.NilError(t, err)
	outcomes := make(chan figpier.Rank, 2)
	for _, r := range []figpier.Rank{9, 5} {
		go func() {
			ticket, err := a.Admit(t.Context(), callOf(r))
			if err != nil {
				outcomes <- figpier.MaxRank
				return
			}
			outcomes <- r
			ticket.Release(figpier.NewOutcome(figpier.OutcomeDone, time.Millisecond))
		}()
	}
	// With a limit of 1 only one call may wait: the one with the higher rank is shed, whichever came first.
	assert.Equal(t, <-outcomes, figpier.MaxRank)
	first.Release(figpier.NewOutcome(figpier.OutcomeDone, time.Millisecond))
	assert.Equal(t, <-outcomes, figpier.Rank(5))
}

func TestDownstreamCutOffRefusesCallsAndIsExplained(t *testing.T) {
	a, table := startAdmission(t)
	_, err := a.Admit(t.Context(), callOf(1))
	assert.Equal(t, reasonOf(t, err), figpier.RefusalNoBackend)
	a.SetSlots(1)
	for range 4 {
		table.Record(callOf(1), 5)
	}
	_, err = a.Admit(t.Context(), callOf(5))
	assert.Equal(t, reasonOf(t, err), figpier.RefusalCutOff)
	ticket, err := a.Admit(t.Context(), callOf(4))
	assert.NilError(t, err)
	ticket.Release(figpier.NewOutcome(figpier.OutcomeDone, time.Millisecond))

	all := append(a.Bindings(time.Now()), table.Bindings(time.Now())...)
	assert.Equal(t, len(all), 2, fmt.Sprint(all))
	assert.Equal(t, all[0].Kind(), figpier.LimitCutOff)
	assert.Equal(t, all[0].Customer(), figpier.CustomerID("c"))
	assert.Equal(t, all[0].Count(), 1)
	assert.Equal(t, all[1].Place(), "GET /")
	assert.Assert(t, !all[1].Since().IsZero())
}
