package codec

import (
	"cmp"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/message"
)

// Error is the class of errors of this package.
var Error = errs.Class("codec")

// FromProfile returns the wire form of a profile, with its routes in their order.
func FromProfile(p *figpier.Profile) message.Profile {
	m := message.Profile{
		Name:         string(p.Name()),
		Revision:     int(p.Revision()),
		Routes:       []message.Route{},
		DefaultLimit: fromLimit(p.DefaultLimit()),
		Limits:       message.ProfileLimits{},
		Weights:      message.ProfileWeights{},
		Retry: message.Retry{
			TreeBudget:           p.Retry().TreeBudget(),
			Share:                p.Retry().Share(),
			CallerIntervalMillis: int(p.Retry().CallerInterval().Milliseconds()),
		},
	}
	for _, r := range p.Routes() {
		m.Routes = append(m.Routes, fromRoute(r))
	}
	for c, l := range p.Limits() {
		m.Limits[string(c)] = fromLimit(l)
	}
	for c, w := range p.Weights() {
		m.Weights[string(c)] = w
	}
	return m
}

// ToProfile converts a profile from its wire form, without checking its values.
func ToProfile(m message.Profile) *figpier.Profile {
	c := figpier.ProfileConfig{
		Name:         figpier.ProfileName(m.Name),
		Revision:     figpier.Revision(m.Revision),
		DefaultLimit: toLimit(m.DefaultLimit),
		Limits:       map[figpier.CustomerID]figpier.Limit{},
		Weights:      map[figpier.CustomerID]float64{},
		Retry: figpier.NewRetryPolicy(figpier.RetryConfig{
			TreeBudget:     m.Retry.TreeBudget,
			Share:          m.Retry.Share,
			CallerInterval: time.Duration(m.Retry.CallerIntervalMillis) * time.Millisecond,
		}),
	}
	for _, r := range m.Routes {
		c.Routes = append(c.Routes, toRoute(r))
	}
	for name, l := range m.Limits {
		c.Limits[figpier.CustomerID(name)] = toLimit(l)
	}
	for name, w := range m.Weights {
		c.Weights[figpier.CustomerID(name)] = w
	}
	return figpier.NewProfile(c)
}

func fromLimit(l figpier.Limit) message.Limit {
	return message.Limit{Rate: l.Rate(), Burst: l.Burst()}
}

func toLimit(m message.Limit) figpier.Limit {
	return figpier.NewLimit(figpier.LimitConfig{Rate: m.Rate, Burst: m.Burst})
}

func fromRoute(r *figpier.Route) message.Route {
	return message.Route{
		Method:         r.Method(),
		Path:           r.Path(),
		Priority:       int(r.Priority()),
		Idempotent:     r.Idempotent(),
		Open:           r.Open(),
		DeadlineMillis: int(r.Deadline().Milliseconds()),
	}
}

func toRoute(m message.Route) *figpier.Route {
	return figpier.NewRoute(figpier.RouteConfig{
		Method:     m.Method,
		Path:       m.Path,
		Priority:   figpier.PriorityClass(m.Priority),
		Idempotent: m.Idempotent,
		Open:       m.Open,
		Deadline:   time.Duration(m.DeadlineMillis) * time.Millisecond,
	})
}

// FromKey returns the wire form of a customer key, with its digest in hexadecimal.
func FromKey(k *figpier.Key) message.Key {
	d := k.Digest()
	return message.Key{
		Id:       k.ID(),
		Customer: string(k.Customer()),
		Digest:   hex.EncodeToString(d[:]),
		Revision: int(k.Revision()),
	}
}

// ToKey converts a customer key from its wire form. It fails if the digest is not valid.
func ToKey(m message.Key) (*figpier.Key, error) {
	d, err := ToDigest(m.Digest)
	if err != nil {
		return nil, err
	}
	return figpier.NewKey(figpier.KeyConfig{
		ID:       m.Id,
		Customer: figpier.CustomerID(m.Customer),
		Digest:   d,
		Revision: figpier.Revision(m.Revision),
	}), nil
}

// ToDigest parses a key digest in hexadecimal.
func ToDigest(text string) (figpier.KeyDigest, error) {
	var d figpier.KeyDigest
	data, err := hex.DecodeString(text)
	if err != nil {
		return d, Error.New("key digest: %w", err)
	}
	if len(data) != len(d) {
		return d, Error.New("key digest has %d bytes, not %d", len(data), len(d))
	}
	copy(d[:], data)
	return d, nil
}

