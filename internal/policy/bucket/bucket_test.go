package bucket

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/figpier/figpier"
)

const (
	testLeaseTime     = time.Second
	testMaxClockDrift = 25 * time.Millisecond
	testStep          = time.Millisecond
	maxDrift          = 0.01
)

var epoch = time.Unix(1_000_000, 0)

// exactBucket is an ordinary token bucket in one place, the reference for the leased one.
type exactBucket struct {
	rate, burst, level float64
	last               time.Time
}

func (e *exactBucket) spend(now time.Time) bool {
	e.level = min(e.burst, e.level+e.rate*now.Sub(e.last).Seconds())
	e.last = now
	if e.level < 1-1e-6 {
		return false
	}
	e.level--
	return true
}

// node is a holder whose clock drifts by a share of the time that has passed.
type node struct {
	holder  *Holder
	drift   float64
	waiting []time.Time
}

func (n *node) clock(real time.Time) time.Time {
	return epoch.Add(time.Duration(float64(real.Sub(epoch)) * (1 + n.drift)))
}

type delivery struct {
	at time.Time
	do func()
}

// cluster connects nodes to one bucket by messages that may be lost, delayed or repeated. It counts the tokens that were
// spent in excess of the reference bucket.
type cluster struct {
	now       time.Time
	bucket    *Bucket
	nodes     []*node
	queue     []delivery
	delay     func() time.Duration
	lost      func() bool
	repeated  func() bool
	reference *exactBucket
	excess    int
	spent     int
	refused   int
}

func newCluster(l figpier.Limit, nodes int, maxWait time.Duration) *cluster {
	c := &cluster{
		now:       epoch,
		bucket:    New(Config{Limit: l, LeaseTime: testLeaseTime, MaxClockDrift: testMaxClockDrift}, epoch),
		delay:     func() time.Duration { return testStep },
		lost:      func() bool { return false },
		repeated:  func() bool { return false },
		reference: &exactBucket{rate: l.Rate(), burst: l.Burst(), level: l.Burst(), last: epoch},
	}
	for i := range nodes {
		config := HolderConfig{ID: HolderID(fmt.Sprint(i)), MaxWait: maxWait, AnswerTimeout: 100 * time.Millisecond}
		c.nodes = append(c.nodes, &node{holder: NewHolder(config, epoch)})
	}
	return c
}

func (c *cluster) send(do func()) {
	times := 1
	if c.repeated() {
		times = 2
	}
	for range times {
		if !c.lost() {
			c.queue = append(c.queue, delivery{at: c.now.Add(c.delay()), do: do})
		}
	}
}

func (c *cluster) arrive(n *node) {
	n.waiting = append(n.waiting, c.now)
	n.holder.SetWaiting(len(n.waiting))
	c.serveWaiting(n, n.holder.AddRequest(n.clock(c.now)))
}

// serveWaiting serves waiting requests, the oldest first.
func (c *cluster) serveWaiting(n *node, v Verdict) {
	for len(n.waiting) > 0 && v != VerdictWait {
		n.waiting = n.waiting[1:]
		n.holder.SetWaiting(len(n.waiting))
		if v == VerdictSpent {
			c.spent++
			if !c.reference.spend(c.now) {
				c.excess++
			}
		} else {
			c.refused++
		}
		if len(n.waiting) > 0 {
			v = n.holder.Take(n.clock(c.now))
		}
	}
}

func (c *cluster) step() {
	c.now = c.now.Add(testStep)
	due := c.queue
	c.queue = nil
	for _, d := range due {
		if d.at.After(c.now) {
			c.queue = append(c.queue, d)
			continue
		}
		d.do()
	}
	for _, n := range c.nodes {
		c.stepNode(n)
	}
}

func (c *cluster) stepNode(n *node) {
	if len(n.waiting) > 0 {
		c.serveWaiting(n, n.holder.Take(n.clock(c.now)))
	}
	for len(n.waiting) > 0 && c.now.Sub(n.waiting[0]) > n.holder.config.MaxWait {
		n.waiting = n.waiting[1:]
		n.holder.SetWaiting(len(n.waiting))
		c.refused++
	}
	a, due, _ := n.holder.Next(n.clock(c.now))
	if !due {
		return
	}
	c.send(func() {
		g := c.bucket.Ask(a, c.now)
		c.send(func() { n.holder.HandleGrant(g, n.clock(c.now)) })
	})
}

func newLimit(rate, burst float64) figpier.Limit {
	return figpier.NewLimit(figpier.LimitConfig{Rate: rate, Burst: burst})
}

func TestSpentTokensStayWithinRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLimit(rapid.Float64Range(1, 200).Draw(t, "rate"), float64(rapid.IntRange(1, 60).Draw(t, "burst")))
		c := newCluster(l, rapid.IntRange(1, 6).Draw(t, "nodes"), 20*time.Millisecond)
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		lossRate := rapid.Float64Range(0, 0.5).Draw(t, "loss")
		longest := rapid.IntRange(1, 1500).Draw(t, "longest delay in ms")
		c.lost = func() bool { return r.Float64() < lossRate }
		c.repeated = func() bool { return r.Float64() < 0.2 }
		c.delay = func() time.Duration { return time.Duration(1+r.IntN(longest)) * time.Millisecond }
		for _, n := range c.nodes {
			n.drift = (2*r.Float64() - 1) * maxDrift
		}
		load := rapid.Float64Range(0.2, 6).Draw(t, "load") * l.Rate() * testStep.Seconds()
		for range 4000 {
			for load > r.Float64() && len(c.nodes[0].waiting) < 100 {
				c.arrive(c.nodes[r.IntN(len(c.nodes))])
				if load < 1 {
					break
				}
			}
			c.step()
		}
		assert.Equal(t, c.excess, 0, "of %d tokens", c.spent)
		assert.Assert(t, float64(c.bucket.Leased())+c.bucket.Free() <= l.Burst()+1e-6)
	})
}

