package rank

import (
	"fmt"
	"math"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/figpier/figpier"
)

type customerLoad struct {
	name        figpier.CustomerID
	rate        int
	serviceTime time.Duration
	weight      float64
}

// maxMinShares computes the weighted max-min fair shares by raising a common level in small steps until the capacity
// is used up.
func maxMinShares(parties []customerLoad, capacity float64) []float64 {
	share := make([]float64, len(parties))
	for used, l := 0.0, 0.0; used < capacity && l < 1e3; l += 0.005 {
		used = 0
		for i, p := range parties {
			share[i] = math.Min(float64(p.rate)*p.serviceTime.Seconds(), l*p.weight)
			used += share[i]
		}
	}
	return share
}

// admitByRank admits requests in ascending order of rank until the capacity is used up, and returns the service time of
// each customer.
func admitByRank(parties []customerLoad, ranks map[figpier.Rank]int, capacity float64) []float64 {
	order := make([]figpier.Rank, 0, len(ranks))
	for r := range ranks {
		order = append(order, r)
	}
	sort.Slice(order, func(i, j int) bool { return order[i] < order[j] })
	got, used := make([]float64, len(parties)), 0.0
	for _, r := range order {
		if used >= capacity {
			break
		}
		got[ranks[r]] += parties[ranks[r]].serviceTime.Seconds()
		used += parties[ranks[r]].serviceTime.Seconds()
	}
	return got
}

func TestAdmissionByRankIsWeightedMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "customers")
		parties, total := make([]customerLoad, n), 0.0
		for i := range parties {
			parties[i] = customerLoad{
				name:        figpier.CustomerID(fmt.Sprint("c", i)),
				rate:        rapid.IntRange(100, 800).Draw(t, "rate"),
				serviceTime: time.Duration(rapid.IntRange(2, 40).Draw(t, "work")) * time.Millisecond,
				weight:      float64(rapid.IntRange(1, 4).Draw(t, "weight")),
			}
			total += float64(parties[i].rate) * parties[i].serviceTime.Seconds()
		}
		capacity := total * rapid.Float64Range(0.2, 0.8).Draw(t, "capacity")
		got := admitByRank(parties, ranksOfLastSecond(parties), capacity)
		for i, want := range maxMinShares(parties, capacity) {
			slack := 0.15*want + 15*parties[i].serviceTime.Seconds() + 0.02*capacity
			assert.Assert(t, math.Abs(got[i]-want) <= slack, "%v got %.2f of %.2f", parties[i], got[i], want)
		}
	})
}

// ranksOfLastSecond sends the requests of all customers for six seconds and returns the index of the customer for each
// rank of the last second.
func ranksOfLastSecond(parties []customerLoad) map[figpier.Rank]int {
	r, start, ranks := New(Config{}), time.Unix(0, 0), map[figpier.Rank]int{}
	const tick = 10 * time.Millisecond
	for at := time.Duration(0); at < 6*time.Second; at += tick {
		for i, p := range parties {
			r.Served(start.Add(at), p.name, p.serviceTime)
			sent := float64(p.rate) * at.Seconds()
			for k := int(sent); k < int(float64(p.rate)*(at+tick).Seconds()); k++ {
				id := figpier.RequestID(fmt.Sprint(p.name, "-", k))
				got := r.Rank(start.Add(at), NewRequest(RequestConfig{ID: id, Customer: p.name, Weight: p.weight, Class: 3}))
				if at >= 5*time.Second {
					ranks[got] = i
				}
			}
		}
	}
	return ranks
}

func TestPriorityClassOutweighsDemand(t *testing.T) {
	r, now := New(Config{}), time.Unix(0, 0)
	for i := range 10_000 {
		r.Rank(now, NewRequest(RequestConfig{ID: figpier.RequestID(fmt.Sprint(i)), Customer: "large", Class: 1}))
	}
	heavy := r.Rank(now, NewRequest(RequestConfig{ID: "x", Customer: "large", Class: 1}))
	light := r.Rank(now, NewRequest(RequestConfig{ID: "y", Customer: "small", Class: 2}))
	assert.Assert(t, heavy < light)
	assert.Equal(t, Class(heavy), figpier.PriorityClass(1))
	assert.Equal(t, Class(light), figpier.PriorityClass(2))
}
