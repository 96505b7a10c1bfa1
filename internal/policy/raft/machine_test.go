package raft

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// stepRates holds the probabilities of the steps of a test, in thousandths, and the longest time step in maxMillis.
type stepRates struct {
	advanceTime        int
	propose            int
	transferLeadership int
	restart            int
	remove             int
	loseDisk           int
	writeNext          int
	maxMillis          int
}

func randomStepRates(c *cluster) stepRates {
	return stepRates{
		advanceTime:        20 + c.random.IntN(150),
		propose:            10 + c.random.IntN(60),
		transferLeadership: c.random.IntN(2) * c.random.IntN(30),
		restart:            2 + c.random.IntN(2)*c.random.IntN(40),
		remove:             c.random.IntN(2) * c.random.IntN(20),
		loseDisk:           c.random.IntN(10),
		writeNext:          150 + c.random.IntN(400),
		maxMillis:          20 + c.random.IntN(300),
	}
}

// randomStep performs the step that action selects, from 0 to 999, on the node that pick selects.
func randomStep(c *cluster, rates stepRates, action, pick int) {
	n := c.nodes[pick%len(c.nodes)]
	chosen := func(share int) bool {
		action -= share
		return action < 0
	}
	switch {
	case chosen(rates.advanceTime):
		c.advanceTime(time.Duration(pick%rates.maxMillis) * time.Millisecond)
	case chosen(rates.propose):
		c.propose(n)
	case chosen(rates.transferLeadership):
		n.machine.TransferLeadership()
		c.collect(n)
	case chosen(rates.restart):
		c.start(n)
	case chosen(rates.remove):
		if c.toleratesDiskLoss() {
			_ = n.machine.Remove(c.now, c.nodes[pick/7%len(c.nodes)].id.Instance())
			c.collect(n)
		}
	case chosen(rates.loseDisk):
		if c.toleratesDiskLoss() {
			c.nodes[pick%len(c.nodes)] = c.newNode(pick % len(c.nodes))
		}
	case chosen(5):
		n.machine.Compact([]byte(strings.Join(n.applied, " ")))
		c.collect(n)
	case chosen(3):
		c.isolated = n.id
	case chosen(6):
		c.isolated = ""
	case chosen(rates.writeNext):
		c.writeNext(n)
	case len(c.inFlight) == 0:
	case chosen(20):
		c.inFlight = slices.Delete(c.inFlight, pick%len(c.inFlight), pick%len(c.inFlight)+1)
	default:
		c.deliver(pick%len(c.inFlight), pick%16 == 0)
	}
}

func TestCommittedEntriesSurviveDelaysRestartsAndDiskLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t.Fatalf, rapid.Uint64().Draw(t, "seed"))
		rates := randomStepRates(c)
		actions := rapid.SliceOfN(rapid.IntRange(0, 999), 0, 3000).Draw(t, "actions")
		for _, a := range actions {
			randomStep(c, rates, a, c.random.IntN(1<<20))
		}
		c.settle()
	})
}

func TestClusterConvergesAfterManyFaults(t *testing.T) {
	for seed := range uint64(300) {
		c := newCluster(t.Fatalf, seed)
		rates := randomStepRates(c)
		for range 8000 {
			randomStep(c, rates, c.random.IntN(1000), c.random.IntN(1<<20))
		}
		c.settle()
	}
}

func TestEntriesSurviveSecondDiskLossAfterRecovery(t *testing.T) {
	for second := range 3 {
		c := newCluster(t.Fatalf, 7)
		c.settle()
		for range 20 {
			c.propose(c.leader())
		}
		c.settle()
		c.nodes[2] = c.newNode(2)
		c.settle()
		c.nodes[second] = c.newNode(second)
		c.settle()
		assert.Equal(t, len(c.leader().applied), 20)
	}
}

func TestIsolatedLeaderStepsDownAndItsQuorumAgeGrows(t *testing.T) {
	c := newCluster(t.Fatalf, 3)
	c.settle()
	for range 10 {
		c.advanceTime(testHeartbeat)
		c.settle()
	}
	old := c.leader()
	assert.Assert(t, old.machine.QuorumAge(c.now) <= testElection)

	cut := c.now
	for range 30 {
		c.now = c.now.Add(testHeartbeat)
		old.machine.Tick(c.now)
		old.machine.TakeEffects()
		assert.Assert(t, old.machine.QuorumAge(c.now) >= c.now.Sub(cut))
	}
	assert.Assert(t, !old.machine.Leading())
	assert.Assert(t, old.machine.Propose(c.now, "p", nil) != nil)
}

func TestReturningFollowerDoesNotDisturbTheLeader(t *testing.T) {
	c := newCluster(t.Fatalf, 5)
	c.settle()
	term := c.leader().machine.Term()
	var isolated *node
	for _, n := range c.nodes {
		if !n.machine.Leading() {
			isolated = n
		}
	}
	for range 100 {
		isolated.machine.Tick(isolated.machine.NextTick())
		isolated.machine.TakeEffects()
	}
	c.settle()
	assert.Equal(t, c.leader().machine.Term(), term)
	assert.Equal(t, isolated.machine.Term(), term)
}

func TestFollowerQuorumAgeIncludesMessageDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t.Fatalf, rapid.Uint64().Draw(t, "seed"))
		c.settle()
		cut := time.Time{}
		lead := c.leader()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c.now = c.now.Add(time.Duration(rapid.IntRange(0, 150).Draw(t, "ms")) * time.Millisecond)
			for _, n := range c.nodes {
				if n == lead {
					n.machine.Tick(c.now)
					c.collect(n)
				}
				for len(n.pending) > 0 {
					c.writeNext(n)
				}
			}
			cut = c.now
			if !lead.machine.Leading() {
				break
			}
			for len(c.inFlight) > 0 && rapid.IntRange(0, 3).Draw(t, "deliver") > 0 {
				c.deliver(0, false)
			}
		}
		// From the cut on, no message reaches the leader, but delayed messages from the leader still arrive.
		late := c.inFlight
		c.inFlight = nil
		c.now = c.now.Add(time.Duration(rapid.IntRange(0, 10000).Draw(t, "delay")) * time.Millisecond)
		for _, m := range late {
			for _, n := range c.nodes {
				if n != lead && n.id == m.To() {
					n.machine.Receive(c.now, m)
				}
			}
		}
		for _, n := range c.nodes {
			if n != lead && n.machine.QuorumAge(c.now) < c.now.Sub(cut) {
				t.Fatalf("%s reports a quorum age of %v, but the leader was cut off %v ago", n.id, n.machine.QuorumAge(c.now), c.now.Sub(cut))
			}
		}
	})
}

func TestFirstElectionAfterRestartStartsInTime(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t.Fatalf, seed)
		c.settle()
		for _, n := range c.nodes {
			c.start(n)
		}
		first := c.nodes[0].machine.NextTick()
		for _, n := range c.nodes {
			if next := n.machine.NextTick(); next.Before(first) {
				first = next
			}
		}
		assert.Assert(t, first.Sub(c.now) <= startupHeartbeats*testHeartbeat+testElection/2, "the first election starts only after %v", first.Sub(c.now))
		assert.Assert(t, first.Sub(c.now) >= startupHeartbeats*testHeartbeat, "the first election starts after %v, before a live leader's heartbeats can arrive", first.Sub(c.now))
	}
}
