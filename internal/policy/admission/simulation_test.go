package admission

import (
	"container/heap"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/figpier/figpier"
)

var compareDecisions = cmp.AllowUnexported(Decision{})

func sortedByID(e []Decision) []Decision {
	sort.Slice(e, func(i, j int) bool { return e[i].id < e[j].id })
	if len(e) == 0 {
		return nil
	}
	return e
}

// simulation models a backend server that can run a number of calls in parallel without slowing down, and Poisson arrivals
// at the given rate per second.
type simulation struct {
	controller  *Controller
	parallel    int
	serviceTime func(at time.Duration) time.Duration
	rate        float64
	completions completionHeap
	doneAt      []time.Duration
	ranks       map[CallID]figpier.Rank
	cutOffs     []float64
	ran         []figpier.Rank
	shed        []figpier.Rank
	random      *rand.Rand
}

type completion struct {
	at, elapsed time.Duration
}

type completionHeap []completion

func (e completionHeap) Len() int           { return len(e) }
func (e completionHeap) Less(i, j int) bool { return e[i].at < e[j].at }
func (e completionHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completionHeap) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completionHeap) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

func newSimulation(slots, parallel int, rate float64, serviceTime func(time.Duration) time.Duration) *simulation {
	m := &simulation{controller: New(Config{}), parallel: parallel, serviceTime: serviceTime, rate: rate,
		ranks: map[CallID]figpier.Rank{}, random: rand.New(rand.NewPCG(1, 2))}
	m.controller.SetSlots(time.Unix(0, 0), slots)
	return m
}

func (m *simulation) start(at time.Duration, id CallID) {
	slowdown := max(1, float64(m.controller.Running())/float64(m.parallel))
	elapsed := time.Duration(float64(m.serviceTime(at)) * slowdown)
	heap.Push(&m.completions, completion{at: at + elapsed, elapsed: elapsed})
	m.ran = append(m.ran, m.ranks[id])
}

func (m *simulation) apply(at time.Duration, effects []Decision) {
	for _, e := range effects {
		if e.verdict == Run {
			m.start(at, e.id)
			continue
		}
		m.shed = append(m.shed, m.ranks[e.id])
	}
}

func (m *simulation) run(length time.Duration) {
	var id CallID
	next := time.Duration(0)
	for at := time.Duration(0); at < length; at += time.Millisecond {
		now := time.Unix(0, 0).Add(at)
		for len(m.completions) > 0 && m.completions[0].at <= at {
			e := heap.Pop(&m.completions).(completion)
			m.doneAt = append(m.doneAt, at)
			m.apply(at, m.controller.Release(now, figpier.NewOutcome(figpier.OutcomeDone, e.elapsed)))
		}
		m.apply(at, m.controller.Expire(now))
		m.cutOffs = append(m.cutOffs, float64(m.controller.CutOff(now))/(1<<31))
		for ; next <= at; next += time.Duration(m.random.ExpFloat64() / m.rate * float64(time.Second)) {
			id++
			m.ranks[id] = figpier.Rank(m.random.Uint32() >> 1)
			v, effects := m.controller.Submit(now, id, m.ranks[id], now.Add(time.Second))
			if v == Run {
				m.start(at, id)
			}
			if v == Overloaded || v == DeadlineMissed {
				m.shed = append(m.shed, m.ranks[id])
			}
			m.apply(at, effects)
		}
	}
}

// throughput returns the mean number of answers per second between two times.
func (m *simulation) throughput(from, to time.Duration) float64 {
	n := 0
	for _, at := range m.doneAt {
		if at >= from && at < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

func constantServiceTime(time.Duration) time.Duration { return 20 * time.Millisecond }

// Compares the throughput and the limit with the best of all fixed limits, which has a closed form for this model:
// parallel calls at a time.
func TestLimitReachesBestThroughput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parallel := rapid.IntRange(4, 20).Draw(t, "parallel")
		announcedFactor := rapid.IntRange(1, 6).Draw(t, "announced factor")
		load := rapid.Float64Range(1.5, 3).Draw(t, "load")
		best := float64(parallel) / constantServiceTime(0).Seconds()
		m := newSimulation(parallel*announcedFactor, parallel, best*load, constantServiceTime)
		m.run(10 * time.Second)
		assert.Assert(t, m.throughput(5*time.Second, 10*time.Second) >= 0.9*best)
		assert.Assert(t, m.controller.Limit() <= 2*parallel+1, "limit %d of %d", m.controller.Limit(), parallel)
	})
}

func TestLimitDuringAndAfterSlowdown(t *testing.T) {
	slowdown := func(at time.Duration) time.Duration {
		if at > 5*time.Second && at < 15*time.Second {
			return 10 * constantServiceTime(at)
		}
		return constantServiceTime(at)
	}
	m := newSimulation(20, 20, 3000, slowdown)
	m.run(25 * time.Second)
	assert.Assert(t, m.throughput(7*time.Second, 15*time.Second) >= 0.8*100)
	assert.Assert(t, m.throughput(17*time.Second, 25*time.Second) >= 0.9*1000)
}

func TestLimitRampsUpFromColdStart(t *testing.T) {
	m := newSimulation(40, 40, 8000, constantServiceTime)
	assert.Equal(t, m.controller.Limit(), 20)
	m.run(2 * time.Second)
	assert.Assert(t, m.controller.Limit() >= 36)
}

// Compares the calls that ran with the ideal choice of the same number of calls from the sorted list of all.
func TestCutOffKeepsTheMostImportant(t *testing.T) {
	m := newSimulation(20, 20, 8000, constantServiceTime)
	m.run(5 * time.Second)
	m.ran, m.shed = nil, nil
	m.run(5 * time.Second)
	all := append(append([]figpier.Rank(nil), m.ran...), m.shed...)
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	idealCutOff := all[len(m.ran)]
	misplaced := 0
	for _, r := range m.ran {
		if r >= idealCutOff {
			misplaced++
		}
	}
	assert.Assert(t, float64(misplaced) <= 0.15*float64(len(m.ran)), "%d of %d", misplaced, len(m.ran))
}

// Compares the cut-off with the inverse of the load, which is the share of calls that the backend server can run, and checks
// that it is removed after the load ends.
func TestCutOffFollowsTheLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(8, 30).Draw(t, "slots")
		load := rapid.Float64Range(2, 8).Draw(t, "load")
		m := newSimulation(slots, slots, float64(slots)/constantServiceTime(0).Seconds()*load, constantServiceTime)
		m.run(8 * time.Second)
		end := time.Unix(8, 0)
		early, late := mean(m.cutOffs[2000:4000]), mean(m.cutOffs[4000:])
		assert.Assert(t, early > 0.6/load && early < 1.8/load, "cut-off %.3f after 2 s at %.1f times the capacity", early, load)
		assert.Assert(t, late > 0.7/load && late < 1.7/load, "cut-off %.3f after 4 s at %.1f times the capacity", late, load)
		assert.Assert(t, !m.controller.SheddingSince(end).IsZero())
		for range m.controller.Running() {
			m.controller.Release(end, figpier.NewOutcome(figpier.OutcomeDone, constantServiceTime(0)))
		}
		m.controller.Expire(end.Add(50 * time.Millisecond))
		later := end.Add(2 * time.Second)
		assert.Equal(t, m.controller.CutOff(later), figpier.MaxRank)
		assert.Assert(t, m.controller.SheddingSince(later).IsZero())
	})
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}
