package claims

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/claim"
	"github.com/figpier/figpier/internal/policy/shard"
	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

const (
	// claimTimeout bounds the wait for the answer to a claim.
	claimTimeout = 2 * time.Second
	// answerTimeout bounds one message to a primary, which waits for its backups before it answers.
	answerTimeout = 1500 * time.Millisecond
	// retryPause is the pause before a message is sent again.
	retryPause = 50 * time.Millisecond
	// endTimeout bounds how long the end of an attempt is sent again.
	endTimeout = 30 * time.Second
	// releaseTimeout bounds how long Finish waits until the claim of a request that was not run is freed.
	releaseTimeout = 200 * time.Millisecond
)

// Claims implements figpier.Claims. It is safe for concurrent use.
type Claims struct {
	clock     figpier.Clock
	view      figpier.ConfigurationView
	messenger figpier.Messenger
	locator   figpier.ShardLocator
	runCtx    context.Context // from Start; bounds messages that outlive their request
	endings   sync.WaitGroup  // ends of attempts that are not recorded yet
}

// New returns claims that have not started.
func New() *Claims { return &Claims{} }

// Name implements figpier.Service.
func (c *Claims) Name() figpier.ServiceName { return figpier.ClaimService }

// Start implements figpier.Service.
func (c *Claims) Start(ctx context.Context, d figpier.Directory) (err error) {
	c.runCtx = ctx
	c.clock = d.Clock()
	if c.view, err = figpier.FindView(d); err != nil {
		return err
	}
	if c.messenger, err = figpier.FindMessenger(d); err != nil {
		return err
	}
	c.locator, err = figpier.FindShardLocator(d)
	return err
}

// Stop implements figpier.Service. It waits until the ends of all attempts are recorded, or until the context ends.
func (c *Claims) Stop(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		c.endings.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
	return nil
}

// Claim implements figpier.Claims. An attempt without an answer is ended, because the primary may have recorded it.
func (c *Claims) Claim(ctx context.Context, call *figpier.Call) (figpier.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	a := &attempt{
		claims: c,
		key:    claim.NewKey(call.Customer(), call.Service(), call.IdempotencyKey()),
		id:     claim.AttemptID(rand.Text()),
	}
	answer, ok := a.requestClaim(ctx, c.callerInterval(call.Service()))
	if !ok {
		a.reportEnd(claim.StateNotRun)
		return nil, figpier.Refuse(figpier.RefusalClaimUnknown)
	}
	if claim.Verdict(answer.Verdict) == claim.VerdictGranted {
		return a, nil
	}
	return nil, refusal(answer)
}

// callerInterval returns the least time between a caller's attempts at a service, 0 without a profile.
func (c *Claims) callerInterval(s figpier.UpstreamService) time.Duration {
	p, ok := c.view.Configuration().ProfileOf(s)
	if !ok {
		return 0
	}
	return p.Retry().CallerInterval()
}

// refusal returns the refusal for a verdict other than VerdictGranted.
func refusal(a message.ClaimAnswer) *figpier.Refusal {
	switch claim.Verdict(a.Verdict) {
	case claim.VerdictRunning:
		return figpier.Refuse(figpier.RefusalRunning)
	case claim.VerdictAlreadyRun:
		return figpier.Refuse(figpier.RefusalAlreadyRun)
	case claim.VerdictTooSoon:
		return figpier.NewRefusal(figpier.RefusalConfig{
			Reason:     figpier.RefusalRetryTooSoon,
			RetryAfter: time.Duration(a.WaitMillis) * time.Millisecond,
		})
	default:
		return figpier.Refuse(figpier.RefusalClaimUnknown)
	}
}

// attempt implements figpier.Claim. Its ID distinguishes it from other attempts at the same key.
type attempt struct {
	claims *Claims
	key    claim.Key
	id     claim.AttemptID
}

