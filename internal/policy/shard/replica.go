package shard

import (
	"maps"
	"slices"
	"time"
)

// Replica is the replication state of one member in one shard. The shard's state itself belongs to the caller, who also
// guards the replica with a lock.
type Replica struct {
	self MemberID
	// assignment is the newest assignment received, nil for none. Its epoch may be behind epoch.
	assignment *Assignment
	// epoch is the highest epoch seen in an assignment, a message or an answer.
	epoch Epoch
	// stream and sequence identify the last write that the state includes.
	stream   Epoch
	origin   Epoch
	sequence uint64

	// leaseEpoch is the epoch that the control lease covers, 0 for no lease.
	leaseEpoch Epoch
	leaseUntil time.Time
	// The rest is used by a primary only.
	followers     map[MemberID]*follower
	pendingWrites []write
	// doneSequence is the number of the last write that is done.
	doneSequence uint64
}

// follower is what the primary knows of a backup or joining member.
type follower struct {
	// ackedSequence is the last write that the follower has acknowledged.
	ackedSequence uint64
	// hasState says that the follower has the whole state of the stream, so that it needs single writes only.
	hasState bool
	// synced says that writes are done only once the follower has them. It is set for backups, and for joining members
	// that have caught up.
	synced bool
}

// write is a numbered change that some follower may not have yet.
type write struct {
	sequence uint64
	payload  []byte
}

// Change says what a new assignment means for the state of the shard, which belongs to the caller.
type Change uint8

// Changes that Assign returns.
const (
	// ChangeNone keeps the state.
	ChangeNone Change = iota
	// ChangeTakeOver keeps the state, whose primary this member becomes.
	ChangeTakeOver
	// ChangeStart requires the caller to start an empty state, in a shard that never had one.
	ChangeStart
	// ChangeStartAfterLoss requires the caller to start an empty state in place of one that was lost.
	ChangeStartAfterLoss
	// ChangeLeave means that this member no longer has a part in the shard.
	ChangeLeave
)

// NewReplica returns the replica of a member that has no part in the shard yet.
func NewReplica(self MemberID) *Replica {
	return &Replica{self: self, followers: map[MemberID]*follower{}}
}

// Epoch returns the highest epoch that this member has seen, which may be newer than that of its assignment.
func (r *Replica) Epoch() Epoch { return r.epoch }

// Assignment returns the newest assignment that this member has received, or nil.
func (r *Replica) Assignment() *Assignment { return r.assignment }

// Position returns the stream that the state belongs to and the number of the last write in it.
func (r *Replica) Position() (stream Epoch, sequence uint64) { return r.stream, r.sequence }

// DoneSequence returns the number of the last write that is done: every backup and every synced joining member has it.
func (r *Replica) DoneSequence() uint64 { return r.doneSequence }

// Assign adopts an assignment and returns what it means for the state. It ignores one that is not newer
// than the current assignment, or is older than the highest epoch seen.
func (r *Replica) Assign(a *Assignment) Change {
	if a.Epoch() < r.epoch || r.assignment != nil && a.Epoch() <= r.assignment.Epoch() {
		return ChangeNone
	}
	r.assignment = a
	r.epoch = a.Epoch()
	if a.Primary() != r.self {
		r.stepDown()
	}
	if !a.Includes(r.self) {
		r.origin = 0
		return ChangeLeave
	}
	change := r.resetForOrigin(a)
	if a.Primary() == r.self {
		change = r.becomePrimary(a, change)
	}
	return change
}

// resetForOrigin resets the position if the assignment has another origin than the state of this member. A joining
// member keeps its position, since it receives the state from the primary.
func (r *Replica) resetForOrigin(a *Assignment) Change {
	if a.Origin() == r.origin || slices.Contains(a.Joining(), r.self) {
		return ChangeNone
	}
	r.origin = a.Origin()
	r.stream = 0
	r.sequence = 0
	if a.Origin() == 1 {
		return ChangeStart
	}
	return ChangeStartAfterLoss
}

