package bucket

import (
	"math"
	"time"

	"github.com/figpier/figpier"
)

const (
	// The part of the burst kept for requests that already wait is 1/reserveDivisor.
	reserveDivisor = 4
	// leasedRetryTime is when a holder should ask again for tokens that are leased to other holders.
	leasedRetryTime = 10 * time.Millisecond
)

// HolderID identifies a node's holder. It must differ between processes, also on the same node.
type HolderID string

// Config configures a Bucket.
type Config struct {
	// Limit is the rate and burst.
	Limit figpier.Limit
	// LeaseTime is how long a holder may spend a lease, counted from when it sent the request.
	LeaseTime time.Duration
	// MaxClockDrift bounds how far two clocks drift apart during a lease.
	MaxClockDrift time.Duration
	// PredecessorLeases says that a lost predecessor of the bucket may have leases that have not expired.
	PredecessorLeases bool
}

// Bucket is a token bucket whose tokens are leased to holders. It is not safe for concurrent use.
type Bucket struct {
	limit         figpier.Limit
	leaseTime     time.Duration
	maxClockDrift time.Duration

	free     float64   // tokens that may be leased
	leased   int       // leased tokens that are not reported as spent
	refilled time.Time // until when the rate has been added; in the future while a predecessor's leases last
	leases   []*lease
	holders  map[HolderID]*holder
}

// lease is a number of tokens that a holder may spend until the lease expires. It has ended when it expired or was closed.
type lease struct {
	holder   HolderID
	sequence uint64
	tokens   int
	spent    int
	expires  time.Time
	ended    bool
}

// holder is what the bucket knows about one Holder.
type holder struct {
	sequence  uint64
	lastGrant Grant
	leases    []*lease
	target    int
	lastAsk   time.Time
}

// New returns a full bucket, or with Config.PredecessorLeases an empty one that starts to refill when its predecessor's leases have
// expired.
func New(c Config, now time.Time) *Bucket {
	b := &Bucket{
		limit:         c.Limit,
		leaseTime:     c.LeaseTime,
		maxClockDrift: c.MaxClockDrift,
		free:          c.Limit.Burst(),
		refilled:      now,
		holders:       map[HolderID]*holder{},
	}
	if c.PredecessorLeases {
		b.free = 0
		b.refilled = now.Add(c.LeaseTime + c.MaxClockDrift)
	}
	return b
}

// SetLimit changes the rate and burst. A lower burst holds in every window that starts after the current leases have ended.
func (b *Bucket) SetLimit(l figpier.Limit, now time.Time) {
	b.advance(now)
	b.limit = l
	b.capFreeTokens()
}

// Limit returns the rate and burst.
func (b *Bucket) Limit() figpier.Limit { return b.limit }

// Leased returns the number of leased tokens that are not reported as spent.
func (b *Bucket) Leased() int { return b.leased }

// Free returns the number of tokens that are free to be leased.
func (b *Bucket) Free() float64 { return b.free }

// Idle reports whether the bucket is full and has no leased tokens, so that it can be dropped and created again later.
func (b *Bucket) Idle(now time.Time) bool {
	b.advance(now)
	return b.leased == 0 && b.free >= b.limit.Burst() && !now.Before(b.refilled)
}

// Ask applies a holder's reports and leases tokens to it. A repeated request gets the same answer again, and one that
// arrives after a later request gets no tokens; both change nothing.
func (b *Bucket) Ask(a TokenRequestConfig, now time.Time) Grant {
	b.advance(now)
	h := b.holder(a.Holder)
	if a.Sequence < h.sequence {
		return Grant{sequence: a.Sequence}
	}
	if a.Sequence == h.sequence {
		return h.lastGrant
	}
	h.sequence = a.Sequence
	h.target = a.Target
	h.lastAsk = now
	b.applyReports(h, a.Reports)
	h.lastGrant = b.grant(h, a, now)
	return h.lastGrant
}

func (b *Bucket) holder(id HolderID) *holder {
	h, ok := b.holders[id]
	if !ok {
		h = &holder{}
		b.holders[id] = h
	}
	return h
}

// applyReports applies a holder's reports. A lease that is not reported is closed, because reports name every lease that
// the holder still has.
func (b *Bucket) applyReports(h *holder, reports []LeaseReportConfig) {
	reported := map[uint64]LeaseReportConfig{}
	for _, r := range reports {
		reported[r.Sequence] = r
	}
	open := h.leases[:0]
	for _, l := range h.leases {
		r, ok := reported[l.sequence]
		b.applySpent(l, r.Spent)
		if !ok || r.Closed {
			b.closeLease(l)
		}
		if !l.ended {
			open = append(open, l)
		}
	}
	h.leases = open
}

// applySpent records the total number of tokens spent from a lease; a lower number than before is ignored.
func (b *Bucket) applySpent(l *lease, spent int) {
	spent = min(spent, l.tokens)
	if l.ended || spent <= l.spent {
		return
	}
	b.leased -= spent - l.spent
	l.spent = spent
}

