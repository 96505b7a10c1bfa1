package raft

import "time"

// incomingSnapshot holds the bytes received so far of a snapshot that a leader sends in parts.
type incomingSnapshot struct {
	from  MemberID
	index uint64
	term  uint64
	data  []byte
}

// matches reports whether a message carries a part of this snapshot. It is false on a nil receiver.
func (s *incomingSnapshot) matches(c MessageConfig) bool {
	return s != nil && s.from == c.From && s.index == c.Index && s.term == c.IndexTerm
}

// sendSnapshotPart sends the next part of a snapshot to a member. The part is left out if empty is set; the answer
// then only tells the leader how many bytes the member has.
func (m *Machine) sendSnapshotPart(c MessageConfig, p *progress, empty bool) {
	if p.snapshot == nil {
		p.snapshot = m.log.snapshot
		p.snapshotOffset = 0
	}
	data := p.snapshot.Data()
	end := min(p.snapshotOffset+uint64(m.config.PartBytes), uint64(len(data)))
	c.Kind = KindSnapshot
	c.Index = p.snapshot.Index()
	c.IndexTerm = p.snapshot.Term()
	c.Members = p.snapshot.Members()
	c.Offset = p.snapshotOffset
	c.Total = uint64(len(data))
	if !empty {
		c.Part = data[p.snapshotOffset:end]
	}
	m.send(c)
}

// onSnapshot stores a part of a snapshot, and installs the snapshot once it is complete. Its answer grants the snapshot
// or reports the number of bytes received.
func (m *Machine) onSnapshot(now time.Time, c MessageConfig) {
	if !m.acceptLeader(now, c, KindSnapshotAnswer) {
		return
	}
	m.answerTimes = m.answerTimes.add(c.Sequence, now)
	answer := MessageConfig{Kind: KindSnapshotAnswer, Term: m.state.Term, Index: c.Index}
	switch {
	case m.commitIfHeld(c):
		answer.Granted = true
	case m.addSnapshotPart(c):
		m.installSnapshot(c)
		answer.Granted = true
	default:
		answer.Offset = uint64(len(m.incoming.data))
	}
	m.reply(c, answer)
}

// commitIfHeld reports whether the log already holds the entries that a snapshot covers, and if so commits them. It keeps
// a delayed snapshot from removing entries that this member has acknowledged.
func (m *Machine) commitIfHeld(c MessageConfig) bool {
	if c.Index <= m.commitIndex {
		return true
	}
	term, ok := m.log.termAt(c.Index)
	if !ok || term != c.IndexTerm {
		return false
	}
	m.commitTo(c.Index)
	return true
}

// addSnapshotPart appends a part, unless it is out of order, and reports whether the snapshot is complete.
func (m *Machine) addSnapshotPart(c MessageConfig) bool {
	if !m.incoming.matches(c) {
		m.incoming = &incomingSnapshot{from: c.From, index: c.Index, term: c.IndexTerm}
	}
	s := m.incoming
	if c.Offset == uint64(len(s.data)) {
		s.data = append(s.data, c.Part...)
	}
	return uint64(len(s.data)) == c.Total
}

// installSnapshot replaces the log by the complete incoming snapshot and discards the effects that it supersedes.
func (m *Machine) installSnapshot(c MessageConfig) {
	s := NewSnapshot(SnapshotConfig{
		Index:   c.Index,
		Term:    c.IndexTerm,
		Members: c.Members,
		Data:    m.incoming.data,
	})
	m.incoming = nil
	m.log.reset(s)
	m.commitIndex = s.Index()
	m.committedBytes = 0
	m.durableIndex = 0
	m.effects.snapshot = s
	m.effects.retained = nil
	m.effects.entries = nil
	m.effects.restore = s
	m.effects.committed = nil
}

// onSnapshotAnswer sends the next part of a snapshot, or the entries after it once the member has it.
func (m *Machine) onSnapshotAnswer(now time.Time, c MessageConfig) {
	p := m.progressForAnswer(now, c)
	if p == nil || p.snapshot == nil || p.snapshot.Index() != c.Index {
		return
	}
	if !c.Granted {
		p.snapshotOffset = min(c.Offset, uint64(len(p.snapshot.Data())))
		m.sendNextIfIdle(now, c.From, p)
		return
	}
	p.snapshot = nil
	p.matchIndex = max(p.matchIndex, c.Index)
	p.nextIndex = p.matchIndex + 1
	m.commitByQuorum(now)
	if m.role == leader {
		m.sendNextIfIdle(now, c.From, p)
	}
}
