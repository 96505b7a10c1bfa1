package raft

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/figpier/figpier"
)

// startupHeartbeats is the number of heartbeat intervals that a member waits for a leader after its start.
const startupHeartbeats = 2

// role is a member's role in the current term.
type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Config builds a Machine.
type Config struct {
	// Self identifies this member.
	Self MemberID
	// Address is the IP address and port at which this member receives messages.
	Address string
	// Heartbeat is the interval between heartbeats of a leader.
	Heartbeat time.Duration
	// ElectionTimeout is the minimum election timeout; the timeout is chosen at random between this and twice this.
	ElectionTimeout time.Duration
	// LearnerTimeout is how long a learner may go without answering before it is removed.
	LearnerTimeout time.Duration
	// TargetVoters is the number of voters above which one that does not answer is removed, 0 to keep all.
	TargetVoters int
	// VoterTimeout is how long a voter may go without answering before it is removed, if there are more than TargetVoters.
	VoterTimeout time.Duration
	// BatchBytes limits the total size of the commands in an append message, except that one command is always sent.
	BatchBytes int
	// PartBytes limits the size of the part of a snapshot in one message.
	PartBytes int
	// TrailingEntries limits the number of entries before the end of a snapshot that stay in memory for followers that lag behind.
	TrailingEntries uint64
	// TrailingBytes limits the total size of these entries, 0 for no limit.
	TrailingBytes int
	// UncommittedBytes limits the total size of the entries that a leader accepts before they are committed, except that one
	// is always accepted; 0 for no limit.
	UncommittedBytes int
	// Random draws the election timeouts.
	Random *rand.Rand
	// Now is the time at which the member starts.
	Now time.Time
	// State is the hard state from disk.
	State HardState
	// Snapshot is the snapshot from disk, nil for none.
	Snapshot *Snapshot
	// Entries are the entries from disk that follow Snapshot.
	Entries []*Entry
}

// Machine is the Raft state of one member. It does no I/O, starts no goroutine and is not safe for concurrent use: the
// control thread calls it and carries out its effects.
type Machine struct {
	config Config
	role   role
	state  HardStateConfig
	log    *log
	// commitIndex is the index of the last entry known to be committed.
	commitIndex uint64
	// committedBytes is the total size of the entries that were committed since the newest snapshot or the start.
	committedBytes int
	// durableIndex is the index of the last entry known to be on this member's disk.
	durableIndex uint64
	// leader is the leader of the current term, empty if unknown.
	leader MemberID
	// lastLeaderMessageAt is when the last message from the leader arrived.
	lastLeaderMessageAt time.Time
	// electionDeadline is when a member that does not lead starts an election.
	electionDeadline time.Time
	// nextHeartbeat is when a leader sends heartbeats next.
	nextHeartbeat time.Time
	// votes holds the members that have granted their vote in the current pre-vote or election.
	votes map[MemberID]bool
	// followers is the progress of the other members; it is nil unless this member leads.
	followers map[MemberID]*progress
	// pendingJoins are the members that asked this leader to join and are not yet in the membership.
	pendingJoins map[MemberID]Member
	// termStartIndex is the index of the first entry of the leader's term.
	termStartIndex uint64
	// lastQuorumContact is the latest known time at which a quorum followed the leader, see LastQuorumContact.
	lastQuorumContact time.Time
	// answerTimes are the times at which this member answered the leader's messages.
	answerTimes messageTimes
	// incoming is the snapshot being received, nil for none.
	incoming *incomingSnapshot
	effects  *Effects
}

// New returns a member in the state that its disk holds. Its first effects restore the state machine from the snapshot.
// A member that is the only voter may start an election at once.
func New(c Config) *Machine {
	m := &Machine{
		config:  c,
		state:   c.State.Config(),
		log:     newLog(c.Snapshot, c.Entries),
		effects: &Effects{restore: c.Snapshot},
	}
	// The configuration must not keep in memory what the log drops later.
	m.config.Snapshot, m.config.Entries = nil, nil
	m.commitIndex = m.log.baseIndex
	m.durableIndex = m.log.lastIndex()
	m.electionDeadline = c.Now.Add(m.initialElectionTimeout())
	if m.isOnlyVoter() {
		m.electionDeadline = c.Now
	}
	return m
}

