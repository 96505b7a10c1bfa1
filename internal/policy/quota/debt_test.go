package quota

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
)

func TestDebtIsBoundedByLoan(t *testing.T) {
	d := NewDebt(0)
	assert.Assert(t, d.Borrow("valv", 2.9))
	assert.Assert(t, d.Borrow("valv", 2.9))
	assert.Assert(t, !d.Borrow("valv", 2.9), "the loan is used up")
	assert.Assert(t, d.Borrow("other", 1), "another customer has a loan of its own")
	assert.Equal(t, d.Owed("valv"), 2)
	d.Repay("valv", 1)
	assert.Equal(t, d.Owed("valv"), 1)
	assert.Assert(t, d.Borrow("valv", 2.9))
	d.Repay("valv", 5)
	assert.Equal(t, d.Owed("valv"), 0)
}

func TestFractionalLoansAddUpOverNodes(t *testing.T) {
	const (
		nodes = 80
		loan  = 0.3
	)
	owed := 0
	for n := range nodes {
		d := NewDebt(float64(n) / nodes)
		for d.Borrow("valv", loan) {
			owed++
		}
	}
	assert.Equal(t, owed, int(loan*nodes))
}

func TestSettleIsBoundedByAvailableTokens(t *testing.T) {
	p := newTable()
	l := limit(10, 10)
	now := start.Add(window)
	paid := p.Settle(now, "valv", l, 1, 3)
	assert.Equal(t, paid, 3)
	for range 100 {
		p.Take(now, "valv", l, 1, figpier.HighestPriority)
	}
	assert.Equal(t, p.Settle(now, "valv", l, 1, 3), 0)
}

func TestTransferConservesTokens(t *testing.T) {
	from, to := newTable(), newTable()
	l := limit(10, 10)
	now := start.Add(window)
	tokens := from.TakeAll(now, figpier.CustomerID("valv"), l, 0.5, figpier.HighestPriority)
	assert.Assert(t, tokens > 0)
	_, left := from.Take(now, "valv", l, 0.5, figpier.HighestPriority)
	assert.Assert(t, !left, "transferred tokens can't be spent here")
	to.Add("valv", tokens)
	taken := 0
	for {
		if _, ok := to.Take(start, "valv", l, 0.5, figpier.HighestPriority); !ok {
			break
		}
		taken++
	}
	assert.Equal(t, taken, tokens)
}
