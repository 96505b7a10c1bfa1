package fixed

import (
	"context"

	"github.com/figpier/figpier"
)

// retriesPerHop is the number of retries that each call may make at each hop.
const retriesPerHop = 2

// PlainJudge implements figpier.RetryJudge with a number of retries at each hop and no budget for the tree of calls.
type PlainJudge struct {
	Judge
}

// NewPlainJudge returns a judge for retries without a budget.
func NewPlainJudge() *PlainJudge { return &PlainJudge{} }

// Portion implements figpier.RetryJudge. It takes nothing from the call's budget.
func (j *PlainJudge) Portion(figpier.LiveCall) int { return retriesPerHop }

// OpenAdmission implements figpier.Admission and admits every call.
type OpenAdmission struct {
	Admission
}

// NewOpenAdmission returns an admission without a limit.
func NewOpenAdmission() *OpenAdmission { return &OpenAdmission{} }

// Resize implements figpier.Admission.
func (a *OpenAdmission) Resize(int) {}

// Admit implements figpier.Admission.
func (a *OpenAdmission) Admit(context.Context, *figpier.Call) (figpier.Ticket, error) {
	return openTicket{}, nil
}

type openTicket struct{}

// Release implements figpier.Ticket.
func (openTicket) Release(figpier.Outcome) {}
