// Package replica runs one member of the replicated log: it feeds messages, timers and finished writes to the consensus decisions in internal/policy/replica and carries out their effects.
//
// Only the control thread uses the member's state. One goroutine writes to the disk, and short-lived goroutines send messages; both report back by events.
package replica
