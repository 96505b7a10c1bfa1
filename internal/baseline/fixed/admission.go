package fixed

import (
	"context"
	"sync"

	"github.com/figpier/figpier"
)

// Admission implements figpier.Admission with a fixed number of slots and no queue limit.
type Admission struct {
	mu    sync.Mutex
	slots chan struct{}
}

// NewAdmission returns an admission with the given number of slots until SetSlots changes it.
func NewAdmission(slots int) *Admission { return &Admission{slots: make(chan struct{}, slots)} }

// Name implements figpier.Service.
func (a *Admission) Name() figpier.ServiceName { return figpier.AdmissionService }

// Start implements figpier.Service.
func (a *Admission) Start(context.Context, figpier.Directory) error { return nil }

// Stop implements figpier.Service.
func (a *Admission) Stop(context.Context) error { return nil }

// CutOff implements figpier.Admission.
func (a *Admission) CutOff() figpier.Rank { return figpier.MaxRank }

// SetSlots implements figpier.Admission. Calls that run keep their slots of the previous size; 0 is ignored.
func (a *Admission) SetSlots(slots int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if slots > 0 && slots != cap(a.slots) {
		a.slots = make(chan struct{}, slots)
	}
}

// Admit implements figpier.Admission.
func (a *Admission) Admit(ctx context.Context, _ *figpier.Call) (figpier.Ticket, error) {
	a.mu.Lock()
	slots := a.slots
	a.mu.Unlock()
	select {
	case slots <- struct{}{}:
		return ticket(slots), nil
	case <-ctx.Done():
		return nil, figpier.Refuse(figpier.RefusalDeadline)
	}
}

// ticket implements figpier.Ticket by the channel that the call's slot was taken from.
type ticket chan struct{}

// Release implements figpier.Ticket.
func (t ticket) Release(figpier.Outcome) { <-t }