func TestLoweredLimitHoldsAfterOldLeasesExpire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := newLimit(100, 60)
		after := newLimit(rapid.Float64Range(1, 90).Draw(t, "rate"), float64(rapid.IntRange(1, 50).Draw(t, "burst")))
		c := newCluster(before, 4, 20*time.Millisecond)
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		c.lost = func() bool { return r.Float64() < 0.2 }
		change := rapid.IntRange(10, 1000).Draw(t, "change")
		for i := range 4000 {
			if i == change {
				c.bucket.SetLimit(after, c.now)
			}
			if i == change+int((testLeaseTime+testMaxClockDrift)/testStep) {
				c.reference = &exactBucket{rate: after.Rate(), burst: after.Burst(), level: after.Burst(), last: c.now}
			}
			c.arrive(c.nodes[r.IntN(len(c.nodes))])
			c.step()
		}
		assert.Equal(t, c.excess, 0)
	})
}

func TestNewBucketWaitsForLeasesOfItsPredecessor(t *testing.T) {
	c := Config{Limit: newLimit(10, 5), LeaseTime: testLeaseTime, MaxClockDrift: testMaxClockDrift, PredecessorLeases: true}
	b := New(c, epoch)
	a := TokenRequestConfig{Holder: "n", Sequence: 1, Target: 3, Waiting: 3}
	assert.Equal(t, b.Ask(a, epoch.Add(testLeaseTime+testMaxClockDrift)).Tokens(), 0)
	a.Sequence = 2
	assert.Equal(t, b.Ask(a, epoch.Add(testLeaseTime+testMaxClockDrift+200*time.Millisecond)).Tokens(), 2)
}

func TestLeaseExpiresAfterLeaseTimeAndClockDrift(t *testing.T) {
	b := New(Config{Limit: newLimit(1, 1), LeaseTime: testLeaseTime, MaxClockDrift: testMaxClockDrift}, epoch)
	assert.Equal(t, b.Ask(TokenRequestConfig{Holder: "n", Sequence: 1, Target: 1, Waiting: 1}, epoch).Tokens(), 1)
	end := epoch.Add(testLeaseTime + testMaxClockDrift)
	b.advance(end.Add(-1))
	assert.Equal(t, b.Leased(), 1)
	b.advance(end)
	assert.Equal(t, b.Leased(), 0)
	assert.Equal(t, b.Free(), 0.0)
}

func TestHolderLeaseExpiresFromTimeOfRequest(t *testing.T) {
	h := NewHolder(HolderConfig{ID: "n", AnswerTimeout: testLeaseTime}, epoch)
	h.SetWaiting(1)
	assert.Equal(t, h.AddRequest(epoch), VerdictWait)
	a, due, _ := h.Next(epoch)
	assert.Assert(t, due)
	late := epoch.Add(testLeaseTime - testStep)
	h.HandleGrant(NewGrant(GrantConfig{Sequence: a.Sequence, Tokens: 9, LeaseTime: testLeaseTime}), late)
	assert.Equal(t, h.Take(late), VerdictSpent)
	assert.Equal(t, h.Take(epoch.Add(testLeaseTime)), VerdictWait)
}

func TestFewWrongRefusalsWithinRate(t *testing.T) {
	tests := []struct {
		name        string
		nodes       int
		rate, burst float64
		load        float64
	}{
		{"one node", 1, 100, 20, 0.9},
		{"even over 6 nodes", 6, 100, 20, 0.9},
		{"even over 24 nodes", 24, 100, 20, 0.9},
		{"small customer on 6 nodes", 6, 5, 10, 0.8},
		{"large customer on 24 nodes", 24, 2000, 400, 0.9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(newLimit(tt.rate, tt.burst), tt.nodes, 50*time.Millisecond)
			r := rand.New(rand.NewPCG(7, 7))
			reference := &exactBucket{rate: tt.rate, burst: tt.burst, level: tt.burst, last: epoch}
			arrivals, referenceRefused := 0, 0
			for range 30_000 {
				for p := tt.load * tt.rate * testStep.Seconds(); p > 0; p-- {
					if r.Float64() >= p {
						continue
					}
					arrivals++
					if !reference.spend(c.now) {
						referenceRefused++
						continue
					}
					c.arrive(c.nodes[r.IntN(len(c.nodes))])
				}
				c.step()
			}
			t.Logf("%d arrivals, refused by the exact bucket %d, wrongly refused %d", arrivals, referenceRefused, c.refused)
			assert.Assert(t, float64(c.refused) <= 0.001*float64(arrivals), "%d of %d", c.refused, arrivals)
			assert.Equal(t, c.excess, 0)
		})
	}
}

func TestMaxMinShare(t *testing.T) {
	tests := []struct {
		pool    int
		targets []int
		target  int
		want    int
	}{
		{10, []int{10}, 10, 10},
		{10, []int{2, 10}, 10, 8},
		{10, []int{2, 10}, 2, 2},
		{9, []int{5, 6, 7}, 6, 3},
		{2, []int{1, 1, 1}, 1, 0},
		{0, []int{4}, 4, 0},
	}
	for _, tt := range tests {
		assert.Equal(t, maxMinShare(tt.pool, tt.targets, tt.target), tt.want, "%v", tt)
	}
}
