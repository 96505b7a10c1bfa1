// Package limiter enforces a customer's rate and burst at a service over all nodes, with tokens leased from the primaries of
// shards.
package limiter
