package figpier

import (
	"context"
	"net/http"
	"time"
)

// ConfigurationView holds a node's copy of the accepted configuration and of the members that it calls.
type ConfigurationView interface {
	Service
	// Configuration returns the installed configuration. Its revision never decreases.
	Configuration() *Configuration
	// Fresh reports whether the view is recent enough to accept customer keys.
	Fresh(now time.Time) bool
	// Confirmed returns the latest time at which the installed configuration is known to have been the accepted one, zero if it never was.
	Confirmed() time.Time
	// FollowMembers subscribes to the members of a service and returns once they are known.
	FollowMembers(ctx context.Context, s UpstreamService) error
	// Members returns the known members of a service that FollowMembers has subscribed to.
	Members(s UpstreamService) []*Member
	// NodeCount returns the number of nodes of all services, 0 until it is known.
	NodeCount() int
	// ControlAddress returns the message address of the control instance that last answered a poll, empty before the first
	// answer.
	ControlAddress() string
	// ControlAddresses returns the message addresses of the known control instances: the one that last answered a poll, and
	// then the others from near to far.
	ControlAddresses() []string
	// Changed returns a channel that is closed when the view next changes or is confirmed.
	Changed() <-chan struct{}
	// LastPoll returns the time at which the last answered poll was sent, zero before the first answer.
	LastPoll() time.Time
	// Subscribe registers a function that runs on the control thread after each installed configuration.
	Subscribe(f func(*Configuration))
	// Announce sets the member that this node registers with the control instances, now and at each renewal.
	Announce(m *Member)
}

// ArrivalConfig holds the arguments of NewArrival.
type ArrivalConfig struct {
	// Method is the HTTP method.
	Method string
	// Path is the path without the query.
	Path string
	// Host is the host name from the request, empty where requests are not routed by host.
	Host string
	// ID is the caller's identifier for this attempt, empty where the node assigns identifiers.
	ID RequestID
	// Remaining is the caller's timeout at the time of receipt, 0 when not given.
	Remaining time.Duration
	// Keys holds the customer keys sent with the request.
	Keys []string
	// IdempotencyKey is the caller's key for the request, shared by its resends; empty when none was sent.
	IdempotencyKey IdempotencyKey
	// Received is the time at which the request arrived.
	Received time.Time
}

// Arrival describes a caller's request before the gate has accepted it.
type Arrival struct {
	config ArrivalConfig
}

// NewArrival returns an immutable arrival.
func NewArrival(c ArrivalConfig) *Arrival { return &Arrival{config: c} }

// Method returns the HTTP method.
func (a *Arrival) Method() string { return a.config.Method }

// Path returns the path without the query.
func (a *Arrival) Path() string { return a.config.Path }

// Host returns the host name from the request, empty where requests are not routed by host.
func (a *Arrival) Host() string { return a.config.Host }

// ID returns the caller's identifier for this attempt, empty where the node assigns identifiers.
func (a *Arrival) ID() RequestID { return a.config.ID }

// Remaining returns the caller's timeout at the time of receipt, 0 when not given.
func (a *Arrival) Remaining() time.Duration { return a.config.Remaining }

// Keys returns the customer keys sent with the request.
func (a *Arrival) Keys() []string { return a.config.Keys }

// IdempotencyKey returns the caller's key for the request, empty when none was sent.
func (a *Arrival) IdempotencyKey() IdempotencyKey { return a.config.IdempotencyKey }

// Received returns the time at which the request arrived.
func (a *Arrival) Received() time.Time { return a.config.Received }

// Gate authenticates callers' requests and decides which of them enter at this node.
type Gate interface {
	Service
	// Enter returns the call for a request, or a *Refusal. A refused request comes with a call if its customer is known.
	Enter(ctx context.Context, a *Arrival) (*Call, error)
}

// OutcomeKind classifies the result of an attempt.
type OutcomeKind uint8

// Kinds of outcome.
const (
	// OutcomeDone is a complete answer.
	OutcomeDone OutcomeKind = iota
	// OutcomeNotRun is a refusal with the "not run" mark.
	OutcomeNotRun
	// OutcomeOverloaded is a refusal with the "not run" mark because of overload.
	OutcomeOverloaded
	// OutcomeFailed is a failure after the request may have run.
	OutcomeFailed
	// OutcomeExpired is an attempt that passed its deadline after the request may have run.
	OutcomeExpired
	// OutcomeUnreached is a failure before any byte of the request was sent.
	OutcomeUnreached
	// OutcomeCancelled is an attempt that the caller cancelled.
	OutcomeCancelled
)

