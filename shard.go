package figpier

import "context"

// Names of the services that manage shards.
const (
	// ShardHostService holds the shard replicas of a node.
	ShardHostService ServiceName = "traffic.shards.host"
	// ShardLocatorService looks up the primaries of shards.
	ShardLocatorService ServiceName = "traffic.shards.locator"
	// ShardAssignerService assigns shards to nodes, on the leading control instance.
	ShardAssignerService ServiceName = "control.shards"
)

// Methods for shards and for the claims and tokens that they store.
const (
	// MethodShardRenew renews a node's control lease at the leading control instance.
	MethodShardRenew Method = "shard.renew"
	// MethodShardLookup asks a control instance for the primary of a shard.
	MethodShardLookup Method = "shard.lookup"
	// MethodShardWrite replicates a write from a primary to a follower.
	MethodShardWrite Method = "shard.write"
	// MethodClaim asks a primary for the claim to run a non-idempotent request.
	MethodClaim Method = "claim.ask"
	// MethodClaimEnd reports the outcome of a claimed request to a primary.
	MethodClaimEnd Method = "claim.end"
	// MethodTokens requests tokens of a customer's rate limit from a primary.
	MethodTokens Method = "limit.tokens"
)

// ShardLocator looks up and caches the primaries of shards.
type ShardLocator interface {
	Service
	// Primary returns the message address of a shard's primary, or an error when it can't be found.
	Primary(ctx context.Context, shard uint32) (address string, err error)
	// Invalidate removes a cached address, after it turned out not to serve the shard.
	Invalidate(shard uint32, address string)
}

// FindShardLocator finds the shard locator of a node.
func FindShardLocator(d Directory) (ShardLocator, error) {
	return findService[ShardLocator](d, ShardLocatorService)
}
