package codec

import (
	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/message"
)

// FromEdit returns the wire form of an edit, without the fields that are not set.
func FromEdit(e *figpier.Edit) message.Edit {
	m := message.Edit{
		Operation:   string(e.Operation()),
		Kind:        string(e.Kind()),
		Base:        int(e.Base()),
		ProfileName: toOptional(string(e.ProfileName())),
		Service:     toOptional(string(e.Service())),
		KeyId:       toOptional(e.KeyID()),
	}
	if e.Profile() != nil {
		p := FromProfile(e.Profile())
		m.Profile = &p
	}
	if e.Key() != nil {
		k := FromKey(e.Key())
		m.Key = &k
	}
	if e.Table() != nil {
		t := FromTable(e.Table())
		m.Table = &t
	}
	return m
}

// ToEdit converts an edit from its wire form. It fails if a key or a routing table in it is not valid.
func ToEdit(m message.Edit) (*figpier.Edit, error) {
	c := figpier.EditConfig{
		Operation:   figpier.OperationID(m.Operation),
		Kind:        figpier.EditKind(m.Kind),
		Base:        figpier.Revision(m.Base),
		ProfileName: figpier.ProfileName(fromOptional(m.ProfileName)),
		Service:     figpier.UpstreamService(fromOptional(m.Service)),
		KeyID:       fromOptional(m.KeyId),
	}
	if m.Profile != nil {
		c.Profile = ToProfile(*m.Profile)
	}
	if m.Key != nil {
		k, err := ToKey(*m.Key)
		if err != nil {
			return nil, err
		}
		c.Key = k
	}
	if m.Table != nil {
		t, err := ToTable(*m.Table)
		if err != nil {
			return nil, err
		}
		c.Table = t
	}
	return figpier.NewEdit(c), nil
}

// toOptional returns nil for an empty string, so that the field is left out on the wire.
func toOptional(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

// fromOptional returns the empty string for a field that was left out.
func fromOptional(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}
