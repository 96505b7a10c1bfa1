package shards_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/claim"
	"github.com/figpier/figpier/internal/policy/shard"
)

// failure is a fault that a test injects while requests arrive; victim is a node that acts as a primary.
type failure struct {
	name   string
	inject func(cl *cluster, victim *process)
}

func failures() []failure {
	return []failure{
		{"none", func(*cluster, *process) {}},
		{"primary killed", func(cl *cluster, p *process) { cl.kill(p) }},
		{"primary leaves", func(cl *cluster, p *process) { cl.stopGracefully(p) }},
		{"primary frozen and back", func(_ *cluster, p *process) { p.link.freeze(8 * time.Second) }},
		{"primary frozen shortly", func(_ *cluster, p *process) { p.link.freeze(1500 * time.Millisecond) }},
		{"frozen, and its successor killed", func(cl *cluster, p *process) {
			p.link.freeze(9 * time.Second)
			time.Sleep(4 * time.Second)
			cl.kill(cl.runningNodes()[3])
		}},
		{"killed, replaced, and another killed", func(cl *cluster, p *process) {
			cl.kill(p)
			cl.startNode()
			time.Sleep(6 * time.Second)
			cl.kill(cl.runningNodes()[1])
		}},
		{"all killed and replaced", func(cl *cluster, _ *process) {
			for _, p := range cl.runningNodes() {
				cl.kill(p)
			}
			for range 3 {
				cl.startNode()
			}
		}},
		{"messages lost, late and repeated", func(cl *cluster, _ *process) {
			cl.network.configure(func(n *network) { n.lossRate, n.duplicateRate = 0.05, 0.1 })
		}},
		{"primary cut from control while a node comes", func(cl *cluster, p *process) {
			cl.network.configure(func(n *network) {
				n.blocks = func(from, to string) bool {
					return from == p.link.address && to == controlName || to == p.link.address && from == controlName
				}
			})
			time.Sleep(4 * time.Second)
			cl.startNode()
		}},
		{"primary cut from backups and then killed", func(cl *cluster, p *process) {
			cl.network.configure(func(n *network) {
				n.drops = func(m figpier.Method) bool { return m == figpier.MethodShardWrite }
			})
			time.Sleep(900 * time.Millisecond)
			cl.kill(p)
			cl.network.configure(func(n *network) { n.drops = func(figpier.Method) bool { return false } })
		}},
	}
}

func TestRequestsRunAtMostOnce(t *testing.T) {
	for _, x := range failures() {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", x.name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkRunsAtMostOnce(t, x, seed) })
			})
		}
	}
}

func checkRunsAtMostOnce(t *testing.T, x failure, seed uint64) {
	const keys = 60
	cl := newCluster(t, seed, 5)
	defer cl.stopAll()
	c := &runCounter{runs: map[figpier.IdempotencyKey]int{}, refused: map[figpier.RefusalReason]int{}}
	var callers sync.WaitGroup
	for n := range keys {
		r := rand.New(rand.NewPCG(seed, uint64(n)))
		callers.Go(func() {
			time.Sleep(time.Duration(r.IntN(4000)) * time.Millisecond)
			cl.callRepeatedly(c, figpier.IdempotencyKey(fmt.Sprint(n)), r)
		})
	}
	time.Sleep(2 * time.Second)
	x.inject(cl, cl.primary(shard.ForClaim(claim.NewKey("c", testService, "0"))))
	callers.Wait()
	for k, n := range c.runs {
		assert.Assert(t, n <= 1, "request %s ran %d times", k, n)
	}
	t.Logf("%d of %d requests ran; refusals %v", len(c.runs), keys, c.refused)
	assert.Assert(t, len(c.runs) >= keys/4)
}

// callRepeatedly sends a request 8 times at random nodes, each time after an answer or after up to 3 s without one.
func (cl *cluster) callRepeatedly(c *runCounter, k figpier.IdempotencyKey, r *rand.Rand) {
	var attempts sync.WaitGroup
	for range 8 {
		nodes := cl.runningNodes()
		p := nodes[r.IntN(len(nodes))]
		ending, length := r.IntN(6), time.Duration(r.IntN(1000))*time.Millisecond
		answered := make(chan struct{})
		attempts.Go(func() {
			defer close(answered)
			cl.attempt(c, p, k, ending, length)
		})
		select {
		case <-answered:
		case <-time.After(time.Duration(r.IntN(3000)) * time.Millisecond):
		}
	}
	attempts.Wait()
}

