package shard

import (
	"slices"
	"time"

	"github.com/figpier/figpier"
)

// ID identifies a shard, from 0 to Count-1.
type ID uint32

// Epoch numbers the assignments of one shard from 1.
type Epoch uint64

// MemberID identifies a process that may hold shards. A restarted process has a new ID.
type MemberID string

// AssignmentConfig builds an Assignment.
type AssignmentConfig struct {
	// Shard identifies the shard.
	Shard ID
	// Epoch is the number of the assignment, one more than that of the shard's previous one.
	Epoch Epoch
	// Stream is the epoch in which the primary took over. Writes are numbered from 1 within a stream.
	Stream Epoch
	// Origin is the epoch in which the state started empty. Earlier state is lost.
	Origin Epoch
	// Primary is the member that acts for the shard.
	Primary MemberID
	// Backups are the members that have every write that is done.
	Backups []MemberID
	// Joining are the members that receive the state in order to become backups.
	Joining []MemberID
}

// Assignment is the immutable set of members that hold a shard in one epoch.
type Assignment struct {
	config AssignmentConfig
}

// NewAssignment returns an assignment, which owns the slices of its configuration from then on.
func NewAssignment(c AssignmentConfig) *Assignment { return &Assignment{config: c} }

// Config returns a deep copy of the configuration, from which the next assignment can be built.
func (a *Assignment) Config() AssignmentConfig {
	c := a.config
	c.Backups = slices.Clone(c.Backups)
	c.Joining = slices.Clone(c.Joining)
	return c
}

// Shard returns the ID of the shard that is assigned.
func (a *Assignment) Shard() ID { return a.config.Shard }

// Epoch returns the number of the assignment among those of its shard, from 1.
func (a *Assignment) Epoch() Epoch { return a.config.Epoch }

// Stream returns the epoch in which the primary took over.
func (a *Assignment) Stream() Epoch { return a.config.Stream }

// Origin returns the epoch in which the state started empty.
func (a *Assignment) Origin() Epoch { return a.config.Origin }

// Primary returns the member that acts for the shard.
func (a *Assignment) Primary() MemberID { return a.config.Primary }

// Backups returns the members that have every write that is done. The caller must not modify the slice.
func (a *Assignment) Backups() []MemberID { return a.config.Backups }

// Joining returns the members that receive the state in order to become backups. The caller must not modify the slice.
func (a *Assignment) Joining() []MemberID { return a.config.Joining }

// Includes reports whether a member is the primary, a backup or a joining member.
func (a *Assignment) Includes(m MemberID) bool {
	return a.config.Primary == m || slices.Contains(a.config.Backups, m) || slices.Contains(a.config.Joining, m)
}

// Assignments holds the newest assignment of each shard. It is part of the state machine that the control log drives.
type Assignments struct {
	term        string
	assignments map[ID]*Assignment
}

// NewAssignments returns an empty set of assignments without a term.
func NewAssignments() *Assignments { return &Assignments{assignments: map[ID]*Assignment{}} }

// BeginTerm starts the term of a new leader. From then on, assignments decided in earlier terms are rejected.
func (m *Assignments) BeginTerm(term string) { m.term = term }

// Term returns the identifier of the current term, empty before the first.
func (m *Assignments) Term() string { return m.term }

// Apply installs an assignment if it was decided in the current term and has the next epoch of its shard. It reports
// whether it did.
func (m *Assignments) Apply(term string, a *Assignment) bool {
	var current Epoch
	if p, ok := m.assignments[a.Shard()]; ok {
		current = p.Epoch()
	}
	if term != m.term || a.Epoch() != current+1 {
		return false
	}
	m.assignments[a.Shard()] = a
	return true
}

// Restore installs an assignment from a snapshot, without checking its term or epoch.
func (m *Assignments) Restore(a *Assignment) { m.assignments[a.Shard()] = a }

// Assignment returns the newest assignment of a shard, and false if it has none.
func (m *Assignments) Assignment(s ID) (*Assignment, bool) {
	a, ok := m.assignments[s]
	return a, ok
}

// All returns all assignments in ascending order of shard ID.
func (m *Assignments) All() []*Assignment {
	all := make([]*Assignment, 0, len(m.assignments))
	for _, a := range m.assignments {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b *Assignment) int { return int(a.Shard()) - int(b.Shard()) })
	return all
}

// HostConfig builds a Host.
type HostConfig struct {
	// Member identifies the process.
	Member MemberID
	// Address is the IP address and port at which the process receives messages.
	Address string
	// DataCentre is the data centre that the process runs in.
	DataCentre figpier.DataCentre
	// Region is the region of DataCentre.
	Region figpier.Region
	// Leaving says that the process is shutting down: it has stopped acting and takes no more shards.
	Leaving bool
}

// Host is a process that may hold shards, with the time of its last lease renewal.
type Host struct {
	config   HostConfig
	leasedAt time.Time
}

// Member returns the ID of the process.
func (h *Host) Member() MemberID { return h.config.Member }

// Address returns the IP address and port at which the process receives messages.
func (h *Host) Address() string { return h.config.Address }
