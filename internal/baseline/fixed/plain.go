package fixed

import (
	"context"

	"github.com/figpier/figpier"
)

// retriesPerHop is the number of retries that each call may make at each hop.
const retriesPerHop = 2

// UnbudgetedDecider implements figpier.RetryDecider with a number of retries at each hop and no budget for the tree of calls.
type UnbudgetedDecider struct {
	Decider
}

// NewUnbudgetedDecider returns a decider for retries without a budget.
func NewUnbudgetedDecider() *UnbudgetedDecider { return &UnbudgetedDecider{} }

// TakeBudgetPortion implements figpier.RetryDecider. It takes nothing from the call's budget.
func (d *UnbudgetedDecider) TakeBudgetPortion(figpier.LiveCall) int { return retriesPerHop }

// OpenAdmission implements figpier.Admission and admits every call.
type OpenAdmission struct {
	Admission
}

// NewOpenAdmission returns an admission without a limit.
func NewOpenAdmission() *OpenAdmission { return &OpenAdmission{} }

// SetSlots implements figpier.Admission.
func (a *OpenAdmission) SetSlots(int) {}

// Admit implements figpier.Admission.
func (a *OpenAdmission) Admit(context.Context, *figpier.Call) (figpier.Ticket, error) {
	return openTicket{}, nil
}

type openTicket struct{}

// Release implements figpier.Ticket.
func (openTicket) Release(figpier.Outcome) {}
