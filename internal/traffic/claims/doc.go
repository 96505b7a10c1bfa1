// Package claims ensures that non-idempotent requests run at most once over all nodes, with claims at the primaries of
// shards.
package claims
