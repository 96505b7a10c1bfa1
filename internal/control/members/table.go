package members

import (
	"cmp"
	"slices"

	"github.com/figpier/figpier"
)

// table is a set of members with a version number that grows with every change, so that changes since a version can be
// listed. The registry's mutex guards it.
type table struct {
	version uint64
	members map[figpier.InstanceID]versionedMember
	// removedAt holds the version at which each former member was removed.
	removedAt map[figpier.InstanceID]uint64
	// changed is closed at the next change.
	changed chan struct{}
}

// versionedMember is a member and the version at which it was added or last changed.
type versionedMember struct {
	member  *figpier.Member
	version uint64
}

func newTable() *table {
	return &table{
		members:   map[figpier.InstanceID]versionedMember{},
		removedAt: map[figpier.InstanceID]uint64{},
		changed:   make(chan struct{}),
	}
}

// put adds or replaces a member; an announcement with the sequence number already held changes nothing.
func (t *table) put(m *figpier.Member) {
	old, ok := t.members[m.Instance()]
	if ok && old.member.Sequence() == m.Sequence() {
		return
	}
	delete(t.removedAt, m.Instance())
	t.members[m.Instance()] = versionedMember{member: m, version: t.advance()}
}

func (t *table) remove(id figpier.InstanceID) {
	if _, ok := t.members[id]; !ok {
		return
	}
	delete(t.members, id)
	t.removedAt[id] = t.advance()
}

// advance returns the next version for a change and wakes those who wait for one.
func (t *table) advance() uint64 {
	t.version++
	close(t.changed)
	t.changed = make(chan struct{})
	return t.version
}

// since returns the members added, changed or removed after a version, in the order of their names.
func (t *table) since(version uint64) figpier.MemberDelta {
	d := figpier.MemberDeltaConfig{Version: t.version, Changed: t.changed}
	for _, n := range t.members {
		if n.version > version {
			d.Members = append(d.Members, n.member)
		}
	}
	for id, v := range t.removedAt {
		if v > version {
			d.Removed = append(d.Removed, id)
		}
	}
	slices.SortFunc(d.Members, func(a, b *figpier.Member) int { return cmp.Compare(a.Instance(), b.Instance()) })
	slices.Sort(d.Removed)
	return figpier.NewMemberDelta(d)
}
