package shards

import (
	"context"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/claim"
	"github.com/figpier/figpier/internal/policy/shard"
	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

// replicateClaim adds a claim's record to the replicated writes. The caller holds the lock.
func (r *shardReplica) replicateClaim(k claim.Key) {
	r.policy.Write(k[:])
	r.startSenders()
}

// startSenders starts a sender for each follower that lacks writes and has none. The caller holds the lock.
func (r *shardReplica) startSenders() {
	for _, m := range r.policy.Followers() {
		if r.senders[m] != nil {
			continue
		}
		if _, due := r.policy.NextMessage(m); !due {
			continue
		}
		s := &sender{}
		r.senders[m] = s
		go r.runSender(m, s)
	}
}

// runSender is the goroutine of a sender: it sends a follower the writes that it lacks, one message at a time, until it has
// all.
func (r *shardReplica) runSender(m shard.MemberID, s *sender) {
	ctx := r.host.serviceCtx
	for ctx.Err() == nil {
		c, w, due := r.nextWrite(m)
		if !due {
			return
		}
		if !r.sendWrite(ctx, m, s, c, w) {
			r.host.sleep(ctx, retryDelay)
		}
	}
}

// nextWrite returns the next message for a follower. If the follower has all writes, it removes the sender and returns false.
func (r *shardReplica) nextWrite(m shard.MemberID) (shard.MessageConfig, *message.ShardWrite, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, due := r.policy.NextMessage(m)
	if !due {
		delete(r.senders, m)
		return c, nil, false
	}
	return c, r.encodeWrite(m, c), true
}

// encodeWrite builds the message with its claim records: all of them where the follower needs the whole state.
func (r *shardReplica) encodeWrite(m shard.MemberID, c shard.MessageConfig) *message.ShardWrite {
	now := r.host.clock.Now()
	w := &message.ShardWrite{
		To:       string(m),
		Shard:    int(c.Shard),
		Epoch:    int(c.Epoch),
		Stream:   int(c.Stream),
		Origin:   int(c.Origin),
		Sequence: int(c.Sequence),
		Whole:    c.Whole,
		Lost:     !r.lostBefore.IsZero(),
	}
	if w.Lost {
		w.LostMillis = int(now.Sub(r.lostBefore).Milliseconds())
	}
	add := func(k claim.Key, e claim.Entry) bool {
		w.Claims = append(w.Claims, codec.FromClaimEntry(k, e, now))
		return true
	}
	if c.Whole {
		r.table.Each(add)
		return w
	}
	k := claim.Key(c.Payload)
	if e, ok := r.table.Entry(k); ok {
		add(k, e)
	}
	return w
}

// sendWrite sends a follower one message and reports whether the follower has its writes now.
func (r *shardReplica) sendWrite(ctx context.Context, m shard.MemberID, s *sender, c shard.MessageConfig, w *message.ShardWrite) bool {
	ask, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var a message.ShardWritten
	err := r.host.messenger.Request(ask, codec.MemberAddress(m), figpier.MethodShardWrite, w, &a)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		if s.silentSince.IsZero() {
			s.silentSince = r.host.clock.Now()
		}
		return false
	}
	s.silentSince = time.Time{}
	r.policy.HandleAnswer(m, c.Epoch, shard.AnswerConfig{
		Epoch:    shard.Epoch(a.Epoch),
		Stream:   shard.Epoch(a.Stream),
		Sequence: uint64(a.Sequence),
	})
	r.notifyWaiters()
	return shard.Epoch(a.Stream) == c.Stream && uint64(a.Sequence) >= c.Sequence
}

// handleWrite handles a write from a primary. A write to an earlier process at this address is an error.
func (h *Host) handleWrite(_ context.Context, decode figpier.Decode) (any, error) {
	var w message.ShardWrite
	if err := decode(&w); err != nil {
		return nil, err
	}
	if w.To != string(h.member) {
		return nil, Error.New("the write is for %s, which has ended", w.To)
	}
	r := h.replica(shard.ID(w.Shard))
	r.mu.Lock()
	defer r.mu.Unlock()
	a, apply := r.policy.Receive(shard.MessageConfig{
		Shard:    shard.ID(w.Shard),
		Epoch:    shard.Epoch(w.Epoch),
		Stream:   shard.Epoch(w.Stream),
		Origin:   shard.Epoch(w.Origin),
		Sequence: uint64(w.Sequence),
		Whole:    w.Whole,
	})
	if apply {
		r.applyWrite(w, h.clock.Now())
	}
	r.notifyWaiters()
	return &message.ShardWritten{Epoch: int(a.Epoch), Stream: int(a.Stream), Sequence: int(a.Sequence)}, nil
}

// applyWrite stores the claims of a write, after emptying the state where the write carries the whole of it.
func (r *shardReplica) applyWrite(w message.ShardWrite, now time.Time) {
	if w.Whole {
		var lost time.Time
		if w.Lost {
			lost = now.Add(-time.Duration(w.LostMillis) * time.Millisecond)
		}
		r.reset(lost)
	}
	for _, record := range w.Claims {
		if k, ok := codec.ToClaimKey(record.Key); ok {
			r.table.Put(k, codec.ToClaimEntry(record, now))
		}
	}
}
