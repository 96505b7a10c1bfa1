package raft

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
	"weak"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
)

// TestSnapshotKeepsTrailingEntriesByTheirSize guards against a log that keeps a number of entries in memory whatever their size.
func TestSnapshotKeepsTrailingEntriesByTheirSize(t *testing.T) {
	const large = 1000
	cases := []struct {
		limits trailingLimits
		kept   int
	}{
		{trailingLimits{entries: 0, bytes: 10 * large}, 0},
		{trailingLimits{entries: 3, bytes: 10 * large}, 3},
		{trailingLimits{entries: 3}, 3},
		{trailingLimits{entries: 100, bytes: 5 * large}, 4},
		{trailingLimits{entries: 100, bytes: large}, 0},
		{trailingLimits{entries: 100}, 10},
	}
	for _, c := range cases {
		l := newLog(nil, nil)
		for i := range uint64(10) {
			l.append(NewEntry(EntryConfig{Index: i + 1, Term: 1, Kind: EntryCommand, Command: make([]byte, large)}))
		}
		l.compact(NewSnapshot(SnapshotConfig{Index: 10, Term: 1, Members: NewMembers()}), c.limits)
		assert.Equal(t, len(l.entries), c.kept, "%+v", c.limits)
		assert.Equal(t, l.lastIndex(), uint64(10))
		assert.Equal(t, l.lastTerm(), uint64(1))
	}
}

// newLoneLeader returns the leader of three members, of which the others never answer.
func newLoneLeader(t *testing.T, uncommittedBytes int) *Machine {
	t.Helper()
	var members []Member
	for i := range 3 {
		id := NewMemberID(figpier.InstanceID(fmt.Sprint("c", i)), "a")
		members = append(members, NewMember(MemberConfig{ID: id, Address: fmt.Sprint("c", i), Voter: true}))
	}
	now := time.Unix(1000, 0)
	m := New(Config{
		Self: members[0].ID(), Address: "c0", Heartbeat: testHeartbeat, ElectionTimeout: testElection, Random: rand.New(rand.NewPCG(1, 1)),
		Now: now, BatchBytes: 1 << 10, UncommittedBytes: uncommittedBytes,
	})
	m.Bootstrap(now, "log", NewMembers(members...), nil)
	now = m.NextTick()
	m.Tick(now)
	for _, kind := range []MessageKind{KindPreVoteAnswer, KindVoteAnswer} {
		for _, e := range m.TakeEffects().Messages() {
			c := e.Config()
			m.Receive(now, NewMessage(MessageConfig{Kind: kind, Cluster: c.Cluster, From: c.To, To: c.From, Term: c.Term, Granted: true}))
		}
	}
	assert.Assert(t, m.Leading())
	return m
}

// TestLeaderWithoutFollowersTakesCommandsUpToALimit guards against a leader that runs out of memory because it takes every command while
// the followers that would have to store them are down or slow.
func TestLeaderWithoutFollowersTakesCommandsUpToALimit(t *testing.T) {
	const limit = 10_000
	m := newLoneLeader(t, limit)
	now := m.NextTick()
	var full *figpier.LogFullError
	taken := 0
	for range 100 {
		err := m.Propose(now, "p", make([]byte, 1000))
		if err == nil {
			taken++
			continue
		}
		assert.Assert(t, errors.As(err, &full), "%v", err)
	}
	assert.Assert(t, taken > 0 && taken <= limit/1000, "%d commands", taken)
	assert.Assert(t, m.HeldBytes() < limit+2000, "%d bytes", m.HeldBytes())

	// A command that is larger than the limit is taken where nothing else waits.
	m = newLoneLeader(t, limit)
	assert.NilError(t, m.Propose(m.NextTick(), "p", make([]byte, 10*limit)))
	assert.Assert(t, errors.As(m.Propose(m.NextTick(), "q", []byte("small")), &full))
}

// startFromDisk returns the only member of a log, started from a snapshot and entries, with weak pointers to the snapshot and the first entry.
func startFromDisk() (m *Machine, snapshot weak.Pointer[Snapshot], entry weak.Pointer[Entry]) {
	self := NewMemberID("c0", "a")
	members := NewMembers(NewMember(MemberConfig{ID: self, Address: "c0", Voter: true}))
	var entries []*Entry
	for i := range uint64(3) {
		entries = append(entries, NewEntry(EntryConfig{Index: i + 2, Term: 1, Kind: EntryCommand, Command: make([]byte, 1000)}))
	}
	s := NewSnapshot(SnapshotConfig{Index: 1, Term: 1, Members: members, Data: make([]byte, 1000)})
	m = New(Config{
		Self: self, Address: "c0", Heartbeat: testHeartbeat, ElectionTimeout: testElection, Random: rand.New(rand.NewPCG(1, 1)),
		Now: time.Unix(1000, 0), BatchBytes: 1 << 10, State: NewHardState(HardStateConfig{Cluster: "log", Term: 1}),
		Snapshot: s, Entries: entries,
	})
	return m, weak.Make(s), weak.Make(entries[0])
}

// TestEntriesOfTheStartAreFreedBySnapshots guards against a member that keeps the entries and the snapshot of its start in memory for good.
func TestEntriesOfTheStartAreFreedBySnapshots(t *testing.T) {
	m, snapshot, entry := startFromDisk()
	m.Tick(m.NextTick())
	for e := m.TakeEffects(); e.HasWrites(); e = m.TakeEffects() {
		m.WritesDurable(m.NextTick(), e)
	}
	assert.Equal(t, m.CommitIndex(), uint64(5))
	m.Compact([]byte("state"))
	m.TakeEffects()
	runtime.GC()
	assert.Assert(t, entry.Value() == nil, "an entry of the start is still in memory")
	assert.Assert(t, snapshot.Value() == nil, "the snapshot of the start is still in memory")
	runtime.KeepAlive(m)
}
