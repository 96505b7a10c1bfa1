package process

import "time"

// Timing and replication parameters of shards, rate-limit tokens and claims.
const (
	// controlLease is how long a node may act for its shards without renewing its control lease.
	controlLease = 2 * time.Second
	// controlMaxClockDrift is the greatest drift between two clocks during a control lease.
	controlMaxClockDrift = 100 * time.Millisecond
	// shardBackups is the number of backups of a shard that stores claims.
	shardBackups = 2
	// shardLossTimeout is how long all members of a shard must be absent before its claims count as lost.
	shardLossTimeout = time.Minute
	// tokenLease is how long a node may spend the rate-limit tokens that it leased.
	tokenLease = 500 * time.Millisecond
	// tokenMaxClockDrift is the greatest drift between two clocks during a token lease.
	tokenMaxClockDrift = 25 * time.Millisecond
	// tokenWaitTimeout is how long a request waits for a rate-limit token.
	tokenWaitTimeout = 100 * time.Millisecond
	// claimRetention is how long a claim of an idempotency key is kept.
	claimRetention = 24 * time.Hour
	// claimRunTimeout is how long a claim may stay in the running state before its outcome counts as unknown.
	claimRunTimeout = 5 * time.Minute
)
