package raft

import (
	"slices"
	"time"
)

// becomeLeader starts the member's leadership with an empty entry of its term, which has to be committed before entries
// of earlier terms count as committed.
func (m *Machine) becomeLeader(now time.Time) {
	m.role = leader
	m.leader = m.config.Self
	m.votes = nil
	m.followers = map[MemberID]*progress{}
	m.pendingJoins = map[MemberID]Member{}
	m.nextHeartbeat = now.Add(m.config.Heartbeat)
	m.syncFollowers(now)
	m.appendEntry(EntryConfig{Kind: EntryEmpty})
	m.termStartIndex = m.log.lastIndex()
	m.sendToIdleFollowers(now)
}

// tickLeader sends the heartbeats that are due, or steps down if no quorum has answered within the election timeout.
func (m *Machine) tickLeader(now time.Time) {
	if now.Before(m.nextHeartbeat) {
		return
	}
	if now.Sub(m.quorumContact(now)) > m.config.ElectionTimeout {
		m.becomeFollower(now, m.state.Term)
		return
	}
	m.nextHeartbeat = now.Add(m.config.Heartbeat)
	m.advanceMembership(now)
	for _, e := range m.log.members.List() {
		if p, ok := m.followers[e.ID()]; ok {
			m.sendNext(now, e, p)
		}
	}
}

// syncFollowers adds progress for new members and deletes that of removed ones.
func (m *Machine) syncFollowers(now time.Time) {
	for _, e := range m.log.members.List() {
		if _, known := m.followers[e.ID()]; !known && e.ID() != m.config.Self {
			m.followers[e.ID()] = &progress{nextIndex: m.log.lastIndex() + 1, lastContact: now, addedAt: now}
		}
	}
	for id := range m.followers {
		if _, member := m.log.members.Find(id); !member {
			delete(m.followers, id)
		}
	}
}

// appendEntry appends an entry to the leader's log, with the next index and the current term.
func (m *Machine) appendEntry(c EntryConfig) {
	c.Index = m.log.lastIndex() + 1
	c.Term = m.state.Term
	e := NewEntry(c)
	m.log.append(e)
	m.effects.entries = append(m.effects.entries, e)
}

// sendToIdleFollowers sends the next entries to the members that have no unanswered message.
func (m *Machine) sendToIdleFollowers(now time.Time) {
	for _, e := range m.log.members.List() {
		if p, ok := m.followers[e.ID()]; ok && !p.awaitingAnswer {
			m.sendNext(now, e, p)
		}
	}
}

// sendNext sends a member its next entries, or the next part of a snapshot if the log no longer holds these. While an
// earlier message is unanswered, it sends an empty message as a heartbeat.
func (m *Machine) sendNext(now time.Time, to Member, p *progress) {
	c := MessageConfig{
		To:        to.ID(),
		Address:   to.Address(),
		Term:      m.state.Term,
		Commit:    m.commitIndex,
		Answered:  p.lastAnswered,
		QuorumAge: m.QuorumAge(now),
	}
	empty := p.awaitingAnswer
	p.lastSequence++
	c.Sequence = p.lastSequence
	p.sendTimes = p.sendTimes.add(p.lastSequence, now)
	p.sentCommit = m.commitIndex
	p.awaitingAnswer = true
	if prior, ok := m.log.termAt(p.nextIndex - 1); ok && p.snapshot == nil {
		c.Kind = KindAppend
		c.Index = p.nextIndex - 1
		c.IndexTerm = prior
		if !empty {
			c.Entries = m.log.batch(p.nextIndex, m.config.BatchBytes)
		}
		m.send(c)
		return
	}
	m.sendSnapshotPart(c, p, empty)
}

// onAppendAnswer advances the follower's progress, or moves nextIndex back after a refusal, and sends what comes next. A
// refusal that moves nothing is left to the next heartbeat, so that repeated ones cause no loop of messages.
func (m *Machine) onAppendAnswer(now time.Time, c MessageConfig) {
	p := m.progressForAnswer(now, c)
	if p == nil {
		return
	}
	if !c.Granted {
		previous := p.nextIndex
		p.nextIndex = max(min(p.nextIndex-1, c.Index+1), p.matchIndex+1)
		if p.nextIndex != previous {
			m.sendNextIfIdle(now, c.From, p)
		}
		return
	}
	p.matchIndex = max(p.matchIndex, c.Index)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	m.commitByQuorum(now)
	if m.role == leader && (p.nextIndex <= m.log.lastIndex() || p.sentCommit < m.commitIndex) {
		m.sendNextIfIdle(now, c.From, p)
	}
}

// progressForAnswer records an answer from a follower and returns its progress. It returns nil if the answer is stale,
// the sender is no member, or this member does not lead; an answer of a higher term ends its leadership.
func (m *Machine) progressForAnswer(now time.Time, c MessageConfig) *progress {
	if c.Term > m.state.Term {
		m.becomeFollower(now, c.Term)
		return nil
	}
	if m.role != leader || c.Term < m.state.Term {
		return nil
	}
	p, ok := m.followers[c.From]
	if !ok {
		return nil
	}
	p.recordAnswer(c.Sequence)
	p.awaitingAnswer = c.Sequence < p.lastSequence
	return p
}

// sendNextIfIdle sends the next message to a member that has answered the last one.
func (m *Machine) sendNextIfIdle(now time.Time, id MemberID, p *progress) {
	if e, ok := m.log.members.Find(id); ok && !p.awaitingAnswer {
		m.sendNext(now, e, p)
	}
}

// commitByQuorum commits the entries that a majority holds durably, provided that these include an entry of the
// leader's own term. A leader that is no longer a member steps down once its removal is committed.
func (m *Machine) commitByQuorum(now time.Time) {
	var matches []uint64
	for _, id := range m.log.members.Voters() {
		matches = append(matches, m.matchIndex(id))
	}
	slices.Sort(matches)
	index := matches[len(matches)-m.log.members.Quorum()]
	if index <= m.commitIndex || index < m.termStartIndex {
		return
	}
	m.commitTo(index)
	if _, member := m.log.members.Find(m.config.Self); !member && m.log.membersIndex() <= m.commitIndex {
		m.becomeFollower(now, m.state.Term)
		return
	}
	m.sendToIdleFollowers(now)
}

// matchIndex returns the last entry that a voter is known to hold durably.
func (m *Machine) matchIndex(id MemberID) uint64 {
	if id == m.config.Self {
		return m.durableIndex
	}
	return m.followers[id].matchIndex
}
