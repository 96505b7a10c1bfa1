// Package shards holds a node's replicas of shards, which store the token buckets of limits and the claims of non-idempotent
// requests. The primary of a shard answers for it and replicates claims to the backups; buckets are not replicated.
package shards
