package shards

import (
	"context"
	"sync"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/bucket"
	"github.com/figpier/figpier/internal/policy/claim"
	"github.com/figpier/figpier/internal/policy/shard"
	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

// shardReplica is this node's replica of one shard, as its primary or as a follower.
type shardReplica struct {
	host *Host
	id   shard.ID

	mu sync.Mutex // guards the fields below
	// policy decides what this node may do for the shard and what each follower lacks.
	policy  *shard.Replica
	table   *claim.Table
	buckets map[bucketKey]*bucket.Bucket
	// lostBefore is the time before which state was lost, zero if none was.
	lostBefore time.Time
	// changed is closed, and replaced, whenever requests that wait for replication must check again.
	changed chan struct{}
	// senders has an entry for each follower to which a goroutine is sending.
	senders map[shard.MemberID]*sender
}

// bucketKey identifies the token bucket of a customer at a service.
type bucketKey struct {
	customer figpier.CustomerID
	service  figpier.UpstreamService
}

// sender is the state of a goroutine that sends writes to one follower.
type sender struct {
	// silentSince is when the follower first failed to answer, zero if it answered the last message.
	silentSince time.Time
}

func newShardReplica(h *Host, id shard.ID) *shardReplica {
	r := &shardReplica{
		host:    h,
		id:      id,
		policy:  shard.NewReplica(h.member),
		changed: make(chan struct{}),
		senders: map[shard.MemberID]*sender{},
	}
	r.reset(time.Time{})
	return r
}

// reset empties the state. A time other than zero means that the state before it was lost.
func (r *shardReplica) reset(lostBefore time.Time) {
	r.lostBefore = lostBefore
	r.table = claim.New(claim.Config{
		Retention:  r.host.config.Retention,
		RunTimeout: r.host.config.RunTimeout,
		LostAt:     lostBefore,
	})
	r.buckets = map[bucketKey]*bucket.Bucket{}
}

// notifyWaiters makes all requests that wait in waitChange check again.
func (r *shardReplica) notifyWaiters() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// waitReplicated waits until every backup has all writes made so far, and reports whether this node still acts for the shard
// then. The lock is held at the call and at the return, but not while it waits.
func (r *shardReplica) waitReplicated(ctx context.Context) bool {
	stream, sequence := r.policy.Position()
	for {
		now, _ := r.policy.Position()
		if now != stream || !r.policy.MayAct(r.host.clock.Now()) {
			return false
		}
		if r.policy.DoneSequence() >= sequence {
			return true
		}
		if !r.waitChange(ctx) {
			return false
		}
	}
}

// waitChange unlocks until the next notifyWaiters, and locks again. It returns false if the context ended first.
func (r *shardReplica) waitChange(ctx context.Context) bool {
	changed := r.changed
	r.mu.Unlock()
	defer r.mu.Lock()
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}

// followerReport returns which joining members have all state and which followers are silent, false if there is neither.
func (r *shardReplica) followerReport(now time.Time) (message.ShardReport, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := message.ShardReport{
		Shard:  int(r.id),
		Epoch:  int(r.policy.Epoch()),
		Synced: codec.FromMemberIDs(r.policy.Synced()),
	}
	for m, s := range r.senders {
		if !s.silentSince.IsZero() && now.Sub(s.silentSince) >= silenceTimeout {
			report.Silent = append(report.Silent, string(m))
		}
	}
	return report, len(report.Synced)+len(report.Silent) > 0
}