// requestClaim asks the acting primary for the claim, and its successors, until one answers or the context ends.
func (a *attempt) requestClaim(ctx context.Context, interval time.Duration) (message.ClaimAnswer, bool) {
	m := message.ClaimAsk{
		Shard:          int(shard.ForClaim(a.key)),
		Key:            codec.FromClaimKey(a.key),
		Attempt:        string(a.id),
		IntervalMillis: int(interval.Milliseconds()),
	}
	for ctx.Err() == nil {
		var answer message.ClaimAnswer
		if a.askPrimary(ctx, figpier.MethodClaim, m, &answer) && answer.Acting {
			return answer, ctx.Err() == nil
		}
		a.waitRetryPause(ctx)
	}
	return message.ClaimAnswer{}, false
}

// askPrimary sends a message to the primary and reports whether it answered. The locator forgets a primary that failed or is
// not acting, so that the next try looks it up again.
func (a *attempt) askPrimary(ctx context.Context, method figpier.Method, m, answer any) bool {
	id := uint32(shard.ForClaim(a.key))
	address, err := a.claims.locator.Primary(ctx, id)
	if err != nil {
		return false
	}
	// The deadline of ctx is not passed on: cancelling a call keeps the shared connection, a passed deadline closes it.
	askCtx, cancel := context.WithTimeout(a.claims.runCtx, answerTimeout)
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	if err := a.claims.messenger.Request(askCtx, address, method, m, answer); err != nil {
		a.claims.locator.Invalidate(id, address)
		return false
	}
	if !isActing(answer) {
		a.claims.locator.Invalidate(id, address)
	}
	return true
}

// isActing reports whether an answer came from an acting primary.
func isActing(answer any) bool {
	switch a := answer.(type) {
	case *message.ClaimAnswer:
		return a.Acting
	case *message.ClaimEnded:
		return a.Acting
	default:
		return false
	}
}

func (a *attempt) waitRetryPause(ctx context.Context) {
	elapsed := make(chan struct{})
	cancel := a.claims.clock.AfterFunc(retryPause, func() { close(elapsed) })
	defer cancel()
	select {
	case <-ctx.Done():
	case <-elapsed:
	}
}

// Finish implements figpier.Claim. If the request was proven not to have run, it waits up to freeTimeout for the claim to be
// freed, so that a retry by the caller does not find it running.
func (a *attempt) Finish(ctx context.Context, o figpier.Outcome) {
	s := stateAfter(o.Kind())
	done := a.reportEnd(s)
	if s != claim.StateNotRun {
		return
	}
	elapsed := make(chan struct{})
	cancel := a.claims.clock.AfterFunc(releaseTimeout, func() { close(elapsed) })
	defer cancel()
	select {
	case <-done:
	case <-elapsed:
	case <-ctx.Done():
	}
}

// stateAfter returns the state of a claim after an attempt with an outcome.
func stateAfter(o figpier.OutcomeKind) claim.State {
	switch o {
	case figpier.OutcomeDone:
		return claim.StateFinished
	case figpier.OutcomeNotRun, figpier.OutcomeOverloaded, figpier.OutcomeUnreached:
		return claim.StateNotRun
	default:
		return claim.StateUnknown
	}
}

// reportEnd sends the state to the primary until it is recorded or endTimeout has passed. The channel is closed in either
// case.
func (a *attempt) reportEnd(s claim.State) <-chan struct{} {
	done := make(chan struct{})
	m := message.ClaimEnd{
		Shard:   int(shard.ForClaim(a.key)),
		Key:     codec.FromClaimKey(a.key),
		Attempt: string(a.id),
		State:   int(s),
	}
	a.claims.endings.Go(func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(a.claims.runCtx, endTimeout)
		defer cancel()
		for ctx.Err() == nil {
			var answer message.ClaimEnded
			if a.askPrimary(ctx, figpier.MethodClaimEnd, m, &answer) && answer.Acting {
				return
			}
			a.waitRetryPause(ctx)
		}
	})
	return done
}
