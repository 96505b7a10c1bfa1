// Package shards assigns shards to nodes. Every control instance keeps the assignments, which are replicated through the
// control log; the leading one decides on them and grants nodes their leases.
package shards