// outcomeNames holds the names of the kinds of outcome, indexed by OutcomeKind.
var outcomeNames = []string{"done", "not-run", "overloaded", "failed", "expired", "unreached", "cancelled"}

// String implements fmt.Stringer.
func (k OutcomeKind) String() string {
	if int(k) < len(outcomeNames) {
		return outcomeNames[k]
	}
	return "unknown"
}

// Outcome is the result of an attempt and the time that it took.
type Outcome struct {
	kind       OutcomeKind
	elapsed    time.Duration
	downstream time.Duration
}

// NewOutcome returns the outcome of an attempt with its duration.
func NewOutcome(k OutcomeKind, elapsed time.Duration) Outcome {
	return Outcome{kind: k, elapsed: elapsed}
}

// Kind returns the class of the result.
func (o Outcome) Kind() OutcomeKind { return o.kind }

// Elapsed returns the duration of the attempt.
func (o Outcome) Elapsed() time.Duration { return o.elapsed }

// WithDownstream returns a copy with the part of the duration during which calls to other services were open.
func (o Outcome) WithDownstream(downstream time.Duration) Outcome {
	o.downstream = downstream
	return o
}

// OwnElapsed returns the duration of the attempt without the time in calls to other services.
func (o Outcome) OwnElapsed() time.Duration { return max(0, o.elapsed-o.downstream) }

// Admission limits the calls that the local backend server runs concurrently.
type Admission interface {
	Service
	// Admit waits for a free slot at the backend server and returns its ticket, or returns a *Refusal.
	Admit(ctx context.Context, c *Call) (Ticket, error)
	// CutOff returns the lowest rank that is currently refused, MaxRank when none is.
	CutOff() Rank
	// SetSlots sets the number of slots that the backend server announced.
	SetSlots(slots int)
}

// Ticket represents an occupied slot at the backend server.
type Ticket interface {
	// Release frees the slot and reports the outcome of the attempt.
	Release(o Outcome)
}

// LiveCall is a call that the local backend server is running. Its methods are safe for concurrent use.
type LiveCall interface {
	// Call returns the description of the call.
	Call() *Call
	// BeginExit counts the start of an exit call made for this call. It returns false once exit calls are no longer allowed.
	BeginExit() bool
	// EndExit records the end of an exit call.
	EndExit()
	// DownstreamTime returns the total time during which at least one exit call was open.
	DownstreamTime() time.Duration
	// RefuseExits disallows further exit calls and returns the number made so far.
	RefuseExits() int
	// Exits returns the number of exit calls made so far.
	Exits() int
	// TakeBudget takes up to n retries from the call's budget and returns the number taken.
	TakeBudget(n int) int
	// ReturnBudget returns n unused retries to the budget.
	ReturnBudget(n int)
	// UnusedBudget returns the number of retries left in the budget.
	UnusedBudget() int
	// RecordCutOff records a cut-off that the call met downstream.
	RecordCutOff(cutOff Rank)
	// CutOff returns the lowest cut-off that the call met downstream, MaxRank when it met none.
	CutOff() Rank
	// Context returns a context that is cancelled when the call ends.
	Context() context.Context
}

// Handles maps the handles that the backend server sends with exit calls to the running calls.
type Handles interface {
	Service
	// Open creates a handle for a call. It is valid until the context ends or Close is called.
	Open(ctx context.Context, c *Call) (Handle, LiveCall)
	// Find returns the running call of a handle, false when there is none.
	Find(h Handle) (LiveCall, bool)
	// Close invalidates a handle and ends its call.
	Close(h Handle)
	// CancelWithdrawn cancels the running calls whose key is no longer in the configuration.
	CancelWithdrawn(c *Configuration)
	// Len returns the number of running calls.
	Len() int
}

// Router selects members for exit calls and tracks their load and failures.
type Router interface {
	Service
	// Pick selects a member of the call's service, other than those already tried, or returns a *Refusal.
	Pick(c *Call, tried []InstanceID) (*Member, error)
	// Begin records the start of an attempt at a member.
	Begin(m *Member)
	// End records the outcome of an attempt at a member and the cut-off in its answer.
	End(m *Member, o Outcome, cutOff Rank)
	// CutOff returns the lowest rank that every member of a service refuses, MaxRank when none is.
	CutOff(s UpstreamService) Rank
}

