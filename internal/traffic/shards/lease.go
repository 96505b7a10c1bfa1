package shards

import (
	"context"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/shard"
	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

// renewPeriodically renews the control lease at the leading control instance until the context ends or the node leaves.
func (h *Host) renewPeriodically(ctx context.Context) {
	leader := 0
	for ctx.Err() == nil && !h.leaving.Load() {
		leader = h.renewAtLeader(ctx, leader)
		h.sleep(ctx, renewInterval)
	}
}

// renewAtLeader asks the control instances in turn, the given one first, until one leads, and returns its index. If none
// does, it returns the given index.
func (h *Host) renewAtLeader(ctx context.Context, first int) (leader int) {
	for i := range h.config.Controls {
		n := (first + i) % len(h.config.Controls)
		if h.renewAt(ctx, h.config.Controls[n]) {
			return n
		}
	}
	return first
}

// renewAt sends a renewal to one control instance, and reports whether that one leads.
func (h *Host) renewAt(ctx context.Context, address string) bool {
	ask, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	sent := h.clock.Now()
	assigned := h.assigned.Load()
	m := message.ShardRenewal{
		Member:     string(h.member),
		DataCentre: string(h.config.DataCentre),
		Region:     string(h.config.Region),
		Leaving:    h.leaving.Load(),
		Mark:       assigned.digest,
		Reports:    h.followerReports(assigned, sent),
	}
	var l message.ShardLease
	if err := h.messenger.Request(ask, address, figpier.MethodShardRenew, m, &l); err != nil {
		return false
	}
	if l.Leading {
		_ = h.control.Post(&leaseGranted{sent: sent, assigned: assigned, lease: l})
	}
	return l.Leading
}

// followerReports returns what this node, as a primary, has to report of its followers in the given assignments.
func (h *Host) followerReports(assigned *assignmentSet, now time.Time) []message.ShardReport {
	var reports []message.ShardReport
	for _, a := range assigned.assignments {
		if a.Primary() != h.member {
			continue
		}
		if r, ok := h.replica(a.Shard()).followerReport(now); ok {
			reports = append(reports, r)
		}
	}
	return reports
}

// leaseGranted is the event of a granted control lease.
type leaseGranted struct {
	// sent is when the renewal was sent. The lease counts from then, as the time of the grant is not known here.
	sent time.Time
	// assigned is the set of assignments that the renewal named.
	assigned *assignmentSet
	lease    message.ShardLease
}

// Target implements figpier.Event.
func (*leaseGranted) Target() figpier.ServiceName { return figpier.ShardHostService }

// HandleEvent implements figpier.EventHandler. It applies a granted lease to the replica of each assigned shard.
func (h *Host) HandleEvent(now time.Time, e figpier.Event) {
	l, ok := e.(*leaseGranted)
	if !ok || h.leaving.Load() {
		return
	}
	assigned := l.assigned
	if !l.lease.Same {
		assigned = newAssignmentSet(l.lease.Shards)
		h.assigned.Store(assigned)
	}
	until := l.sent.Add(time.Duration(l.lease.LeaseMillis) * time.Millisecond)
	for _, a := range assigned.assignments {
		h.replica(a.Shard()).applyLease(a, until, now)
	}
}

// newAssignmentSet decodes the assignments of a lease and computes their digest.
func newAssignmentSet(wire []message.ShardAssignment) *assignmentSet {
	c := &assignmentSet{}
	for _, w := range wire {
		c.assignments = append(c.assignments, codec.ToShardAssignment(w))
	}
	c.digest = codec.ShardAssignmentsDigest(c.assignments)
	return c
}

// applyLease applies an assignment and the control lease for it. It empties the state if the shard starts for the
// first time or after the loss of its state.
func (r *shardReplica) applyLease(a *shard.Assignment, until, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.policy.Assign(a) {
	case shard.ChangeStart:
		r.reset(time.Time{})
	case shard.ChangeStartAfterLoss:
		r.reset(now)
	}
	r.policy.ExtendLease(a.Epoch(), until)
	if r.host.leaving.Load() {
		r.policy.ReleaseLease()
	}
	r.startSenders()
	r.notifyWaiters()
}

// release makes this node stop acting for the shard.
func (r *shardReplica) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.ReleaseLease()
	r.notifyWaiters()
}
