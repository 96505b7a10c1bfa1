package shard

import (
	"maps"
	"slices"
	"time"
)

// initialPlacementDelay is the time between the first host's renewal and the first assignments, so that these are spread
// over the hosts that start together.
const initialPlacementDelay = 500 * time.Millisecond

// AssignerConfig builds an Assigner.
type AssignerConfig struct {
	// Shards is the number of shards, whose IDs count from 0.
	Shards int
	// Replicated says which shards have backups. The state of the others starts empty with each primary.
	Replicated func(ID) bool
	// Backups is the number of backups that a replicated shard should have.
	Backups int
	// LeaseTime is the duration of a control lease.
	LeaseTime time.Duration
	// MaxClockDrift is the most by which two clocks may drift apart during a lease.
	MaxClockDrift time.Duration
	// LossTime is how long all members of a replicated shard must be gone before its state is given up as lost.
	LossTime time.Duration
}

// Assigner decides which members hold which shards. The leading control instance has one per term, on the control thread.
// It only proposes assignments: the caller puts them through the control log, which applies them to the map.
type Assigner struct {
	config      AssignerConfig
	assignments *Assignments
	hosts       map[MemberID]*Host
	// revokeAfter is the time from which shards may be taken from a primary, as all leases of earlier leaders are over.
	revokeAfter time.Time
	// firstHostAt is when the first host asked for a lease, zero before.
	firstHostAt time.Time
	// replacedEpochs holds, for each shard whose primary is being replaced, the epoch on which leases are refused.
	replacedEpochs map[ID]Epoch
	// unreachableAt holds when a shard's primary last reported a follower unreachable.
	unreachableAt map[ID]map[MemberID]time.Time
}

// NewAssigner returns an assigner over the map that the control log drives. It changes no existing assignment on its own
// before revokeAfter, by when the leases that earlier leaders granted must have expired.
func NewAssigner(c AssignerConfig, m *Assignments, revokeAfter time.Time) *Assigner {
	return &Assigner{
		config:         c,
		assignments:    m,
		hosts:          map[MemberID]*Host{},
		revokeAfter:    revokeAfter,
		replacedEpochs: map[ID]Epoch{},
		unreachableAt:  map[ID]map[MemberID]time.Time{},
	}
}

// Renew renews a host's control lease and returns the assignments that the lease covers. A leaving host loses its lease,
// so that its shards are reassigned.
func (s *Assigner) Renew(c HostConfig, now time.Time) []*Assignment {
	h := &Host{config: c, leasedAt: now}
	if c.Leaving {
		h.leasedAt = time.Time{}
	}
	s.hosts[c.Member] = h
	if s.firstHostAt.IsZero() {
		s.firstHostAt = now
	}
	var held []*Assignment
	for _, a := range s.assignments.All() {
		if a.Includes(c.Member) && !s.isReplaced(a) {
			held = append(held, a)
		}
	}
	return held
}

// isReplaced reports whether a successor of the assignment with another primary has been proposed. From then on no
// lease on it is renewed, as the proposal may still be applied.
func (s *Assigner) isReplaced(a *Assignment) bool { return s.replacedEpochs[a.Shard()] >= a.Epoch() }

// Report handles a primary's report on its followers in an epoch: synced ones become backups and unreachable ones are
// removed. It returns the assignment to propose, or nil if nothing changes or the report is out of date.
func (s *Assigner) Report(from MemberID, id ID, e Epoch, synced, unreachable []MemberID, now time.Time) *Assignment {
	a, ok := s.assignments.Assignment(id)
	if !ok || a.Epoch() != e || a.Primary() != from || s.isReplaced(a) {
		return nil
	}
	for _, m := range unreachable {
		s.markUnreachable(id, m, now)
	}
	c := a.Config()
	c.Epoch++
	for _, m := range synced {
		if slices.Contains(c.Joining, m) {
			c.Joining = without(c.Joining, m)
			c.Backups = append(c.Backups, m)
		}
	}
	for _, m := range unreachable {
		c.Joining = without(c.Joining, m)
		c.Backups = without(c.Backups, m)
	}
	if len(c.Joining) == len(a.Joining()) && len(c.Backups) == len(a.Backups()) {
		return nil
	}
	return NewAssignment(c)
}

