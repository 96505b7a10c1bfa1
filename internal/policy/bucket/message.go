package bucket

import (
	"slices"
	"time"
)

// LeaseReportConfig reports how much of one lease its holder has spent.
type LeaseReportConfig struct {
	// Sequence is the number of the request that the lease answered.
	Sequence uint64
	// Spent is the number of tokens spent from the lease since it was granted.
	Spent int
	// Closed says that the holder will spend no more from the lease.
	Closed bool
}

// TokenRequestConfig is a holder's request for tokens.
type TokenRequestConfig struct {
	// Holder identifies the holder.
	Holder HolderID
	// Sequence numbers the holder's requests from 1; the holder ignores answers to all but the last.
	Sequence uint64
	// Reports has an entry for every lease that the holder still has; the bucket closes any other.
	Reports []LeaseReportConfig
	// Target is the number of tokens that the holder wants to hold.
	Target int
	// Waiting is the number of requests that wait at the holder for a token.
	Waiting int
	// MaxWait is how long the holder's requests may wait for a token.
	MaxWait time.Duration
}

// GrantConfig configures a Grant.
type GrantConfig struct {
	// Sequence is the number of the request.
	Sequence uint64
	// Tokens is the number of tokens on the new lease.
	Tokens int
	// LeaseTime is how long the tokens may be spent, counted from when the request was sent.
	LeaseTime time.Duration
	// Empty says that the bucket had no free token.
	Empty bool
	// OverRate says that the customer is over its rate and burst.
	OverRate bool
	// RetryAfter is how long after the answer the bucket may have a token.
	RetryAfter time.Duration
}

// Grant is the bucket's answer to a request.
type Grant struct {
	sequence   uint64
	tokens     int
	leaseTime  time.Duration
	empty      bool
	overRate   bool
	retryAfter time.Duration
}

// NewGrant returns a grant.
func NewGrant(c GrantConfig) Grant {
	return Grant{
		sequence:   c.Sequence,
		tokens:     c.Tokens,
		leaseTime:  c.LeaseTime,
		empty:      c.Empty,
		overRate:   c.OverRate,
		retryAfter: c.RetryAfter,
	}
}

// Sequence returns the number of the request.
func (g Grant) Sequence() uint64 { return g.sequence }

// Tokens returns the number of tokens on the new lease.
func (g Grant) Tokens() int { return g.tokens }

// LeaseTime returns how long the tokens may be spent, counted from when the request was sent.
func (g Grant) LeaseTime() time.Duration { return g.leaseTime }

// Empty reports whether the bucket had no free token.
func (g Grant) Empty() bool { return g.empty }

// OverRate reports whether the bucket found the customer over its rate and burst.
func (g Grant) OverRate() bool { return g.overRate }

// RetryAfter returns how long after the answer the bucket may have a token.
func (g Grant) RetryAfter() time.Duration { return g.retryAfter }

// maxMinShare returns the max-min fair share of a pool for target, which must be one of targets. It sorts targets.
func maxMinShare(pool int, targets []int, target int) int {
	slices.Sort(targets)
	for i, t := range targets {
		fair := pool / (len(targets) - i)
		if t > fair {
			return min(target, fair)
		}
		if t >= target {
			return target
		}
		pool -= t
	}
	return min(target, pool)
}
