package claim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	testRetention  = time.Hour
	testRunTimeout = time.Minute
)

var epoch = time.Unix(1_000_000, 0)

func newTable() *Table {
	return New(Config{Retention: testRetention, RunTimeout: testRunTimeout})
}

func TestVerdictOnSecondAttempt(t *testing.T) {
	k := NewKey("c", "s", "i")
	tests := []struct {
		name  string
		after func(*Table)
		at    time.Duration
		want  Verdict
	}{
		{"while the first runs", func(*Table) {}, time.Second, VerdictRunning},
		{"while the first runs for too long", func(*Table) {}, testRunTimeout, VerdictUnknown},
		{"sooner than allowed", func(*Table) {}, time.Millisecond, VerdictTooSoon},
		{"after the first finished", finish(StateFinished), time.Second, VerdictAlreadyRun},
		{"after the first failed", finish(StateUnknown), time.Second, VerdictUnknown},
		{"after the first was not run", finish(StateNotRun), time.Second, VerdictGranted},
		{"after the retention", finish(StateFinished), testRetention + time.Second, VerdictGranted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTable()
			v, _ := b.Claim(k, "first", time.Second, epoch)
			assert.Equal(t, v, VerdictGranted)
			tt.after(b)
			v, _ = b.Claim(k, "second", time.Second, epoch.Add(tt.at))
			assert.Equal(t, v, tt.want)
		})
	}
}

func finish(s State) func(*Table) {
	return func(b *Table) { b.Finish(NewKey("c", "s", "i"), "first", s, epoch) }
}

func TestClaimThatMayPredateALossIsUnknown(t *testing.T) {
	b := New(Config{Retention: testRetention, RunTimeout: testRunTimeout, LostAt: epoch})
	k := NewKey("c", "s", "i")
	b.Finish(k, "early", StateNotRun, epoch)
	v, _ := b.Claim(k, "first", 0, epoch.Add(testRetention-1))
	assert.Equal(t, v, VerdictUnknown)
	v, _ = b.Claim(k, "first", 0, epoch.Add(testRetention))
	assert.Equal(t, v, VerdictGranted)
}

func TestKeysDiffer(t *testing.T) {
	assert.Assert(t, NewKey("ab", "c", "d") != NewKey("a", "bc", "d"))
	assert.Assert(t, NewKey("a", "bc", "d") != NewKey("a", "b", "cd"))
}

// TestAtMostOneAttemptRuns counts the runs of attempts whose claims and results are reordered, repeated and lost.
func TestAtMostOneAttemptRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTable()
		k := NewKey("c", "s", "i")
		now, runs := epoch, 0
		ran, ended := map[AttemptID]bool{}, map[AttemptID]State{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			a := AttemptID(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "attempt")))
			if rapid.Bool().Draw(t, "claim") {
				v, _ := b.Claim(k, a, 0, now)
				_, hasEnded := ended[a]
				if v == VerdictGranted && !hasEnded && !ran[a] && rapid.Bool().Draw(t, "answer arrives") {
					ran[a] = true
					runs++
				}
				continue
			}
			if _, ok := ended[a]; !ok {
				ended[a] = StateNotRun
				if ran[a] {
					ended[a] = rapid.SampledFrom([]State{StateFinished, StateUnknown}).Draw(t, "end")
				}
			}
			b.Finish(k, a, ended[a], now)
		}
		assert.Assert(t, runs <= 1, "%d runs", runs)
	})
}
