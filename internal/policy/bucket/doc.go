// Package bucket leases the tokens of one customer's token bucket to many nodes without ever exceeding its rate and burst.
//
// A Bucket runs at the primary of a shard and leases tokens; a Holder runs at a node and spends them.
// Leased tokens count against the burst until they are reported as spent or their lease expires,
// so the tokens spent in any window of length t never exceed burst + rate*t.
package bucket
