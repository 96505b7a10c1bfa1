package codec

import (
	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/message"
)

// FromEdit returns the wire form of an edit, without the fields that are not set. A routing table is encoded as the difference
// from current if that is the table that the edit replaces.
func FromEdit(e *figpier.Edit, current *figpier.Table) message.Edit {
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
	if e.Table() == nil {
		return m
	}
	if d, ok := fromReplacement(e, current); ok {
		m.TableDelta = &d
		return m
	}
	t := FromTable(e.Table())
	m.Table = &t
	return m
}

// fromReplacement returns the difference between the table that an edit replaces and the new one. It returns false if current is
// another table, or if the difference does not lead to the new table.
func fromReplacement(e *figpier.Edit, current *figpier.Table) (message.TableDelta, bool) {
	if current == nil || current.Number() != uint64(e.Base()) {
		return message.TableDelta{}, false
	}
	d, err := FromTableChangeWithDocument(current, e.Table())
	if err != nil {
		return d, false
	}
	_, err = ApplyTableChangeWithDocument(current, d)
	return d, err == nil
}

// ToEdit converts an edit from its wire form. It fails if a key or a routing table in it is not valid, or if its routing table is
// a difference from another table than current.
func ToEdit(m message.Edit, current *figpier.Table) (*figpier.Edit, error) {
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
	if m.TableDelta != nil {
		t, err := ApplyTableChangeWithDocument(current, *m.TableDelta)
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

// fromOptional returns the value that a pointer of a message names, the zero value for none.
func fromOptional[T any](p *T) T {
	if p == nil {
		var zero T
		return zero
	}
	return *p
}
