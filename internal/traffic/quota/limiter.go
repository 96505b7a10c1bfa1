package quota

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/comeback"
	policy "github.com/figpier/figpier/internal/policy/quota"
	"github.com/figpier/figpier/internal/wire/message"
)

// Times of the division of limits between nodes and control instances.
const (
	// nodeCountHold is how long the reported number of nodes must stay lower before a node takes a larger share. A control
	// instance that has just started reports too few.
	nodeCountHold = 5 * time.Second
	// answerTimeout allows several round trips between regions.
	answerTimeout = 150 * time.Millisecond
	// poolLossTime is how long no poll must have been answered before a node spends its part of the pool itself. A control
	// instance spends that part for 1.5 s after a poll, and the last poll that reached it may have been sent up to 1 s
	// after the last one that was answered.
	poolLossTime = 2500 * time.Millisecond
	// unansweredWait is the least Retry-After of a refusal because the pool did not answer. By then the node polls another
	// control instance or spends its part itself.
	unansweredWait = 300 * time.Millisecond
	// silentPoolInterval is how long a pool that did not answer, or that grants no tokens yet, is only asked if all others did so too.
	silentPoolInterval = 300 * time.Millisecond
	// retryInterval is the time between two tries of a request that waits while no pool grants tokens.
	retryInterval = 100 * time.Millisecond
	// maxPoolsAsked is the number of pools that a request asks in one try.
	maxPoolsAsked = 2
	// logInterval is the least time between two log lines about a pool that does not answer.
	logInterval = time.Second
)

// Config configures a Limiter.
type Config struct {
	// Window is the time over which the fleet may exceed a limit by OverageFraction and SlackRequests.
	Window time.Duration
	// OverageFraction is the share of a limit by which the fleet may exceed it within Window.
	OverageFraction float64
	// SlackRequests is the number of requests by which the fleet may exceed a limit within Window, in addition to OverageFraction.
	SlackRequests float64
	// Log receives lines while the pool does not answer, and one when it answers after the node was without a pool.
	Log *logrus.Entry
}

// Limiter implements figpier.Limiter for the accounts of the routing table. It is safe for concurrent use.
type Limiter struct {
	config    Config
	clock     figpier.Clock
	view      figpier.ConfigurationView
	messenger figpier.Messenger

	// started is when the process started.
	started time.Time

	mu sync.Mutex // guards the fields below
	// nodeTable spends the node's own share.
	nodeTable *policy.Table
	// aloneTable spends the node's part of the pool while no control instance answers, nil while one does.
	aloneTable *policy.Table
	// debt counts the requests admitted on credit while the pool did not answer but may still have counted this node.
	debt *policy.Debt
	// avoided holds the pools that granted nothing when they were last asked, by the address of their control instance.
	avoided map[string]avoidance
	// idleControl is the control instance whose pool does not grant tokens yet, and idleSince is when that was first seen.
	idleControl string
	idleSince   time.Time
	lastLogged  time.Time
	// turns are those of the requests that no pool answered.
	turns       comeback.Queue
	nodeCount   int       // as used for shares; follows a lower reported number after nodeCountHold
	nodeCountAt time.Time // when at least nodeCount nodes were reported last
}

// New returns a limiter that has not started.
func New(c Config) *Limiter {
	return &Limiter{config: c, debt: policy.NewDebt(rand.Float64()), avoided: map[string]avoidance{}}
}

// Name implements figpier.Service.
func (l *Limiter) Name() figpier.ServiceName { return figpier.LimiterService }

// Start implements figpier.Service.
func (l *Limiter) Start(_ context.Context, d figpier.Directory) (err error) {
	l.clock = d.Clock()
	if l.view, err = figpier.FindView(d); err != nil {
		return err
	}
	l.started = l.clock.Now()
	l.nodeTable = l.newTable(l.started)
	l.messenger, err = figpier.FindMessenger(d)
	return err
}

// newTable returns a table whose buckets are empty and fill from now on.
func (l *Limiter) newTable(now time.Time) *policy.Table {
	return policy.New(policy.Config{
		Window:          l.config.Window,
		OverageFraction: l.config.OverageFraction,
		SlackRequests:   l.config.SlackRequests,
		Start:           now,
	})
}

// Stop implements figpier.Service.
func (l *Limiter) Stop(context.Context) error { return nil }

