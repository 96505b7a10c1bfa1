package retrybudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestNoWindowExceedsRetryShare(t *testing.T) {
	const window = 10 * time.Second
	table := New(Config{Share: 0.1, Window: window, MinRetries: 2})
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	var firsts, retries []time.Time
	for range 20000 {
		now = now.Add(time.Duration(random.Int64N(int64(10 * time.Millisecond))))
		if random.IntN(3) > 0 {
			table.First(now, "s", 0)
			firsts = append(firsts, now)
		}
		if table.Retry(now, "s") {
			retries = append(retries, now)
		}
	}
	assert.Assert(t, len(retries) > 0)
	for i, from := range retries {
		within := func(all []time.Time, since time.Time) (n int) {
			for _, at := range all {
				if !at.Before(since) && at.Sub(from) < window {
					n++
				}
			}
			return n
		}
		if i%50 != 0 {
			continue
		}
		// The retries of a window are earned by first attempts of that window and the one before it.
		most := 0.1*float64(within(firsts, from.Add(-window))) + 2*2
		assert.Assert(t, float64(within(retries, from)) <= most)
	}
}

func TestRetriesExpireWithWindow(t *testing.T) {
	table := New(Config{Share: 0, Window: time.Second, MinRetries: 1})
	now := time.Unix(0, 0)
	assert.Assert(t, table.Retry(now, "s"))
	assert.Assert(t, !table.Retry(now.Add(900*time.Millisecond), "s"))
	assert.Assert(t, table.Retry(now.Add(1100*time.Millisecond), "s"))
}
