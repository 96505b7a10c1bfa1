package quota

import (
	"math"
	"time"

	"github.com/figpier/figpier"
)

// Constants for the division of a limit.
const (
	// bucketExcessFraction is the fraction of the allowed excess that is added to the depth of buckets to absorb uneven
	// traffic. The rest covers the time during which processes disagree on their number and on the limit.
	bucketExcessFraction = 0.3
	// loanExcessFraction is the fraction of the allowed excess that all nodes together may owe the pools.
	loanExcessFraction = 0.2
	// nodeFraction is the fraction of a large limit that the nodes spend without asking a pool.
	nodeFraction = 0.5
	// minBucketDepth is the minimum depth of the bucket of a node's own share. A smaller bucket would be emptied by two
	// concurrent requests, so the whole limit is left to the pools.
	minBucketDepth = 2
	// startExcessFraction is the fraction of the allowed excess with which the buckets of a new table begin, if Config.Credit says
	// so. It serves the first seconds after a restart; what is left of the excess covers a second restart within the window.
	startExcessFraction = 0.25
	// keptTime is the time for whose requests of the highest priority class those of lower ones leave tokens, and keptFraction
	// bounds these tokens as a fraction of the bucket. A request one class below the highest leaves half as many.
	keptTime     = time.Second
	keptFraction = 0.3
	keptClasses  = 2
	// demandTime is the time constant of the average of the requests of the highest class.
	demandTime = 2 * time.Second
	// maxWait bounds the times to come back, which would overflow for very low rates.
	maxWait = time.Hour
	// maxTransfer bounds the tokens of one transfer, which would overflow for very high limits.
	maxTransfer = 1 << 20
	// maxReservation is the time ahead for which tokens are reserved.
	maxReservation = 250 * time.Millisecond
	// sweepInterval is the time between removals of unused buckets, and the age at which they are removed.
	sweepInterval = time.Minute
)

// Config holds the arguments of New.
type Config struct {
	// Window is the period over which the excess of the whole fleet is bounded.
	Window time.Duration
	// OverageFraction is the fraction by which the fleet may exceed a limit within the window.
	OverageFraction float64
	// SlackRequests is the number of requests by which the fleet may exceed a limit within the window in addition to OverageFraction.
	SlackRequests float64
	// Start is the time from which empty buckets are filled, since earlier spending is not known.
	Start time.Time
	// Credit makes buckets begin with a part of the allowed excess.
	Credit bool
	// Held returns the number of nodes that hold the share of this table at a time, and the time since Start for which nodes have held
	// it, added up over the nodes. It is nil where the share was held by the same number all the time.
	Held func(now time.Time) (nodes int, total time.Duration)
}

// Table holds a token bucket for each recently active customer. It is not safe for concurrent use.
//
// A limit is divided between the nodes, each of which spends an equal share by itself, and the control instances, each of
// which spends part of the rest for the nodes that poll it. The shares add up to at most one, so that a network partition
// never lets a customer exceed the sum of the shares on its two sides.
type Table struct {
	config    Config
	buckets   map[figpier.CustomerID]*bucket
	lastSweep time.Time
}

type bucket struct {
	tokens  float64
	updated time.Time
	// held is the total of Config.Held as of updated.
	held time.Duration
	// demand is the exponentially decayed number of requests of the highest priority class, as of updated.
	demand float64
}

// New returns a table whose buckets are empty at Config.Start.
func New(c Config) *Table {
	return &Table{config: c, buckets: map[figpier.CustomerID]*bucket{}}
}

// NodeShare returns the fraction of a limit that each node spends without asking a pool. It is 0 for a small limit, and
// while the number of nodes is not known, which is passed as 0.
func (t *Table) NodeShare(l figpier.Limit, nodes int) float64 {
	if nodes == 0 {
		return 0
	}
	share := nodeFraction / float64(nodes)
	if share*t.bucketDepth(l) < minBucketDepth {
		return 0
	}
	return share
}

// PoolShare returns the fraction of a limit that a control instance spends for the nodes that poll it.
func (t *Table) PoolShare(l figpier.Limit, polling, nodes int) float64 {
	rest := 1 - t.NodeShare(l, nodes)*float64(max(1, nodes))
	return rest * float64(polling) / float64(max(1, polling, nodes))
}

// IsolatedShare returns the fraction of a limit that a node spends in addition to NodeShare while no control instance answers.
func (t *Table) IsolatedShare(l figpier.Limit, nodes int) float64 {
	if nodes == 0 {
		return 0
	}
	return 1/float64(nodes) - t.NodeShare(l, nodes)
}

// Loan returns the number of requests that a node may owe the pools. It is fractional; Debt rounds it.
func (t *Table) Loan(l figpier.Limit, nodes int) float64 {
	if nodes == 0 {
		return 0
	}
	return loanExcessFraction * t.allowedExcess(l) / float64(nodes)
}

// Settle spends up to owed tokens of a share for requests that a node admitted on credit, and returns the number spent.
func (t *Table) Settle(now time.Time, c figpier.CustomerID, l figpier.Limit, share float64, owed int) (paid int) {
	for paid < owed {
		if _, ok := t.Take(now, c, l, share, figpier.HighestPriority); !ok {
			return paid
		}
		paid++
	}
	return paid
}