// Take implements figpier.Limiter. The limit applies to all services together. While no pool grants tokens, the request tries
// again until its patience is over, as control instances that restart are back within seconds.
func (l *Limiter) Take(ctx context.Context, r figpier.TokenRequest) error {
	limit, ok := l.accountLimit(r.Customer())
	if !ok {
		return nil
	}
	giveUp := l.clock.Now().Add(r.Patience())
	for {
		if l.takeOwn(r, limit) {
			return nil
		}
		t := l.takeFromPool(ctx, r, limit, giveUp)
		switch {
		case t.granted:
			return l.wait(ctx, t.wait)
		case t.answered:
			return figpier.NewRefusal(figpier.RefusalConfig{Reason: figpier.RefusalOverRate, RetryAfter: t.wait})
		case l.clock.Now().Add(retryInterval).After(giveUp):
			return l.refuseUnanswered(r, t.wait)
		}
		if err := l.wait(ctx, retryInterval); err != nil {
			return err
		}
	}
}

// refuseUnanswered returns the refusal of a request that no pool answered, with a turn of its own to come back after wait.
func (l *Limiter) refuseUnanswered(r figpier.TokenRequest, wait time.Duration) *figpier.Refusal {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	turn := l.turns.Turn(now, r.Priority(), 0, wait)
	return figpier.NewRefusal(figpier.RefusalConfig{Reason: figpier.RefusalOverRate, RetryAfter: turn})
}

// wait returns after a time, or with a refusal once the caller has given up.
func (l *Limiter) wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	over := make(chan struct{})
	cancel := l.clock.AfterFunc(d, func() { close(over) })
	defer cancel()
	select {
	case <-over:
		return nil
	case <-ctx.Done():
		return figpier.Refuse(figpier.RefusalGivenUp)
	}
}

// taking is the result of a request for a token.
type taking struct {
	granted bool
	// answered means that a pool that grants tokens has answered.
	answered bool
	// wait is how long to hold the request if the token is granted, and the Retry-After of its refusal otherwise.
	wait time.Duration
}

// takeFromPool asks the near pools for a token, one of them if the request can wait no longer, and falls back to credit or the
// node's part of the pool.
func (l *Limiter) takeFromPool(ctx context.Context, r figpier.TokenRequest, limit figpier.Limit, giveUp time.Time) taking {
	var err error
	idle := false
	for i, address := range l.poolsToAsk() {
		if i > 0 && l.clock.Now().After(giveUp) {
			break
		}
		var a message.PoolAnswer
		if a, err = l.askPool(ctx, address, r); err == nil && !a.Idle {
			l.poolAnswered(address)
			return taking{granted: a.Granted, answered: true, wait: time.Duration(a.WaitMillis) * time.Millisecond}
		}
		idle = idle || err == nil
		l.avoid(address, err)
	}
	var t taking
	if idle {
		t.wait, t.granted = l.takeWhilePoolIdle(r, limit)
	} else {
		t.wait, t.granted = l.takeUnanswered(r, limit, err)
	}
	if t.granted {
		t.wait = 0
	}
	return t
}

// avoidance is why and until when a pool is not asked.
type avoidance struct {
	// since is when the pool first granted nothing.
	since time.Time
	until time.Time
	// lost means that its control instance could not be connected to, or has not answered for silentPoolInterval.
	lost bool
}

// poolsToAsk returns the addresses of the pools to ask: that of the control instance that the node polls, and then near ones.
// Those that granted nothing lately are left out. If they all did, the first is asked unless it is lost.
func (l *Limiter) poolsToAsk() []string {
	now := l.clock.Now()
	all := l.view.ControlAddresses()
	l.mu.Lock()
	defer l.mu.Unlock()
	var addresses []string
	for _, a := range all {
		if len(addresses) < maxPoolsAsked && !now.Before(l.avoided[a].until) {
			addresses = append(addresses, a)
		}
	}
	if len(addresses) == 0 && !l.avoided[all[0]].lost {
		return all[:1]
	}
	return addresses
}

// avoid keeps a pool that granted nothing from being asked for silentPoolInterval. err is that of the request, nil if the pool
// is idle.
func (l *Limiter) avoid(address string, err error) {
	unreached := (*figpier.UnreachedError)(nil)
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	v, known := l.avoided[address]
	if !known {
		v.since = now
	}
	v.until = now.Add(silentPoolInterval)
	v.lost = errors.As(err, &unreached) || err != nil && now.Sub(v.since) >= silentPoolInterval
	l.avoided[address] = v
}

// takeOwn spends a token of the node's own share.
func (l *Limiter) takeOwn(r figpier.TokenRequest, limit figpier.Limit) bool {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.nodeTable.Take(now, r.Customer(), limit, l.nodeTable.NodeShare(limit, l.countNodes(now)), r.Priority())
	return ok
}

