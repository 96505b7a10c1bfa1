package configview

import (
	"fmt"

	"github.com/figpier/figpier/internal/wire/message"
)

// behindError reports a control instance that has not known for a while that it is current.
type behindError struct {
	quorumAgeMillis, revision int
}

func newBehindError(a message.PollAnswer) *behindError {
	return &behindError{quorumAgeMillis: a.QuorumAgeMillis, revision: a.Revision}
}

// Error implements error.
func (e *behindError) Error() string {
	return fmt.Sprintf("it last knew %d ms ago that it is current", e.quorumAgeMillis)
}

// unappliedError reports an answer that can't be applied to the node's configuration.
type unappliedError struct {
	cause error
}

// Error implements error.
func (e *unappliedError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *unappliedError) Unwrap() error { return e.cause }

// outrunError reports a control instance that had not answered when a less preferred one had.
type outrunError struct {
	winner string
}

// Error implements error.
func (e *outrunError) Error() string { return e.winner + " answered first" }
