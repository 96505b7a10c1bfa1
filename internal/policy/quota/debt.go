package quota

import "github.com/figpier/figpier"

// Debt counts the requests that a node admitted on credit while the pool of tokens at the control instances did not answer.
// It is not safe for concurrent use.
type Debt struct {
	rounding float64
	owed     map[figpier.CustomerID]int
}

// NewDebt returns an empty debt. rounding is a number from 0 to 1, drawn at random by each node, that is added to loans
// before they are rounded down, so that fractional loans are used in full over all nodes.
func NewDebt(rounding float64) *Debt {
	return &Debt{rounding: rounding, owed: map[figpier.CustomerID]int{}}
}

// Borrow counts a request of a customer if its loan allows that, and reports whether it does.
func (d *Debt) Borrow(c figpier.CustomerID, loan float64) bool {
	if d.owed[c] >= int(loan+d.rounding) {
		return false
	}
	d.owed[c]++
	return true
}

// Owed returns the number of requests of a customer that are not yet repaid.
func (d *Debt) Owed(c figpier.CustomerID) int { return d.owed[c] }

// Repay subtracts the number of requests that a pool has accounted for.
func (d *Debt) Repay(c figpier.CustomerID, paid int) {
	d.owed[c] = max(0, d.owed[c]-paid)
	if d.owed[c] == 0 {
		delete(d.owed, c)
	}
}
