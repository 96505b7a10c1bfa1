package figpier

import (
	"fmt"
	"net/http"
	"time"
)

// RefusalReason identifies why a request was refused.
type RefusalReason string

// Refusal reasons.
const (
	RefusalKeyMissing     RefusalReason = "key-missing"
	RefusalKeyUnknown     RefusalReason = "key-unknown"
	RefusalKeyMalformed   RefusalReason = "key-malformed"
	RefusalHeaderReserved RefusalReason = "header-reserved"
	RefusalMalformed      RefusalReason = "malformed"
	RefusalNoRoute        RefusalReason = "no-route"
	RefusalNoProfile      RefusalReason = "no-profile"
	RefusalStaleView      RefusalReason = "stale-view"
	RefusalOverRate       RefusalReason = "over-rate"
	RefusalRateUnknown    RefusalReason = "rate-unknown"
	RefusalOverload       RefusalReason = "overload"
	RefusalCutOff         RefusalReason = "cut-off"
	RefusalDeadline       RefusalReason = "deadline"
	RefusalHandleUnknown  RefusalReason = "handle-unknown"
	RefusalNoUpstream     RefusalReason = "no-upstream"
	RefusalNoBackend      RefusalReason = "no-backend-server"
	RefusalLeaving        RefusalReason = "leaving"
	RefusalAlreadyRun     RefusalReason = "already-run"
	RefusalRunning        RefusalReason = "running"
	RefusalClaimUnknown   RefusalReason = "claim-unknown"
	RefusalRetryTooSoon   RefusalReason = "retry-too-soon"
	RefusalBackendFailed  RefusalReason = "backend-server-failed"
	RefusalPeerFailed     RefusalReason = "peer-failed"
	RefusalWithdrawn      RefusalReason = "withdrawn"
	RefusalBackendFull    RefusalReason = "backend-server-full"
	RefusalBodyTooLarge   RefusalReason = "body-too-large"
	RefusalNotReady       RefusalReason = "not-ready"
	RefusalAnswerBroken   RefusalReason = "answer-broken"
	RefusalGivenUp        RefusalReason = "given-up"
	RefusalStopping       RefusalReason = "stopping"
)

// RefusalKind is an entry in the table of refusal reasons.
type RefusalKind struct {
	reason RefusalReason
	status int
	notRun bool
	text   string
}

// Reason returns the reason that the entry is for.
func (k RefusalKind) Reason() RefusalReason { return k.reason }

// Status returns the HTTP status sent to the caller.
func (k RefusalKind) Status() int { return k.status }

// NotRun reports whether the reason alone proves that no backend server ran the request.
func (k RefusalKind) NotRun() bool { return k.notRun }

// Explanation returns the explanation sent to the caller.
func (k RefusalKind) Explanation() string { return k.text }

