package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/gen/http/operator/server"
	api "github.com/figpier/figpier/gen/operator"
	"github.com/figpier/figpier/internal/host/jsonc"
)

// Failure names in answers, as the API design declares them.
const (
	failureConflict       = "conflict"
	failureInvalid        = "invalid"
	failureNotFound       = "not_found"
	failureNotLeader      = "not_leader"
	failureOutcomeUnknown = "outcome_unknown"
	failureUnreached      = "unreached"
	failureUnauthorized   = "unauthorized"
	failureInternal       = "internal"
)

// bodyField is the field reported for an error that concerns the request body as a whole.
const bodyField = "body"

// statusByFailure maps the name of a failure to its HTTP status.
var statusByFailure = map[string]int{
	failureConflict:       http.StatusConflict,
	failureInvalid:        http.StatusBadRequest,
	failureNotFound:       http.StatusNotFound,
	failureNotLeader:      http.StatusServiceUnavailable,
	failureOutcomeUnknown: http.StatusGatewayTimeout,
	failureUnreached:      http.StatusBadGateway,
	failureUnauthorized:   http.StatusUnauthorized,
	failureInternal:       http.StatusInternalServerError,
}

// InvalidFieldError reports a request field whose value is invalid, whatever the current revision is.
type InvalidFieldError struct {
	field  string
	detail string
}

func newInvalidFieldError(field, detail string) *InvalidFieldError {
	return &InvalidFieldError{field: field, detail: detail}
}

// Field returns the name of the field.
func (e *InvalidFieldError) Field() string { return e.field }

// Error implements error.
func (e *InvalidFieldError) Error() string { return e.field + ": " + e.detail }

// NotFoundError reports a profile or node that does not exist.
type NotFoundError struct {
	kind string
	name string
}

func newNotFoundError(kind, name string) *NotFoundError {
	return &NotFoundError{kind: kind, name: name}
}

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("there is no %s %q", e.kind, e.name) }

// StaleReadError reports that the control instance lost contact with the quorum, so that its configuration may be out of
// date.
type StaleReadError struct{}

// Error implements error.
func (*StaleReadError) Error() string {
	return fmt.Sprintf("this control instance had no contact with a quorum in the last %v: ask another one", maxQuorumAge)
}

func newUnauthorizedFailure() *api.Failure {
	return &api.Failure{
		Name:    failureUnauthorized,
		Message: "the operator's token is missing or unknown",
	}
}

// toFailure converts an error to the API's failure. The operation is the ID of a failed edit and empty for a read. An
// error of unknown type becomes an internal failure.
func toFailure(err error, operation figpier.OperationID) *api.Failure {
	var conflict *figpier.ConflictError
	var leader *figpier.NotLeaderError
	var unknown *figpier.OutcomeUnknownError
	var notFound *NotFoundError
	var unreachable *NodeUnreachableError
	var full *figpier.LogFullError
	var stale *StaleReadError
	f := &api.Failure{Name: failureInternal, Message: err.Error()}
	if operation != "" {
		f.Operation = pointer(string(operation))
	}
	switch {
	case errors.As(err, &conflict):
		f.Name = failureConflict
		f.Current = pointer(int64(conflict.Current()))
	case errors.As(err, &leader):
		f.Name = failureNotLeader
		f.Leader = pointer(string(leader.Leader()))
	case errors.As(err, &unknown):
		f.Name = failureOutcomeUnknown
	case errors.As(err, &notFound):
		f.Name = failureNotFound
	case errors.As(err, &unreachable), errors.As(err, &stale), errors.As(err, &full):
		f.Name = failureUnreached
	case setInvalidField(err, f):
		f.Name = failureInvalid
	}
	return f
}

// setInvalidField reports whether an error is due to an invalid request, and sets the failure's field and line if the
// error has them.
func setInvalidField(err error, f *api.Failure) bool {
	var problems *jsonc.ProblemsError
	var field *InvalidFieldError
	var edit *figpier.InvalidEditError
	switch {
	case errors.As(err, &problems):
		f.Field = pointer(problems.First().Field())
		f.Line = pointer(problems.First().Line())
	case errors.As(err, &field):
		f.Field = pointer(field.Field())
	case errors.As(err, &edit):
	default:
		return false
	}
	return true
}

// failureResponse writes a failure as an HTTP response with the status and the body that the API design declares.
type failureResponse struct {
	failure *api.Failure
}

// formatError converts an error to an HTTP response; goa's own errors, such as those for requests that it can't decode,
// become failures too.
func formatError(_ context.Context, err error) goahttp.Statuser {
	var failure *api.Failure
	if errors.As(err, &failure) {
		return failureResponse{failure: failure}
	}
	f := &api.Failure{Name: failureInvalid, Message: err.Error()}
	var service *goa.ServiceError
	if errors.As(err, &service) {
		f.Field = service.Field
		if f.Field == nil {
			f.Field = pointer(bodyField)
		}
		if service.Fault {
			f.Name = failureInternal
		}
	}
	return failureResponse{failure: f}
}

// StatusCode implements goahttp.Statuser.
func (f failureResponse) StatusCode() int { return statusByFailure[f.failure.Name] }

// MarshalJSON implements json.Marshaler.
func (f failureResponse) MarshalJSON() ([]byte, error) {
	return json.Marshal(server.NewApplyProfileInvalidResponseBody(f.failure))
}

func pointer[T int | int64 | string](v T) *T { return &v }
