package quota

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
)

var start = time.Unix(100, 0)

// window is the period over which the tests bound the requests of a customer.
const window = 5 * time.Second

func newTable() *Table {
	return New(Config{Window: window, OverageFraction: 0.1, SlackRequests: 20, Start: start})
}

func limit(rate, burst float64) figpier.Limit {
	return figpier.NewLimit(figpier.LimitConfig{Rate: rate, Burst: burst})
}

func TestSharesOfLimitAddUpToOne(t *testing.T) {
	for _, l := range []figpier.Limit{limit(2, 2), limit(16, 16), limit(84, 84), limit(5000, 5000)} {
		for _, nodes := range []int{1, 3, 24, 91, 1000} {
			p := newTable()
			sum := p.NodeShare(l, nodes) * float64(nodes)
			for _, polling := range []int{nodes / 3, nodes - nodes/3} {
				sum += p.PoolShare(l, polling, nodes)
			}
			assert.Assert(t, sum < 1.000001, "limit %v over %d nodes: %v", l, nodes, sum)
			alone := (p.NodeShare(l, nodes) + p.IsolatedShare(l, nodes)) * float64(nodes)
			assert.Assert(t, alone < 1.000001, "limit %v over %d nodes alone: %v", l, nodes, alone)
		}
	}
}

func TestNoWindowExceedsLimit(t *testing.T) {
	for _, l := range []figpier.Limit{limit(2, 2), limit(16, 16), limit(84, 40)} {
		p := newTable()
		var taken []time.Time
		for at := time.Duration(0); at < 30*time.Second; at += 2 * time.Millisecond {
			now := start.Add(at)
			if _, ok := p.Take(now, "valv", l, 1, figpier.HighestPriority); ok {
				taken = append(taken, now)
			}
		}
		most := (l.Rate()*window.Seconds()+l.Burst())*1.1 + 20
		for i, from := range taken {
			n := 0
			for _, at := range taken[i:] {
				if at.Sub(from) < window {
					n++
				}
			}
			assert.Assert(t, float64(n) <= most, "%d of at most %v", n, most)
		}
		assert.Assert(t, float64(len(taken)) > 0.95*l.Rate()*30, "%d taken", len(taken))
	}
}

func TestNewTableStartsWithEmptyBuckets(t *testing.T) {
	p := newTable()
	_, ok := p.Take(start, "valv", limit(10, 50), 1, figpier.HighestPriority)
	assert.Assert(t, !ok, "a new bucket must be empty")
	wait, ok := p.Take(start.Add(50*time.Millisecond), "valv", limit(10, 50), 1, figpier.HighestPriority)
	assert.Assert(t, !ok)
	assert.Equal(t, wait, 50*time.Millisecond)
	_, ok = p.Take(start.Add(100*time.Millisecond), "valv", limit(10, 50), 1, figpier.HighestPriority)
	assert.Assert(t, ok)
}

func TestSharesAreZeroForUnknownNodeCount(t *testing.T) {
	p := newTable()
	assert.Equal(t, p.NodeShare(limit(5000, 5000), 0), 0.0)
	assert.Equal(t, p.IsolatedShare(limit(5000, 5000), 0), 0.0)
	assert.Equal(t, p.Loan(limit(5000, 5000), 0), 0.0)
}

func TestZeroRateIsUnlimited(t *testing.T) {
	_, ok := newTable().Take(start, "valv", limit(0, 0), 0, figpier.HighestPriority)
	assert.Assert(t, ok)
}

