package shards

import (
	"context"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/bucket"
	"github.com/figpier/figpier/internal/policy/claim"
	"github.com/figpier/figpier/internal/policy/shard"
	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

// bucketCleanupSize is the number of buckets of a shard from which on idle ones are dropped before another is added.
const bucketCleanupSize = 64

// handleClaim handles the request of a node that is about to run a non-idempotent call, and answers whether it may. The
// answer waits until every backup has the claim; an empty answer means that this node does not act for the shard.
func (h *Host) handleClaim(ctx context.Context, decode figpier.Decode) (any, error) {
	var m message.ClaimAsk
	if err := decode(&m); err != nil {
		return nil, err
	}
	k, ok := codec.ToClaimKey(m.Key)
	if !ok {
		return nil, Error.New("malformed claim key")
	}
	ctx, cancel := context.WithTimeout(ctx, replicationTimeout)
	defer cancel()
	r := h.replica(shard.ID(m.Shard))
	r.mu.Lock()
	defer r.mu.Unlock()
	now := h.clock.Now()
	if !r.policy.MayAct(now) {
		return &message.ClaimAnswer{}, nil
	}
	interval := time.Duration(m.IntervalMillis) * time.Millisecond
	v, wait := r.table.Claim(k, claim.AttemptID(m.Attempt), interval, now)
	if v == claim.VerdictGranted {
		r.replicateClaim(k)
	}
	if !r.waitReplicated(ctx) {
		return &message.ClaimAnswer{}, nil
	}
	return &message.ClaimAnswer{Acting: true, Verdict: int(v), WaitMillis: int(wait.Milliseconds()) + 1}, nil
}

// handleClaimEnd handles the report of how a claimed attempt ended; it answers once every backup has the record.
func (h *Host) handleClaimEnd(ctx context.Context, decode figpier.Decode) (any, error) {
	var m message.ClaimEnd
	if err := decode(&m); err != nil {
		return nil, err
	}
	k, ok := codec.ToClaimKey(m.Key)
	if !ok {
		return nil, Error.New("malformed claim key")
	}
	ctx, cancel := context.WithTimeout(ctx, replicationTimeout)
	defer cancel()
	r := h.replica(shard.ID(m.Shard))
	r.mu.Lock()
	defer r.mu.Unlock()
	now := h.clock.Now()
	if !r.policy.MayAct(now) {
		return &message.ClaimEnded{}, nil
	}
	if r.table.Finish(k, claim.AttemptID(m.Attempt), claim.State(m.State), now) {
		r.replicateClaim(k)
	}
	return &message.ClaimEnded{Acting: r.waitReplicated(ctx)}, nil
}

// handleTokens handles a node's request for a lease of a customer's tokens; an empty grant means that this node can't answer.
func (h *Host) handleTokens(_ context.Context, decode figpier.Decode) (any, error) {
	var m message.TokenAsk
	if err := decode(&m); err != nil {
		return nil, err
	}
	name := bucketKey{customer: figpier.CustomerID(m.Customer), service: figpier.UpstreamService(m.Service)}
	now := h.clock.Now()
	limit, ok := h.limit(name, now)
	if !ok {
		return &message.TokenGrant{}, nil
	}
	r := h.replica(shard.ID(m.Shard))
	r.mu.Lock()
	defer r.mu.Unlock()
	now = h.clock.Now()
	if !r.policy.MayAct(now) {
		return &message.TokenGrant{}, nil
	}
	b := r.bucket(name, limit, now)
	return codec.FromGrant(b.Ask(codec.ToTokenAsk(m), now)), nil
}

// limit returns a customer's limit, false if this node's configuration may be outdated or has no profile for the service.
func (h *Host) limit(n bucketKey, now time.Time) (figpier.Limit, bool) {
	if !h.view.Fresh(now) {
		return figpier.Limit{}, false
	}
	profile, ok := h.view.Configuration().ProfileOf(n.service)
	if !ok {
		return figpier.Limit{}, false
	}
	return profile.Limit(n.customer), true
}

// bucket returns a customer's bucket with its limit up to date, and creates it if there is none. After a loss of state a new
// bucket waits out the leases that may have been granted before. The caller holds the lock.
func (r *shardReplica) bucket(n bucketKey, l figpier.Limit, now time.Time) *bucket.Bucket {
	if b, ok := r.buckets[n]; ok {
		if b.Limit() != l {
			b.SetLimit(l, now)
		}
		return b
	}
	if len(r.buckets) >= bucketCleanupSize {
		r.dropIdle(now)
	}
	c := bucket.Config{Limit: l, LeaseTime: r.host.config.TokenLease, MaxClockDrift: r.host.config.MaxClockDrift}
	began := now
	if !r.lostBefore.IsZero() {
		c.PredecessorLeases = true
		began = r.lostBefore
	}
	b := bucket.New(c, began)
	r.buckets[n] = b
	return b
}

// dropIdle drops the buckets that are in the state of a new one.
func (r *shardReplica) dropIdle(now time.Time) {
	for n, b := range r.buckets {
		if b.Idle(now) {
			delete(r.buckets, n)
		}
	}
}
