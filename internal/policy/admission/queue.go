package admission

import (
	"slices"
	"time"

	"github.com/figpier/figpier"
)

// CallID identifies a call within one Controller.
type CallID uint64

// queuedCall is a call that waits for a slot. It is shed at expires, and must have ended by deadline.
type queuedCall struct {
	id       CallID
	rank     figpier.Rank
	expires  time.Time
	deadline time.Time
}

// queue holds the waiting calls in the reverse of the order in which they start: the last one has the lowest rank,
// and is the newest of that rank.
type queue struct {
	calls []queuedCall
}

// push inserts a call so that it starts before the calls of the same rank.
func (q *queue) push(w queuedCall) {
	at, _ := slices.BinarySearchFunc(q.calls, w, func(in, w queuedCall) int {
		if in.rank > w.rank {
			return -1
		}
		if in.rank < w.rank {
			return 1
		}
		return -1
	})
	q.calls = slices.Insert(q.calls, at, w)
}

// popBest removes the call that starts next. The queue must not be empty.
func (q *queue) popBest() queuedCall {
	last := len(q.calls) - 1
	w := q.calls[last]
	q.calls = q.calls[:last]
	return w
}

// popWorst removes the call that would start last. The queue must not be empty.
func (q *queue) popWorst() queuedCall {
	w := q.calls[0]
	q.calls = slices.Delete(q.calls, 0, 1)
	return w
}

// remove removes a call and reports whether it was in the queue.
func (q *queue) remove(id CallID) bool {
	at := slices.IndexFunc(q.calls, func(w queuedCall) bool { return w.id == id })
	if at < 0 {
		return false
	}
	q.calls = slices.Delete(q.calls, at, at+1)
	return true
}

// removeIf removes and returns the calls for which match returns true.
func (q *queue) removeIf(match func(queuedCall) bool) []queuedCall {
	var removed []queuedCall
	q.calls = slices.DeleteFunc(q.calls, func(w queuedCall) bool {
		if match(w) {
			removed = append(removed, w)
			return true
		}
		return false
	})
	return removed
}

func (q *queue) len() int { return len(q.calls) }
