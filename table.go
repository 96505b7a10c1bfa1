package figpier

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RoutePartConfig holds the arguments of NewRoutePart.
type RoutePartConfig struct {
	// Service is the service that receives this share of the requests.
	Service UpstreamService
	// Weight is the share, relative to the sum of the weights of the route.
	Weight float64
}

// RoutePart is the share of a route's requests that goes to one service.
type RoutePart struct {
	config RoutePartConfig
}

// NewRoutePart returns an immutable part.
func NewRoutePart(c RoutePartConfig) RoutePart { return RoutePart{config: c} }

// Service returns the service that receives this share of the requests.
func (p RoutePart) Service() UpstreamService { return p.config.Service }

// Weight returns the share, relative to the sum of the weights of the route.
func (p RoutePart) Weight() float64 { return p.config.Weight }

// HostRouteConfig holds the arguments of NewHostRoute.
type HostRouteConfig struct {
	// Name identifies the route in the table.
	Name string
	// Host is the host name to match, regardless of case.
	Host string
	// PathPrefix is the path prefix to match, which begins and ends with a slash.
	PathPrefix string
	// Idempotent marks requests that may safely run more than once.
	Idempotent bool
	// Timeout is the maximum time until the final answer.
	Timeout time.Duration
	// Target is the target latency.
	Target time.Duration
	// Priority is the class of the route's requests.
	Priority PriorityClass
	// Attempts is the maximum number of backend servers that one request may be sent to.
	Attempts int
	// Open marks requests that need no customer key.
	Open bool
	// Parts divides the requests of the route between services.
	Parts []RoutePart
}

// HostRoute holds the destinations and settings for requests to a host and path prefix.
type HostRoute struct {
	config HostRouteConfig
}

// NewHostRoute returns an immutable route. It takes ownership of the slices in c.
func NewHostRoute(c HostRouteConfig) *HostRoute { return &HostRoute{config: c} }

// Name returns the name that identifies the route in the table.
func (r *HostRoute) Name() string { return r.config.Name }

// Host returns the host name to match, regardless of case.
func (r *HostRoute) Host() string { return r.config.Host }

// PathPrefix returns the path prefix to match, which begins and ends with a slash.
func (r *HostRoute) PathPrefix() string { return r.config.PathPrefix }

// Idempotent reports whether requests may safely run more than once.
func (r *HostRoute) Idempotent() bool { return r.config.Idempotent }

// Timeout returns the maximum time until the final answer.
func (r *HostRoute) Timeout() time.Duration { return r.config.Timeout }

// Target returns the target latency.
func (r *HostRoute) Target() time.Duration { return r.config.Target }

// Priority returns the class of the route's requests.
func (r *HostRoute) Priority() PriorityClass { return r.config.Priority }

// Attempts returns the maximum number of backend servers that one request may be sent to.
func (r *HostRoute) Attempts() int { return r.config.Attempts }

// Open reports whether requests need no customer key.
func (r *HostRoute) Open() bool { return r.config.Open }

// Parts returns the services that share the route's requests, which the caller must not change.
func (r *HostRoute) Parts() []RoutePart { return r.config.Parts }

// TableServiceConfig holds the arguments of NewTableService.
type TableServiceConfig struct {
	// Name is the name of the service.
	Name UpstreamService
	// HealthPath is the path of the health check of its backend servers.
	HealthPath string
	// MaxConnections is the maximum number of connections from all nodes together to one backend server.
	MaxConnections int
}

// TableService holds the settings of a service in the routing table.
type TableService struct {
	config TableServiceConfig
}

// NewTableService returns an immutable service.
func NewTableService(c TableServiceConfig) *TableService { return &TableService{config: c} }

// Name returns the service's name.
func (s *TableService) Name() UpstreamService { return s.config.Name }

// HealthPath returns the path of the health check of its backend servers.
func (s *TableService) HealthPath() string { return s.config.HealthPath }

// MaxConnections returns the maximum number of connections from all nodes together to one backend server.
func (s *TableService) MaxConnections() int { return s.config.MaxConnections }

// AccountConfig holds the arguments of NewAccount.
type AccountConfig struct {
	// Customer is the owner of the account.
	Customer CustomerID
	// Keys are the digests of the customer's keys.
	Keys []KeyDigest
	// Priority overrides the priority class of the route for the customer's requests. It is nil for no override.
	Priority *PriorityClass
	// Limit is the rate limit of the customer over all services together. A rate of 0 is no limit.
	Limit Limit
}

// Account holds the keys and settings of a customer in the routing table.
type Account struct {
	config AccountConfig
}

// NewAccount returns an immutable account. It takes ownership of the slices in c.
func NewAccount(c AccountConfig) *Account { return &Account{config: c} }

// Customer returns the owner of the account.
func (a *Account) Customer() CustomerID { return a.config.Customer }

// Keys returns the digests of the customer's keys, which the caller must not change.
func (a *Account) Keys() []KeyDigest { return a.config.Keys }

// Priority returns the class that overrides that of the route, false for no override.
func (a *Account) Priority() (PriorityClass, bool) {
	if a.config.Priority == nil {
		return 0, false
	}
	return *a.config.Priority, true
}

// Limit returns the rate limit of the customer over all services together. A rate of 0 is no limit.
func (a *Account) Limit() Limit { return a.config.Limit }

// CallerLimitsConfig holds the arguments of NewCallerLimits.
type CallerLimitsConfig struct {
	// HeaderBytes is the maximum size in bytes of a request's header section, 0 for the listener's default.
	HeaderBytes int
	// BodyBytes is the maximum size in bytes of a request's body, 0 for no limit.
	BodyBytes int64
	// HeaderTimeout is the maximum time to receive the header section, 0 for the listener's default.
	HeaderTimeout time.Duration
	// IdleTimeout is the maximum time that a connection may be idle, 0 for the listener's default.
	IdleTimeout time.Duration
}

