package root

import (
	"errors"

	"github.com/figpier/figpier/internal/host/jsonc"
	"github.com/figpier/figpier/internal/link/operator"
)

// Exit codes of the program.
const (
	ExitOK             = 0
	ExitFailure        = 1 // any error without a code of its own
	ExitUsage          = 2 // invalid command, flags or arguments
	ExitInvalid        = 3 // invalid settings file, profile file or edit
	ExitConflict       = 4 // the edit's base revision is not the current one
	ExitUnauthorized   = 5
	ExitNotFound       = 6
	ExitUnreached      = 7 // a control instance, the leader or a node could not be reached
	ExitOutcomeUnknown = 8 // the edit may or may not have been accepted
)

// failureExit holds the exit code for a failure and a hint that tells the user what to do; the hint may be empty.
type failureExit struct {
	code int
	hint string
}

// exitByFailureName maps the failure names of the operator API to exit codes and hints.
var exitByFailureName = map[string]failureExit{
	operator.FailureInvalid:        {ExitInvalid, "nothing was changed: fix the field and run the command again"},
	operator.FailureConflict:       {ExitConflict, "nothing was changed because another edit was accepted first: view the object, then run the command again"},
	operator.FailureUnauthorized:   {ExitUnauthorized, "use the token of an operator listed in the control instances' token file"},
	operator.FailureNotFound:       {ExitNotFound, "list the objects to see their names"},
	operator.FailureNotLeader:      {ExitUnreached, "nothing was changed: pass the addresses of all control instances, separated by commas"},
	operator.FailureUnreached:      {ExitUnreached, "nothing was changed: try another control instance, and check \"figpier status\""},
	operator.FailureOutcomeUnknown: {ExitOutcomeUnknown, ""},
}

// classifyRunError returns the exit code and the hint for an error that a command returned while it ran.
func classifyRunError(err error) (code int, hint string) {
	var problems *jsonc.ProblemsError
	var failure *operator.FailureError
	var unreached *operator.UnreachedError
	var lost *operator.LostAnswerError
	switch {
	case errors.As(err, &problems):
		return ExitInvalid, "fix the file and run the command again"
	case errors.As(err, &lost):
		return ExitOutcomeUnknown, resendHint(lost.Operation())
	case errors.As(err, &unreached):
		return ExitUnreached, "check the addresses and that a control instance is running there"
	case errors.As(err, &failure):
		return classifyAPIFailure(failure)
	}
	return ExitFailure, ""
}

// classifyAPIFailure returns the exit code and the hint for a failure that a control instance answered with.
func classifyAPIFailure(f *operator.FailureError) (code int, hint string) {
	exit, ok := exitByFailureName[f.Name()]
	switch {
	case !ok:
		return ExitFailure, ""
	case exit.code == ExitOutcomeUnknown:
		return exit.code, resendHint(f.Operation())
	}
	return exit.code, exit.hint
}

func resendHint(operation string) string {
	return "the edit may or may not have been accepted: run the command again with --operation " + operation + " to get its result"
}
