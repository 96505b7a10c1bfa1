package codec

import (
	"encoding/base64"
	"math"
	"time"

	"github.com/figpier/figpier/internal/policy/raft"
	"github.com/figpier/figpier/internal/wire/message"
)

// unknownAgeMicros is the quorum age on the wire of a member that never had contact with a quorum.
const unknownAgeMicros = -1

// FromReplicaMember returns the wire form of a member of the replicated log.
func FromReplicaMember(m raft.Member) message.ReplicaMember {
	return message.ReplicaMember{Id: string(m.ID()), Address: m.Address(), Voter: m.Voter()}
}

// ToReplicaMember converts a member of the replicated log from its wire form.
func ToReplicaMember(m message.ReplicaMember) raft.Member {
	return raft.NewMember(raft.MemberConfig{
		ID:      raft.MemberID(m.Id),
		Address: m.Address,
		Voter:   m.Voter,
	})
}

// FromReplicaMembers returns the wire form of the log's membership, an empty list for nil.
func FromReplicaMembers(m *raft.Members) []message.ReplicaMember {
	list := []message.ReplicaMember{}
	if m == nil {
		return list
	}
	for _, e := range m.List() {
		list = append(list, FromReplicaMember(e))
	}
	return list
}

// ToReplicaMembers converts the log's membership from its wire form. It returns nil for an empty list.
func ToReplicaMembers(list []message.ReplicaMember) *raft.Members {
	if len(list) == 0 {
		return nil
	}
	var members []raft.Member
	for _, e := range list {
		members = append(members, ToReplicaMember(e))
	}
	return raft.NewMembers(members...)
}

// FromReplicaEntry returns the wire form of a log entry, with its command compressed if the reader can read that.
func FromReplicaEntry(e *raft.Entry, compress bool) message.ReplicaEntry {
	return message.ReplicaEntry{
		Index:    int(e.Index()),
		Term:     int(e.Term()),
		Kind:     string(e.Kind()),
		Proposal: e.Proposal(),
		Command:  FromCommand(e.Command(), compress),
		Members:  FromReplicaMembers(e.Members()),
	}
}

// ToReplicaEntry converts a log entry from its wire form. Index and term must be at least 1.
func ToReplicaEntry(m message.ReplicaEntry) (*raft.Entry, error) {
	command, err := ToCommand(m.Command)
	if err != nil {
		return nil, Error.New("command of entry %d: %w", m.Index, err)
	}
	if m.Index <= 0 || m.Term <= 0 {
		return nil, Error.New("entry %d of term %d: both count from 1", m.Index, m.Term)
	}
	return raft.NewEntry(raft.EntryConfig{
		Index:    uint64(m.Index),
		Term:     uint64(m.Term),
		Kind:     raft.EntryKind(m.Kind),
		Proposal: m.Proposal,
		Command:  command,
		Members:  ToReplicaMembers(m.Members),
	}), nil
}

// FromReplicaEntries returns the wire forms of log entries, an empty list for none, with their commands compressed if the reader can
// read that.
func FromReplicaEntries(entries []*raft.Entry, compress bool) []message.ReplicaEntry {
	list := []message.ReplicaEntry{}
	for _, e := range entries {
		list = append(list, FromReplicaEntry(e, compress))
	}
	return list
}

