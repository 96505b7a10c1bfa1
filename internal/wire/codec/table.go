package codec

import (
	"encoding/base64"
	"encoding/hex"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/message"
)

// FromTable returns the wire form of a routing table, including the document that the operator supplied, in base64.
func FromTable(t *figpier.Table) message.Table {
	m := fromTableWithoutDocument(t)
	document := base64.StdEncoding.EncodeToString(t.Document())
	m.Document = &document
	return m
}

// fromTableWithoutDocument returns the wire form of a routing table as nodes get it, without the operator's document.
func fromTableWithoutDocument(t *figpier.Table) message.Table {
	c, limits := t.Config(), t.Limits().Config()
	m := message.Table{
		Number:              int(c.Number),
		Revision:            int(c.Revision),
		Routes:              []message.HostRoute{},
		Services:            []message.TableService{},
		Accounts:            []message.Account{},
		HeaderBytes:         limits.HeaderBytes,
		BodyBytes:           int(limits.BodyBytes),
		HeaderTimeoutMillis: int(limits.HeaderTimeout.Milliseconds()),
		IdleTimeoutMillis:   int(limits.IdleTimeout.Milliseconds()),
	}
	for _, r := range c.Routes {
		m.Routes = append(m.Routes, fromHostRoute(r))
	}
	for _, s := range c.Services {
		m.Services = append(m.Services, message.TableService{
			Name:           string(s.Name()),
			HealthPath:     s.HealthPath(),
			MaxConnections: s.MaxConnections(),
		})
	}
	for _, a := range c.Accounts {
		m.Accounts = append(m.Accounts, fromAccount(a))
	}
	if t.Keyed() && len(c.Accounts) == 0 {
		required := true
		m.KeysRequired = &required
	}
	return m
}

func fromHostRoute(r *figpier.HostRoute) message.HostRoute {
	m := message.HostRoute{
		Name:          r.Name(),
		Host:          r.Host(),
		Prefix:        r.PathPrefix(),
		Idempotent:    r.Idempotent(),
		TimeoutMillis: int(r.Timeout().Milliseconds()),
		TargetMillis:  int(r.Target().Milliseconds()),
		Priority:      int(r.Priority()),
		Attempts:      r.Attempts(),
		Open:          r.Open(),
		Parts:         []message.RoutePart{},
	}
	for _, p := range r.Parts() {
		m.Parts = append(m.Parts, message.RoutePart{Service: string(p.Service()), Weight: p.Weight()})
	}
	return m
}

func fromAccount(a *figpier.Account) message.Account {
	m := message.Account{Customer: string(a.Customer()), Keys: []string{}, Limit: fromLimit(a.Limit())}
	for _, d := range a.Keys() {
		m.Keys = append(m.Keys, hex.EncodeToString(d[:]))
	}
	if p, ok := a.Priority(); ok {
		class := int(p)
		m.Priority = &class
	}
	return m
}

// ToTable converts a routing table from its wire form, with or without the document. It fails for invalid base64 or an
// invalid key digest.
func ToTable(m message.Table) (*figpier.Table, error) {
	c := figpier.TableConfig{
		Number:       uint64(m.Number),
		Revision:     figpier.Revision(m.Revision),
		KeysRequired: fromOptional(m.KeysRequired),
		Limits: figpier.NewCallerLimits(figpier.CallerLimitsConfig{
			HeaderBytes:   m.HeaderBytes,
			BodyBytes:     int64(m.BodyBytes),
			HeaderTimeout: time.Duration(m.HeaderTimeoutMillis) * time.Millisecond,
			IdleTimeout:   time.Duration(m.IdleTimeoutMillis) * time.Millisecond,
		}),
	}
	if m.Document != nil {
		document, err := base64.StdEncoding.DecodeString(*m.Document)
		if err != nil {
			return nil, Error.New("document of table %d: %w", m.Number, err)
		}
		c.Document = document
	}
	for _, r := range m.Routes {
		c.Routes = append(c.Routes, toHostRoute(r))
	}
	for _, s := range m.Services {
		c.Services = append(c.Services, toTableService(s))
	}
	for _, w := range m.Accounts {
		a, err := toAccount(w)
		if err != nil {
			return nil, err
		}
		c.Accounts = append(c.Accounts, a)
	}
	return figpier.NewTable(c), nil
}

func toHostRoute(m message.HostRoute) *figpier.HostRoute {
	c := figpier.HostRouteConfig{
		Name:       m.Name,
		Host:       m.Host,
		PathPrefix: m.Prefix,
		Idempotent: m.Idempotent,
		Timeout:    time.Duration(m.TimeoutMillis) * time.Millisecond,
		Target:     time.Duration(m.TargetMillis) * time.Millisecond,
		Priority:   figpier.PriorityClass(m.Priority),
		Attempts:   m.Attempts,
		Open:       m.Open,
	}
	for _, p := range m.Parts {
		c.Parts = append(c.Parts, figpier.NewRoutePart(figpier.RoutePartConfig{
			Service: figpier.UpstreamService(p.Service),
			Weight:  p.Weight,
		}))
	}
	return figpier.NewHostRoute(c)
}

func toTableService(m message.TableService) *figpier.TableService {
	return figpier.NewTableService(figpier.TableServiceConfig{
		Name:           figpier.UpstreamService(m.Name),
		HealthPath:     m.HealthPath,
		MaxConnections: m.MaxConnections,
	})
}

func toAccount(m message.Account) (*figpier.Account, error) {
	c := figpier.AccountConfig{Customer: figpier.CustomerID(m.Customer), Limit: toLimit(m.Limit)}
	for _, text := range m.Keys {
		d, err := ToDigest(text)
		if err != nil {
			return nil, err
		}
		c.Keys = append(c.Keys, d)
	}
	if m.Priority != nil {
		class := figpier.PriorityClass(*m.Priority)
		c.Priority = &class
	}
	return figpier.NewAccount(c), nil
}
