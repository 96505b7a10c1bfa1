package raft

import "time"

// acceptLeader makes the member a follower of the sender. If the sender's term is stale, it answers with the current
// term in a message of the given kind and reports false.
func (m *Machine) acceptLeader(now time.Time, c MessageConfig, refusal MessageKind) bool {
	if c.Term < m.state.Term {
		m.reply(c, MessageConfig{Kind: refusal, Term: m.state.Term})
		return false
	}
	if c.Term > m.state.Term || m.role != follower {
		m.becomeFollower(now, c.Term)
	}
	m.adoptCluster(c)
	m.leader = c.From
	m.lastLeaderMessageAt = now
	m.resetElectionDeadline(now)
	return true
}

// onAppend stores the entries of an append and answers with the last index that now matches the leader's log. If the
// preceding entry is missing or differs, it refuses with the index after which the leader should try next.
func (m *Machine) onAppend(now time.Time, c MessageConfig) {
	if !m.acceptLeader(now, c, KindAppendAnswer) {
		return
	}
	m.answerTimes = m.answerTimes.add(c.Sequence, now)
	answer := MessageConfig{Kind: KindAppendAnswer, Term: m.state.Term}
	prior, priorTerm, entries := m.skipCommitted(c)
	if t, ok := m.log.termAt(prior); !ok || t != priorTerm {
		answer.Index = min(prior-1, m.log.lastIndex())
		m.reply(c, answer)
		return
	}
	m.storeEntries(entries)
	answer.Granted = true
	answer.Index = prior + uint64(len(entries))
	m.commitTo(min(c.Commit, answer.Index))
	m.updateQuorumContact(c)
	m.reply(c, answer)
}

// skipCommitted drops the leading entries of an append that are already committed here. Committed entries are the same
// at every leader, and the log may have compacted them away.
func (m *Machine) skipCommitted(c MessageConfig) (prior, priorTerm uint64, entries []*Entry) {
	if c.Index >= m.commitIndex {
		return c.Index, c.IndexTerm, c.Entries
	}
	term, _ := m.log.termAt(m.commitIndex)
	skipped := min(m.commitIndex-c.Index, uint64(len(c.Entries)))
	return m.commitIndex, term, c.Entries[skipped:]
}

// storeEntries appends the entries that the log lacks. Stored entries from the first conflicting term on are removed.
func (m *Machine) storeEntries(entries []*Entry) {
	for i, e := range entries {
		term, ok := m.log.termAt(e.Index())
		if ok && term == e.Term() {
			continue
		}
		if ok {
			m.log.truncate(e.Index() - 1)
			m.durableIndex = min(m.durableIndex, e.Index()-1)
		}
		m.log.append(entries[i:]...)
		m.effects.entries = append(m.effects.entries, entries[i:]...)
		return
	}
}