// markUnreachable keeps a member out of a shard for unreachableBackoff.
func (s *Assigner) markUnreachable(id ID, m MemberID, now time.Time) {
	if s.unreachableAt[id] == nil {
		s.unreachableAt[id] = map[MemberID]time.Time{}
	}
	s.unreachableAt[id][m] = now
}

// Decide returns the assignments to propose: for new shards, for shards whose primary is gone, and for shards that lack
// backups. It is called at regular intervals, and decides again if a proposal was lost.
func (s *Assigner) Decide(now time.Time) []*Assignment {
	var next []*Assignment
	load := s.partsPerMember()
	for n := range s.config.Shards {
		if a := s.decideShard(ID(n), load, now); a != nil {
			next = append(next, a)
		}
	}
	s.dropExpired(now)
	return next
}

// decideShard returns the assignment to propose for a shard, or nil to keep the current one.
func (s *Assigner) decideShard(id ID, load map[MemberID]int, now time.Time) *Assignment {
	a, ok := s.assignments.Assignment(id)
	if !ok {
		return s.createShard(id, load, now)
	}
	if now.Before(s.revokeAfter) {
		return nil
	}
	if s.isAlive(a.Primary(), now) && !s.isReplaced(a) {
		return s.replaceBackups(a, load, now)
	}
	next := s.replacePrimary(a, load, now)
	if next != nil {
		s.replacedEpochs[id] = a.Epoch()
	}
	return next
}

// createShard returns the first assignment of a shard, or nil until initialPlacementDelay is over.
func (s *Assigner) createShard(id ID, load map[MemberID]int, now time.Time) *Assignment {
	if s.firstHostAt.IsZero() || now.Sub(s.firstHostAt) < initialPlacementDelay {
		return nil
	}
	return s.assignEmptyState(id, 0, load, now)
}

// replacePrimary returns an assignment with a new primary for a shard whose primary is gone, or nil if there is none yet.
// The state of a replicated shard is given up only after all its members have been gone for LossTime.
func (s *Assigner) replacePrimary(a *Assignment, load map[MemberID]int, now time.Time) *Assignment {
	if !s.config.Replicated(a.Shard()) {
		return s.assignEmptyState(a.Shard(), a.Epoch(), load, now)
	}
	if next := s.promoteBackup(a, load, now); next != nil {
		return next
	}
	if s.goneFor(a, now) < s.config.LossTime {
		return nil
	}
	return s.assignEmptyState(a.Shard(), a.Epoch(), load, now)
}

// assignEmptyState returns an assignment in which the shard's state starts empty, or nil if no host is eligible.
func (s *Assigner) assignEmptyState(id ID, previous Epoch, load map[MemberID]int, now time.Time) *Assignment {
	primary, ok := s.pickHost(id, nil, load, now)
	if !ok {
		return nil
	}
	c := AssignmentConfig{Shard: id, Epoch: previous + 1, Stream: previous + 1, Origin: previous + 1, Primary: primary}
	for s.config.Replicated(id) && len(c.Backups) < s.config.Backups {
		m, ok := s.pickHost(id, append(c.Backups, primary), load, now)
		if !ok {
			break
		}
		c.Backups = append(c.Backups, m)
	}
	return NewAssignment(c)
}

// promoteBackup returns an assignment in which the first backup that is alive is the primary, with new joining members
// in place of those that are gone. It returns nil if no backup is alive.
func (s *Assigner) promoteBackup(a *Assignment, load map[MemberID]int, now time.Time) *Assignment {
	c := a.Config()
	c.Backups = s.filterAlive(c.Backups, now)
	c.Joining = nil
	if len(c.Backups) == 0 {
		return nil
	}
	c.Epoch++
	c.Stream = c.Epoch
	c.Primary = c.Backups[0]
	c.Backups = c.Backups[1:]
	c.Joining = s.pickJoining(c, load, now)
	return NewAssignment(c)
}

