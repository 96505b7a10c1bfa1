package runner

import (
	"context"

	"github.com/figpier/figpier"
)

// Runner prepares calls for the backend server. It implements figpier.Runner.
type Runner struct {
	clock     figpier.Clock
	view      figpier.ConfigurationView
	admission figpier.Admission
	handles   figpier.Handles
	claims    figpier.Claims
	backend   figpier.Backend
}

// New returns a runner, to be started by the kernel.
func New() *Runner { return &Runner{} }

// Name implements figpier.Service.
func (r *Runner) Name() figpier.ServiceName { return figpier.RunnerService }

// Start implements figpier.Service.
func (r *Runner) Start(_ context.Context, d figpier.Directory) (err error) {
	r.clock = d.Clock()
	if r.view, err = figpier.FindView(d); err != nil {
		return err
	}
	if r.admission, err = figpier.FindAdmission(d); err != nil {
		return err
	}
	if r.handles, err = figpier.FindHandles(d); err != nil {
		return err
	}
	if r.claims, err = figpier.FindClaims(d); err != nil {
		return err
	}
	r.backend, err = figpier.FindBackend(d)
	return err
}

// Stop implements figpier.Service.
func (r *Runner) Stop(context.Context) error { return nil }

// Begin implements figpier.Runner. It waits for a slot and for a claim no longer than until the call's deadline.
func (r *Runner) Begin(ctx context.Context, c *figpier.Call) (figpier.Run, error) {
	if _, err := r.backend.Address(); err != nil {
		return nil, err
	}
	wait, cancel := context.WithTimeout(ctx, c.Deadline().Sub(r.clock.Now()))
	defer cancel()
	ticket, err := r.admission.Admit(wait, c)
	if err != nil {
		return nil, err
	}
	run, err := r.prepare(ctx, wait, c, ticket)
	if err != nil {
		ticket.Release(figpier.NewOutcome(figpier.OutcomeNotRun, 0))
		return nil, err
	}
	return run, nil
}

// prepare claims the request and opens its handle, for a call that has a slot. After an error the caller releases the ticket.
func (r *Runner) prepare(ctx, wait context.Context, c *figpier.Call, t figpier.Ticket) (*run, error) {
	if err := r.checkStillValid(c); err != nil {
		return nil, err
	}
	claim, err := r.claim(wait, c)
	if err != nil {
		return nil, err
	}
	// The backend server may have drained or stopped while the call waited.
	address, err := r.backend.Address()
	if err != nil {
		freeClaim(ctx, claim)
		return nil, err
	}
	handle, live := r.handles.Open(ctx, c)
	run := &run{
		runner:  r,
		ticket:  t,
		claim:   claim,
		address: address,
		handle:  handle,
		live:    live,
	}
	// A key that was withdrawn before the handle was open has not ended the call: only calls with a handle are cancelled
	// then.
	if err := r.checkStillValid(c); err != nil {
		run.abandon()
		return nil, err
	}
	return run, nil
}

// checkStillValid refuses a call whose deadline has passed, or whose key has been withdrawn or can no longer be checked.
func (r *Runner) checkStillValid(c *figpier.Call) error {
	now := r.clock.Now()
	if !now.Before(c.Deadline()) {
		return figpier.Refuse(figpier.RefusalDeadline)
	}
	if c.Customer() == "" {
		return nil
	}
	if !r.view.Fresh(now) {
		return figpier.Refuse(figpier.RefusalStaleView)
	}
	if customer, ok := r.view.Configuration().CustomerOf(c.KeyDigest()); !ok || customer != c.Customer() {
		return figpier.Refuse(figpier.RefusalKeyUnknown)
	}
	return nil
}

// claim claims a non-idempotent request; it returns nil for one that is idempotent or has no idempotency key.
func (r *Runner) claim(ctx context.Context, c *figpier.Call) (figpier.Claim, error) {
	if c.Idempotent() || c.IdempotencyKey() == "" {
		return nil, nil
	}
	return r.claims.Claim(ctx, c)
}

// run implements figpier.Run; claim is nil if the request needs none.
type run struct {
	runner  *Runner
	ticket  figpier.Ticket
	claim   figpier.Claim
	address string
	handle  figpier.Handle
	live    figpier.LiveCall
}

// Address implements figpier.Run.
func (r *run) Address() string { return r.address }

// Handle implements figpier.Run.
func (r *run) Handle() figpier.Handle { return r.handle }

// Live implements figpier.Run.
func (r *run) Live() figpier.LiveCall { return r.live }

// Context implements figpier.Run.
func (r *run) Context() context.Context { return r.live.Context() }

// abandon ends a run that never reached the backend server. The caller still has to release the ticket.
func (r *run) abandon() {
	r.runner.handles.Close(r.handle)
	freeClaim(r.live.Context(), r.claim)
}

// freeClaim frees a claim, which may be nil, of a request that has not run.
func freeClaim(ctx context.Context, c figpier.Claim) {
	if c != nil {
		c.Finish(context.WithoutCancel(ctx), figpier.NewOutcome(figpier.OutcomeNotRun, 0))
	}
}

// End implements figpier.Run.
func (r *run) End(o figpier.Outcome) {
	if r.claim != nil {
		r.claim.Finish(context.WithoutCancel(r.live.Context()), o)
	}
	r.runner.handles.Close(r.handle)
	r.ticket.Release(o)
}