// RetryDecider decides whether an exit call is retried.
type RetryDecider interface {
	Service
	// CallerRetryDelay returns the time that a caller must wait before another attempt with the idempotency key, 0 when it may proceed.
	CallerRetryDelay(c CustomerID, k IdempotencyKey, interval time.Duration) time.Duration
	// TakeBudgetPortion takes the retry budget of an exit call out of the budget of the live call and returns it.
	TakeBudgetPortion(l LiveCall) int
	// CountFirstAttempt records a first attempt.
	CountFirstAttempt(c *Call)
	// MayRetry reports whether an attempt with this outcome is retried, and the reason for the decision.
	MayRetry(c *Call, l LiveCall, o Outcome) (ok bool, reason RetryReason)
}

// RetryReason identifies why an attempt was retried or not.
type RetryReason string

// Retry reasons.
const (
	RetryUnreached     RetryReason = "unreached"
	RetryNotRun        RetryReason = "not-run"
	RetryFailed        RetryReason = "idempotent-failed"
	NoRetryUnsafe      RetryReason = "denied-unsafe"
	NoRetryBudget      RetryReason = "denied-tree-budget"
	NoRetryShare       RetryReason = "denied-share"
	NoRetryOverload    RetryReason = "denied-overload"
	NoRetryDeadline    RetryReason = "denied-deadline"
	NoRetryDone        RetryReason = "done"
	NoRetryNoUpstream  RetryReason = "denied-no-upstream"
	NoRetryBodyStarted RetryReason = "denied-body-started"
)

// Limiter enforces the rate limits of customers over all nodes together.
type Limiter interface {
	Service
	// Take spends one token of a customer's rate limit, or returns a *Refusal.
	Take(ctx context.Context, r TokenRequest) error
}

// Claims ensures that a non-idempotent request with an idempotency key runs at most once over all nodes together.
type Claims interface {
	Service
	// Claim acquires the exclusive right to run a call, or returns a *Refusal.
	Claim(ctx context.Context, c *Call) (Claim, error)
}

// Claim is the exclusive right to run one non-idempotent request.
type Claim interface {
	// Finish records the outcome. If the request never ran, the claim is released for another attempt.
	Finish(ctx context.Context, o Outcome)
}

// Backend tracks the state that the local backend server has announced.
type Backend interface {
	Service
	// Address returns the IP address and port that the backend server announced, or a *Refusal.
	Address() (string, error)
	// Leave announces that this node accepts no new calls from other nodes.
	Leave()
	// Leaving reports whether Leave has taken effect.
	Leaving() bool
	// RefuseCalls refuses all further calls, and returns once that has taken effect.
	RefuseCalls()
}

// Runner prepares calls for the local backend server.
type Runner interface {
	Service
	// Begin waits for a slot, acquires the claim and opens the handle for a call, or returns a *Refusal.
	Begin(ctx context.Context, c *Call) (Run, error)
}

// Run is a call that is ready to be sent to the backend server. End must be called once.
type Run interface {
	// Address returns the IP address and port of the backend server.
	Address() string
	// Handle returns the handle that the backend server sends with its exit calls.
	Handle() Handle
	// Live returns the state of the running call.
	Live() LiveCall
	// Context returns a context that ends when the call ends, its key is withdrawn or its deadline passes.
	Context() context.Context
	// End records the outcome and releases what Begin acquired.
	End(o Outcome)
}

// CallServer serves HTTP requests by running calls at the local backend server.
type CallServer interface {
	Service
	// ServeCall runs a call and writes the answer or the refusal to w.
	ServeCall(w http.ResponseWriter, r *http.Request, c *Call)
}

// Counters records the metrics of a process.
type Counters interface {
	Service
	// Refused counts a refusal.
	Refused(r RefusalReason)
	// Retried counts a retry or a retry that was denied.
	Retried(r RetryReason)
	// Observe adds a duration to the latency histogram of a hop, such as "entry" or "backend".
	Observe(hop string, d time.Duration)
	// Gauge registers a function that returns the value of a gauge when metrics are collected.
	Gauge(name string, f func() float64)
}
