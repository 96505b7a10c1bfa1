package raft

import (
	"math"
	"slices"
	"time"
)

// unknownAge is the quorum age when no contact is known.
const unknownAge = time.Duration(math.MaxInt64)

// QuorumAge returns the time since LastQuorumContact, or the greatest duration if there was none.
func (m *Machine) QuorumAge(now time.Time) time.Duration {
	c := m.LastQuorumContact(now)
	if c.IsZero() {
		return unknownAge
	}
	return now.Sub(c)
}

// LastQuorumContact returns the latest time at which a quorum is known to have followed the leader whose committed entries this
// member holds, or the zero time if there was none. No entry that was committed before that time is missing here.
func (m *Machine) LastQuorumContact(now time.Time) time.Time {
	if m.role == leader && m.commitIndex >= m.termStartIndex {
		if c := m.quorumContact(now); c.After(m.lastQuorumContact) {
			m.lastQuorumContact = c
		}
	}
	return m.lastQuorumContact
}

// quorumContact returns the latest time at which a majority is known to have followed this leader. A follower counts as
// of the time at which the last message that it answered was sent.
func (m *Machine) quorumContact(now time.Time) time.Time {
	var contacts []time.Time
	for _, id := range m.log.members.Voters() {
		if id == m.config.Self {
			contacts = append(contacts, now)
			continue
		}
		contacts = append(contacts, m.followers[id].lastContact)
	}
	slices.SortFunc(contacts, time.Time.Compare)
	return contacts[len(contacts)-m.log.members.Quorum()]
}

// updateQuorumContact derives this member's quorum contact from the leader's quorum age in a message. The message was
// sent after the leader got the answer that it names, so the time of that answer minus the age is a safe lower bound
// that needs no common clock. The contact stays as it is while this member lacks entries that the leader has committed.
func (m *Machine) updateQuorumContact(c MessageConfig) {
	rest, at, ok := m.answerTimes.takeThrough(c.Answered)
	m.answerTimes = rest
	if !ok || c.QuorumAge == unknownAge || m.commitIndex < c.Commit {
		return
	}
	if q := at.Add(-c.QuorumAge); q.After(m.lastQuorumContact) {
		m.lastQuorumContact = q
	}
}
