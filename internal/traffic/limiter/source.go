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

// till spends and renews the tokens of one customer at one service.
type till struct {
	limiter *Limiter
	name    tillName
	shard   uint32
	// users is guarded by the limiter's lock.
	users int
	kick  chan struct{}

	mu      sync.Mutex
	holder  *bucket.Holder
	waiters []*waiter
	running bool
}

// waiter is a request that waits for a token.
type waiter struct {
	arrived time.Time
	verdict chan bucket.Verdict
}

// take spends a token, waiting for it as long as the limiter's patience lasts.
func (t *till) take(ctx context.Context) error {
	defer t.limiter.done(t)
	v, w := t.arrive()
	if w == nil {
		return answer(v)
	}
	over := make(chan struct{})
	cancel := t.limiter.clock.AfterFunc(t.limiter.config.Patience, func() { close(over) })
	defer cancel()
	select {
	case v := <-w.verdict:
		return answer(v)
	case <-over:
	case <-ctx.Done():
	}
	return t.giveUp(w)
}

func answer(v bucket.Verdict) error {
	if v == bucket.VerdictSpent {
		return nil
	}
	return figpier.Refuse(figpier.RefusalOverRate)
}

// arrive spends a token at once, or returns a waiter.
func (t *till) arrive() (bucket.Verdict, *waiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.limiter.clock.Now()
	v := t.holder.Arrive(now)
	var w *waiter
	if v == bucket.VerdictWait {
		w = &waiter{arrived: now, verdict: make(chan bucket.Verdict, 1)}
		t.waiters = append(t.waiters, w)
		t.holder.SetWaiting(len(t.waiters))
	}
	t.run()
	return v, w
}

// run makes sure that tokens are renewed and reported.
func (t *till) run() {
	if !t.running {
		t.running = true
		go t.renew(t.limiter.work)
		return
	}
	select {
	case t.kick <- struct{}{}:
	default:
	}
}

// giveUp ends a wait; the customer is over its rate only if the bucket itself had no token meanwhile.
func (t *till) giveUp(w *waiter) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, o := range t.waiters {
		if o == w {
			t.waiters = append(t.waiters[:i], t.waiters[i+1:]...)
			t.holder.SetWaiting(len(t.waiters))
			if t.holder.EmptySince(w.arrived) {
				return figpier.Refuse(figpier.RefusalOverRate)
			}
			return figpier.Refuse(figpier.RefusalRateUnknown)
		}
	}
	return answer(<-w.verdict)
}

// serve gives waiting requests what the holder has, the oldest first.
func (t *till) serve(now time.Time) {
	for len(t.waiters) > 0 {
		v := t.holder.Take(now)
		if v == bucket.VerdictWait {
			return
		}
		t.waiters[0].verdict <- v
		t.waiters = t.waiters[1:]
		t.holder.SetWaiting(len(t.waiters))
	}
}

// renew asks for tokens and reports spent ones whenever the holder calls for it, and ends when it does not.
func (t *till) renew(ctx context.Context) {
	for ctx.Err() == nil {
		a, due, later, more := t.next()
		switch {
		case !more:
			return
		case due:
			go t.ask(ctx, a)
		default:
			t.wait(ctx, later)
		}
	}
}

func (t *till) next() (a bucket.AskConfig, due bool, later time.Time, more bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, due, later = t.holder.Next(t.limiter.clock.Now())
	if !due && later.IsZero() {
		t.running = false
		return a, false, later, false
	}
	return a, due, later, true
}

func (t *till) wait(ctx context.Context, until time.Time) {
	over := make(chan struct{})
	cancel := t.limiter.clock.AfterFunc(until.Sub(t.limiter.clock.Now()), func() { close(over) })
	defer cancel()
	select {
	case <-ctx.Done():
	case <-t.kick:
	case <-over:
	}
}

// ask sends a request; when it is overtaken by another, its answer comes too late and is ignored.
func (t *till) ask(ctx context.Context, a bucket.AskConfig) {
	g, ok := t.send(ctx, a)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.limiter.clock.Now()
	if ok {
		t.holder.Answered(g, now)
	} else {
		t.holder.Failed(a.Sequence, now.Add(retryTime))
	}
	t.serve(now)
	t.run()
}

// send asks the primary of the bucket's shard.
func (t *till) send(ctx context.Context, a bucket.AskConfig) (bucket.Grant, bool) {
	address, err := t.limiter.locator.Primary(ctx, t.shard)
	if err != nil {
		return bucket.Grant{}, false
	}
	m := codec.FromTokenAsk(a)
	m.Shard = int(t.shard)
	m.Customer = string(t.name.customer)
	m.Service = string(t.name.service)
	ask, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	var g message.TokenGrant
	err = t.limiter.messenger.Ask(ask, address, figpier.MethodTokens, m, &g)
	if err != nil || !g.Acting {
		t.limiter.locator.Forget(t.shard, address)
		return bucket.Grant{}, false
	}
	return codec.ToGrant(g), true
}

func (t *till) idle(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.running && len(t.waiters) == 0 && t.holder.Idle(now)
}
