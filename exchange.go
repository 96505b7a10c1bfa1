package figpier

import (
	"context"
	"io"
	"net/http"
	"time"
)

// InboundConfig holds the arguments of NewInbound.
type InboundConfig struct {
	// ID is the caller's identifier for this attempt.
	ID RequestID
	// Method is the HTTP method.
	Method string
	// Host is the host name from the request.
	Host string
	// Target is the path and query exactly as received.
	Target string
	// Path is the path without the query, exactly as received.
	Path string
	// Key is the customer key sent with the request, empty for none.
	Key string
	// Remaining is the caller's timeout at the time of receipt, 0 when not given.
	Remaining time.Duration
	// Received is the time at which the request arrived.
	Received time.Time
	// Header holds the end-to-end headers to pass on.
	Header http.Header
	// Body is the request's body.
	Body io.ReadCloser
	// Length is the length of the body in bytes, -1 when unknown.
	Length int64
}

// Inbound is an HTTP request to be forwarded to a backend server.
type Inbound struct {
	config InboundConfig
}

// NewInbound returns a request whose fields do not change; the body can be read once.
func NewInbound(c InboundConfig) *Inbound { return &Inbound{config: c} }

// Config returns a copy of the arguments, from which a changed request can be built.
func (i *Inbound) Config() InboundConfig { return i.config }

// ID returns the caller's identifier for this attempt.
func (i *Inbound) ID() RequestID { return i.config.ID }

// Method returns the HTTP method.
func (i *Inbound) Method() string { return i.config.Method }

// Host returns the host name from the request.
func (i *Inbound) Host() string { return i.config.Host }

// Target returns the path and query exactly as received.
func (i *Inbound) Target() string { return i.config.Target }

// Path returns the path without the query, exactly as received.
func (i *Inbound) Path() string { return i.config.Path }

// Key returns the customer key sent with the request, empty for none.
func (i *Inbound) Key() string { return i.config.Key }

// Remaining returns the caller's timeout at the time of receipt, 0 when not given.
func (i *Inbound) Remaining() time.Duration { return i.config.Remaining }

// Received returns the time at which the request arrived.
func (i *Inbound) Received() time.Time { return i.config.Received }

// Header returns the end-to-end headers to pass on, which the caller must not change.
func (i *Inbound) Header() http.Header { return i.config.Header }

// Body returns the request's body.
func (i *Inbound) Body() io.ReadCloser { return i.config.Body }

// Length returns the length of the body in bytes, -1 when unknown.
func (i *Inbound) Length() int64 { return i.config.Length }

// AnswerConfig holds the arguments of NewAnswer.
type AnswerConfig struct {
	// Status is the HTTP status.
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// Body streams the body. Read returns an error if the answer ends early.
	Body io.ReadCloser
	// Length is the length of the body in bytes, -1 when unknown.
	Length int64
}

// Answer is an HTTP response from a backend server. Whoever receives it must close the body.
type Answer struct {
	config AnswerConfig
}

// NewAnswer returns an answer whose fields do not change; the body can be read once.
func NewAnswer(c AnswerConfig) *Answer { return &Answer{config: c} }

// Config returns a copy of the arguments, from which a changed answer can be built.
func (a *Answer) Config() AnswerConfig { return a.config }

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.config.Status }

// Header returns the end-to-end headers, which the caller must not change.
func (a *Answer) Header() http.Header { return a.config.Header }

// Body streams the body. Read returns an error if the answer ends early.
func (a *Answer) Body() io.ReadCloser { return a.config.Body }

// Length returns the length of the body in bytes, -1 when unknown.
func (a *Answer) Length() int64 { return a.config.Length }

// Forwarder proxies callers' requests to the nodes of the backend servers that handle them.
type Forwarder interface {
	Service
	// Forward sends a request and returns the answer of a backend server, or a *Refusal.
	Forward(ctx context.Context, i *Inbound) (*Answer, error)
}