// ToReplicaEntries converts log entries from their wire forms. Their indexes must be consecutive.
func ToReplicaEntries(list []message.ReplicaEntry) ([]*raft.Entry, error) {
	var entries []*raft.Entry
	for i, m := range list {
		e, err := ToReplicaEntry(m)
		if err != nil {
			return nil, err
		}
		if i > 0 && e.Index() != entries[i-1].Index()+1 {
			return nil, Error.New("entry %d follows entry %d", e.Index(), entries[i-1].Index())
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// FromReplicaState returns the wire form of a hard state, the part of a log member's state that must survive a restart.
func FromReplicaState(s raft.HardState) message.ReplicaState {
	return message.ReplicaState{Cluster: s.Cluster(), Term: int(s.Term()), Vote: string(s.Vote())}
}

// ToReplicaState converts a hard state from its wire form.
func ToReplicaState(m message.ReplicaState) raft.HardState {
	return raft.NewHardState(raft.HardStateConfig{
		Cluster: m.Cluster,
		Term:    uint64(m.Term),
		Vote:    raft.MemberID(m.Vote),
	})
}

// FromReplicaSnapshot returns the wire form of a snapshot of the log's state machine, with its data in base64.
func FromReplicaSnapshot(s *raft.Snapshot) message.ReplicaSnapshot {
	return message.ReplicaSnapshot{
		Index:   int(s.Index()),
		Term:    int(s.Term()),
		Members: FromReplicaMembers(s.Members()),
		Data:    base64.StdEncoding.EncodeToString(s.Data()),
	}
}

// ToReplicaSnapshot converts a snapshot from its wire form. It fails if the snapshot lists no members.
func ToReplicaSnapshot(m message.ReplicaSnapshot) (*raft.Snapshot, error) {
	data, err := base64.StdEncoding.DecodeString(m.Data)
	if err != nil {
		return nil, Error.New("snapshot up to entry %d: %w", m.Index, err)
	}
	members := ToReplicaMembers(m.Members)
	if members == nil {
		return nil, Error.New("snapshot up to entry %d has no members", m.Index)
	}
	return raft.NewSnapshot(raft.SnapshotConfig{
		Index:   uint64(m.Index),
		Term:    uint64(m.Term),
		Members: members,
		Data:    data,
	}), nil
}

// FromReplicaMessage returns the wire form of a message between members of the log. The quorum age is rounded up, so that
// the receiver never takes the sender's state for newer than it is. Commands are compressed if the receiver can read that.
func FromReplicaMessage(m *raft.Message, compress bool) message.ReplicaMessage {
	readsCompressed := true
	c := m.Config()
	age := unknownAgeMicros
	if c.QuorumAge != math.MaxInt64 {
		age = int(c.QuorumAge.Microseconds()) + 1
	}
	return message.ReplicaMessage{
		Kind:            string(c.Kind),
		Cluster:         c.Cluster,
		From:            string(c.From),
		To:              string(c.To),
		ReplyTo:         c.ReplyTo,
		Term:            int(c.Term),
		Index:           int(c.Index),
		IndexTerm:       int(c.IndexTerm),
		Entries:         FromReplicaEntries(c.Entries, compress),
		Commit:          int(c.Commit),
		Granted:         c.Granted,
		Force:           c.Force,
		Sequence:        int(c.Sequence),
		Answered:        int(c.Answered),
		QuorumAgeMicros: age,
		Members:         FromReplicaMembers(c.Members),
		Offset:          int(c.Offset),
		Total:           int(c.Total),
		Part:            base64.StdEncoding.EncodeToString(c.Part),
		Compression:     &readsCompressed,
	}
}

// ToReplicaMessage converts a message between members of the log from its wire form. It fails if its entries don't directly
// follow the message's index, or if a snapshot message lists no members.
func ToReplicaMessage(m message.ReplicaMessage) (*raft.Message, error) {
	entries, err := ToReplicaEntries(m.Entries)
	if err != nil {
		return nil, err
	}
	if len(entries) > 0 && entries[0].Index() != uint64(m.Index)+1 {
		return nil, Error.New("entry %d follows entry %d", entries[0].Index(), m.Index)
	}
	part, err := base64.StdEncoding.DecodeString(m.Part)
	if err != nil {
		return nil, Error.New("part of a snapshot: %w", err)
	}
	members := ToReplicaMembers(m.Members)
	if m.Kind == string(raft.KindSnapshot) && members == nil {
		return nil, Error.New("snapshot to entry %d has no members", m.Index)
	}
	age := time.Duration(math.MaxInt64)
	if m.QuorumAgeMicros != unknownAgeMicros {
		age = time.Duration(m.QuorumAgeMicros) * time.Microsecond
	}
	return raft.NewMessage(raft.MessageConfig{
		Kind:      raft.MessageKind(m.Kind),
		Cluster:   m.Cluster,
		From:      raft.MemberID(m.From),
		To:        raft.MemberID(m.To),
		ReplyTo:   m.ReplyTo,
		Term:      uint64(m.Term),
		Index:     uint64(m.Index),
		IndexTerm: uint64(m.IndexTerm),
		Entries:   entries,
		Commit:    uint64(m.Commit),
		Granted:   m.Granted,
		Force:     m.Force,
		Sequence:  uint64(m.Sequence),
		Answered:  uint64(m.Answered),
		QuorumAge: age,
		Members:   members,
		Offset:    uint64(m.Offset),
		Total:     uint64(m.Total),
		Part:      part,
	}), nil
}