// TakeAll takes all whole tokens of a customer that a request of a priority class may spend, for transfer to another table. A
// customer that is active here has few.
func (t *Table) TakeAll(now time.Time, c figpier.CustomerID, l figpier.Limit, share float64, p figpier.PriorityClass) (tokens int) {
	if l.Rate() <= 0 || share <= 0 {
		return 0
	}
	b := t.refill(now, c, l, share)
	tokens = int(min(max(0, b.tokens-t.keptTokens(b, l, share, p)), maxTransfer))
	b.tokens -= float64(tokens)
	return tokens
}

// Add adds tokens from TakeAll of another table. Tokens above the depth of the share are discarded at the next refill.
func (t *Table) Add(c figpier.CustomerID, tokens int) {
	t.bucket(c).tokens += float64(tokens)
}

// Take spends a token from a share of a customer's limit, or returns the time until one is available. A rate of 0 or less is
// no limit. A request below the highest priority class leaves a part of the bucket to those above it, so that a customer at its
// limit loses its least important requests first.
func (t *Table) Take(now time.Time, c figpier.CustomerID, l figpier.Limit, share float64, p figpier.PriorityClass) (wait time.Duration, ok bool) {
	if l.Rate() <= 0 {
		return 0, true
	}
	if share <= 0 {
		return t.config.Window, false
	}
	t.sweep(now)
	b := t.refill(now, c, l, share)
	if p == figpier.HighestPriority {
		b.demand++
	}
	needed := 1 + t.keptTokens(b, l, share, p)
	if b.tokens < needed {
		return waitFor(needed-b.tokens, l.Rate()*share), false
	}
	b.tokens--
	return 0, true
}

// waitFor returns the time in which a rate earns tokens, at most maxWait.
func waitFor(tokens, rate float64) time.Duration {
	return time.Duration(min(tokens/rate, maxWait.Seconds()) * float64(time.Second))
}

// Reserve spends a token like Take, or reserves one that will be earned within maxReservation. The request must then be held
// for the returned time.
func (t *Table) Reserve(now time.Time, c figpier.CustomerID, l figpier.Limit, share float64, p figpier.PriorityClass) (wait time.Duration, ok bool) {
	wait, ok = t.Take(now, c, l, share, p)
	if ok || wait > maxReservation || share <= 0 {
		return wait, ok
	}
	t.bucket(c).tokens--
	return wait, true
}

// refill returns the bucket of a customer after adding the tokens that a share of its limit earned since the last update.
func (t *Table) refill(now time.Time, c figpier.CustomerID, l figpier.Limit, share float64) *bucket {
	b, known := t.buckets[c]
	if !known {
		b = t.bucket(c)
		if t.config.Credit {
			b.tokens = startExcessFraction * t.allowedExcess(l) * share
		}
	}
	elapsed := max(0, now.Sub(b.updated).Seconds())
	earned := l.Rate() * share * t.earningSeconds(b, now)
	b.demand *= math.Exp(-elapsed / demandTime.Seconds())
	b.tokens = math.Min(t.maxTokens(l, share), b.tokens+earned)
	b.updated = now
	return b
}

// earningSeconds returns the time in seconds for which a share has earned tokens since the last update of a bucket. Nodes that have come
// to this table meanwhile spent their part of the limit elsewhere before.
func (t *Table) earningSeconds(b *bucket, now time.Time) float64 {
	if t.config.Held == nil {
		return max(0, now.Sub(b.updated).Seconds())
	}
	nodes, total := t.config.Held(now)
	earned := total - b.held
	b.held = total
	if nodes == 0 {
		return 0
	}
	return max(0, earned.Seconds()) / float64(nodes)
}

// maxTokens returns the number of tokens at which the bucket of a share is full.
func (t *Table) maxTokens(l figpier.Limit, share float64) float64 {
	return max(1, t.bucketDepth(l)*share)
}

// keptTokens returns the number of tokens that a request of a class leaves in a bucket for the requests of the highest class that
// are expected within keptTime. A full bucket always has a token above them.
func (t *Table) keptTokens(b *bucket, l figpier.Limit, share float64, p figpier.PriorityClass) float64 {
	expected := b.demand / demandTime.Seconds() * keptTime.Seconds()
	most := keptFraction * (t.maxTokens(l, share) - 1)
	return float64(min(p, keptClasses)) / keptClasses * min(expected, most)
}

// bucketDepth returns the depth of the whole limit: its burst and a fraction of the allowed excess.
func (t *Table) bucketDepth(l figpier.Limit) float64 {
	return l.Burst() + bucketExcessFraction*t.allowedExcess(l)
}

// allowedExcess returns the number of requests by which the fleet may exceed a limit within the window.
func (t *Table) allowedExcess(l figpier.Limit) float64 {
	return t.config.OverageFraction*(l.Rate()*t.config.Window.Seconds()+l.Burst()) + t.config.SlackRequests
}

// bucket returns the bucket of a customer, which is created empty if there is none.
func (t *Table) bucket(c figpier.CustomerID) *bucket {
	b, known := t.buckets[c]
	if !known {
		b = &bucket{updated: t.config.Start}
		t.buckets[c] = b
	}
	return b
}

func (t *Table) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	for c, b := range t.buckets {
		if now.Sub(b.updated) > sweepInterval {
			delete(t.buckets, c)
		}
	}
}
