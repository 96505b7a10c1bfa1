package shards

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/shard"
	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

const (
	// tickInterval is the interval between decisions.
	tickInterval = 250 * time.Millisecond
	// maxQuorumAge is the longest time since the last contact with the quorum at which a leader still grants leases.
	maxQuorumAge = time.Second
	// proposalTimeout bounds the wait for a proposal to be accepted.
	proposalTimeout = 2 * time.Second
)

// Config holds the settings of a Service.
type Config struct {
	// Instance is the control instance's name.
	Instance figpier.InstanceID
	// LeaseTime is how long a node may act for its shards after each renewal.
	LeaseTime time.Duration
	// MaxClockDrift is the greatest drift between the clocks of two machines during a lease.
	MaxClockDrift time.Duration
	// LossTime is how long all members of a replicated shard must be gone before it restarts with an empty state.
	LossTime time.Duration
	// Backups is the number of backups of a replicated shard.
	Backups int
	// Log receives one entry for each shard that gets another primary.
	Log *logrus.Entry
}

// Service assigns shards while its control instance leads. It is also the state machine of the control log that holds the
// assignments.
type Service struct {
	config  Config
	log     figpier.ReplicatedLog
	control figpier.ControlThread
	clock   figpier.Clock
	// ctx ends with the service; proposals run under it.
	ctx context.Context
	// hostCount and idleCount are the values of the gauges, 0 while another instance leads.
	hostCount atomic.Int64
	idleCount atomic.Int64

	// The fields below are used on the control thread alone.

	// shards are the assignments in the control log.
	shards *shard.Assignments
	// assigner makes decisions in the term that this instance began, nil until that term is in force.
	assigner *shard.Assigner
	// term names the newest term that this instance proposed.
	term string
	// leading is set once the term was proposed.
	leading bool
	// proposing is set while a proposal is under way; there is one at a time.
	proposing bool
	// pending are the assignments due to nodes' reports that the next proposal will include.
	pending []*shard.Assignment
}

// New returns a service without assignments.
func New(c Config) *Service { return &Service{config: c, shards: shard.NewAssignments()} }

// Name implements figpier.Service.
func (s *Service) Name() figpier.ServiceName { return figpier.ShardAssignerService }

// Start implements figpier.Service.
func (s *Service) Start(ctx context.Context, d figpier.Directory) (err error) {
	s.ctx = ctx
	s.control = d.Control()
	s.clock = d.Clock()
	if s.log, err = figpier.FindReplicatedLog(d); err != nil {
		return err
	}
	m, err := figpier.FindMessenger(d)
	if err != nil {
		return err
	}
	c, err := figpier.FindCounters(d)
	if err != nil {
		return err
	}
	c.Gauge("figpier_shard_hosts", func() float64 { return float64(s.hostCount.Load()) })
	c.Gauge("figpier_shards_idle", func() float64 { return float64(s.idleCount.Load()) })
	m.Handle(figpier.MethodShardRenew, s.handleRenewal)
	m.Handle(figpier.MethodShardLookup, s.handleLookup)
	s.control.PostAfter(tickInterval, tickEvent{})
	return nil
}

// Stop implements figpier.Service.
func (s *Service) Stop(context.Context) error { return nil }

// tickEvent is posted every tickInterval.
type tickEvent struct{}

// Target implements figpier.Event.
func (tickEvent) Target() figpier.ServiceName { return figpier.ShardAssignerService }

// proposalEndEvent carries the outcome of a proposal to the control thread.
type proposalEndEvent struct {
	term string
	err  error
}

// Target implements figpier.Event.
func (proposalEndEvent) Target() figpier.ServiceName { return figpier.ShardAssignerService }

// HandleEvent implements figpier.EventHandler.
func (s *Service) HandleEvent(now time.Time, e figpier.Event) {
	switch e := e.(type) {
	case tickEvent:
		s.tick(now)
		s.control.PostAfter(tickInterval, tickEvent{})
	case proposalEndEvent:
		s.endProposal(now, e)
	case *renewalEvent:
		e.answer <- s.renewLease(now, e.message)
	case *lookupEvent:
		e.answer <- s.findShard(e.message)
	}
}

