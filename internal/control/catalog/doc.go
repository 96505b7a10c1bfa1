// Package catalog implements the replicated state machine of the operators' edits: profiles, assignments, keys and the routing table.
package catalog
