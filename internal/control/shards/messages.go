package shards

import (
	"context"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/shard"
	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

// renewalEvent carries a node's request to renew its lease to the control thread, which sends the answer.
type renewalEvent struct {
	message message.ShardRenewal
	answer  chan *message.ShardLease
}

// Target implements figpier.Event.
func (*renewalEvent) Target() figpier.ServiceName { return figpier.ShardAssignerService }

// lookupEvent carries a node's request for a shard's assignment to the control thread, which sends the answer.
type lookupEvent struct {
	message message.ShardLookup
	answer  chan *message.ShardFound
}

// Target implements figpier.Event.
func (*lookupEvent) Target() figpier.ServiceName { return figpier.ShardAssignerService }

// handleRenewal handles figpier.MethodShardRenew.
func (s *Service) handleRenewal(ctx context.Context, decode figpier.Decode) (any, error) {
	e := &renewalEvent{answer: make(chan *message.ShardLease, 1)}
	if err := decode(&e.message); err != nil {
		return nil, err
	}
	if err := s.control.Post(e); err != nil {
		return nil, err
	}
	select {
	case a := <-e.answer:
		return a, nil
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
}

// handleLookup handles figpier.MethodShardLookup.
func (s *Service) handleLookup(ctx context.Context, decode figpier.Decode) (any, error) {
	e := &lookupEvent{answer: make(chan *message.ShardFound, 1)}
	if err := decode(&e.message); err != nil {
		return nil, err
	}
	if err := s.control.Post(e); err != nil {
		return nil, err
	}
	select {
	case a := <-e.answer:
		return a, nil
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
}

// renewLease processes a node's reports on its shards and renews its lease. The result is empty if this instance is not
// certain that it leads, and leaves out the assignments if the node already has the same ones.
func (s *Service) renewLease(now time.Time, m message.ShardRenewal) *message.ShardLease {
	if s.assigner == nil || s.shards.Term() != s.term || !s.isLeader(now) {
		return &message.ShardLease{}
	}
	member := shard.MemberID(m.Member)
	for _, r := range m.Reports {
		next := s.assigner.Report(member, shard.ID(r.Shard), shard.Epoch(r.Epoch),
			codec.ToMemberIDs(r.Synced), codec.ToMemberIDs(r.Silent), now)
		if next != nil {
			s.pending = append(s.pending, next)
		}
	}
	held := s.assigner.Renew(shard.HostConfig{
		Member:     member,
		DataCentre: figpier.DataCentre(m.DataCentre),
		Region:     figpier.Region(m.Region),
		Leaving:    m.Leaving,
	}, now)
	l := &message.ShardLease{Leading: true, LeaseMillis: int(s.config.LeaseTime.Milliseconds())}
	if m.Mark == codec.ShardAssignmentsDigest(held) {
		l.Same = true
		return l
	}
	l.Shards = codec.FromShardAssignments(held)
	return l
}

// findShard returns the newest assignment of a shard that this instance knows, which need not be the leader's.
func (s *Service) findShard(m message.ShardLookup) *message.ShardFound {
	a, ok := s.shards.Assignment(shard.ID(m.Shard))
	if !ok {
		return &message.ShardFound{}
	}
	w := codec.FromShardAssignment(a)
	return &message.ShardFound{Assignment: &w}
}
