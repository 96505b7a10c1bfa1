package raft

import "time"

// MessageKind distinguishes the requests and answers that members exchange.
type MessageKind string

// Kinds of message. Each request but KindTimeoutNow is answered by the kind that is named after it.
const (
	KindPreVote        MessageKind = "pre-vote"
	KindPreVoteAnswer  MessageKind = "pre-vote-answer"
	KindVote           MessageKind = "vote"
	KindVoteAnswer     MessageKind = "vote-answer"
	KindAppend         MessageKind = "append"
	KindAppendAnswer   MessageKind = "append-answer"
	KindSnapshot       MessageKind = "snapshot"
	KindSnapshotAnswer MessageKind = "snapshot-answer"
	KindTimeoutNow     MessageKind = "timeout-now"
)

// MessageConfig builds a Message.
type MessageConfig struct {
	// Kind selects which of the fields below are set.
	Kind MessageKind
	// Cluster identifies the log.
	Cluster string
	// From is the sender.
	From MemberID
	// To is the receiver. Other incarnations of its instance ignore the message.
	To MemberID
	// Address is the IP address and port of the receiver.
	Address string
	// ReplyTo is the IP address and port at which the sender receives the answer.
	ReplyTo string
	// Term is the sender's term. In a pre-vote it is the term that the sender would start, also in an answer that grants it.
	Term uint64
	// Index is the candidate's last entry in a vote request, the entry before Entries in an append, and the last entry
	// covered in a snapshot and its answer. In the answer to an append it is the last entry that matches, or, if the
	// append was refused, the entry after which the leader should try next.
	Index uint64
	// IndexTerm is the term of the entry at Index.
	IndexTerm uint64
	// Entries are the entries of an append, empty in a heartbeat.
	Entries []*Entry
	// Commit is the index of the last entry that the leader knows to be committed.
	Commit uint64
	// Granted says that an answer grants the vote, accepts the append or confirms the whole snapshot.
	Granted bool
	// Force says that the leader asked the candidate to take over, so that voters with an active leader answer too.
	Force bool
	// Sequence numbers the messages of a leader to one member in one term, from 1. An answer repeats it.
	Sequence uint64
	// Answered is the sequence number of the latest answer that the leader has received from this member, 0 for none.
	Answered uint64
	// QuorumAge is Machine.QuorumAge of the leader at the time of sending.
	QuorumAge time.Duration
	// Members is the membership of a snapshot.
	Members *Members
	// Offset is the position of Part in the snapshot in bytes, or, in an answer, the number of bytes received so far.
	Offset uint64
	// Total is the size of the whole snapshot in bytes.
	Total uint64
	// Part holds the bytes of a snapshot from Offset on, empty in a heartbeat.
	Part []byte
}

// Message is an immutable message from one member to another.
type Message struct {
	config MessageConfig
}

// NewMessage returns a message, which owns the slices of its configuration from then on.
func NewMessage(c MessageConfig) *Message { return &Message{config: c} }

// Config returns the fields of the message for encoding.
func (m *Message) Config() MessageConfig { return m.config }

// Kind returns the kind of the request or answer.
func (m *Message) Kind() MessageKind { return m.config.Kind }

// To returns the member that the message is for.
func (m *Message) To() MemberID { return m.config.To }

// From returns the member that sent the message.
func (m *Message) From() MemberID { return m.config.From }

// Size returns the bytes of the entries or of the part of a snapshot that the message carries.
func (m *Message) Size() int {
	total := len(m.config.Part)
	for _, e := range m.config.Entries {
		total += e.Size()
	}
	return total
}

// Address returns the IP address and port of the receiver.
func (m *Message) Address() string { return m.config.Address }
