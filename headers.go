package figpier

import "strings"

// HTTP headers exchanged between nodes, callers and backend servers.
const (
	// HeaderPrefix marks the headers that only nodes may set, except HeaderKey from callers and HeaderCall from backend servers.
	HeaderPrefix = "Figpier-"
	// HeaderKey carries the customer key of a caller.
	HeaderKey = "Figpier-Key"
	// HeaderCall carries the call handle to the backend server and back with its exit calls.
	HeaderCall = "Figpier-Call"
	// HeaderEnvelope carries the encoded call from node to node.
	HeaderEnvelope = "Figpier-Envelope"
	// HeaderRefusal carries the reason of a refusal.
	HeaderRefusal = "Figpier-Refusal"
	// HeaderRepeatShare carries Call.RepeatShare between nodes, absent for 0.
	HeaderRepeatShare = "Figpier-Repeat-Share"
	// HeaderNotRun marks a refusal of a request that no backend server ran.
	HeaderNotRun = "Figpier-Not-Run"
	// HeaderRequestID carries the identifier of the end-to-end request.
	HeaderRequestID = "Figpier-Request-Id"
	// HeaderBudget returns the unused part of the retry budget with an answer between nodes.
	HeaderBudget = "Figpier-Budget"
	// HeaderCutOff returns the cut-off rank of the answering node with an answer between nodes.
	HeaderCutOff = "Figpier-Cut-Off"
	// HeaderTreeCutOff returns the lowest cut-off rank that the call met below the answering node.
	HeaderTreeCutOff = "Figpier-Tree-Cut-Off"
	// HeaderIdempotencyKey carries the caller's key for a non-idempotent request, shared by its resends.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// ExitSuffix is the suffix of the host names of exit calls, such as "booking.figpier".
const ExitSuffix = ".figpier"

// NotRunMark is the value of HeaderNotRun.
const NotRunMark = "true"

// ReservedHeader reports whether the header has the reserved prefix.
// An underscore counts as a hyphen, because some servers, such as CGI servers, map both to the same variable name.
func ReservedHeader(name string) bool {
	if len(name) < len(HeaderPrefix) || name[len(HeaderPrefix)-1] != '-' && name[len(HeaderPrefix)-1] != '_' {
		return false
	}
	stem := len(HeaderPrefix) - 1
	return strings.EqualFold(name[:stem], HeaderPrefix[:stem])
}
