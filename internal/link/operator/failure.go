package operator

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"

	api "github.com/figpier/figpier/gen/operator"
)

// Names of the failures that the API answers with; the API's design describes each.
const (
	FailureConflict       = "conflict"
	FailureInvalid        = "invalid"
	FailureNotFound       = "not_found"
	FailureNotLeader      = "not_leader"
	FailureOutcomeUnknown = "outcome_unknown"
	FailureUnauthorized   = "unauthorized"
	FailureUnreached      = "unreached"
)

// FailureError is an error that a control instance answered with.
type FailureError struct {
	failure *api.Failure
}

// Name returns the name of the failure, such as FailureConflict.
func (e *FailureError) Name() string { return e.failure.Name }

// Operation returns the ID of the failed edit, empty for a read.
func (e *FailureError) Operation() string {
	if e.failure.Operation == nil {
		return ""
	}
	return *e.failure.Operation
}

// Error implements error.
func (e *FailureError) Error() string {
	return e.failure.Name + ": " + e.failure.Message
}

// UnreachedError reports a control instance that did not answer, where the request is known to have changed nothing.
type UnreachedError struct {
	address string
	cause   error
}

// Error implements error.
func (e *UnreachedError) Error() string {
	return fmt.Sprintf("the operator API at %s can't be reached: %v", e.address, e.cause)
}

// Unwrap returns the cause.
func (e *UnreachedError) Unwrap() error { return e.cause }

// LostAnswerError reports an edit that was sent but not answered, so that its outcome is unknown. Resending it under the
// same operation ID is safe.
type LostAnswerError struct {
	operation string
	cause     error
}

// Operation returns the ID of the edit.
func (e *LostAnswerError) Operation() string { return e.operation }

// Error implements error.
func (e *LostAnswerError) Error() string {
	return fmt.Sprintf("the answer to operation %q was lost: %v", e.operation, e.cause)
}

// Unwrap returns the cause.
func (e *LostAnswerError) Unwrap() error { return e.cause }

// neverSent reports whether an error occurred before any byte of the request was sent: while connecting, or in the check of
// the server's certificate.
func neverSent(err error) bool {
	var dial *net.OpError
	var certificate *tls.CertificateVerificationError
	if errors.As(err, &certificate) {
		return true
	}
	return errors.As(err, &dial) && dial.Op == "dial"
}
