// Package raft implements the Raft consensus algorithm for one member of the replicated log, without I/O.
//
// The caller passes in messages, proposals and the current time. The Machine returns the writes to make durable, the
// messages to send and the committed entries to apply as Effects.
package raft
