package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/figpier/figpier"
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
	// unansweredRetryAfter is the Retry-After of a refusal because the pool did not answer. By then the node polls another
	// control instance or spends its part itself.
	unansweredRetryAfter = 500 * time.Millisecond
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
	// idleControl is the control instance whose pool does not grant tokens yet, and idleSince is when that was first seen.
	idleControl string
	idleSince   time.Time
	lastLogged  time.Time
	nodeCount   int       // as used for shares; follows a lower reported number after nodeCountHold
	nodeCountAt time.Time // when at least nodeCount nodes were reported last
}

// New returns a limiter that has not started.
func New(c Config) *Limiter {
	return &Limiter{config: c, debt: policy.NewDebt(rand.Float64())}
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

// Take implements figpier.Limiter. The limit applies to all services together.
func (l *Limiter) Take(ctx context.Context, c figpier.CustomerID, _ figpier.UpstreamService) error {
	limit, ok := l.accountLimit(c)
	if !ok || l.takeOwn(c, limit) {
		return nil
	}
	wait, granted := l.takeFromPool(ctx, c, limit)
	if granted {
		return nil
	}
	return figpier.NewRefusal(figpier.RefusalConfig{Reason: figpier.RefusalOverRate, RetryAfter: wait})
}

// takeFromPool asks the control instance for a token of the pool, and falls back to credit or the node's part of the
// pool. If no token was granted, wait is the Retry-After of the refusal.
func (l *Limiter) takeFromPool(ctx context.Context, c figpier.CustomerID, limit figpier.Limit) (wait time.Duration, granted bool) {
	a, err := l.askPool(ctx, c)
	switch {
	case err != nil:
		return l.takeUnanswered(c, limit, err)
	case a.Idle:
		return l.takeWhilePoolIdle(c, limit)
	}
	l.poolAnswered()
	return time.Duration(a.WaitMillis) * time.Millisecond, a.Granted
}

// takeOwn spends a token of the node's own share.
func (l *Limiter) takeOwn(c figpier.CustomerID, limit figpier.Limit) bool {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.nodeTable.Take(now, c, limit, l.nodeTable.NodeShare(limit, l.countNodes(now)))
	return ok
}

// askPool asks the control instance that this node polls for a token, and repays the customer's debt.
func (l *Limiter) askPool(ctx context.Context, c figpier.CustomerID) (message.PoolAnswer, error) {
	askCtx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	l.mu.Lock()
	m := message.PoolAsk{Customer: string(c), Owed: l.debt.Owed(c), Nodes: l.countNodes(l.clock.Now())}
	l.mu.Unlock()
	var a message.PoolAnswer
	err := l.messenger.Request(askCtx, l.view.ControlAddress(), figpier.MethodPool, m, &a)
	if err == nil && a.Paid > 0 {
		l.mu.Lock()
		l.debt.Repay(c, a.Paid)
		l.mu.Unlock()
	}
	return a, err
}

// takeUnanswered handles a failed request to the pool. It admits on credit while the pool may still count this node, and
// spends the node's part of the pool after poolLossTime.
func (l *Limiter) takeUnanswered(c figpier.CustomerID, limit figpier.Limit, cause error) (wait time.Duration, ok bool) {
	now := l.clock.Now()
	sincePoll := now.Sub(l.view.LastPoll())
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.lastLogged) >= logInterval {
		l.lastLogged = now
		l.config.Log.WithError(cause).WithFields(logrus.Fields{
			"control":  l.view.ControlAddress(),
			"polled":   sincePoll.String(),
			"customer": string(c),
			"alone":    sincePoll > poolLossTime,
		}).Warn("the pool of customers' limits does not answer")
	}
	if sincePoll <= poolLossTime {
		return unansweredRetryAfter, l.borrow(now, c, limit)
	}
	return l.takeAlone(now, c, limit)
}

// takeWhilePoolIdle handles a pool that does not grant tokens yet. It admits on credit until no previous pool can still
// count this node, and spends the node's part of the pool after that.
func (l *Limiter) takeWhilePoolIdle(c figpier.CustomerID, limit figpier.Limit) (wait time.Duration, ok bool) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if control := l.view.ControlAddress(); control != l.idleControl {
		l.idleControl, l.idleSince = control, now
	}
	if now.Sub(l.idleSince) <= poolLossTime {
		return unansweredRetryAfter, l.borrow(now, c, limit)
	}
	return l.takeAlone(now, c, limit)
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
func (l *Limiter) takeAlone(now time.Time, c figpier.CustomerID, limit figpier.Limit) (wait time.Duration, ok bool) {
	if l.aloneTable == nil {
		// The table starts empty, because the pool may have spent this node's part until now.
		l.aloneTable = l.newTable(now)
	}
	return l.aloneTable.Take(now, c, limit, l.aloneTable.IsolatedShare(limit, l.countNodes(now)))
}

// poolAnswered goes back to the pool after it has answered.
func (l *Limiter) poolAnswered() {
	l.mu.Lock()
	defer l.mu.Unlock()
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