// TakeEffects returns the effects accumulated since the last call. It is called after each of the other methods.
func (m *Machine) TakeEffects() *Effects {
	e := m.effects
	m.effects = &Effects{}
	return e
}

// NextTick returns the time at which Tick has to be called next. Other calls may change it.
func (m *Machine) NextTick() time.Time {
	if m.role == leader {
		return m.nextHeartbeat
	}
	return m.electionDeadline
}

// Tick sends the heartbeats of a leader or starts an election, if either is due.
func (m *Machine) Tick(now time.Time) {
	switch {
	case m.role == leader:
		m.tickLeader(now)
	case !now.Before(m.electionDeadline):
		m.leader = ""
		m.startPreVote(now)
	}
}

// Receive handles a message from another member. It ignores messages for another incarnation or another log.
func (m *Machine) Receive(now time.Time, message *Message) {
	c := message.Config()
	if c.To != m.config.Self || m.isForeignCluster(c.Cluster) {
		return
	}
	switch c.Kind {
	case KindPreVote, KindVote:
		m.onVoteRequest(now, c)
	case KindPreVoteAnswer, KindVoteAnswer:
		m.onVoteAnswer(now, c)
	case KindAppend:
		m.onAppend(now, c)
	case KindAppendAnswer:
		m.onAppendAnswer(now, c)
	case KindSnapshot:
		m.onSnapshot(now, c)
	case KindSnapshotAnswer:
		m.onSnapshotAnswer(now, c)
	case KindTimeoutNow:
		m.onTimeoutNow(now, c)
	}
}

// Propose appends a command to the log under the proposer's identifier. It returns a NotLeaderError, or a LogFullError while
// the entries that are not committed yet reach Config.UncommittedBytes. The command is accepted only once it is among the
// committed entries: a later leader may discard it before.
func (m *Machine) Propose(now time.Time, proposal string, command []byte) error {
	if m.role != leader {
		return figpier.NewNotLeaderError(m.Leader())
	}
	if n := m.log.size(m.commitIndex, m.log.lastIndex()); m.config.UncommittedBytes > 0 && n >= m.config.UncommittedBytes {
		return figpier.NewLogFullError(n)
	}
	m.appendEntry(EntryConfig{Kind: EntryCommand, Proposal: proposal, Command: command})
	m.sendToIdleFollowers(now)
	return nil
}

// WritesDurable tells the member that the writes of the effects, and all earlier ones, are on disk. A leader then counts
// itself toward the quorum for these entries.
func (m *Machine) WritesDurable(now time.Time, e *Effects) {
	index, term := e.LastDurable()
	if t, ok := m.log.termAt(index); !ok || t != term || index <= m.durableIndex {
		return
	}
	m.durableIndex = index
	if m.role == leader {
		m.commitByQuorum(now)
	}
}

// Compact takes a snapshot, with the given state of the state machine after the last committed entry, and drops the
// entries that it covers, except for the trailing ones. It does nothing if a snapshot of that entry exists.
func (m *Machine) Compact(data []byte) {
	term, ok := m.log.termAt(m.commitIndex)
	if !ok || m.log.snapshot != nil && m.commitIndex <= m.log.snapshot.Index() {
		return
	}
	s := NewSnapshot(SnapshotConfig{
		Index:   m.commitIndex,
		Term:    term,
		Members: m.log.membersAt(m.commitIndex),
		Data:    data,
	})
	m.log.compact(s, trailingLimits{entries: m.config.TrailingEntries, bytes: m.config.TrailingBytes})
	m.committedBytes = 0
	m.effects.snapshot = s
	m.effects.retained = slices.Clone(m.log.between(s.Index(), m.log.lastIndex()))
}

// Leading reports whether this member takes itself to be the leader. A newer leader may exist; see QuorumAge.
func (m *Machine) Leading() bool { return m.role == leader }

// Leader returns the control instance that leads the log, empty if unknown.
func (m *Machine) Leader() figpier.InstanceID { return m.leader.Instance() }

