package raft

import (
	"slices"
	"strings"

	"github.com/figpier/figpier"
)

// MemberID identifies one incarnation of a control instance, in the form "instance/incarnation". An instance that has
// lost its data folder returns under a new ID, since it no longer knows its votes and entries.
type MemberID string

// NewMemberID returns the ID of an incarnation of a control instance.
func NewMemberID(i figpier.InstanceID, incarnation string) MemberID {
	return MemberID(string(i) + "/" + incarnation)
}

// Instance returns the control instance that the member runs on.
func (m MemberID) Instance() figpier.InstanceID {
	if at := strings.LastIndexByte(string(m), '/'); at >= 0 {
		return figpier.InstanceID(m[:at])
	}
	return figpier.InstanceID(m)
}

// MemberConfig builds a Member.
type MemberConfig struct {
	// ID identifies the member.
	ID MemberID
	// Address is the IP address and port at which the member receives messages.
	Address string
	// Voter says that the member votes and counts toward quorums.
	Voter bool
}

// Member is an immutable member of the log: a voter, or a learner, which receives entries but does not vote.
type Member struct {
	config MemberConfig
}

// NewMember returns the member that the configuration describes.
func NewMember(c MemberConfig) Member { return Member{config: c} }

// Config returns the fields of the member, for encoding or for building a changed member.
func (m Member) Config() MemberConfig { return m.config }

// ID returns the identifier of the member, which is unique to its incarnation.
func (m Member) ID() MemberID { return m.config.ID }

// Address returns the IP address and port at which the member receives messages.
func (m Member) Address() string { return m.config.Address }

// Voter reports whether the member votes and counts toward quorums.
func (m Member) Voter() bool { return m.config.Voter }

// withAddress returns the member with another address.
func (m Member) withAddress(address string) Member {
	m.config.Address = address
	return m
}

// Members is an immutable set of members, sorted by ID.
type Members struct {
	list []Member
}

// NewMembers returns a membership of the given members. It copies the list.
func NewMembers(list ...Member) *Members {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b Member) int {
		return strings.Compare(string(a.ID()), string(b.ID()))
	})
	return &Members{list: sorted}
}

// List returns the members in ascending order of ID, which the caller must not modify.
func (m *Members) List() []Member { return m.list }

// Find returns the member with the given ID, and false if there is none.
func (m *Members) Find(id MemberID) (Member, bool) {
	for _, e := range m.list {
		if e.ID() == id {
			return e, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether the given ID is that of a voter.
func (m *Members) IsVoter(id MemberID) bool {
	e, ok := m.Find(id)
	return ok && e.Voter()
}

// Voters returns the IDs of the voters in ascending order.
func (m *Members) Voters() []MemberID {
	var ids []MemberID
	for _, e := range m.list {
		if e.Voter() {
			ids = append(ids, e.ID())
		}
	}
	return ids
}

// Quorum returns the smallest number of voters that is a majority.
func (m *Members) Quorum() int { return len(m.Voters())/2 + 1 }

// otherIncarnation returns another incarnation of the member's instance.
func (m *Members) otherIncarnation(id MemberID) (Member, bool) {
	for _, e := range m.list {
		if e.ID() != id && e.ID().Instance() == id.Instance() {
			return e, true
		}
	}
	return Member{}, false
}

// with returns a copy of the membership in which a member is added, or replaced if its ID is already there.
func (m *Members) with(added Member) *Members {
	return NewMembers(append(m.without(added.ID()).list, added)...)
}

// without returns a copy of the membership without the given member.
func (m *Members) without(id MemberID) *Members {
	var rest []Member
	for _, e := range m.list {
		if e.ID() != id {
			rest = append(rest, e)
		}
	}
	return NewMembers(rest...)
}
