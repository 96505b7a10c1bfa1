package raft

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

func TestLearnerIsPromotedOnlyWithTheWholeLog(t *testing.T) {
	c := newCluster(t.Fatalf, 11)
	c.settle()
	for range 10 {
		c.propose(c.leader())
	}
	c.settle()
	lead := c.leader()
	lost := (nodeIndex(c, lead) + 1) % 3
	c.nodes[lost] = c.newNode(lost)
	fresh := c.nodes[lost].id
	c.advanceTime(testHeartbeat)
	for range 20 {
		c.exchangeWithout(fresh)
		c.advanceTime(testHeartbeat)
		_, member := lead.machine.Members().Find(fresh)
		assert.Assert(t, member)
		assert.Assert(t, !lead.machine.Members().IsVoter(fresh))
		assert.Equal(t, len(lead.machine.Members().Voters()), 3)
	}
	c.settle()
	assert.Assert(t, lead.machine.Members().IsVoter(fresh))
}

// nodeIndex returns the index of a node in its cluster, -1 if it is not there.
func nodeIndex(c *cluster, n *node) int {
	for i, o := range c.nodes {
		if o == n {
			return i
		}
	}
	return -1
}

// exchangeWithout delivers all messages except those from and to one member.
func (c *cluster) exchangeWithout(id MemberID) {
	c.isolated = id
	for range 10 {
		for _, n := range c.nodes {
			for len(n.pending) > 0 {
				c.writeNext(n)
			}
		}
		for len(c.inFlight) > 0 {
			c.deliver(0, false)
		}
	}
	c.isolated = ""
}

func TestMembersChangeOneAtATime(t *testing.T) {
	c := newCluster(t.Fatalf, 12)
	c.settle()
	lead := c.leader()
	first := c.nodes[(nodeIndex(c, lead)+1)%3].id.Instance()
	second := c.nodes[(nodeIndex(c, lead)+2)%3].id.Instance()

	assert.NilError(t, lead.machine.Remove(c.now, first))
	refused := &MembershipError{}
	assert.Assert(t, errors.As(lead.machine.Remove(c.now, second), &refused))
	assert.Equal(t, refused.Instance(), second)
	assert.Equal(t, len(lead.machine.Members().Voters()), 2)
}

func TestMembersChangeOnlyAfterTheLeaderCommitsInItsTerm(t *testing.T) {
	c := newCluster(t.Fatalf, 13)
	for c.leader() == nil {
		c.advanceTime(testHeartbeat)
		for _, n := range c.nodes {
			c.writeNext(n)
			c.writeNext(n)
		}
		for len(c.inFlight) > 0 && c.leader() == nil {
			c.deliver(0, false)
		}
	}
	lead := c.leader()
	other := c.nodes[(nodeIndex(c, lead)+1)%3].id.Instance()
	assert.Assert(t, lead.machine.Remove(c.now, other) != nil)
	c.settle()
	assert.NilError(t, c.leader().machine.Remove(c.now, other))
}

func TestDelayedSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	c := newCluster(t.Fatalf, 14)
	n := c.nodes[2]
	var entries []*Entry
	for i := uint64(2); i <= 6; i++ {
		entries = append(entries, NewEntry(EntryConfig{Index: i, Term: 2, Kind: EntryCommand}))
	}
	from := MessageConfig{Cluster: "log", From: c.nodes[0].id, To: n.id, Term: 2}
	start := from
	start.Kind, start.Index, start.IndexTerm, start.Members = KindSnapshot, 1, 1, c.members
	n.machine.Receive(c.now, NewMessage(start))
	more := from
	more.Kind, more.Index, more.IndexTerm, more.Entries, more.Commit = KindAppend, 1, 1, entries, 1
	n.machine.Receive(c.now, NewMessage(more))
	assert.Equal(t, n.machine.log.lastIndex(), uint64(6))

	late := start
	late.Index, late.IndexTerm = 4, 2
	n.machine.Receive(c.now, NewMessage(late))
	assert.Equal(t, n.machine.log.lastIndex(), uint64(6))
	assert.Equal(t, n.machine.CommitIndex(), uint64(4))
}

func TestOnlyVoterCommitsOnlyWhatIsDurable(t *testing.T) {
	c := newCluster(t.Fatalf, 15)
	n := c.newNode(0)
	n.machine.Bootstrap(c.now, "alone", NewMembers(NewMember(MemberConfig{ID: n.id, Voter: true})), nil)
	n.machine.Tick(c.now)
	assert.NilError(t, n.machine.Propose(c.now, "p", []byte("p")))
	e := n.machine.TakeEffects()
	assert.Equal(t, len(e.Committed()), 0)
	n.machine.WritesDurable(c.now, e)
	assert.Equal(t, len(n.machine.TakeEffects().Committed()), 2)
}

func TestRepeatedAppendRefusalIsNotResentBeforeTheHeartbeat(t *testing.T) {
	c := newCluster(t.Fatalf, 16)
	c.settle()
	c.propose(c.leader())
	c.settle()
	lead := c.leader()
	other := c.nodes[(nodeIndex(c, lead)+1)%3]
	refusal := MessageConfig{
		Kind: KindAppendAnswer, Cluster: "log", From: other.id, To: lead.id,
		Term: lead.machine.Term(), Sequence: lead.machine.followers[other.id].lastSequence,
	}
	lead.machine.Receive(c.now, NewMessage(refusal))
	assert.Equal(t, len(lead.machine.TakeEffects().Messages()), 0)
}

func TestSilentVoterAboveTheConfiguredNumberIsRemoved(t *testing.T) {
	c := newCluster(t.Fatalf, 14)
	c.settle()
	lead := c.leader()
	lead.machine.config.TargetVoters, lead.machine.config.VoterTimeout = 2, 3*testHeartbeat
	lost := c.nodes[(nodeIndex(c, lead)+1)%3].id
	c.settle()
	assert.Equal(t, len(lead.machine.Members().Voters()), 3, "voters that answer stay")
	for range 10 {
		c.exchangeWithout(lost)
		c.advanceTime(testHeartbeat)
	}
	assert.Assert(t, !lead.machine.Members().IsVoter(lost))
	assert.Equal(t, len(lead.machine.Members().Voters()), 2)
}
