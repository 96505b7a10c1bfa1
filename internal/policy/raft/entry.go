package raft

// EntryKind says what an entry of the log holds.
type EntryKind string

// Kinds of entry.
const (
	// EntryEmpty is the first entry of a leader's term. Once it is committed, so are all entries of earlier terms.
	EntryEmpty EntryKind = "empty"
	// EntryCommand holds a command for the state machine.
	EntryCommand EntryKind = "command"
	// EntryMembers holds a membership, which takes effect when the entry is appended, not when it is committed.
	EntryMembers EntryKind = "members"
)

// entryOverheadBytes is the memory of an entry without its command.
const entryOverheadBytes = 128

// EntryConfig builds an Entry.
type EntryConfig struct {
	// Index is the position in the log, starting at 1.
	Index uint64
	// Term is the term of the leader that appended the entry.
	Term uint64
	// Kind selects which of the fields below are set.
	Kind EntryKind
	// Proposal is the identifier that the proposer gave to an EntryCommand.
	Proposal string
	// Command is the encoded command of an EntryCommand.
	Command []byte
	// Members is the membership of an EntryMembers, nil for other kinds.
	Members *Members
}

// Entry is an immutable entry of the replicated log.
type Entry struct {
	config EntryConfig
}

// NewEntry returns an entry, which owns the slices of its configuration from then on.
func NewEntry(c EntryConfig) *Entry { return &Entry{config: c} }

// Config returns the fields of the entry for encoding.
func (e *Entry) Config() EntryConfig { return e.config }

// Index returns the position in the log, starting at 1.
func (e *Entry) Index() uint64 { return e.config.Index }

// Term returns the term of the leader that appended the entry.
func (e *Entry) Term() uint64 { return e.config.Term }

// Kind returns the kind of the entry.
func (e *Entry) Kind() EntryKind { return e.config.Kind }

// Proposal returns the proposer's identifier of an EntryCommand, empty for other kinds.
func (e *Entry) Proposal() string { return e.config.Proposal }

// Command returns the encoded command of an EntryCommand, which the caller must not modify.
func (e *Entry) Command() []byte { return e.config.Command }

// Size returns the bytes of memory that the entry takes beside its membership.
func (e *Entry) Size() int {
	return entryOverheadBytes + len(e.config.Proposal) + len(e.config.Command)
}

// Members returns the membership of an EntryMembers, nil for other kinds.
func (e *Entry) Members() *Members { return e.config.Members }

// SnapshotConfig builds a Snapshot.
type SnapshotConfig struct {
	// Index is the index of the last entry that the snapshot covers.
	Index uint64
	// Term is the term of that entry.
	Term uint64
	// Members is the membership in effect at that entry.
	Members *Members
	// Data is the encoded state of the state machine after that entry.
	Data []byte
}

// Snapshot holds the state and membership after a prefix of the log, which it replaces. It is immutable.
type Snapshot struct {
	config SnapshotConfig
}

// NewSnapshot returns a snapshot, which owns the data of its configuration from then on.
func NewSnapshot(c SnapshotConfig) *Snapshot { return &Snapshot{config: c} }

// Config returns the fields of the snapshot for encoding.
func (s *Snapshot) Config() SnapshotConfig { return s.config }

// Index returns the index of the last entry that the snapshot covers.
func (s *Snapshot) Index() uint64 { return s.config.Index }

// Term returns the term of the last entry that the snapshot covers.
func (s *Snapshot) Term() uint64 { return s.config.Term }

// Members returns the membership in effect at the last entry that the snapshot covers.
func (s *Snapshot) Members() *Members { return s.config.Members }

// Data returns the encoded state, which the caller must not modify.
func (s *Snapshot) Data() []byte { return s.config.Data }

// HardStateConfig builds a HardState.
type HardStateConfig struct {
	// Cluster identifies the log, empty until the member belongs to one.
	Cluster string
	// Term is the highest term that the member has seen.
	Term uint64
	// Vote is the candidate that the member voted for in Term, empty for none.
	Vote MemberID
}

// HardState is the state, besides the log and its snapshot, that a member must make durable before it answers.
type HardState struct {
	config HardStateConfig
}

// NewHardState returns the hard state of a member. The zero HardState is that of a member without a log.
func NewHardState(c HardStateConfig) HardState { return HardState{config: c} }

// Config returns the fields of the hard state for encoding.
func (s HardState) Config() HardStateConfig { return s.config }

// Cluster returns the identifier of the log, empty until the member belongs to one.
func (s HardState) Cluster() string { return s.config.Cluster }

// Term returns the highest term that the member has seen.
func (s HardState) Term() uint64 { return s.config.Term }

// Vote returns the candidate that the member voted for in Term, empty for none.
func (s HardState) Vote() MemberID { return s.config.Vote }
