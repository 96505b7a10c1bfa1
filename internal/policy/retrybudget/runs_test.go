package retrybudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestShareFollowsTheNewestRuns guards against calls of repeated runs that count as first attempts, and against a share that stays high
// once nothing is repeated any more.
func TestShareFollowsTheNewestRuns(t *testing.T) {
	r := NewRuns(2 * time.Second)
	assert.Equal(t, r.Share(), 0.0)
	now := time.Unix(1000, 0)
	run := func(seconds int, repeatShare func(i int) float64) {
		for i := range 20 * seconds {
			now = now.Add(50 * time.Millisecond)
			r.Add(now, repeatShare(i))
		}
	}
	run(4, func(int) float64 { return 0 })
	assert.Equal(t, r.Share(), 0.0)
	run(10, func(i int) float64 { return float64(i % 2) })
	assert.Assert(t, r.Share() > 0.45 && r.Share() < 0.55, "%v", r.Share())
	run(10, func(int) float64 { return 0.25 })
	assert.Assert(t, r.Share() > 0.24 && r.Share() < 0.27, "%v", r.Share())
	run(10, func(int) float64 { return 0 })
	assert.Assert(t, r.Share() < 0.01, "%v", r.Share())
}

// TestRetriesAlongACallChainStayWithinTheShare replays lost answers at each level of a chain of services. Each level retries what its budget
// allows, and a repeated run makes its call again. The retries of the levels must not add up to more than the share at the last one.
func TestRetriesAlongACallChainStayWithinTheShare(t *testing.T) {
	const (
		levels  = 4
		share   = 0.1
		window  = 10 * time.Second
		clients = 20000
	)
	var tables [levels]*Table
	var runs [levels]*Runs
	var firsts, arrivals [levels]int
	for i := range levels {
		tables[i] = New(Config{Share: share, Window: window, MinRetries: 1})
		runs[i] = NewRuns(2 * time.Second)
	}
	now := time.Unix(1000, 0)
	// call sends a request to a level, on whose caller's run the flag tells whether it repeats one.
	var call func(level int, repeated bool)
	call = func(level int, repeated bool) {
		if level == levels {
			return
		}
		inherited := 0.0
		if level > 0 {
			inherited = runs[level-1].Share()
		}
		tables[level].First(now, "s", inherited)
		if !repeated {
			firsts[level]++
		}
		arrivals[level]++
		runs[level].Add(now, inherited)
		call(level+1, repeated)
		// The first answer is lost each time; that of a retry arrives.
		if tables[level].Retry(now, "s") {
			arrivals[level]++
			runs[level].Add(now, 1)
			call(level+1, true)
		}
	}
	for range clients {
		now = now.Add(2 * time.Millisecond)
		call(0, false)
	}
	for i := range levels {
		repeats := float64(arrivals[i]-firsts[i]) / float64(firsts[i])
		assert.Assert(t, repeats < 2*share, "level %d: %.3f repeats for each request", i, repeats)
	}
	assert.Assert(t, float64(arrivals[0]-firsts[0]) > 0.8*share*float64(firsts[0]), "the first level retries too little")
}