// FromConfiguration returns the wire form of a configuration that nodes get, which lacks the document of the routing table.
// Objects are in a fixed order, so that equal configurations have equal wire forms.
func FromConfiguration(c *figpier.Configuration) message.Configuration {
	m := fromConfigurationWithoutTable(c)
	if t := c.Table(); t != nil {
		w := fromTableWithoutDocument(t)
		m.Table = &w
	}
	return m
}

// FromConfigurationWithDocument returns the wire form of a configuration that control instances store, which includes the document of the
// routing table. The order is that of FromConfiguration.
func FromConfigurationWithDocument(c *figpier.Configuration) message.Configuration {
	m := fromConfigurationWithoutTable(c)
	if t := c.Table(); t != nil {
		w := FromTable(t)
		m.Table = &w
	}
	return m
}

// fromConfigurationWithoutTable returns the wire form of everything in a configuration but the routing table.
func fromConfigurationWithoutTable(c *figpier.Configuration) message.Configuration {
	m := message.Configuration{
		Revision:    int(c.Revision()),
		Profiles:    []message.Profile{},
		Assignments: []message.Assignment{},
		Keys:        []message.Key{},
	}
	for _, p := range c.Profiles() {
		m.Profiles = append(m.Profiles, FromProfile(p))
	}
	for _, a := range c.Assignments() {
		m.Assignments = append(m.Assignments, message.Assignment{
			Service:  string(a.Service()),
			Profile:  string(a.Profile()),
			Revision: int(a.Revision()),
		})
	}
	for _, k := range c.Keys() {
		m.Keys = append(m.Keys, FromKey(k))
	}
	slices.SortFunc(m.Profiles, func(a, b message.Profile) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(m.Assignments, func(a, b message.Assignment) int { return cmp.Compare(a.Service, b.Service) })
	slices.SortFunc(m.Keys, func(a, b message.Key) int { return cmp.Compare(a.Id, b.Id) })
	return m
}

// ToConfiguration converts a configuration from either of its wire forms.
func ToConfiguration(m message.Configuration) (*figpier.Configuration, error) {
	c := figpier.ConfigurationConfig{
		Revision:    figpier.Revision(m.Revision),
		Profiles:    map[figpier.ProfileName]*figpier.Profile{},
		Assignments: map[figpier.UpstreamService]*figpier.Assignment{},
		Keys:        map[figpier.KeyDigest]*figpier.Key{},
	}
	for _, p := range m.Profiles {
		c.Profiles[figpier.ProfileName(p.Name)] = ToProfile(p)
	}
	for _, a := range m.Assignments {
		c.Assignments[figpier.UpstreamService(a.Service)] = figpier.NewAssignment(figpier.AssignmentConfig{
			Service:  figpier.UpstreamService(a.Service),
			Profile:  figpier.ProfileName(a.Profile),
			Revision: figpier.Revision(a.Revision),
		})
	}
	for _, w := range m.Keys {
		k, err := ToKey(w)
		if err != nil {
			return nil, err
		}
		c.Keys[k.Digest()] = k
	}
	if m.Table != nil {
		t, err := ToTable(*m.Table)
		if err != nil {
			return nil, err
		}
		c.Table = t
	}
	return figpier.NewConfiguration(c), nil
}

// ApplyDelta returns a new configuration with the changes of a delta applied to c, which must be at the delta's base
// revision or later. It fails if the delta changes another routing table than that of c.
func ApplyDelta(c *figpier.Configuration, d message.ConfigurationDelta) (*figpier.Configuration, error) {
	changed, err := ToConfiguration(d.Changed)
	if err != nil {
		return nil, err
	}
	next := c.Clone()
	next.Revision = changed.Revision()
	for _, name := range d.GoneProfiles {
		delete(next.Profiles, figpier.ProfileName(name))
	}
	removed := figpier.NewSet(d.GoneKeys...)
	for digest, k := range next.Keys {
		if removed.Has(k.ID()) {
			delete(next.Keys, digest)
		}
	}
	maps.Copy(next.Profiles, changed.Profiles())
	maps.Copy(next.Assignments, changed.Assignments())
	maps.Copy(next.Keys, changed.Keys())
	if changed.Table() != nil {
		next.Table = changed.Table()
	}
	if d.Table != nil {
		if next.Table, err = ApplyTableChange(c.Table(), *d.Table); err != nil {
			return nil, err
		}
	}
	return figpier.NewConfiguration(next), nil
}