// attempt claims, runs and finishes a request as a node does with its backend server.
func (cl *cluster) attempt(c *runCounter, p *process, k figpier.IdempotencyKey, ending int, length time.Duration) {
	call := figpier.NewCall(figpier.CallConfig{Customer: "c", Service: testService, IdempotencyKey: k})
	ctx, cancel := context.WithTimeout(cl.t.Context(), 3*time.Second)
	defer cancel()
	granted, err := p.claims.Claim(ctx, call)
	if err != nil {
		c.countRefusal(err)
		return
	}
	time.Sleep(length)
	switch ending {
	case 0:
		granted.Finish(ctx, figpier.NewOutcome(figpier.OutcomeNotRun, 0))
	case 1:
		c.countRun(k)
		granted.Finish(ctx, figpier.NewOutcome(figpier.OutcomeFailed, 0))
	case 2:
		// The node is killed before it records the end.
		c.countRun(k)
	default:
		c.countRun(k)
		granted.Finish(ctx, figpier.NewOutcome(figpier.OutcomeDone, 0))
	}
}

func TestTokensStayWithinRateAndBurst(t *testing.T) {
	lostReports := failure{"token messages lost", func(cl *cluster, _ *process) {
		n := 0
		cl.network.configure(func(w *network) {
			w.drops = func(m figpier.Method) bool {
				n++
				return m == figpier.MethodTokens && n%3 == 0
			}
		})
	}}
	for _, x := range append(failures(), lostReports) {
		for _, c := range []figpier.CustomerID{"quick", "slow"} {
			for _, load := range []float64{0.8, 4} {
				t.Run(fmt.Sprintf("%s/%s customer/load %g", x.name, c, load), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { checkTokenLimit(t, x, c, load) })
				})
			}
		}
	}
}

func checkTokenLimit(t *testing.T, x failure, customer figpier.CustomerID, load float64) {
	cl := newCluster(t, 1, 5)
	limit := newFakeView().configuration.Profiles()["p"].Limit(customer)
	defer cl.stopAll()
	start := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 14*time.Second)
	defer cancel()
	c := &runCounter{refused: map[figpier.RefusalReason]int{}}
	var mu sync.Mutex
	var spent []time.Duration
	arrivals := 0
	var callers sync.WaitGroup
	callers.Go(func() {
		r := rand.New(rand.NewPCG(1, 1))
		for ctx.Err() == nil {
			time.Sleep(time.Duration(r.ExpFloat64() / (load * limit.Rate()) * float64(time.Second)))
			nodes := cl.runningNodes()
			p := nodes[r.IntN(len(nodes))]
			arrivals++
			callers.Go(func() {
				if err := p.limiter.Take(t.Context(), figpier.NewTokenRequest(figpier.TokenRequestConfig{Customer: customer, Service: testService})); err != nil {
					c.countRefusal(err)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				spent = append(spent, time.Since(start))
			})
		}
	})
	time.Sleep(3 * time.Second)
	x.inject(cl, cl.primary(shard.ForLimit(customer, testService)))
	callers.Wait()
	assert.Equal(t, countOverLimit(limit, spent), 0, "of %d tokens", len(spent))
	t.Logf("%d arrivals, %d tokens; refusals %v", arrivals, len(spent), c.refused)
	if x.name == "none" && load < 1 {
		assert.Assert(t, float64(len(spent)) >= 0.999*float64(arrivals))
	}
}

// countOverLimit returns how many of the spent tokens a single exact token bucket would have refused.
func countOverLimit(l figpier.Limit, spent []time.Duration) int {
	slices.Sort(spent)
	level, last, count := l.Burst(), time.Duration(0), 0
	for _, at := range spent {
		level = min(l.Burst(), level+l.Rate()*(at-last).Seconds())
		last = at
		if level < 1-1e-6 {
			count++
			continue
		}
		level--
	}
	return count
}
