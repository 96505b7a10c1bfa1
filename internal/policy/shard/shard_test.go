package shard

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/claim"
)

const (
	testStep      = 50 * time.Millisecond
	testLeaseTime = time.Second
	testRetention = time.Hour

	claimShard ID = 0
	limitShard ID = 1
)

var start = time.Unix(1_000_000, 0)

// host is a process with a replica of each shard. It handles nothing until frozen, and never again once killed.
type host struct {
	id       MemberID
	killed   bool
	frozen   time.Time
	replicas map[ID]*Replica
	table    *claim.Table
	pending  []pendingAnswer
}

// pendingAnswer is an answer that is held back until its write is done.
type pendingAnswer struct {
	stream   Epoch
	sequence uint64
	answer   func()
}

// delivery is a message in flight, which runs a function on its receiver. A nil receiver is the control instance.
type delivery struct {
	at  time.Time
	to  *host
	run func()
}

// fleet runs hosts, an assigner and callers over messages that may be delayed or lost.
type fleet struct {
	t          *rapid.T
	random     *rand.Rand
	now        time.Time
	hosts      []*host
	shards     *Assignments
	assigner   *Assigner
	term       string
	terms      int
	inFlight   []delivery
	runsPerKey map[claim.Key]int
	attempts   int
	granted    int
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{
		t:          t,
		random:     rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
		now:        start,
		shards:     NewAssignments(),
		runsPerKey: map[claim.Key]int{},
	}
	f.startTerm()
	for range 4 {
		f.startHost()
	}
	return f
}

// startTerm starts the term of a new leader. Proposals of earlier leaders may still arrive.
func (f *fleet) startTerm() {
	f.terms++
	term := fmt.Sprint(f.terms)
	f.assigner = nil
	f.inFlight = append(f.inFlight, delivery{at: f.now, run: func() {
		f.shards.BeginTerm(term)
		f.term = term
		f.assigner = NewAssigner(testConfig(), f.shards, f.now.Add(testLeaseTime))
	}})
}

func testConfig() AssignerConfig {
	return AssignerConfig{
		Shards:     2,
		Replicated: func(s ID) bool { return s == claimShard },
		Backups:    2,
		LeaseTime:  testLeaseTime,
		LossTime:   2 * testLeaseTime,
	}
}

func (f *fleet) startHost() {
	h := &host{id: MemberID(fmt.Sprintf("h%d", len(f.hosts)))}
	h.replicas = map[ID]*Replica{claimShard: NewReplica(h.id), limitShard: NewReplica(h.id)}
	h.table = newTable(time.Time{})
	f.hosts = append(f.hosts, h)
}

func newTable(lost time.Time) *claim.Table {
	return claim.New(claim.Config{Retention: testRetention, RunTimeout: testRetention, LostAt: lost})
}

// send delivers a message after a random delay, or loses it.
func (f *fleet) send(to *host, do func()) {
	if f.random.Float64() < 0.02 {
		return
	}
	delay := time.Duration(f.random.IntN(3)) * testStep
	if f.random.Float64() < 0.02 {
		delay = time.Duration(f.random.IntN(60)) * testStep
	}
	f.inFlight = append(f.inFlight, delivery{at: f.now.Add(delay), to: to, run: do})
}

func (f *fleet) step() {
	f.now = f.now.Add(testStep)
	due := f.inFlight
	f.inFlight = nil
	for _, d := range due {
		switch {
		case d.to != nil && d.to.killed:
		case d.at.After(f.now), d.to != nil && d.to.frozen.After(f.now):
			f.inFlight = append(f.inFlight, d)
		default:
			d.run()
		}
	}
	f.injectFault()
	for _, h := range f.hosts {
		if !h.killed && !h.frozen.After(f.now) {
			f.runHost(h)
		}
	}
	if f.assigner != nil {
		f.commit(f.assigner.Decide(f.now))
	}
	f.startAttempt()
	f.checkInvariants()
}

