package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/figpier/figpier"
)

const (
	testHeartbeat = 100 * time.Millisecond
	testElection  = 800 * time.Millisecond
)

// fatalFunc fails a test: the Fatalf method of a testing.T or a rapid.T.
type fatalFunc func(format string, args ...any)

// disk holds what one member has made durable. It survives a restart of the member.
type disk struct {
	state    HardState
	snapshot *Snapshot
	entries  []*Entry
}

func (d *disk) write(e *Effects) {
	if e.State() != nil {
		d.state = *e.State()
	}
	if e.Snapshot() != nil {
		d.snapshot = e.Snapshot()
		d.entries = slices.Clone(e.Retained())
	}
	for _, n := range e.Entries() {
		kept := slices.IndexFunc(d.entries, func(o *Entry) bool { return o.Index() >= n.Index() })
		if kept >= 0 {
			d.entries = d.entries[:kept]
		}
		d.entries = append(d.entries, n)
	}
}

// node is one member with its disk and its state machine, which is a list of commands. The effects in pending are not
// yet durable.
type node struct {
	id      MemberID
	machine *Machine
	disk    *disk
	pending []*Effects
	applied []string
}

// cluster runs members over a simulated network and checks their committed entries against each other. The map
// committed holds the first committed entry seen at each index, and isolated is a member without network, if any.
type cluster struct {
	fatalf        fatalFunc
	random        *rand.Rand
	now           time.Time
	nodes         []*node
	inFlight      []*Message
	committed     map[uint64]EntryConfig
	lastCommitted uint64
	members       *Members
	leaders       map[uint64]MemberID
	isolated      MemberID
	incarnations  int
	proposed      int
}

func newCluster(fail fatalFunc, seed uint64) *cluster {
	c := &cluster{
		fatalf:    fail,
		random:    rand.New(rand.NewPCG(seed, 1)),
		now:       time.Unix(1000, 0),
		committed: map[uint64]EntryConfig{},
		leaders:   map[uint64]MemberID{},
	}
	var founders []Member
	for i := range 3 {
		n := c.newNode(i)
		c.nodes = append(c.nodes, n)
		founders = append(founders, NewMember(MemberConfig{ID: n.id, Address: string(n.id), Voter: true}))
	}
	c.members = NewMembers(founders...)
	c.lastCommitted = 1
	c.nodes[0].machine.Bootstrap(c.now, "log", c.members, nil)
	c.collect(c.nodes[0])
	for len(c.nodes[0].pending) > 0 {
		c.writeNext(c.nodes[0])
	}
	return c
}

// newNode returns a member with an empty disk and a new incarnation of the instance with the given number.
func (c *cluster) newNode(i int) *node {
	c.incarnations++
	id := NewMemberID(figpier.InstanceID(fmt.Sprintf("c%d", i)), fmt.Sprint(c.incarnations))
	n := &node{id: id, disk: &disk{}}
	c.start(n)
	return n
}

// start starts or restarts a member from its disk. Effects that are not durable are lost.
func (c *cluster) start(n *node) {
	n.pending = nil
	n.applied = nil
	n.machine = New(Config{
		Self: n.id, Address: string(n.id),
		Heartbeat: testHeartbeat, ElectionTimeout: testElection, LearnerTimeout: time.Minute,
		BatchBytes: 16, PartBytes: 8, TrailingEntries: 2,
		Random: c.random, Now: c.now,
		State: n.disk.state, Snapshot: n.disk.snapshot, Entries: slices.Clone(n.disk.entries),
	})
	c.collect(n)
}

// collect takes the effects of a member, queues them, applies the committed entries and checks that each term has at
// most one leader.
func (c *cluster) collect(n *node) {
	e := n.machine.TakeEffects()
	n.pending = append(n.pending, e)
	if s := e.Restore(); s != nil {
		n.applied = strings.Fields(string(s.Data()))
		c.checkApplied(n, s.Index())
	}
	for _, o := range e.Committed() {
		c.checkCommitted(n, o)
	}
	if !n.machine.Leading() {
		return
	}
	if other, ok := c.leaders[n.machine.Term()]; ok && other != n.id {
		c.fatalf("%s and %s lead term %d", other, n.id, n.machine.Term())
	}
	c.leaders[n.machine.Term()] = n.id
}

// checkCommitted applies a committed entry and fails if another entry was committed at its index before.
func (c *cluster) checkCommitted(n *node, e *Entry) {
	if e.Kind() == EntryCommand {
		n.applied = append(n.applied, string(e.Command()))
	}
	earlier, ok := c.committed[e.Index()]
	if ok && (earlier.Term != e.Term() || earlier.Proposal != e.Proposal()) {
		c.fatalf("%s committed entry %d of term %d, but that of term %d was committed before", n.id, e.Index(), e.Term(), earlier.Term)
	}
	c.committed[e.Index()] = e.Config()
	if e.Index() > c.lastCommitted {
		c.lastCommitted = e.Index()
		if e.Members() != nil {
			c.members = e.Members()
		}
	}
	c.checkApplied(n, e.Index())
}