// closeLease returns the unspent tokens of a lease that its holder will not spend from again.
func (b *Bucket) closeLease(l *lease) {
	if l.ended {
		return
	}
	unspent := l.tokens - l.spent
	b.leased -= unspent
	b.free += float64(unspent)
	l.ended = true
	b.capFreeTokens()
}

func (b *Bucket) grant(h *holder, a TokenRequestConfig, now time.Time) Grant {
	g := Grant{sequence: a.Sequence, leaseTime: b.leaseTime}
	held := h.heldTokens()
	if a.Target <= held {
		return g
	}
	g.tokens = max(b.prefetchTokens(a, held, now), b.waitingTokens(a, held, now))
	if g.tokens > 0 {
		b.addLease(h, a, g.tokens, now)
		return g
	}
	g.retryAfter = b.retryDelay(now)
	g.empty = b.free < 1
	g.overRate = g.empty && held == 0 && b.refillable() >= 1 && g.retryAfter > a.MaxWait
	return g
}

// prefetchTokens returns the tokens that a holder may get ahead of demand, which leave a reserve for waiting requests.
func (b *Bucket) prefetchTokens(a TokenRequestConfig, held int, now time.Time) int {
	half := (int(b.free) + b.leased) / 2
	free := int(b.free - b.limit.Burst()/reserveDivisor)
	return min(b.fairShare(half, a.Target, now)-held, a.Target-held, free)
}

// waitingTokens returns the tokens that a holder may get for the requests that wait at it.
func (b *Bucket) waitingTokens(a TokenRequestConfig, held int, now time.Time) int {
	fair := b.fairShare(int(b.free)+b.leased, a.Target, now) - held
	if held == 0 {
		fair = max(fair, 1)
	}
	return min(a.Waiting, fair, int(b.free))
}

func (b *Bucket) addLease(h *holder, a TokenRequestConfig, n int, now time.Time) {
	l := &lease{
		holder:   a.Holder,
		sequence: a.Sequence,
		tokens:   n,
		expires:  now.Add(b.leaseTime + b.maxClockDrift),
	}
	b.free -= float64(n)
	b.leased += n
	h.leases = append(h.leases, l)
	b.leases = append(b.leases, l)
}

// heldTokens returns the number of leased tokens that the holder has not reported as spent.
func (h *holder) heldTokens() int {
	n := 0
	for _, l := range h.leases {
		if !l.ended {
			n += l.tokens - l.spent
		}
	}
	return n
}

// fairShare returns the max-min fair share of a pool of tokens for a holder that wants target tokens. It also drops
// holders without leases that have not asked for a lease time.
func (b *Bucket) fairShare(pool, target int, now time.Time) int {
	targets := make([]int, 0, len(b.holders))
	for id, h := range b.holders {
		if now.Sub(h.lastAsk) <= b.leaseTime {
			targets = append(targets, h.target)
		} else if len(h.leases) == 0 {
			delete(b.holders, id)
		}
	}
	return maxMinShare(pool, targets, target)
}

// retryDelay returns when a holder should ask again: when the next token is due, or shortly if tokens
// are leased to others or reserved.
func (b *Bucket) retryDelay(now time.Time) time.Duration {
	if b.refillable() < 1 && b.free < 1 || b.free >= 1 || b.limit.Rate() <= 0 {
		return leasedRetryTime
	}
	wait := time.Duration((1 - b.free) / b.limit.Rate() * float64(time.Second))
	wait += max(0, b.refilled.Sub(now))
	return min(wait, b.leaseTime)
}

// refillable returns how many tokens the bucket can gain before it is full, negative after the burst was lowered.
func (b *Bucket) refillable() float64 {
	return b.limit.Burst() - b.free - float64(b.leased)
}

// capFreeTokens removes free tokens that exceed a lowered burst.
func (b *Bucket) capFreeTokens() {
	if r := b.refillable(); r < 0 {
		b.free = max(0, b.free+r)
	}
}

// advance refills the bucket and ends expired leases, in the order of time.
func (b *Bucket) advance(now time.Time) {
	for len(b.leases) > 0 {
		l := b.leases[0]
		if !l.ended && l.expires.After(now) {
			break
		}
		b.leases = b.leases[1:]
		if l.ended {
			continue
		}
		b.refill(l.expires)
		b.leased -= l.tokens - l.spent
		l.ended = true
		b.removeFromHolder(l)
	}
	b.refill(now)
}

// removeFromHolder removes an expired lease from its holder.
func (b *Bucket) removeFromHolder(l *lease) {
	h, ok := b.holders[l.holder]
	if !ok {
		return
	}
	open := h.leases[:0]
	for _, other := range h.leases {
		if other != l {
			open = append(open, other)
		}
	}
	h.leases = open
}

// refill adds the tokens gained since the last refill, up to the burst less the leased tokens.
func (b *Bucket) refill(now time.Time) {
	if !now.After(b.refilled) {
		return
	}
	gained := b.limit.Rate() * now.Sub(b.refilled).Seconds()
	b.refilled = now
	b.free += math.Max(0, math.Min(gained, b.refillable()))
}
