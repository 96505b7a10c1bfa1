package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/bucket"
	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

// tokenSource spends and renews the tokens of one customer at one service.
type tokenSource struct {
	limiter *Limiter
	key     sourceKey
	shard   uint32
	// users is the number of requests that use the source, guarded by limiter.mu.
	users int
	wake  chan struct{}

	mu       sync.Mutex // guards the fields below
	holder   *bucket.Holder
	waiters  []*waiter
	renewing bool // renewLoop runs
}

// waiter is a request that waits for a token.
type waiter struct {
	arrived time.Time
	verdict chan bucket.Verdict
}

// take spends a token, and waits for one for at most Config.MaxWait. It returns a *figpier.Refusal if it got none.
func (s *tokenSource) take(ctx context.Context) error {
	defer s.limiter.releaseSource(s)
	v, w := s.spendOrQueue()
	if w == nil {
		return verdictError(v)
	}
	timeout := make(chan struct{})
	cancel := s.limiter.clock.AfterFunc(s.limiter.config.MaxWait, func() { close(timeout) })
	defer cancel()
	select {
	case v := <-w.verdict:
		return verdictError(v)
	case <-timeout:
	case <-ctx.Done():
	}
	return s.stopWaiting(w)
}

// verdictError returns the refusal for a verdict other than VerdictSpent.
func verdictError(v bucket.Verdict) error {
	if v == bucket.VerdictSpent {
		return nil
	}
	return figpier.Refuse(figpier.RefusalOverRate)
}

// spendOrQueue spends a token, or returns a waiter if it has to wait for one.
func (s *tokenSource) spendOrQueue() (bucket.Verdict, *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.limiter.clock.Now()
	v := s.holder.AddRequest(now)
	var w *waiter
	if v == bucket.VerdictWait {
		w = &waiter{arrived: now, verdict: make(chan bucket.Verdict, 1)}
		s.waiters = append(s.waiters, w)
		s.holder.SetWaiting(len(s.waiters))
	}
	s.startRenewal()
	return v, w
}

// startRenewal starts renewLoop, or wakes it if it is running. s.mu must be held.
func (s *tokenSource) startRenewal() {
	if !s.renewing {
		s.renewing = true
		go s.renewLoop(s.limiter.runCtx)
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// stopWaiting removes a waiter and returns its refusal. The customer is over its rate only if the bucket reported that it
// was empty during the wait; otherwise it is unknown whether it is. A verdict that came in the meantime takes precedence.
func (s *tokenSource) stopWaiting(w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.waiters {
		if other == w {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			s.holder.SetWaiting(len(s.waiters))
			if s.holder.EmptySince(w.arrived) {
				return figpier.Refuse(figpier.RefusalOverRate)
			}
			return figpier.Refuse(figpier.RefusalRateUnknown)
		}
	}
	return verdictError(<-w.verdict)
}

// serveWaiters gives tokens or refusals to the waiters, the oldest first, until it runs out of tokens. s.mu must be held.
func (s *tokenSource) serveWaiters(now time.Time) {
	for len(s.waiters) > 0 {
		v := s.holder.Take(now)
		if v == bucket.VerdictWait {
			return
		}
		s.waiters[0].verdict <- v
		s.waiters = s.waiters[1:]
		s.holder.SetWaiting(len(s.waiters))
	}
}

// renewLoop sends the holder's requests when they are due, and ends when none will be due without another call.
func (s *tokenSource) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		a, due, nextCheck, more := s.nextAsk()
		switch {
		case !more:
			return
		case due:
			go s.askForTokens(ctx, a)
		default:
			s.waitUntil(ctx, nextCheck)
		}
	}
}

// nextAsk returns the request that is due now or when to check again; more is false when the loop ends.
func (s *tokenSource) nextAsk() (a bucket.TokenRequestConfig, due bool, nextCheck time.Time, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, due, nextCheck = s.holder.Next(s.limiter.clock.Now())
	if !due && nextCheck.IsZero() {
		s.renewing = false
		return a, false, nextCheck, false
	}
	return a, due, nextCheck, true
}

// waitUntil waits until a time, or until startRenewal wakes the loop.
func (s *tokenSource) waitUntil(ctx context.Context, until time.Time) {
	elapsed := make(chan struct{})
	cancel := s.limiter.clock.AfterFunc(until.Sub(s.limiter.clock.Now()), func() { close(elapsed) })
	defer cancel()
	select {
	case <-ctx.Done():
	case <-s.wake:
	case <-elapsed:
	}
}

// askForTokens sends a request and serves waiters with its answer. The holder ignores the answer if a later request was sent.
func (s *tokenSource) askForTokens(ctx context.Context, a bucket.TokenRequestConfig) {
	g, ok := s.askPrimary(ctx, a)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.limiter.clock.Now()
	if ok {
		s.holder.HandleGrant(g, now)
	} else {
		s.holder.HandleFailure(a.Sequence, now.Add(retryPause))
	}
	s.serveWaiters(now)
	s.startRenewal()
}

// askPrimary sends a request to the primary of the shard. It returns false if that failed or the instance is not the acting
// primary, which the locator then forgets.
func (s *tokenSource) askPrimary(ctx context.Context, a bucket.TokenRequestConfig) (bucket.Grant, bool) {
	address, err := s.limiter.locator.Primary(ctx, s.shard)
	if err != nil {
		return bucket.Grant{}, false
	}
	m := codec.FromTokenAsk(a)
	m.Shard = int(s.shard)
	m.Customer = string(s.key.customer)
	m.Service = string(s.key.service)
	askCtx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	var g message.TokenGrant
	err = s.limiter.messenger.Request(askCtx, address, figpier.MethodTokens, m, &g)
	if err != nil || !g.Acting {
		s.limiter.locator.Invalidate(s.shard, address)
		return bucket.Grant{}, false
	}
	return codec.ToGrant(g), true
}

// idle reports whether the source has neither leases nor waiters. The limiter's lock is held.
func (s *tokenSource) idle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.renewing && len(s.waiters) == 0 && s.holder.Idle(now)
}