// injectFault may freeze one host or the newest four, kill a host, or change the leader.
func (f *fleet) injectFault() {
	h := f.hosts[f.random.IntN(len(f.hosts))]
	switch n := f.random.IntN(400); {
	case n < 4:
		h.frozen = f.now.Add(time.Duration(f.random.IntN(100)) * testStep)
	case n == 4 && !h.killed:
		h.killed = true
		f.startHost()
	case n < 8:
		f.startTerm()
	case n == 8:
		for _, h := range f.hosts[max(0, len(f.hosts)-4):] {
			h.frozen = f.now.Add(time.Duration(f.random.IntN(100)) * testStep)
		}
	}
}

func (f *fleet) commit(next []*Assignment) {
	term := f.term
	for _, a := range next {
		f.send(nil, func() { f.shards.Apply(term, a) })
	}
}

// runHost renews a host's control lease, sends its writes to the followers and releases the answers that are due.
func (f *fleet) runHost(h *host) {
	if f.random.IntN(4) == 0 {
		f.renew(h)
	}
	p := h.replicas[claimShard]
	for _, m := range p.Followers() {
		f.replicate(h, p, m)
	}
	h.pending = slices.DeleteFunc(h.pending, func(w pendingAnswer) bool {
		done := p.MayAct(f.now) && p.stream == w.stream && p.DoneSequence() >= w.sequence
		if done {
			w.answer()
		}
		return done
	})
}

// renew sends a lease renewal with the report on joining members, and installs the assignments in the answer.
func (f *fleet) renew(h *host) {
	sent := f.now
	p := h.replicas[claimShard]
	epoch, synced := p.Epoch(), p.Synced()
	f.send(nil, func() {
		if f.assigner == nil {
			return
		}
		if next := f.assigner.Report(h.id, claimShard, epoch, synced, nil, f.now); next != nil {
			f.commit([]*Assignment{next})
		}
		held := f.assigner.Renew(HostConfig{Member: h.id, DataCentre: figpier.DataCentre(h.id), Region: "r"}, f.now)
		f.send(h, func() {
			for _, a := range held {
				f.assign(h, a)
				h.replicas[a.Shard()].ExtendLease(a.Epoch(), sent.Add(testLeaseTime))
			}
		})
	})
}

func (f *fleet) assign(h *host, a *Assignment) {
	change := h.replicas[a.Shard()].Assign(a)
	if a.Shard() != claimShard {
		return
	}
	switch change {
	case ChangeStart:
		h.table = newTable(time.Time{})
	case ChangeStartAfterLoss:
		h.table = newTable(f.now)
	}
}

// replicatedClaim is a claim table entry as the primary sends it to a follower.
type replicatedClaim struct {
	key   claim.Key
	entry claim.Entry
}

func (f *fleet) replicate(h *host, p *Replica, m MemberID) {
	c, ok := p.NextMessage(m)
	if !ok {
		return
	}
	to := f.hosts[slices.IndexFunc(f.hosts, func(o *host) bool { return o.id == m })]
	var state []replicatedClaim
	var lost *claim.Table
	if c.Whole {
		lost = h.table
		h.table.Each(func(k claim.Key, e claim.Entry) bool {
			state = append(state, replicatedClaim{k, e})
			return true
		})
	}
	f.send(to, func() {
		a, apply := to.replicas[claimShard].Receive(c)
		if apply {
			f.apply(to, c, state, lost)
		}
		f.send(h, func() { p.HandleAnswer(m, c.Epoch, a) })
	})
}

// payloads holds the claims by the payloads of the writes that stand for them.
var payloads = map[string]replicatedClaim{}

func (f *fleet) apply(to *host, c MessageConfig, state []replicatedClaim, from *claim.Table) {
	if !c.Whole {
		e := payloads[string(c.Payload)]
		to.table.Put(e.key, e.entry)
		return
	}
	to.table = newTable(from.LostAt())
	for _, e := range state {
		to.table.Put(e.key, e.entry)
	}
}

