package retry

// Budget is the number of retries left for one part of a call tree. It is not safe for concurrent use.
//
// The retries of a tree are conserved: a hop takes its portion out of the budget of its caller, returns the unused part
// with the answer, and loses it if the answer is lost. A tree therefore never makes more retries than its root was given.
type Budget struct {
	unused int
}

// NewBudget returns a budget of n retries; a negative n counts as 0.
func NewBudget(n int) Budget { return Budget{unused: max(0, n)} }

// Unused returns the number of retries left.
func (b *Budget) Unused() int { return b.unused }

// Take removes up to n retries and returns the number removed.
func (b *Budget) Take(n int) int {
	got := max(0, min(n, b.unused))
	b.unused -= got
	return got
}

// Return adds n unused retries; a negative n counts as 0.
func (b *Budget) Return(n int) { b.unused += max(0, n) }

// Portion returns the number of retries to pass on to a call. It is the larger half, because a retry close to the failure
// repeats the least work, while the rest remains if the answer is lost.
func (b *Budget) Portion() int { return (b.unused + 1) / 2 }
