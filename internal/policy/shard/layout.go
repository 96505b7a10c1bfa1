package shard

import (
	"hash/fnv"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/claim"
)

// Numbers of shards. All processes of a fleet must use the same numbers.
const (
	// limitShards is the number of shards for the token buckets of customers. Their state starts empty with each primary.
	limitShards = 64
	// claimShards is the number of shards for the claims of non-idempotent requests, which have backups.
	claimShards = 64
)

// Count is the total number of shards. The IDs below limitShards are those of limits, the rest those of claims.
const Count = limitShards + claimShards

// Replicated reports whether the state of a shard is kept on backups, which holds for claims but not for limits.
func Replicated(s ID) bool { return s >= limitShards }

// ForLimit returns the shard that holds a customer's token bucket for a service.
func ForLimit(c figpier.CustomerID, s figpier.UpstreamService) ID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(c))
	return ID(h.Sum32() % limitShards)
}

// ForClaim returns the shard that holds the claim with the given key.
func ForClaim(k claim.Key) ID {
	n := uint32(k[0])<<24 | uint32(k[1])<<16 | uint32(k[2])<<8 | uint32(k[3])
	return limitShards + ID(n%claimShards)
}
