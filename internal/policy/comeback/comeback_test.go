package comeback

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
)

var start = time.Unix(1000, 0)

// TestReturningCallersFindRoom replays a burst of callers that are all refused in one moment. Those who come back in their turn find
// room, at 20 a second, while after a fixed time all would come at once.
func TestReturningCallersFindRoom(t *testing.T) {
	const rate = 20
	var q Queue
	var returns []time.Duration
	for i := range 15 {
		returns = append(returns, q.Turn(start.Add(time.Duration(i)*time.Millisecond), 1, rate, 0)+time.Duration(i)*time.Millisecond)
	}
	slices.Sort(returns)
	for i := 1; i < len(returns); i++ {
		assert.Assert(t, returns[i]-returns[i-1] >= time.Second/rate, "turns %v and %v", returns[i-1], returns[i])
	}
	assert.Assert(t, returns[len(returns)-1] < time.Second)
}

func TestImportantCallersReturnFirst(t *testing.T) {
	var q Queue
	for range 10 {
		q.Turn(start, 2, 10, 0)
	}
	first := q.Turn(start, 0, 10, 0)
	second := q.Turn(start, 0, 10, 0)
	assert.Equal(t, first, minTurn)
	assert.Assert(t, second < 200*time.Millisecond)
	assert.Assert(t, q.Turn(start, 2, 10, 0) > second)
}

func TestTurnsAreBounded(t *testing.T) {
	var q Queue
	for range 1000 {
		turn := q.Turn(start, figpier.LowestPriority, 1, 0)
		assert.Assert(t, turn >= minTurn && turn <= maxTurn)
	}
	// Turns of callers that never returned are forgotten.
	assert.Assert(t, q.Turn(start.Add(time.Minute), 0, 1, 0) == minTurn)
}

func TestNoTurnBeforeTheWait(t *testing.T) {
	var q Queue
	assert.Equal(t, q.Turn(start, 0, 10, 700*time.Millisecond), 700*time.Millisecond)
	assert.Equal(t, q.Turn(start, 0, 10, 5*time.Second), 5*time.Second)
}

func TestUnknownRateSpreadsCallersAllTheSame(t *testing.T) {
	var q Queue
	for _, rate := range []float64{0, -1} {
		a, b := q.Turn(start, 0, rate, 0), q.Turn(start, 0, rate, 0)
		assert.Equal(t, b-a, time.Second/defaultRate)
	}
}
