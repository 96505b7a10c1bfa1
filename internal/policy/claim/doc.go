// Package claim decides which attempt at a non-idempotent request may run, so that the request runs at most once.
//
// A Table holds the claims of one shard. An attempt claims the key of its request before it is sent to a backend server,
// and finishes the claim afterwards. The key becomes free again only if the attempt is known not to have run.
package claim