// becomePrimary starts a new stream, with writes numbered from 1, unless this member already leads the stream.
func (r *Replica) becomePrimary(a *Assignment, change Change) Change {
	if r.stream != a.Stream() {
		r.stream = a.Stream()
		r.sequence = 0
		r.doneSequence = 0
		r.pendingWrites = nil
		r.followers = map[MemberID]*follower{}
		if change == ChangeNone {
			change = ChangeTakeOver
		}
	}
	r.updateFollowers(a)
	return change
}

// updateFollowers adds and removes followers according to the assignment.
func (r *Replica) updateFollowers(a *Assignment) {
	maps.DeleteFunc(r.followers, func(m MemberID, _ *follower) bool { return !a.Includes(m) })
	for _, m := range a.Joining() {
		if _, ok := r.followers[m]; !ok {
			r.followers[m] = &follower{}
		}
	}
	for _, m := range a.Backups() {
		if _, ok := r.followers[m]; !ok {
			r.followers[m] = &follower{}
		}
		r.followers[m].synced = true
	}
	r.advanceDone()
}

// isPrimary reports whether this member is the primary in the highest epoch that it has seen.
func (r *Replica) isPrimary() bool {
	return r.assignment != nil && r.assignment.Primary() == r.self && r.assignment.Epoch() == r.epoch
}

// stepDown drops the control lease and what only a primary keeps.
func (r *Replica) stepDown() {
	r.followers = map[MemberID]*follower{}
	r.pendingWrites = nil
	r.leaseEpoch = 0
}

// ExtendLease records a control lease on an epoch. The caller computes until from the time at which it sent the renewal, not
// from that of the answer, so that the lease expires here before it does at the control instance.
func (r *Replica) ExtendLease(e Epoch, until time.Time) {
	if e < r.leaseEpoch {
		return
	}
	if e > r.leaseEpoch {
		r.leaseEpoch = e
		r.leaseUntil = until
		return
	}
	if until.After(r.leaseUntil) {
		r.leaseUntil = until
	}
}

// MayAct reports whether this member may act for the shard: it is the primary and its control lease has not expired.
func (r *Replica) MayAct(now time.Time) bool {
	return r.isPrimary() && r.leaseEpoch == r.epoch && now.Before(r.leaseUntil)
}

// ReleaseLease gives up the control lease, so that MayAct is false until the next one.
func (r *Replica) ReleaseLease() { r.leaseEpoch = 0 }

// Write adds a change to be sent to the followers and returns its number. The caller must hold back the answer to the
// change until DoneSequence has reached that number.
func (r *Replica) Write(payload []byte) uint64 {
	r.sequence++
	r.pendingWrites = append(r.pendingWrites, write{sequence: r.sequence, payload: payload})
	r.advanceDone()
	return r.sequence
}

// Followers returns the members that this primary sends writes to, in ascending order, empty on other members.
func (r *Replica) Followers() []MemberID { return slices.Sorted(maps.Keys(r.followers)) }

// Synced returns the joining members that have caught up and can become backups, nil if this member is not the primary.
func (r *Replica) Synced() []MemberID {
	var synced []MemberID
	if !r.isPrimary() {
		return nil
	}
	for _, m := range r.assignment.Joining() {
		if f := r.followers[m]; f != nil && f.synced {
			synced = append(synced, m)
		}
	}
	return synced
}

// advanceDone advances the last write that is done and drops the pending writes that every follower with the state has.
func (r *Replica) advanceDone() {
	done, dropThrough := r.sequence, r.sequence
	for _, f := range r.followers {
		if f.synced {
			done = min(done, f.confirmedSequence())
		}
		if f.hasState {
			dropThrough = min(dropThrough, f.ackedSequence)
		}
	}
	r.doneSequence = max(r.doneSequence, done)
	n := 0
	for n < len(r.pendingWrites) && r.pendingWrites[n].sequence <= dropThrough {
		n++
	}
	r.pendingWrites = r.pendingWrites[n:]
}

// confirmedSequence returns the last write that the follower is known to have, 0 if it lacks the state.
func (f *follower) confirmedSequence() uint64 {
	if !f.hasState {
		return 0
	}
	return f.ackedSequence
}
