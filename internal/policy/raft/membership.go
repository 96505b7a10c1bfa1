package raft

import (
	"maps"
	"slices"
	"time"

	"github.com/figpier/figpier"
)

// maxMembers limits the number of members. A new incarnation of a member may join beyond it, to replace the old one.
const maxMembers = 9

// Bootstrap creates a new log, on a member without one, from the given members and initial state. It does nothing on a
// member that already belongs to a log.
func (m *Machine) Bootstrap(now time.Time, cluster string, members *Members, data []byte) {
	if m.state.Cluster != "" {
		return
	}
	m.state.Cluster = cluster
	m.state.Term = 1
	m.queueStateWrite()
	s := NewSnapshot(SnapshotConfig{Index: 1, Term: 1, Members: members, Data: data})
	m.log.reset(s)
	m.commitIndex = s.Index()
	m.effects.snapshot = s
	m.electionDeadline = now
}

// Join asks the leader to add a member: first as a learner, then as a voter once it has the whole log. It returns a
// NotLeaderError on another member, and a MembershipError for another incarnation of the leader's own instance.
func (m *Machine) Join(now time.Time, joining Member) error {
	if m.role != leader {
		return figpier.NewNotLeaderError(m.Leader())
	}
	if joining.ID().Instance() == m.config.Self.Instance() {
		return &MembershipError{instance: joining.ID().Instance(), detail: "the instance leads the log, so its data folder is not lost"}
	}
	c := joining.Config()
	c.Voter = false
	m.pendingJoins[c.ID] = NewMember(c)
	m.advanceMembership(now)
	return nil
}

// Remove removes a control instance from the membership. It returns a NotLeaderError on a member that does not lead,
// and a MembershipError if the change is not possible now. The removal takes effect before it is committed.
func (m *Machine) Remove(now time.Time, i figpier.InstanceID) error {
	if m.role != leader {
		return figpier.NewNotLeaderError(m.Leader())
	}
	if !m.canChangeMembers() {
		return &MembershipError{instance: i, detail: "another change of the members is under way"}
	}
	for _, e := range m.log.members.List() {
		next := m.log.members.without(e.ID())
		if e.ID().Instance() != i {
			continue
		}
		if !m.hasRecentQuorum(now, next) {
			return &MembershipError{instance: i, detail: "no majority of the other voters answers"}
		}
		m.appendMembership(now, next)
		return nil
	}
	return &MembershipError{instance: i, detail: "the instance is no member"}
}

// hasRecentQuorum reports whether a majority of the voters in a membership has answered a message that was sent within
// the last Config.ElectionTimeout.
func (m *Machine) hasRecentQuorum(now time.Time, next *Members) bool {
	recent := 0
	for _, id := range next.Voters() {
		if id == m.config.Self || now.Sub(m.followers[id].lastContact) <= m.config.ElectionTimeout {
			recent++
		}
	}
	return recent >= next.Quorum()
}

// MembershipError reports that a membership change was refused.
type MembershipError struct {
	instance figpier.InstanceID
	detail   string
}

// Instance returns the control instance that was to be added or removed.
func (e *MembershipError) Instance() figpier.InstanceID { return e.instance }

// Error implements error.
func (e *MembershipError) Error() string {
	return "change of control instance " + string(e.instance) + ": " + e.detail
}

// canChangeMembers reports whether the last membership change and the first entry of the leader's term are committed.
// Before that, two changes could be in effect at once, with quorums that do not overlap.
func (m *Machine) canChangeMembers() bool {
	return m.commitIndex >= m.termStartIndex && m.log.membersIndex() <= m.commitIndex
}

// advanceMembership makes the next change that a joining or unresponsive member requires, one member at a time.
func (m *Machine) advanceMembership(now time.Time) {
	if !m.canChangeMembers() {
		return
	}
	if next := m.nextMembership(now); next != nil && m.hasRecentQuorum(now, next) {
		m.appendMembership(now, next)
	}
}

// nextMembership returns the membership after the next change of a single member, or nil if no change is due.
func (m *Machine) nextMembership(now time.Time) *Members {
	current := m.log.members
	if next := m.withoutSilentVoter(now); next != nil {
		return next
	}
	for _, e := range current.List() {
		if e.Voter() || m.followers[e.ID()] == nil {
			continue
		}
		p := m.followers[e.ID()]
		if now.Sub(p.lastSeen()) > m.config.LearnerTimeout {
			return current.without(e.ID())
		}
		if p.matchIndex >= m.commitIndex {
			return m.withPromoted(e)
		}
	}
	return m.withNextJoin()
}

// withoutSilentVoter returns the membership without a voter that has not answered for VoterTimeout, or nil if there is
// none or there are no more than Config.TargetVoters. This way a lost voter that was replaced no longer counts toward quorums.
// It joins again if it returns.
func (m *Machine) withoutSilentVoter(now time.Time) *Members {
	if m.config.TargetVoters == 0 || len(m.log.members.Voters()) <= m.config.TargetVoters {
		return nil
	}
	for _, id := range m.log.members.Voters() {
		p, ok := m.followers[id]
		if ok && now.Sub(p.lastSeen()) > m.config.VoterTimeout {
			return m.log.members.without(id)
		}
	}
	return nil
}

// withPromoted returns the membership with a learner made a voter or, as a first step, without the earlier incarnation
// of the learner's instance.
func (m *Machine) withPromoted(learner Member) *Members {
	if old, ok := m.log.members.otherIncarnation(learner.ID()); ok {
		return m.log.members.without(old.ID())
	}
	c := learner.Config()
	c.Voter = true
	return m.log.members.with(NewMember(c))
}

// withNextJoin returns the membership with the next joining member added as a learner, or nil if none can be added. As a
// first step it removes an earlier incarnation that is a learner, and it updates the address of a known member.
func (m *Machine) withNextJoin() *Members {
	for _, id := range slices.Sorted(maps.Keys(m.pendingJoins)) {
		joining := m.pendingJoins[id]
		if known, member := m.log.members.Find(id); member {
			delete(m.pendingJoins, id)
			if known.Address() != joining.Address() {
				return m.log.members.with(known.withAddress(joining.Address()))
			}
			continue
		}
		old, replaces := m.log.members.otherIncarnation(id)
		if replaces && !old.Voter() {
			return m.log.members.without(old.ID())
		}
		if replaces || len(m.log.members.List()) < maxMembers {
			return m.log.members.with(joining)
		}
	}
	return nil
}

// appendMembership appends an entry with a new membership, which takes effect at once.
func (m *Machine) appendMembership(now time.Time, next *Members) {
	m.appendEntry(EntryConfig{Kind: EntryMembers, Members: next})
	m.syncFollowers(now)
	m.sendToIdleFollowers(now)
	m.commitByQuorum(now)
}