// checkApplied fails if a member's state differs from the list of all committed commands up to an index.
func (c *cluster) checkApplied(n *node, upTo uint64) {
	var want []string
	for i := uint64(2); i <= upTo; i++ {
		e, ok := c.committed[i]
		if !ok {
			c.fatalf("%s has applied entry %d, but entry %d was never committed", n.id, upTo, i)
		}
		if e.Kind == EntryCommand {
			want = append(want, string(e.Command))
		}
	}
	if !slices.Equal(n.applied, want) {
		c.fatalf("%s has %v after entry %d, want %v", n.id, n.applied, upTo, want)
	}
}

// writeNext makes the oldest pending effects of a member durable and sends their messages.
func (c *cluster) writeNext(n *node) {
	if len(n.pending) == 0 {
		return
	}
	e := n.pending[0]
	n.pending = n.pending[1:]
	n.disk.write(e)
	c.inFlight = append(c.inFlight, e.Messages()...)
	if e.HasWrites() {
		n.machine.WritesDurable(c.now, e)
		c.collect(n)
	}
}

// deliver delivers a message in flight, and keeps it for a second delivery if keep is set.
func (c *cluster) deliver(i int, keep bool) {
	m := c.inFlight[i]
	if !keep {
		c.inFlight = slices.Delete(c.inFlight, i, i+1)
	}
	if c.isolated != "" && (c.isolated == m.To() || c.isolated == m.From()) {
		return
	}
	for _, n := range c.nodes {
		if n.id.Instance() == m.To().Instance() {
			n.machine.Receive(c.now, m)
			c.collect(n)
		}
	}
}

// advanceTime moves the clock forward and calls Tick on the members for which it is due.
func (c *cluster) advanceTime(d time.Duration) {
	c.now = c.now.Add(d)
	for _, n := range c.nodes {
		if !c.now.Before(n.machine.NextTick()) {
			n.machine.Tick(c.now)
			c.collect(n)
		}
	}
	c.joinNewMembers()
}

// joinNewMembers lets each node that is not in the membership ask the leader to join.
func (c *cluster) joinNewMembers() {
	for _, n := range c.nodes {
		if _, in := c.members.Find(n.id); in {
			continue
		}
		for _, l := range c.nodes {
			if l.machine.Leading() {
				_ = l.machine.Join(c.now, NewMember(MemberConfig{ID: n.id, Address: string(n.id)}))
				c.collect(l)
			}
		}
	}
}

func (c *cluster) propose(n *node) {
	c.proposed++
	name := fmt.Sprintf("p%d", c.proposed)
	if n.machine.Propose(c.now, name, []byte(name)) == nil {
		c.collect(n)
	}
}

// toleratesDiskLoss reports whether every node is a voter in a membership that all nodes know, and an entry has been
// committed since the log was created. The loss of one disk must then lose no committed entry.
func (c *cluster) toleratesDiskLoss() bool {
	for _, n := range c.nodes {
		if !c.members.IsVoter(n.id) || !slices.Equal(n.machine.Members().List(), c.members.List()) {
			return false
		}
	}
	return c.lastCommitted > 1 && len(c.members.List()) == len(c.nodes)
}

// settle runs the cluster without faults until it is settled, and fails if that takes too long.
func (c *cluster) settle() {
	c.isolated = ""
	for range 400 {
		for _, n := range c.nodes {
			for len(n.pending) > 0 {
				c.writeNext(n)
			}
		}
		for len(c.inFlight) > 0 {
			c.deliver(0, false)
			for _, n := range c.nodes {
				c.writeNext(n)
			}
		}
		if c.settled() {
			return
		}
		c.advanceTime(50 * time.Millisecond)
	}
	states := ""
	for _, n := range c.nodes {
		m := n.machine
		states += fmt.Sprintf("\n%s term %d commit %d last %d leader %s members %v", n.id, m.Term(), m.CommitIndex(), m.log.lastIndex(), m.leader, m.Members().list)
	}
	c.fatalf("the cluster has not settled, %d entries are committed:%s", c.lastCommitted, states)
}

// settled reports whether every node is a voter, knows a leader and has all committed entries.
func (c *cluster) settled() bool {
	for _, n := range c.nodes {
		if n.machine.CommitIndex() < c.lastCommitted || n.machine.Leader() == "" || !c.toleratesDiskLoss() {
			return false
		}
	}
	return true
}

func (c *cluster) leader() *node {
	for _, n := range c.nodes {
		if n.machine.Leading() {
			return n
		}
	}
	return nil
}
