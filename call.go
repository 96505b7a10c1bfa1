package figpier

import "time"

// Rank orders requests for load shedding: the highest ranks are refused first. Every hop of a request uses the same rank.
type Rank uint32

// MaxRank is the highest rank. As a cut-off it means that nothing is refused.
const MaxRank Rank = 1<<32 - 1

// CallConfig holds the arguments of NewCall.
type CallConfig struct {
	// RequestID identifies the end-to-end request at every hop.
	RequestID RequestID
	// Customer is the owner of the key sent with the request, empty on open routes.
	Customer CustomerID
	// KeyDigest is the digest of the customer key sent with the request.
	KeyDigest KeyDigest
	// Service is the service that handles this hop.
	Service UpstreamService
	// Route identifies the matched route: its method and path in a profile, or its name in the routing table.
	Route string
	// Priority is the class assigned at the node where the request entered.
	Priority PriorityClass
	// Rank is the request's position in the shedding order.
	Rank Rank
	// Deadline is the time at which the end-to-end request times out.
	Deadline time.Time
	// Budget is the number of retries left for this call and the calls below it.
	Budget int
	// Idempotent marks a request that may safely run more than once at this hop.
	Idempotent bool
	// IdempotencyKey is the caller's key for a non-idempotent request, shared by its resends; empty when none was sent.
	IdempotencyKey IdempotencyKey
	// Depth is the number of hops before this one.
	Depth int
	// CallerService is the service that sent the request, empty for requests from outside.
	CallerService UpstreamService
	// RepeatShare is the probability, from 0 to 1, that a run of the call repeats one, at this hop or further up the call tree.
	RepeatShare float64
}

// Call describes one hop of an end-to-end request. It is immutable.
type Call struct {
	config CallConfig
}

// NewCall returns an immutable call.
func NewCall(c CallConfig) *Call { return &Call{config: c} }

// Config returns a copy of the arguments, from which a changed call can be built.
func (c *Call) Config() CallConfig { return c.config }

// RequestID returns the identifier of the end-to-end request, which is the same at every hop.
func (c *Call) RequestID() RequestID { return c.config.RequestID }

// Customer returns the owner of the key sent with the request, empty on open routes.
func (c *Call) Customer() CustomerID { return c.config.Customer }

// KeyDigest returns the digest of the customer key sent with the request.
func (c *Call) KeyDigest() KeyDigest { return c.config.KeyDigest }

// Service returns the service that handles this hop.
func (c *Call) Service() UpstreamService { return c.config.Service }

// Route returns the matched route: its method and path in a profile, or its name in the routing table.
func (c *Call) Route() string { return c.config.Route }

// Priority returns the class assigned at the node where the request entered.
func (c *Call) Priority() PriorityClass { return c.config.Priority }

// Rank returns the request's position in the shedding order.
func (c *Call) Rank() Rank { return c.config.Rank }

// Deadline returns the time at which the end-to-end request times out.
func (c *Call) Deadline() time.Time { return c.config.Deadline }

// Budget returns the number of retries left for this call and the calls below it.
func (c *Call) Budget() int { return c.config.Budget }

// Idempotent reports whether the request may safely run more than once at this hop.
func (c *Call) Idempotent() bool { return c.config.Idempotent }

// IdempotencyKey returns the caller's key for a non-idempotent request, empty when none was sent.
func (c *Call) IdempotencyKey() IdempotencyKey { return c.config.IdempotencyKey }

// Depth returns the number of hops before this one.
func (c *Call) Depth() int { return c.config.Depth }

// RepeatShare returns the probability, from 0 to 1, that a run of the call repeats one, at this hop or further up the call tree.
func (c *Call) RepeatShare() float64 { return c.config.RepeatShare }

// WithRepeatShare returns a copy of the call with another probability that its run repeats one.
func (c *Call) WithRepeatShare(share float64) *Call {
	config := c.config
	config.RepeatShare = share
	return NewCall(config)
}

// CallerService returns the service that sent the request, empty for requests from outside.
func (c *Call) CallerService() UpstreamService { return c.config.CallerService }
