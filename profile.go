package figpier

import (
	"strings"
	"time"
)

// PriorityClass is the importance of a request, from 0 to 9. Lower numbers are shed later.
type PriorityClass uint8

// Bounds of a priority class.
const (
	HighestPriority PriorityClass = 0
	LowestPriority  PriorityClass = 9
)

// RouteConfig holds the arguments of NewRoute.
type RouteConfig struct {
	// Method is the HTTP method, or "*" for any.
	Method string
	// Path is an exact path, or a prefix when it ends in "/*".
	Path string
	// Priority is the class of the route's requests.
	Priority PriorityClass
	// Idempotent marks requests that may safely run more than once.
	Idempotent bool
	// Open marks requests that need no customer key.
	Open bool
	// Deadline is the maximum duration of the end-to-end request.
	Deadline time.Duration
}

// Route holds the settings of a profile for the requests of one method and path.
type Route struct {
	config RouteConfig
}

// NewRoute returns an immutable route.
func NewRoute(c RouteConfig) *Route { return &Route{config: c} }

// Method returns the HTTP method, or "*" for any.
func (r *Route) Method() string { return r.config.Method }

// Path returns the exact path, or a prefix that ends in "/*".
func (r *Route) Path() string { return r.config.Path }

// Priority returns the class of the route's requests.
func (r *Route) Priority() PriorityClass { return r.config.Priority }

// Idempotent reports whether requests may safely run more than once.
func (r *Route) Idempotent() bool { return r.config.Idempotent }

// Open reports whether requests need no customer key.
func (r *Route) Open() bool { return r.config.Open }

// Deadline returns the maximum duration of the end-to-end request.
func (r *Route) Deadline() time.Duration { return r.config.Deadline }

// Pattern returns the method and path, separated by a space.
func (r *Route) Pattern() string { return r.config.Method + " " + r.config.Path }

// Matches reports whether the route covers the method and decoded path. An unsafe path matches no route.
func (r *Route) Matches(method, path string) bool {
	return SafePath(path) && r.matches(method, path)
}

func (r *Route) matches(method, path string) bool {
	if r.config.Method != "*" && r.config.Method != method {
		return false
	}
	prefix, wildcard := strings.CutSuffix(r.config.Path, "*")
	if wildcard {
		return strings.HasPrefix(path, prefix)
	}
	return path == r.config.Path
}

// LimitConfig holds the arguments of NewLimit.
type LimitConfig struct {
	// Rate is in requests per second, over all nodes together.
	Rate float64
	// Burst is in requests, over all nodes together.
	Burst float64
}

// Limit is the rate limit of one customer at a service, over all nodes together.
type Limit struct {
	config LimitConfig
}

// NewLimit returns an immutable limit.
func NewLimit(c LimitConfig) Limit { return Limit{config: c} }

// Rate returns the rate in requests per second.
func (l Limit) Rate() float64 { return l.config.Rate }

// Burst returns the burst in requests.
func (l Limit) Burst() float64 { return l.config.Burst }

// RetryConfig holds the arguments of NewRetryPolicy.
type RetryConfig struct {
	// TreeBudget is the maximum number of retries over the whole call tree of a request.
	TreeBudget int
	// Share is the maximum ratio of retries to first attempts, for each customer and service.
	Share float64
	// CallerInterval is the minimum time between a caller's attempts with the same idempotency key.
	CallerInterval time.Duration
}

// RetryPolicy bounds the retries of requests.
type RetryPolicy struct {
	config RetryConfig
}

// NewRetryPolicy returns an immutable retry policy.
func NewRetryPolicy(c RetryConfig) RetryPolicy { return RetryPolicy{config: c} }

// TreeBudget returns the maximum number of retries over the whole call tree of a request.
func (p RetryPolicy) TreeBudget() int { return p.config.TreeBudget }

// Share returns the maximum ratio of retries to first attempts, for each customer and service.
func (p RetryPolicy) Share() float64 { return p.config.Share }

// CallerInterval returns the minimum time between a caller's attempts with the same idempotency key.
func (p RetryPolicy) CallerInterval() time.Duration { return p.config.CallerInterval }

// ProfileConfig holds the arguments of NewProfile.
type ProfileConfig struct {
	// Name is the profile's name.
	Name ProfileName
	// Revision is the configuration revision that last changed the profile.
	Revision Revision
	// Routes holds the routes in order of precedence.
	Routes []*Route
	// DefaultLimit is the limit of customers that Limits does not list.
	DefaultLimit Limit
	// Limits holds the limits of individual customers.
	Limits map[CustomerID]Limit
	// Weights holds the fair-share weights of individual customers. The default is 1.
	Weights map[CustomerID]float64
	// Retry bounds the retries of requests.
	Retry RetryPolicy
}

// Profile holds the rate limits, fair-share weights, priorities and retry policy of a service.
type Profile struct {
	config ProfileConfig
}

// NewProfile returns an immutable profile. It takes ownership of the slices and maps in c.
func NewProfile(c ProfileConfig) *Profile { return &Profile{config: c} }

// Name returns the profile's name.
func (p *Profile) Name() ProfileName { return p.config.Name }

// Revision returns the configuration revision that last changed the profile.
func (p *Profile) Revision() Revision { return p.config.Revision }

// WithRevision returns a copy with another revision.
func (p *Profile) WithRevision(r Revision) *Profile {
	c := p.config
	c.Revision = r
	return NewProfile(c)
}

// Routes returns the routes in order of precedence, which the caller must not change.
func (p *Profile) Routes() []*Route { return p.config.Routes }

// DefaultLimit returns the limit of customers that Limits does not list.
func (p *Profile) DefaultLimit() Limit { return p.config.DefaultLimit }

// Limits returns the limits of individual customers, which the caller must not change.
func (p *Profile) Limits() map[CustomerID]Limit { return p.config.Limits }

// Weights returns the fair-share weights of individual customers, which the caller must not change.
func (p *Profile) Weights() map[CustomerID]float64 { return p.config.Weights }

// Retry returns the bounds on the retries of requests.
func (p *Profile) Retry() RetryPolicy { return p.config.Retry }

// Match returns the first route that covers the method and decoded path, false when none does.
func (p *Profile) Match(method, path string) (*Route, bool) {
	if !SafePath(path) {
		return nil, false
	}
	for _, r := range p.config.Routes {
		if r.matches(method, path) {
			return r, true
		}
	}
	return nil, false
}

// Limit returns the limit of a customer, or the default limit.
func (p *Profile) Limit(c CustomerID) Limit {
	if l, ok := p.config.Limits[c]; ok {
		return l
	}
	return p.config.DefaultLimit
}

// Weight returns the fair-share weight of a customer, 1 by default.
func (p *Profile) Weight(c CustomerID) float64 {
	if w, ok := p.config.Weights[c]; ok {
		return w
	}
	return 1
}