// askPool asks a control instance for a token, and repays the customer's debt.
func (l *Limiter) askPool(ctx context.Context, address string, r figpier.TokenRequest) (message.PoolAnswer, error) {
	c := r.Customer()
	askCtx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	l.mu.Lock()
	m := message.PoolAsk{Customer: string(c), Owed: l.debt.Owed(c), Nodes: l.countNodes(l.clock.Now())}
	l.mu.Unlock()
	if p := int(r.Priority()); p > 0 {
		m.Priority = &p
	}
	var a message.PoolAnswer
	err := l.messenger.Request(askCtx, address, figpier.MethodPool, m, &a)
	if err == nil && a.Paid > 0 {
		l.mu.Lock()
		l.debt.Repay(c, a.Paid)
		l.mu.Unlock()
	}
	return a, err
}

// takeUnanswered handles a failed request to the pool. It admits on credit while the pool may still count this node, and
// spends the node's part of the pool after poolLossTime.
func (l *Limiter) takeUnanswered(r figpier.TokenRequest, limit figpier.Limit, cause error) (wait time.Duration, ok bool) {
	now := l.clock.Now()
	sincePoll := now.Sub(l.view.LastPoll())
	l.mu.Lock()
	defer l.mu.Unlock()
	if cause != nil && now.Sub(l.lastLogged) >= logInterval {
		l.lastLogged = now
		l.config.Log.WithError(cause).WithFields(logrus.Fields{
			"control":  l.view.ControlAddress(),
			"polled":   sincePoll.String(),
			"customer": string(r.Customer()),
			"alone":    sincePoll > poolLossTime,
		}).Warn("the pool of customers' limits does not answer")
	}
	if sincePoll <= poolLossTime {
		return unansweredWait, l.borrow(now, r.Customer(), limit)
	}
	return l.takeAlone(now, r, limit)
}

// takeWhilePoolIdle handles a pool that does not grant tokens yet. It admits on credit until no previous pool can still
// count this node, and spends the node's part of the pool after that.
func (l *Limiter) takeWhilePoolIdle(r figpier.TokenRequest, limit figpier.Limit) (wait time.Duration, ok bool) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if control := l.view.ControlAddress(); control != l.idleControl {
		l.idleControl, l.idleSince = control, now
	}
	if now.Sub(l.idleSince) <= poolLossTime {
		return unansweredWait, l.borrow(now, r.Customer(), limit)
	}
	return l.takeAlone(now, r, limit)
}

// borrow admits a request on credit, but not in the first Window after the start, because the debt of the previous process is
// unknown. l.mu must be held.
func (l *Limiter) borrow(now time.Time, c figpier.CustomerID, limit figpier.Limit) bool {
	if now.Sub(l.started) < l.config.Window {
		return false
	}
	return l.debt.Borrow(c, l.nodeTable.Loan(limit, l.countNodes(now)))
}

// takeAlone spends a token of the node's part of the pool. l.mu must be held.
func (l *Limiter) takeAlone(now time.Time, r figpier.TokenRequest, limit figpier.Limit) (wait time.Duration, ok bool) {
	if l.aloneTable == nil {
		// The table starts empty, because the pool may have spent this node's part until now.
		l.aloneTable = l.newTable(now)
	}
	return l.aloneTable.Take(now, r.Customer(), limit, l.aloneTable.IsolatedShare(limit, l.countNodes(now)), r.Priority())
}

// poolAnswered goes back to a pool after it has answered.
func (l *Limiter) poolAnswered(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.avoided, address)
	l.idleControl = ""
	if l.aloneTable == nil {
		return
	}
	l.aloneTable = nil
	l.config.Log.WithField("control", l.view.ControlAddress()).Info("the pool of customers' limits answers again")
}

// accountLimit returns the customer's limit, or false if the routing table has no account for it.
func (l *Limiter) accountLimit(c figpier.CustomerID) (figpier.Limit, bool) {
	t := l.view.Configuration().Table()
	if t == nil {
		return figpier.Limit{}, false
	}
	a, ok := t.Account(c)
	if !ok {
		return figpier.Limit{}, false
	}
	return a.Limit(), true
}

// countNodes returns the number of nodes, which falls only after nodeCountHold. l.mu must be held.
func (l *Limiter) countNodes(now time.Time) int {
	n := l.view.NodeCount()
	if n >= l.nodeCount {
		l.nodeCount, l.nodeCountAt = n, now
	}
	if now.Sub(l.nodeCountAt) > nodeCountHold {
		l.nodeCount, l.nodeCountAt = n, now
	}
	return l.nodeCount
}