// CallerLimits bounds the size and duration of what callers send.
type CallerLimits struct {
	config CallerLimitsConfig
}

// NewCallerLimits returns immutable limits.
func NewCallerLimits(c CallerLimitsConfig) CallerLimits { return CallerLimits{config: c} }

// Config returns a copy of the arguments, for encoding.
func (l CallerLimits) Config() CallerLimitsConfig { return l.config }

// HeaderBytes returns the maximum size in bytes of a request's header section, 0 for the listener's default.
func (l CallerLimits) HeaderBytes() int { return l.config.HeaderBytes }

// HeaderTimeout returns the maximum time to receive the header section, 0 for the listener's default.
func (l CallerLimits) HeaderTimeout() time.Duration { return l.config.HeaderTimeout }

// IdleTimeout returns the maximum time that a connection may be idle, 0 for the listener's default.
func (l CallerLimits) IdleTimeout() time.Duration { return l.config.IdleTimeout }

// BodyBytes returns the maximum size in bytes of a request's body, 0 for no limit.
func (l CallerLimits) BodyBytes() int64 { return l.config.BodyBytes }

// TableConfig holds the arguments of NewTable.
type TableConfig struct {
	// Number is the version that the operator gave the table, which rises with each table.
	Number uint64
	// Revision is the configuration revision that introduced the table.
	Revision Revision
	// Routes holds the routes in any order.
	Routes []*HostRoute
	// Services holds the services in any order.
	Services []*TableService
	// Accounts holds the customers in any order.
	Accounts []*Account
	// KeysRequired marks a table whose requests need a key although it may have no accounts. With accounts they always do.
	KeysRequired bool
	// Limits bounds the size and duration of what callers send.
	Limits CallerLimits
	// Document is the table as the operator submitted it, empty on nodes.
	Document []byte
}

// The memory in bytes that the parts of a table take beside their texts, the indexes of the table included.
const (
	routeOverheadBytes   = 256
	partOverheadBytes    = 32
	serviceOverheadBytes = 64
	accountOverheadBytes = 192
	keyOverheadBytes     = 96
)

// Table is the routing table, which holds the settings of all hosts, services and customers.
type Table struct {
	config             TableConfig
	routesByHost       map[string][]*HostRoute
	accountsByKey      map[KeyDigest]*Account
	accountsByCustomer map[CustomerID]*Account
}

// NewTable returns an immutable table. It takes ownership of the slices in c.
func NewTable(c TableConfig) *Table {
	t := &Table{
		config:             c,
		routesByHost:       map[string][]*HostRoute{},
		accountsByKey:      map[KeyDigest]*Account{},
		accountsByCustomer: map[CustomerID]*Account{},
	}
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host())
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, list := range t.routesByHost {
		slices.SortStableFunc(list, func(a, b *HostRoute) int { return cmp.Compare(len(b.PathPrefix()), len(a.PathPrefix())) })
	}
	for _, a := range c.Accounts {
		t.accountsByCustomer[a.Customer()] = a
		for _, d := range a.Keys() {
			t.accountsByKey[d] = a
		}
	}
	return t
}

// Config returns a copy of the arguments, for encoding or building a changed table.
func (t *Table) Config() TableConfig { return t.config }

// WithoutDocument returns the table without the document that the operator submitted. It shares everything else with t.
func (t *Table) WithoutDocument() *Table {
	other := *t
	other.config.Document = nil
	return &other
}

// Size returns about how many bytes of memory the table takes.
func (t *Table) Size() int {
	total := len(t.config.Document)
	for _, r := range t.config.Routes {
		total += routeOverheadBytes + len(r.Name()) + len(r.Host()) + len(r.PathPrefix())
		for _, p := range r.Parts() {
			total += partOverheadBytes + len(p.Service())
		}
	}
	for _, s := range t.config.Services {
		total += serviceOverheadBytes + len(s.Name()) + len(s.HealthPath())
	}
	for _, a := range t.config.Accounts {
		total += accountOverheadBytes + len(a.Customer()) + keyOverheadBytes*len(a.Keys())
	}
	return total
}

// Number returns the version that the operator gave the table.
func (t *Table) Number() uint64 { return t.config.Number }

// Revision returns the configuration revision that introduced the table.
func (t *Table) Revision() Revision { return t.config.Revision }

// Limits returns the bounds on what callers send.
func (t *Table) Limits() CallerLimits { return t.config.Limits }

// Document returns the table as the operator submitted it, empty on nodes. The caller must not change it.
func (t *Table) Document() []byte { return t.config.Document }

// Services returns the services, which the caller must not change.
func (t *Table) Services() []*TableService { return t.config.Services }

// Accounts returns the accounts of all customers, which the caller must not change.
func (t *Table) Accounts() []*Account { return t.config.Accounts }

// Keyed reports whether requests need a customer key, except on open routes.
func (t *Table) Keyed() bool { return t.config.KeysRequired || len(t.config.Accounts) > 0 }

// Route returns the route of a host whose prefix is the longest match for a path. A port in the host is ignored.
func (t *Table) Route(host, path string) (*HostRoute, bool) {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix()) {
			return r, true
		}
	}
	return nil, false
}

// AccountOf returns the account that owns the key with the given digest.
func (t *Table) AccountOf(d KeyDigest) (*Account, bool) {
	a, ok := t.accountsByKey[d]
	return a, ok
}

// Account returns the account of a customer, false when it has none.
func (t *Table) Account(c CustomerID) (*Account, bool) {
	a, ok := t.accountsByCustomer[c]
	return a, ok
}
