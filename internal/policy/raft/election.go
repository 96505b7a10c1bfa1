package raft

import "time"

// becomeFollower makes the member a follower in the given term, which must not be lower than its own.
func (m *Machine) becomeFollower(now time.Time, term uint64) {
	if term > m.state.Term {
		m.state.Term = term
		m.state.Vote = ""
		m.queueStateWrite()
		m.leader = ""
		m.answerTimes = nil
	}
	if m.role == leader {
		m.leader = ""
	}
	m.role = follower
	m.votes = nil
	m.followers = nil
	m.pendingJoins = nil
	m.resetElectionDeadline(now)
}

// startPreVote asks the other voters whether they would vote for this member. It leaves the term unchanged, so that a
// member that returns after an outage does not depose the leader. A member that is no voter becomes a follower.
func (m *Machine) startPreVote(now time.Time) {
	m.resetElectionDeadline(now)
	if !m.log.members.IsVoter(m.config.Self) {
		m.role = follower
		return
	}
	m.role = preCandidate
	m.votes = map[MemberID]bool{m.config.Self: true}
	m.requestVotes(KindPreVote, m.state.Term+1, false)
	m.countVotes(now)
}

// startElection increments the term, votes for this member and asks the other voters for their votes. With force, they
// answer even if they still have an active leader.
func (m *Machine) startElection(now time.Time, force bool) {
	m.role = candidate
	m.leader = ""
	m.answerTimes = nil
	m.state.Term++
	m.state.Vote = m.config.Self
	m.queueStateWrite()
	m.resetElectionDeadline(now)
	m.votes = map[MemberID]bool{m.config.Self: true}
	m.requestVotes(KindVote, m.state.Term, force)
	m.countVotes(now)
}

// requestVotes sends a vote request or a pre-vote to all other voters.
func (m *Machine) requestVotes(k MessageKind, term uint64, force bool) {
	for _, e := range m.log.members.List() {
		if !e.Voter() || e.ID() == m.config.Self {
			continue
		}
		m.send(MessageConfig{
			Kind:      k,
			To:        e.ID(),
			Address:   e.Address(),
			Term:      term,
			Index:     m.log.lastIndex(),
			IndexTerm: m.log.lastTerm(),
			Force:     force,
		})
	}
}

// countVotes starts the election after a majority of pre-votes, and makes the member leader after a majority of votes.
func (m *Machine) countVotes(now time.Time) {
	granted := 0
	for _, id := range m.log.members.Voters() {
		if m.votes[id] {
			granted++
		}
	}
	if granted < m.log.members.Quorum() {
		return
	}
	switch m.role {
	case preCandidate:
		m.startElection(now, false)
	case candidate:
		m.becomeLeader(now)
	}
}

// hasActiveLeader reports whether the member leads or has received a message from its leader within the election
// timeout. Such a member ignores vote requests that are not forced.
func (m *Machine) hasActiveLeader(now time.Time) bool {
	if m.role == leader {
		return true
	}
	return m.leader != "" && now.Sub(m.lastLeaderMessageAt) < m.config.ElectionTimeout
}

// onVoteRequest answers a vote request or a pre-vote. The vote goes to a candidate whose log is at least as up to date as
// this one; a pre-vote is granted on the same condition but changes no state.
func (m *Machine) onVoteRequest(now time.Time, c MessageConfig) {
	if !c.Force && m.hasActiveLeader(now) {
		return
	}
	pre := c.Kind == KindPreVote
	if !pre && c.Term > m.state.Term {
		m.becomeFollower(now, c.Term)
	}
	answer := MessageConfig{Kind: KindVoteAnswer, Term: m.state.Term}
	upToDate := !m.log.isMoreUpToDate(c.Index, c.IndexTerm)
	if pre {
		answer.Kind = KindPreVoteAnswer
		answer.Granted = upToDate && c.Term > m.state.Term
	} else {
		canVote := m.state.Vote == "" || m.state.Vote == c.From
		answer.Granted = upToDate && canVote && c.Term == m.state.Term
	}
	if answer.Granted && pre {
		answer.Term = c.Term
	}
	if answer.Granted && !pre {
		m.recordVote(now, c)
	}
	m.reply(c, answer)
}

// recordVote stores the vote for the sender and restarts the election timeout.
func (m *Machine) recordVote(now time.Time, c MessageConfig) {
	m.adoptCluster(c)
	m.role = follower
	m.votes = nil
	m.state.Vote = c.From
	m.queueStateWrite()
	m.resetElectionDeadline(now)
}

// onVoteAnswer counts a granted vote, or adopts the higher term that a refusal reports.
func (m *Machine) onVoteAnswer(now time.Time, c MessageConfig) {
	if c.Term > m.state.Term && !c.Granted {
		m.becomeFollower(now, c.Term)
		return
	}
	expected := m.role == candidate && c.Kind == KindVoteAnswer && c.Term == m.state.Term ||
		m.role == preCandidate && c.Kind == KindPreVoteAnswer && c.Term == m.state.Term+1
	if !expected || !c.Granted {
		return
	}
	m.votes[c.From] = true
	m.countVotes(now)
}

// onTimeoutNow starts an election without waiting for the timeout, at the request of a leader that transfers its leadership.
func (m *Machine) onTimeoutNow(now time.Time, c MessageConfig) {
	if c.Term != m.state.Term || c.From != m.leader || !m.log.members.IsVoter(m.config.Self) {
		return
	}
	m.startElection(now, true)
}

// TransferLeadership asks the voter with the longest matching log to start an election. It reports false if this member does not
// lead or there is no other voter. The member leads until it sees the new term.
func (m *Machine) TransferLeadership() bool {
	if m.role != leader {
		return false
	}
	var successor Member
	var highestMatch uint64
	for _, e := range m.log.members.List() {
		p, ok := m.followers[e.ID()]
		if ok && e.Voter() && p.matchIndex >= highestMatch {
			successor, highestMatch = e, p.matchIndex
		}
	}
	if successor.ID() == "" {
		return false
	}
	m.send(MessageConfig{Kind: KindTimeoutNow, To: successor.ID(), Address: successor.Address(), Term: m.state.Term})
	return true
}