// TestReservationsAndCreditKeepTheLimit covers restarts of a pool, each of which begins with a credit, under requests that reserve
// all that they can.
func TestReservationsAndCreditKeepTheLimit(t *testing.T) {
	for _, l := range []figpier.Limit{limit(2, 2), limit(16, 16), limit(84, 40)} {
		var sent []time.Time
		p := newTable()
		for at := time.Duration(0); at < 30*time.Second; at += 2 * time.Millisecond {
			now := start.Add(at)
			if at%(6*time.Second) == 0 && at > 0 {
				p = New(Config{Window: window, OverageFraction: 0.1, SlackRequests: 20, Start: now, Credit: true})
			}
			if wait, ok := p.Reserve(now, "valv", l, 1, figpier.HighestPriority); ok {
				assert.Assert(t, wait <= maxReservation)
				sent = append(sent, now.Add(wait))
			}
		}
		slices.SortFunc(sent, time.Time.Compare)
		allowed := (l.Rate()*window.Seconds()+l.Burst())*1.1 + 20
		from := 0
		for i, at := range sent {
			for at.Sub(sent[from]) >= window {
				from++
			}
			assert.Assert(t, float64(i-from+1) <= allowed, "limit %v: %d of %v", l, i-from+1, allowed)
		}
	}
}

func TestCreditServesTheFirstRequestsAfterARestart(t *testing.T) {
	p := New(Config{Window: window, OverageFraction: 0.1, SlackRequests: 20, Start: start, Credit: true})
	granted := 0
	for range 100 {
		if _, ok := p.Take(start, "valv", limit(4, 4), 1, figpier.HighestPriority); ok {
			granted++
		}
	}
	assert.Equal(t, granted, 5)
}

// TestCustomerAtItsLimitLosesItsLeastImportantRequestsFirst replays a customer that sends three times its limit, a third of it in
// the highest class.
func TestCustomerAtItsLimitLosesItsLeastImportantRequestsFirst(t *testing.T) {
	for _, l := range []figpier.Limit{limit(8, 8), limit(60, 60)} {
		p := newTable()
		var offered, taken [3]int
		step := time.Duration(float64(time.Second) / (3 * l.Rate()))
		for i, at := 0, 10*time.Second; at < 40*time.Second; i, at = i+1, at+step {
			class := i % 3
			offered[class]++
			if _, ok := p.Take(start.Add(at), "valv", l, 0.2, figpier.PriorityClass(class)); ok {
				taken[class]++
			}
		}
		share := func(class int) float64 { return float64(taken[class]) / float64(offered[class]) }
		// A fifth of the limit is a fifteenth of what is offered, all of which goes to the highest class once the bucket is low.
		assert.Assert(t, share(0) > 4*share(1), "limit %v: %v of %v", l, taken, offered)
		assert.Assert(t, share(1) >= share(2), "limit %v: %v of %v", l, taken, offered)
		assert.Assert(t, float64(taken[0]+taken[1]+taken[2]) > 0.9*l.Rate()*0.2*30, "limit %v: %v", l, taken)
	}
}

// TestCustomerWithinItsLimitLosesNoRequest covers the same classes at a rate that the limit allows.
func TestCustomerWithinItsLimitLosesNoRequest(t *testing.T) {
	l := limit(60, 60)
	p := newTable()
	step := time.Duration(float64(time.Second) / (0.8 * l.Rate() * 0.2))
	for i, at := 0, 10*time.Second; at < 40*time.Second; i, at = i+1, at+step {
		_, ok := p.Take(start.Add(at), "valv", l, 0.2, figpier.PriorityClass(i%3))
		assert.Assert(t, ok, "at %v", at)
	}
}

func TestExtremeLimitsOverflowNothing(t *testing.T) {
	low, high := limit(1e-300, 1e-300), limit(1e300, 1e300)
	p := newTable()
	for range 100 {
		if wait, ok := p.Take(start.Add(time.Second), "low", low, 1e-3, figpier.HighestPriority); !ok {
			assert.Equal(t, wait, maxWait)
		}
		_, ok := p.Take(start.Add(time.Second), "high", high, 0.5, figpier.HighestPriority)
		assert.Assert(t, ok)
	}
	assert.Equal(t, p.TakeAll(start.Add(time.Second), "high", high, 0.5, figpier.LowestPriority), maxTransfer)
}