// replaceBackups returns an assignment in which the primary stays and new joining members replace the followers that are
// gone. It returns nil if nothing changes.
func (s *Assigner) replaceBackups(a *Assignment, load map[MemberID]int, now time.Time) *Assignment {
	if !s.config.Replicated(a.Shard()) {
		return nil
	}
	c := a.Config()
	c.Epoch++
	c.Backups = s.filterAlive(c.Backups, now)
	c.Joining = s.filterAlive(c.Joining, now)
	c.Joining = append(c.Joining, s.pickJoining(c, load, now)...)
	if slices.Equal(c.Backups, a.Backups()) && slices.Equal(c.Joining, a.Joining()) {
		return nil
	}
	return NewAssignment(c)
}

// pickJoining returns the hosts that have to join the shard so that it reaches its number of backups. There may be fewer.
func (s *Assigner) pickJoining(c AssignmentConfig, load map[MemberID]int, now time.Time) []MemberID {
	var joining []MemberID
	taken := slices.Concat([]MemberID{c.Primary}, c.Backups, c.Joining)
	for len(taken) <= s.config.Backups {
		m, ok := s.pickHost(c.Shard, taken, load, now)
		if !ok {
			break
		}
		joining = append(joining, m)
		taken = append(taken, m)
	}
	return joining
}

// filterAlive returns the members that are alive, in the same order.
func (s *Assigner) filterAlive(members []MemberID, now time.Time) []MemberID {
	var alive []MemberID
	for _, m := range members {
		if s.isAlive(m, now) {
			alive = append(alive, m)
		}
	}
	return alive
}

// isAlive reports whether a host may still hold a control lease, with MaxClockDrift as a margin.
func (s *Assigner) isAlive(m MemberID, now time.Time) bool {
	h, ok := s.hosts[m]
	return ok && !h.leasedAt.IsZero() && now.Before(h.leasedAt.Add(s.config.LeaseTime+s.config.MaxClockDrift))
}

// goneFor returns how long the primary and all backups have been without a lease, counted from revokeAfter at the
// earliest. Members that are leaving or unknown count as gone since then.
func (s *Assigner) goneFor(a *Assignment, now time.Time) time.Duration {
	gone := now.Sub(s.revokeAfter)
	for _, m := range append([]MemberID{a.Primary()}, a.Backups()...) {
		if h, ok := s.hosts[m]; ok && !h.config.Leaving {
			gone = min(gone, now.Sub(h.leasedAt)-s.config.LeaseTime)
		}
	}
	return gone
}

// Hosts returns the number of hosts that may hold a control lease. It is published as a metric.
func (s *Assigner) Hosts(now time.Time) int {
	n := 0
	for m := range s.hosts {
		if s.isAlive(m, now) {
			n++
		}
	}
	return n
}

// Idle returns the number of shards without a primary that may act. It is published as a metric.
func (s *Assigner) Idle(now time.Time) int {
	n := 0
	for id := range s.config.Shards {
		if a, ok := s.assignments.Assignment(ID(id)); !ok || s.isReplaced(a) || !s.isAlive(a.Primary(), now) {
			n++
		}
	}
	return n
}

// dropExpired deletes hosts that have been gone for long, and reports of unreachable followers that have expired.
func (s *Assigner) dropExpired(now time.Time) {
	for _, members := range s.unreachableAt {
		maps.DeleteFunc(members, func(_ MemberID, since time.Time) bool { return now.Sub(since) >= unreachableBackoff })
	}
	for m, h := range s.hosts {
		if now.Sub(h.leasedAt) > s.config.LossTime+2*s.config.LeaseTime {
			delete(s.hosts, m)
		}
	}
}

// without returns a copy of the members without m.
func without(members []MemberID, m MemberID) []MemberID {
	return slices.DeleteFunc(slices.Clone(members), func(o MemberID) bool { return o == m })
}