var refusalKinds = []RefusalKind{
	{RefusalKeyMissing, http.StatusUnauthorized, true, "the request has no key: send one in Figpier-Key"},
	{RefusalKeyUnknown, http.StatusUnauthorized, true, "the key is unknown or withdrawn: ask an operator for another"},
	{RefusalKeyMalformed, http.StatusBadRequest, true, "the key is malformed or was sent more than once"},
	{RefusalHeaderReserved, http.StatusBadRequest, true, "the request sets a header that only the system may set"},
	{RefusalMalformed, http.StatusBadRequest, true, "the request is malformed"},
	{RefusalNoRoute, http.StatusNotFound, true, "the service's profile has no route for the method and path"},
	{RefusalNoProfile, http.StatusServiceUnavailable, true, "the service has no profile: assign one"},
	{RefusalStaleView, http.StatusServiceUnavailable, true, "the node has not heard from the control instances in time to honour keys"},
	{RefusalOverRate, http.StatusTooManyRequests, true, "the customer is over its rate and burst"},
	{RefusalRateUnknown, http.StatusServiceUnavailable, true, "the customer's rate can't be looked up in time"},
	{RefusalOverload, http.StatusServiceUnavailable, true, "the backend server is overloaded"},
	{RefusalCutOff, http.StatusServiceUnavailable, true, "a service that the request needs is overloaded"},
	{RefusalDeadline, http.StatusGatewayTimeout, true, "the deadline passed before the request had an answer"},
	{RefusalHandleUnknown, http.StatusForbidden, true, "the exit call names no live request"},
	{RefusalNoUpstream, http.StatusServiceUnavailable, true, "no upstream of the service takes work"},
	{RefusalNoBackend, http.StatusServiceUnavailable, true, "no backend server has announced itself"},
	{RefusalLeaving, http.StatusServiceUnavailable, true, "the backend server is leaving"},
	{RefusalAlreadyRun, http.StatusConflict, false, "a request under this idempotency key has run"},
	{RefusalRunning, http.StatusConflict, false, "a request under this idempotency key is running"},
	{RefusalClaimUnknown, http.StatusServiceUnavailable, false, "whether a request under this idempotency key has run is unknown"},
	{RefusalRetryTooSoon, http.StatusTooManyRequests, false, "the caller retries sooner than its profile allows"},
	{RefusalBackendFailed, http.StatusBadGateway, false, "the backend server failed: the outcome is unknown"},
	{RefusalPeerFailed, http.StatusBadGateway, false, "the upstream's node failed: the outcome is unknown"},
	{RefusalWithdrawn, http.StatusUnauthorized, false, "the key was withdrawn while the request ran"},
	{RefusalBackendFull, http.StatusServiceUnavailable, true, "the backend server itself turned the request away"},
	{RefusalBodyTooLarge, http.StatusRequestEntityTooLarge, true, "the body is larger than the routing table allows"},
	{RefusalNotReady, http.StatusServiceUnavailable, true, "the node has no routing table yet"},
	{RefusalAnswerBroken, http.StatusBadGateway, false, "the backend server sent an answer that does not belong to the request"},
	{RefusalGivenUp, http.StatusServiceUnavailable, true, "the caller went away before the request was run"},
	{RefusalStopping, http.StatusServiceUnavailable, true, "the node is stopping and ends before the request might"},
}

// RefusalKinds returns a copy of the table of refusal reasons, in a fixed order.
func RefusalKinds() []RefusalKind { return append([]RefusalKind(nil), refusalKinds...) }

// Refusal is the error for a request that has no complete answer from a backend server.
type Refusal struct {
	kind       RefusalKind
	notRun     bool
	detail     string
	retryAfter time.Duration
}

// RefusalConfig holds the arguments of NewRefusal.
type RefusalConfig struct {
	// Reason is the reason for the refusal.
	Reason RefusalReason
	// MayHaveRun clears the "not run" mark that the reason would set. It takes precedence over ProvenNotRun.
	MayHaveRun bool
	// ProvenNotRun sets the "not run" mark that the reason alone would not.
	ProvenNotRun bool
	// Detail is appended to the explanation in parentheses.
	Detail string
	// RetryAfter is the time after which a retry may succeed, 0 when unknown.
	RetryAfter time.Duration
}

// NewRefusal returns a refusal. A reason that is not in the table gets status 502 and no "not run" mark.
func NewRefusal(c RefusalConfig) *Refusal {
	for _, k := range refusalKinds {
		if k.reason == c.Reason {
			notRun := (k.notRun || c.ProvenNotRun) && !c.MayHaveRun
			return &Refusal{kind: k, notRun: notRun, detail: c.Detail, retryAfter: c.RetryAfter}
		}
	}
	unknown := RefusalKind{reason: c.Reason, status: http.StatusBadGateway, text: "the outcome is unknown"}
	return &Refusal{kind: unknown, detail: c.Detail, retryAfter: c.RetryAfter}
}

// Refuse returns a refusal with a reason and no other arguments.
func Refuse(r RefusalReason) *Refusal { return NewRefusal(RefusalConfig{Reason: r}) }

// Reason returns the reason for the refusal.
func (r *Refusal) Reason() RefusalReason { return r.kind.reason }

// Status returns the HTTP status.
func (r *Refusal) Status() int { return r.kind.status }

// NotRun reports whether it is certain that no backend server ran any part of the request.
func (r *Refusal) NotRun() bool { return r.notRun }

// RetryAfter returns the time after which a retry may succeed, 0 when unknown.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Error implements error.
func (r *Refusal) Error() string {
	if r.detail == "" {
		return r.kind.text
	}
	return fmt.Sprintf("%s (%s)", r.kind.text, r.detail)
}
