package handles

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/retry"
)

// Table maps handles to live calls. It implements figpier.Handles, and ends calls whose key is withdrawn or can no longer be
// checked.
type Table struct {
	clock figpier.Clock

	mu    sync.RWMutex
	calls map[figpier.Handle]*liveCall
}

// New returns an empty table.
func New() *Table { return &Table{calls: map[figpier.Handle]*liveCall{}} }

// Name implements figpier.Service.
func (t *Table) Name() figpier.ServiceName { return figpier.HandleService }

// Start implements figpier.Service.
func (t *Table) Start(_ context.Context, d figpier.Directory) error {
	t.clock = d.Clock()
	v, err := figpier.FindView(d)
	if err != nil {
		return err
	}
	v.Subscribe(t.CancelWithdrawn)
	s, err := figpier.FindStaleness(d)
	if err != nil {
		return err
	}
	s.OnStale(t.EndCallsWithKey)
	return nil
}

// Stop implements figpier.Service.
func (t *Table) Stop(context.Context) error { return nil }

// Open implements figpier.Handles; the live call's context also ends at the deadline of the call.
func (t *Table) Open(ctx context.Context, c *figpier.Call) (figpier.Handle, figpier.LiveCall) {
	cancellable, cancelCause := context.WithCancelCause(ctx)
	timed, stopTimer := context.WithTimeout(cancellable, c.Deadline().Sub(t.clock.Now()))
	l := &liveCall{
		clock:       t.clock,
		call:        c,
		ctx:         timed,
		cancelCause: cancelCause,
		stopTimer:   stopTimer,
		budget:      retry.NewBudget(c.Budget()),
		cutOff:      figpier.MaxRank,
	}
	h := figpier.Handle(rand.Text())
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls[h] = l
	return h, l
}

// Find implements figpier.Handles.
func (t *Table) Find(h figpier.Handle) (figpier.LiveCall, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	l, ok := t.calls[h]
	return l, ok
}

// Close implements figpier.Handles.
func (t *Table) Close(h figpier.Handle) {
	t.mu.Lock()
	l, ok := t.calls[h]
	delete(t.calls, h)
	t.mu.Unlock()
	if ok {
		l.RefuseExits()
		l.stopTimer()
		l.cancelCause(context.Canceled)
	}
}

// CancelWithdrawn implements figpier.Handles.
func (t *Table) CancelWithdrawn(c *figpier.Configuration) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, l := range t.calls {
		if l.call.Customer() == "" {
			continue
		}
		if _, ok := c.CustomerOf(l.call.KeyDigest()); !ok {
			l.cancelCause(figpier.Refuse(figpier.RefusalWithdrawn))
		}
	}
}

// EndCallsWithKey cancels all live calls that came with a key. It runs when the view has become stale, as their keys may have been
// withdrawn since.
func (t *Table) EndCallsWithKey() {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, l := range t.calls {
		if l.call.Customer() != "" {
			l.cancelCause(figpier.NewRefusal(figpier.RefusalConfig{Reason: figpier.RefusalStaleView, MayHaveRun: true}))
		}
	}
}

// Len implements figpier.Handles.
func (t *Table) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.calls)
}

// liveCall implements figpier.LiveCall.
type liveCall struct {
	clock figpier.Clock
	call  *figpier.Call
	ctx   context.Context
	// cancelCause cancels ctx with a cause, such as a refusal.
	cancelCause context.CancelCauseFunc
	// stopTimer cancels ctx and frees the timer of its deadline.
	stopTimer context.CancelFunc

	mu sync.Mutex // guards the fields below
	// exitCount is the number of exit calls so far, and openExits the number of those that have not ended.
	exitCount int
	openExits int
	// openSince is when openExits last rose from 0, and downstreamTime the total of the earlier periods in which it was
	// above 0.
	openSince      time.Time
	downstreamTime time.Duration
	// exitsRefused means that no further exit call may begin.
	exitsRefused bool
	budget       retry.Budget
	cutOff       figpier.Rank
}

// Call implements figpier.LiveCall.
func (l *liveCall) Call() *figpier.Call { return l.call }

// Context implements figpier.LiveCall.
func (l *liveCall) Context() context.Context { return l.ctx }

// BeginExit implements figpier.LiveCall.
func (l *liveCall) BeginExit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.exitsRefused {
		return false
	}
	l.exitCount++
	if l.openExits == 0 {
		l.openSince = l.clock.Now()
	}
	l.openExits++
	return true
}

// EndExit implements figpier.LiveCall.
func (l *liveCall) EndExit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openExits--
	if l.openExits == 0 {
		l.downstreamTime += l.clock.Now().Sub(l.openSince)
	}
}

// DownstreamTime implements figpier.LiveCall.
func (l *liveCall) DownstreamTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.openExits > 0 {
		return l.downstreamTime + l.clock.Now().Sub(l.openSince)
	}
	return l.downstreamTime
}

// RefuseExits implements figpier.LiveCall.
func (l *liveCall) RefuseExits() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exitsRefused = true
	return l.exitCount
}

// Exits implements figpier.LiveCall.
func (l *liveCall) Exits() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.exitCount
}

// TakeBudget implements figpier.LiveCall.
func (l *liveCall) TakeBudget(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Take(n)
}

// ReturnBudget implements figpier.LiveCall.
func (l *liveCall) ReturnBudget(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Return(n)
}

// UnusedBudget implements figpier.LiveCall.
func (l *liveCall) UnusedBudget() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Unused()
}

// RecordCutOff implements figpier.LiveCall.
func (l *liveCall) RecordCutOff(cutOff figpier.Rank) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutOff = min(l.cutOff, cutOff)
}

// CutOff implements figpier.LiveCall.
func (l *liveCall) CutOff() figpier.Rank {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cutOff
}
