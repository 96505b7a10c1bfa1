package raft

// Effects lists what the caller has to do for a member. Messages are sent only after the writes of these and of all
// earlier effects are durable; committed entries may be applied at once.
type Effects struct {
	state     *HardState
	entries   []*Entry
	snapshot  *Snapshot
	retained  []*Entry
	messages  []*Message
	restore   *Snapshot
	committed []*Entry
}

// State returns the hard state to make durable, or nil if it is unchanged.
func (e *Effects) State() *HardState { return e.state }

// Entries returns the entries to append to the durable log. An entry replaces the stored entries at its index and after.
func (e *Effects) Entries() []*Entry { return e.entries }

// Snapshot returns the snapshot that replaces the durable log, followed by the entries of Retained, or nil.
func (e *Effects) Snapshot() *Snapshot { return e.snapshot }

// Retained returns the entries after Snapshot that stay in the durable log.
func (e *Effects) Retained() []*Entry { return e.retained }

// Messages returns the messages to send once these and all earlier writes are durable.
func (e *Effects) Messages() []*Message { return e.messages }

// Restore returns the snapshot to load into the state machine before applying Committed, or nil.
func (e *Effects) Restore() *Snapshot { return e.restore }

// Committed returns the newly committed entries, to be applied to the state machine in this order.
func (e *Effects) Committed() []*Entry { return e.committed }

// HasWrites reports whether the effects hold a state, entries or a snapshot to make durable.
func (e *Effects) HasWrites() bool {
	return e.state != nil || len(e.entries) > 0 || e.snapshot != nil
}

// LastDurable returns the index and term of the last entry that is durable after the writes, or zeros if they change no entry.
func (e *Effects) LastDurable() (index, term uint64) {
	if n := len(e.entries); n > 0 {
		return e.entries[n-1].Index(), e.entries[n-1].Term()
	}
	if n := len(e.retained); n > 0 {
		return e.retained[n-1].Index(), e.retained[n-1].Term()
	}
	if e.snapshot != nil {
		return e.snapshot.Index(), e.snapshot.Term()
	}
	return 0, 0
}