// LeaderAddress returns the IP address and port at which the leader receives messages, empty if unknown.
func (m *Machine) LeaderAddress() string {
	e, _ := m.log.members.Find(m.leader)
	return e.Address()
}

// Term returns the highest term that this member has seen.
func (m *Machine) Term() uint64 { return m.state.Term }

// Cluster returns the identifier of the log, empty until this member belongs to one.
func (m *Machine) Cluster() string { return m.state.Cluster }

// Members returns the membership in effect, which may not be committed yet.
func (m *Machine) Members() *Members { return m.log.members }

// CommitIndex returns the index of the last entry that this member knows to be committed.
func (m *Machine) CommitIndex() uint64 { return m.commitIndex }

// CommittedBytes returns the total size of the entries that were committed since the newest snapshot or the start.
func (m *Machine) CommittedBytes() int { return m.committedBytes }

// SnapshotSize returns the number of bytes of the newest snapshot's data, 0 without a snapshot.
func (m *Machine) SnapshotSize() int {
	if m.log.snapshot == nil {
		return 0
	}
	return len(m.log.snapshot.Data())
}

// HeldBytes returns the total size of the entries in memory.
func (m *Machine) HeldBytes() int { return m.log.size(m.log.baseIndex, m.log.lastIndex()) }

// SnapshotIndex returns the index of the last entry that the newest snapshot covers, 0 without a snapshot.
func (m *Machine) SnapshotIndex() uint64 {
	if m.log.snapshot == nil {
		return 0
	}
	return m.log.snapshot.Index()
}

// isOnlyVoter reports whether this member forms a quorum by itself.
func (m *Machine) isOnlyVoter() bool {
	return len(m.log.members.Voters()) == 1 && m.log.members.IsVoter(m.config.Self)
}

// isForeignCluster reports whether a message belongs to another log. A member without a log accepts any.
func (m *Machine) isForeignCluster(name string) bool {
	return m.state.Cluster != "" && m.state.Cluster != name
}

// send adds a message to the effects and fills in the sender.
func (m *Machine) send(c MessageConfig) {
	if c.Cluster == "" {
		c.Cluster = m.state.Cluster
	}
	c.From = m.config.Self
	c.ReplyTo = m.config.Address
	m.effects.messages = append(m.effects.messages, NewMessage(c))
}

// reply sends an answer to the sender of a message, with that message's cluster and sequence number.
func (m *Machine) reply(to MessageConfig, c MessageConfig) {
	c.Cluster = to.Cluster
	c.To = to.From
	c.Address = to.ReplyTo
	c.Sequence = to.Sequence
	m.send(c)
}

// queueStateWrite adds the current hard state to the effects.
func (m *Machine) queueStateWrite() {
	s := NewHardState(m.state)
	m.effects.state = &s
}

// adoptCluster makes a member without a log part of the sender's log.
func (m *Machine) adoptCluster(c MessageConfig) {
	if m.state.Cluster == "" {
		m.state.Cluster = c.Cluster
		m.queueStateWrite()
	}
}

// resetElectionDeadline restarts the election timeout, between one and two times Config.ElectionTimeout. The random part
// keeps members from starting elections at the same time.
func (m *Machine) resetElectionDeadline(now time.Time) {
	jitter := time.Duration(m.config.Random.Int64N(int64(m.config.ElectionTimeout)))
	m.electionDeadline = now.Add(m.config.ElectionTimeout + jitter)
}

// initialElectionTimeout returns how long a member waits for a leader after its start: a few heartbeats, and a random
// time so that members that start together do not ask for votes together. It may be shorter than Config.ElectionTimeout,
// because the followers of a live leader refuse the vote.
func (m *Machine) initialElectionTimeout() time.Duration {
	return startupHeartbeats*m.config.Heartbeat + time.Duration(m.config.Random.Int64N(int64(m.config.ElectionTimeout/2)))
}

// commitTo moves the commit index forward and adds the newly committed entries to the effects.
func (m *Machine) commitTo(to uint64) {
	if to <= m.commitIndex {
		return
	}
	m.effects.committed = append(m.effects.committed, m.log.between(m.commitIndex, to)...)
	m.committedBytes += m.log.size(m.commitIndex, to)
	m.commitIndex = to
}
