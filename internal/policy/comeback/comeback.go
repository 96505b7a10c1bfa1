package comeback

import (
	"time"

	"github.com/figpier/figpier"
)

const (
	// minTurn is the least time to stay away: a round trip between regions, so that a caller never returns before its refusal counts.
	minTurn = 50 * time.Millisecond
	// maxTurn bounds the turns. A caller whose answer is due within a second or two gains nothing from a later one, and turns of
	// callers that gave up would pile up beyond it.
	maxTurn = time.Second
	// defaultRate is the rate in callers a second at which turns are given while the rate at which room comes free is not known.
	defaultRate = 20
	classes     = int(figpier.LowestPriority) + 1
)

// Queue gives turns to the callers that one resource refused. The zero value is ready for use. It is not safe for concurrent use.
type Queue struct {
	// next is the earliest free turn of each class; a class comes after those above it.
	next [classes]time.Time
}

// Turn returns how long a caller of a class shall stay away, where room comes free for rate requests a second, 0 if that is not
// known, and none within wait.
func (q *Queue) Turn(now time.Time, c figpier.PriorityClass, rate float64, wait time.Duration) time.Duration {
	class := min(int(c), classes-1)
	if !(rate > 0) {
		rate = defaultRate
	}
	turn := now.Add(max(minTurn, wait))
	if q.next[class].After(turn) {
		turn = q.next[class]
	}
	if last := now.Add(max(maxTurn, wait)); turn.After(last) {
		turn = last
	}
	following := turn.Add(time.Duration(min(1/rate, maxTurn.Seconds()) * float64(time.Second)))
	for i := class; i < classes; i++ {
		if following.After(q.next[i]) {
			q.next[i] = following
		}
	}
	return turn.Sub(now)
}
