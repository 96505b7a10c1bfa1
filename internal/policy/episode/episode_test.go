package episode

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestEpisodesMatchReferenceModel compares the table with a search through all events.
func TestEpisodesMatchReferenceModel(t *testing.T) {
	const gap = time.Second
	rapid.Check(t, func(t *rapid.T) {
		table, now := New[int](Config{Gap: gap, MaxEntries: 10}), time.Unix(0, 0)
		events := map[int][]time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "marks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
			k := rapid.IntRange(0, 3).Draw(t, "key")
			table.Record(now, k)
			events[k] = append(events[k], now)
		}
		got := map[int]time.Time{}
		table.Each(now, func(k int, since time.Time, _ int) { got[k] = since })
		for k, all := range events {
			first := len(all) - 1
			for first > 0 && all[first].Sub(all[first-1]) <= gap {
				first--
			}
			since, active := got[k]
			assert.Equal(t, active, now.Sub(all[len(all)-1]) <= gap)
			assert.Assert(t, !active || since.Equal(all[first]))
		}
	})
}
