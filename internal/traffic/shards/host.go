package shards

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/shard"
	"github.com/figpier/figpier/internal/wire/codec"
)

// Error is the class of errors of the shard host.
var Error = errs.Class("shards")

const (
	// renewInterval is the interval between renewals of the control lease.
	renewInterval = 500 * time.Millisecond
	// requestTimeout bounds the wait for another process to answer a message.
	requestTimeout = 700 * time.Millisecond
	// replicationTimeout bounds how long a request waits for the backups.
	replicationTimeout = time.Second
	// retryDelay is the pause after a message to a follower has failed.
	retryDelay = 100 * time.Millisecond
	// silenceTimeout is how long a follower may fail to answer before it is reported to the control instance.
	silenceTimeout = time.Second
)

// Config holds the settings of a Host.
type Config struct {
	// Instance is the node's name.
	Instance figpier.InstanceID
	// Address is the node's IP address and port for messages.
	Address string
	// DataCentre is where the node runs.
	DataCentre figpier.DataCentre
	// Region is where the data centre is.
	Region figpier.Region
	// Controls are the message addresses of the control instances.
	Controls []string
	// TokenLease is how long leased tokens are valid.
	TokenLease time.Duration
	// MaxClockDrift is the greatest drift between two clocks during a lease.
	MaxClockDrift time.Duration
	// Retention is how long a claim is kept.
	Retention time.Duration
	// RunTimeout is how long a claim may be running before its outcome counts as unknown.
	RunTimeout time.Duration
}

// Host is the service that holds a node's replicas of shards and handles the messages about them.
type Host struct {
	config    Config
	member    shard.MemberID
	clock     figpier.Clock
	control   figpier.ControlThread
	messenger figpier.Messenger
	view      figpier.ConfigurationView
	// serviceCtx ends when the service is to stop.
	serviceCtx context.Context
	// assigned is replaced on the control thread and read by the goroutine that renews the lease.
	assigned atomic.Pointer[assignmentSet]
	leaving  atomic.Bool

	mu       sync.Mutex // guards the map, not the replicas
	replicas map[shard.ID]*shardReplica
}

// assignmentSet is the set of assignments that the last control lease covers; it is never changed once stored.
type assignmentSet struct {
	assignments []*shard.Assignment
	// digest identifies the set, so that a lease for the same set need not list it again.
	digest string
}

// New returns a host without replicas. Its member name is unique to this process, also across restarts.
func New(c Config) *Host {
	h := &Host{
		config:   c,
		member:   codec.MemberName(c.Address, string(c.Instance), rand.Text()),
		replicas: map[shard.ID]*shardReplica{},
	}
	h.assigned.Store(&assignmentSet{})
	return h
}

// Name implements figpier.Service.
func (h *Host) Name() figpier.ServiceName { return figpier.ShardHostService }

// Start implements figpier.Service.
func (h *Host) Start(ctx context.Context, d figpier.Directory) (err error) {
	h.serviceCtx = ctx
	h.clock = d.Clock()
	h.control = d.Control()
	if h.view, err = figpier.FindView(d); err != nil {
		return err
	}
	if h.messenger, err = figpier.FindMessenger(d); err != nil {
		return err
	}
	c, err := figpier.FindCounters(d)
	if err != nil {
		return err
	}
	c.Gauge("figpier_shards_acting", h.actingCount)
	c.Gauge("figpier_claims", h.claimCount)
	h.messenger.Handle(figpier.MethodShardWrite, h.handleWrite)
	h.messenger.Handle(figpier.MethodClaim, h.handleClaim)
	h.messenger.Handle(figpier.MethodClaimEnd, h.handleClaimEnd)
	h.messenger.Handle(figpier.MethodTokens, h.handleTokens)
	go h.renewPeriodically(ctx)
	return nil
}

// actingCount returns the number of shards that this node acts for.
func (h *Host) actingCount() float64 {
	n, now := 0, h.clock.Now()
	for _, r := range h.allReplicas() {
		r.mu.Lock()
		if r.policy.MayAct(now) {
			n++
		}
		r.mu.Unlock()
	}
	return float64(n)
}

// claimCount returns the number of claims that this node remembers.
func (h *Host) claimCount() float64 {
	n := 0
	for _, r := range h.allReplicas() {
		r.mu.Lock()
		n += r.table.Len()
		r.mu.Unlock()
	}
	return float64(n)
}

// Stop implements figpier.Service: the node stops acting for its shards, and then reports that it leaves, so that they are
// reassigned at once.
func (h *Host) Stop(ctx context.Context) error {
	h.leaving.Store(true)
	for _, r := range h.allReplicas() {
		r.release()
	}
	h.renewAtLeader(ctx, 0)
	return nil
}

// allReplicas returns the replicas in no particular order.
func (h *Host) allReplicas() []*shardReplica {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]*shardReplica, 0, len(h.replicas))
	for _, r := range h.replicas {
		all = append(all, r)
	}
	return all
}

// replica returns the replica of a shard, and creates an empty one if there is none.
func (h *Host) replica(id shard.ID) *shardReplica {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := h.replicas[id]
	if !ok {
		r = newShardReplica(h, id)
		h.replicas[id] = r
	}
	return r
}

// sleep waits until the duration has passed or the context ends.
func (h *Host) sleep(ctx context.Context, d time.Duration) {
	over := make(chan struct{})
	cancel := h.clock.AfterFunc(d, func() { close(over) })
	defer cancel()
	select {
	case <-ctx.Done():
	case <-over:
	}
}
