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
	s := &simulation{controller: New(Config{}), parallel: parallel, serviceTime: serviceTime, rate: rate,
		ranks: map[CallID]figpier.Rank{}, random: rand.New(rand.NewPCG(1, 2))}
	s.controller.SetSlots(time.Unix(0, 0), slots)
	return s
}

func (s *simulation) start(at time.Duration, id CallID) {
	slowdown := max(1, float64(s.controller.Running())/float64(s.parallel))
	elapsed := time.Duration(float64(s.serviceTime(at)) * slowdown)
	heap.Push(&s.completions, completion{at: at + elapsed, elapsed: elapsed})
	s.ran = append(s.ran, s.ranks[id])
}

func (s *simulation) apply(at time.Duration, decisions []Decision) {
	for _, e := range decisions {
		if e.verdict == Run {
			s.start(at, e.id)
			continue
		}
		s.shed = append(s.shed, s.ranks[e.id])
	}
}

func (s *simulation) run(length time.Duration) {
	var id CallID
	next := time.Duration(0)
	for at := time.Duration(0); at < length; at += time.Millisecond {
		now := time.Unix(0, 0).Add(at)
		for len(s.completions) > 0 && s.completions[0].at <= at {
			e := heap.Pop(&s.completions).(completion)
			s.doneAt = append(s.doneAt, at)
			s.apply(at, s.controller.Release(now, figpier.NewOutcome(figpier.OutcomeDone, e.elapsed)))
		}
		s.apply(at, s.controller.Expire(now))
		s.cutOffs = append(s.cutOffs, float64(s.controller.CutOff(now))/(1<<31))
		for ; next <= at; next += time.Duration(s.random.ExpFloat64() / s.rate * float64(time.Second)) {
			id++
			s.ranks[id] = figpier.Rank(s.random.Uint32() >> 1)
			v, decisions := s.controller.Submit(now, id, s.ranks[id], now.Add(time.Second))
			if v == Run {
				s.start(at, id)
			}
			if v == Overloaded || v == DeadlineMissed {
				s.shed = append(s.shed, s.ranks[id])
			}
			s.apply(at, decisions)
		}
	}
}

// throughput returns the mean number of answers per second between two times.
func (s *simulation) throughput(from, to time.Duration) float64 {
	n := 0
	for _, at := range s.doneAt {
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
		s := newSimulation(parallel*announcedFactor, parallel, best*load, constantServiceTime)
		s.run(10 * time.Second)
		assert.Assert(t, s.throughput(5*time.Second, 10*time.Second) >= 0.9*best)
		assert.Assert(t, s.controller.Limit() <= 2*parallel+1, "limit %d of %d", s.controller.Limit(), parallel)
	})
}

func TestLimitDuringAndAfterSlowdown(t *testing.T) {
	slowdown := func(at time.Duration) time.Duration {
		if at > 5*time.Second && at < 15*time.Second {
			return 10 * constantServiceTime(at)
		}
		return constantServiceTime(at)
	}
	s := newSimulation(20, 20, 3000, slowdown)
	s.run(25 * time.Second)
	assert.Assert(t, s.throughput(7*time.Second, 15*time.Second) >= 0.8*100)
	assert.Assert(t, s.throughput(17*time.Second, 25*time.Second) >= 0.9*1000)
}

func TestLimitRampsUpFromColdStart(t *testing.T) {
	s := newSimulation(40, 40, 8000, constantServiceTime)
	assert.Equal(t, s.controller.Limit(), 20)
	s.run(2 * time.Second)
	assert.Assert(t, s.controller.Limit() >= 36)
}

// Compares the calls that ran with the ideal choice of the same number of calls from the sorted list of all.
func TestCutOffKeepsTheMostImportant(t *testing.T) {
	s := newSimulation(20, 20, 8000, constantServiceTime)
	s.run(5 * time.Second)
	s.ran, s.shed = nil, nil
	s.run(5 * time.Second)
	all := append(append([]figpier.Rank(nil), s.ran...), s.shed...)
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	idealCutOff := all[len(s.ran)]
	misplaced := 0
	for _, r := range s.ran {
		if r >= idealCutOff {
			misplaced++
		}
	}
	assert.Assert(t, float64(misplaced) <= 0.15*float64(len(s.ran)), "%d of %d", misplaced, len(s.ran))
}

// Compares the cut-off with the inverse of the load, which is the share of calls that the backend server can run, and checks
// that it is removed after the load ends.
func TestCutOffFollowsTheLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(8, 30).Draw(t, "slots")
		load := rapid.Float64Range(2, 8).Draw(t, "load")
		s := newSimulation(slots, slots, float64(slots)/constantServiceTime(0).Seconds()*load, constantServiceTime)
		s.run(8 * time.Second)
		end := time.Unix(8, 0)
		early, late := mean(s.cutOffs[2000:4000]), mean(s.cutOffs[4000:])
		assert.Assert(t, early > 0.6/load && early < 1.8/load, "cut-off %.3f after 2 s at %.1f times the capacity", early, load)
		assert.Assert(t, late > 0.7/load && late < 1.7/load, "cut-off %.3f after 4 s at %.1f times the capacity", late, load)
		assert.Assert(t, !s.controller.SheddingSince(end).IsZero())
		for range s.controller.Running() {
			s.controller.Release(end, figpier.NewOutcome(figpier.OutcomeDone, constantServiceTime(0)))
		}
		s.controller.Expire(end.Add(50 * time.Millisecond))
		later := end.Add(2 * time.Second)
		assert.Equal(t, s.controller.CutOff(later), figpier.MaxRank)
		assert.Assert(t, s.controller.SheddingSince(later).IsZero())
	})
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}