// Deliverer sends calls to the local backend server.
type Deliverer interface {
	Service
	// Deliver sends a request for a call and returns the answer of the backend server, or a *Refusal.
	Deliver(ctx context.Context, c *Call, i *Inbound) (*Answer, error)
	// RepeatShare returns the share of the newest runs at the backend server that repeat one, from 0 to 1. It is the probability that
	// a call that the backend server makes now belongs to such a run.
	RepeatShare() float64
}

// Verdict classifies an answer of a backend server.
type Verdict uint8

// Verdicts on an answer.
const (
	// VerdictAnswer is a regular answer, to be passed on to the caller.
	VerdictAnswer Verdict = iota
	// VerdictFull says that the backend server was at capacity and did not run the request.
	VerdictFull
	// VerdictNotRun says that the backend server did not run the request for another reason.
	VerdictNotRun
	// VerdictMismatch is an answer to some other request; this one may have run.
	VerdictMismatch
)

// Dialect adapts calls and answers to the HTTP conventions of the local backend server.
type Dialect interface {
	Service
	// SetHeaders sets the request headers that the backend server expects. remaining is the time until the call's deadline.
	SetHeaders(h http.Header, c *Call, remaining time.Duration)
	// Classify classifies an answer by its status and headers.
	Classify(status int, h http.Header, c *Call) Verdict
}

// HealthCheck asks the local backend server how it is.
type HealthCheck interface {
	Service
	// Check returns an error unless an incarnation of the backend server answers at the address and path that it is healthy.
	Check(ctx context.Context, address, path, incarnation string) error
}

// Readiness reports whether a node accepts new callers.
type Readiness interface {
	Service
	// Ready reports whether the node can serve new callers.
	Ready() bool
	// Leaving reports whether the node is shutting down and only finishes the requests on open connections.
	Leaving() bool
	// Take returns a *Refusal if the node is shutting down and might end before a request that was received at one time and has its
	// deadline at another.
	Take(received, deadline time.Time, p PriorityClass) error
	// Ending returns a context that ends, with a *Refusal as its cause, when a shutdown ends the requests in flight.
	Ending() context.Context
}

// AnnouncementConfig holds the arguments of NewAnnouncement.
type AnnouncementConfig struct {
	// Incarnation identifies one run of the backend server process.
	Incarnation string
	// Started is the start time by the backend server's clock, zero when not given.
	Started time.Time
	// Sequence orders the announcements of one incarnation.
	Sequence uint64
	// Slots is the number of requests that the backend server can run concurrently.
	Slots int
	// Draining is set when the backend server accepts no new requests.
	Draining bool
	// WarmUp is the remaining time during which the backend server is slow after its start.
	WarmUp time.Duration
}

// Announcement is the state that a backend server reports to its node.
type Announcement struct {
	config AnnouncementConfig
}

// NewAnnouncement returns an immutable announcement.
func NewAnnouncement(c AnnouncementConfig) Announcement { return Announcement{config: c} }

// Incarnation returns the identifier of one run of the backend server process.
func (a Announcement) Incarnation() string { return a.config.Incarnation }

// Started returns the start time by the backend server's clock, zero when not given.
func (a Announcement) Started() time.Time { return a.config.Started }

// Sequence returns the number that orders the announcements of one incarnation.
func (a Announcement) Sequence() uint64 { return a.config.Sequence }

// Slots returns the number of requests that the backend server can run concurrently.
func (a Announcement) Slots() int { return a.config.Slots }

// Draining reports whether the backend server accepts no new requests.
func (a Announcement) Draining() bool { return a.config.Draining }

// WarmUp returns the remaining time during which the backend server is slow after its start.
func (a Announcement) WarmUp() time.Duration { return a.config.WarmUp }

// Announcements receives the state reported by the local backend server.
type Announcements interface {
	Service
	// Announce returns once the announced state is in use.
	Announce(ctx context.Context, a Announcement) error
	// Withdraw unregisters an incarnation that is shutting down, and returns once that has taken effect.
	Withdraw(ctx context.Context, incarnation string, started time.Time) error
	// Incarnation returns the identifier of the newest known run of the backend server, empty for none.
	Incarnation() string
}

// SeedSource provides the addresses at which a process first looks for control instances.
type SeedSource interface {
	Service
	// Seeds returns the message addresses in the current settings.
	Seeds() []string
}
