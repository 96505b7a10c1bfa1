package codec

import (
	"strconv"

	"github.com/zeebo/xxh3"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/message"
)

// FromMember returns the wire form of a member of the registry.
func FromMember(m *figpier.Member) message.Member {
	return message.Member{
		Instance:       string(m.Instance()),
		Service:        string(m.Service()),
		DataCentre:     string(m.DataCentre()),
		Region:         string(m.Region()),
		PeerAddress:    m.PeerAddress(),
		MessageAddress: m.MessageAddress(),
		Slots:          m.Slots(),
		Draining:       m.Draining(),
		Sequence:       int(m.Sequence()),
	}
}

// ToMember converts a member of the registry from its wire form.
func ToMember(m message.Member) *figpier.Member {
	return figpier.NewMember(figpier.MemberConfig{
		Instance:       figpier.InstanceID(m.Instance),
		Service:        figpier.UpstreamService(m.Service),
		DataCentre:     figpier.DataCentre(m.DataCentre),
		Region:         figpier.Region(m.Region),
		PeerAddress:    m.PeerAddress,
		MessageAddress: m.MessageAddress,
		Slots:          m.Slots,
		Draining:       m.Draining,
		Sequence:       uint64(m.Sequence),
	})
}

// FormatMembersDigest returns a hash of the instances and sequence numbers of members in hexadecimal, which does not depend on
// their order.
func FormatMembersDigest(members []*figpier.Member) string {
	var sum uint64
	for _, m := range members {
		sum += xxh3.HashString(string(m.Instance()) + " " + strconv.FormatUint(m.Sequence(), 10))
	}
	return formatDigest(sum)
}

// FromMembers returns the wire forms of a delta's added or changed members and the names of the removed ones.
func FromMembers(d figpier.MemberDelta) (members []message.Member, removed []string) {
	for _, m := range d.Members() {
		members = append(members, FromMember(m))
	}
	for _, id := range d.Removed() {
		removed = append(removed, string(id))
	}
	return members, removed
}

// ToMemberDelta converts a delta from the wire forms that FromMembers returns. Its Changed channel is nil.
func ToMemberDelta(version int, members []message.Member, removed []string) figpier.MemberDelta {
	c := figpier.MemberDeltaConfig{Version: uint64(version)}
	for _, m := range members {
		c.Members = append(c.Members, ToMember(m))
	}
	for _, id := range removed {
		c.Removed = append(c.Removed, figpier.InstanceID(id))
	}
	return figpier.NewMemberDelta(c)
}