// startAttempt sends a random host a claim for one of a few keys and counts a run if the claim is granted. After 20 steps
// without a run, the attempt is given up and its key may be claimed again.
func (f *fleet) startAttempt() {
	h := f.hosts[f.random.IntN(len(f.hosts))]
	k := claim.NewKey("c", "s", figpier.IdempotencyKey(fmt.Sprint(f.random.IntN(40))))
	f.attempts++
	a := claim.AttemptID(fmt.Sprint(f.attempts))
	ended := false
	f.send(h, func() {
		f.changeClaim(h, func() bool { v, _ := h.table.Claim(k, a, 0, f.now); return v == claim.VerdictGranted }, k, func() {
			f.send(nil, func() {
				if !ended {
					ended = true
					f.runsPerKey[k]++
					f.granted++
					f.finishAttempt(k, a, claim.StateFinished)
				}
			})
		})
	})
	f.inFlight = append(f.inFlight, delivery{at: f.now.Add(20 * testStep), run: func() {
		if !ended {
			ended = true
			f.finishAttempt(k, a, claim.StateNotRun)
		}
	}})
}

func (f *fleet) finishAttempt(k claim.Key, a claim.AttemptID, s claim.State) {
	for _, h := range f.hosts {
		f.send(h, func() {
			f.changeClaim(h, func() bool { return h.table.Finish(k, a, s, f.now) }, k, func() {})
		})
	}
}

// changeClaim changes the claim table of a primary and holds the answer back until the write is done.
func (f *fleet) changeClaim(h *host, change func() bool, k claim.Key, answer func()) {
	p := h.replicas[claimShard]
	if !p.MayAct(f.now) || !change() {
		return
	}
	e, _ := h.table.Entry(k)
	payload := fmt.Sprint(len(payloads))
	payloads[payload] = replicatedClaim{k, e}
	h.pending = append(h.pending, pendingAnswer{stream: p.stream, sequence: p.Write([]byte(payload)), answer: answer})
}

// checkInvariants fails if two members act for a shard or a request ran more than once.
func (f *fleet) checkInvariants() {
	for _, s := range []ID{claimShard, limitShard} {
		acting := 0
		for _, h := range f.hosts {
			if !h.killed && h.replicas[s].MayAct(f.now) {
				acting++
			}
		}
		assert.Assert(f.t, acting <= 1, "%d primaries act for shard %d", acting, s)
	}
	for _, n := range f.runsPerKey {
		assert.Assert(f.t, n <= 1, "a request ran %d times", n)
	}
}

func TestRequestsRunAtMostOnceUnderKillsPausesAndLeaderChanges(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		clear(payloads)
		f := newFleet(t)
		for range 1200 {
			f.step()
		}
		granted += f.granted
	})
	t.Logf("%d requests ran", granted)
	assert.Assert(t, granted > 0)
}

func TestLateProposalOfAnEndedTermIsIgnored(t *testing.T) {
	m := NewAssignments()
	m.BeginTerm("1")
	first := NewAssigner(testConfig(), m, start)
	for _, h := range []MemberID{"p", "b"} {
		first.Renew(HostConfig{Member: h}, start)
	}
	now := start.Add(initialPlacementDelay)
	for _, a := range first.Decide(now) {
		assert.Assert(t, m.Apply("1", a))
	}
	founded, _ := m.Assignment(claimShard)

	now = now.Add(2 * testLeaseTime)
	first.Renew(HostConfig{Member: founded.Backups()[0]}, now)
	late := first.Decide(now)
	assert.Equal(t, late[0].Epoch(), founded.Epoch()+1)

	m.BeginTerm("2")
	second := NewAssigner(testConfig(), m, now.Add(testLeaseTime))
	assert.Equal(t, second.Renew(HostConfig{Member: founded.Primary()}, now)[0].Epoch(), founded.Epoch())
	assert.Assert(t, !m.Apply("1", late[0]))
}