// isLeader reports whether this instance leads the log and had contact with the quorum recently enough to be sure of it.
func (s *Service) isLeader(now time.Time) bool {
	return s.log.Leader() == s.config.Instance && s.log.QuorumAge(now) < maxQuorumAge
}

// tick begins a term when this instance has become leader, proposes the next assignments while it leads, and gives up the
// assigner when it no longer does.
func (s *Service) tick(now time.Time) {
	if !s.isLeader(now) || s.assigner != nil && s.shards.Term() != s.term {
		s.leading = false
		s.assigner = nil
		s.pending = nil
		s.hostCount.Store(0)
		s.idleCount.Store(0)
		return
	}
	if !s.leading {
		s.beginTerm()
		return
	}
	if s.assigner == nil {
		return
	}
	s.hostCount.Store(int64(s.assigner.Hosts(now)))
	s.idleCount.Store(int64(s.assigner.Idle(now)))
	if s.proposing {
		return
	}
	next := append(s.pending, s.assigner.Decide(now)...)
	s.pending = nil
	if len(next) > 0 {
		s.logPrimaryChanges(next)
		s.propose(message.ShardCommand{Term: s.term, Shards: codec.FromShardAssignments(next)})
	}
}

// logPrimaryChanges logs the shards that get another primary. The field "anew" says that the shard starts with an empty
// state.
func (s *Service) logPrimaryChanges(next []*shard.Assignment) {
	for _, a := range next {
		if a.Epoch() != a.Stream() || a.Epoch() == 1 {
			// The primary stays, or it is the shard's first.
			continue
		}
		s.config.Log.WithFields(logrus.Fields{
			"shard":   uint32(a.Shard()),
			"epoch":   uint64(a.Epoch()),
			"primary": string(a.Primary()),
			"anew":    a.Origin() == a.Epoch(),
		}).Info("shard gets another primary")
	}
}

// beginTerm proposes a new term. Once that command is applied, assignments that earlier leaders proposed have either been
// applied before it or will be rejected.
func (s *Service) beginTerm() {
	s.term = string(s.config.Instance) + "/" + rand.Text()
	s.leading = true
	s.propose(message.ShardCommand{Begin: true, Term: s.term})
}

// propose has a command committed in a goroutine of its own, which posts a proposalEndEvent at the end.
func (s *Service) propose(c message.ShardCommand) {
	command, err := json.Marshal(c)
	if err != nil {
		return
	}
	s.proposing = true
	term := s.term
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, proposalTimeout)
		defer cancel()
		_, err := s.log.Propose(ctx, command)
		_ = s.control.Post(proposalEndEvent{term: term, err: err})
	}()
}

// endProposal starts the assigner when the proposal that ended has put this instance's term in force. If the term was not
// accepted, the next tick begins another one.
func (s *Service) endProposal(now time.Time, p proposalEndEvent) {
	if p.term != s.term {
		return
	}
	s.proposing = false
	if s.assigner != nil || !s.leading {
		return
	}
	if p.err != nil || s.shards.Term() != s.term {
		s.leading = false
		return
	}
	s.assigner = s.newAssigner(now)
}

// newAssigner returns an assigner that moves no shard while leases that an earlier leader granted may still hold.
func (s *Service) newAssigner(now time.Time) *shard.Assigner {
	c := shard.AssignerConfig{
		Shards:        shard.Count,
		Replicated:    shard.Replicated,
		Backups:       s.config.Backups,
		LeaseTime:     s.config.LeaseTime,
		MaxClockDrift: s.config.MaxClockDrift,
		LossTime:      s.config.LossTime,
	}
	return shard.NewAssigner(c, s.shards, now.Add(maxQuorumAge+s.config.LeaseTime+s.config.MaxClockDrift))
}
