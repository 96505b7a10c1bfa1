package figpier

import "fmt"

// EditKind is the type of change that an edit makes.
type EditKind string

// Kinds of edit.
const (
	EditApplyProfile  EditKind = "apply-profile"
	EditDeleteProfile EditKind = "delete-profile"
	EditAssign        EditKind = "assign"
	EditGiveKey       EditKind = "give-key"
	EditWithdrawKey   EditKind = "withdraw-key"
	EditReplaceTable  EditKind = "replace-table"
)

// EditConfig holds the arguments of NewEdit.
type EditConfig struct {
	// Operation is the operation ID of the edit. A resend carries the same ID, so that the edit is applied once.
	Operation OperationID
	// Kind selects the change and the fields that are used.
	Kind EditKind
	// Base is the revision of the object that the edit is based on, 0 to create it; for a table it is the number of the current one.
	Base Revision
	// Profile is the new profile of an EditApplyProfile.
	Profile *Profile
	// ProfileName is the profile of an EditAssign or EditDeleteProfile.
	ProfileName ProfileName
	// Service is the service of an EditAssign.
	Service UpstreamService
	// Key is the key of an EditGiveKey.
	Key *Key
	// KeyID is the key ID of an EditGiveKey or EditWithdrawKey.
	KeyID string
	// Table is the routing table of an EditReplaceTable.
	Table *Table
}

// Edit is a change to the configuration, submitted by an operator.
type Edit struct {
	config EditConfig
}

// NewEdit returns an immutable edit.
func NewEdit(c EditConfig) *Edit { return &Edit{config: c} }

// Operation returns the operation ID of the edit, which a resend repeats.
func (e *Edit) Operation() OperationID { return e.config.Operation }

// Kind returns the type of change.
func (e *Edit) Kind() EditKind { return e.config.Kind }

// Base returns the revision of the object that the edit is based on, 0 to create it.
func (e *Edit) Base() Revision { return e.config.Base }

// Profile returns the new profile of an EditApplyProfile.
func (e *Edit) Profile() *Profile { return e.config.Profile }

// ProfileName returns the profile of an EditAssign or EditDeleteProfile.
func (e *Edit) ProfileName() ProfileName { return e.config.ProfileName }

// Service returns the service of an EditAssign.
func (e *Edit) Service() UpstreamService { return e.config.Service }

// Key returns the key of an EditGiveKey.
func (e *Edit) Key() *Key { return e.config.Key }

// KeyID returns the key ID of an EditGiveKey or EditWithdrawKey.
func (e *Edit) KeyID() string { return e.config.KeyID }

// Table returns the routing table of an EditReplaceTable.
func (e *Edit) Table() *Table { return e.config.Table }

// ConflictError reports an edit whose base revision is not the object's current one.
type ConflictError struct {
	current Revision
}

// NewConflictError returns an error with the object's current revision.
func NewConflictError(current Revision) *ConflictError { return &ConflictError{current: current} }

// Current returns the current revision of the object, 0 when it does not exist.
func (e *ConflictError) Current() Revision { return e.current }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the object is at revision %d, not the edit's base revision", e.current)
}

// InvalidEditError reports an edit that can't be accepted at any revision.
type InvalidEditError struct {
	detail string
}

// NewInvalidEditError returns an error whose text is the detail.
func NewInvalidEditError(detail string) *InvalidEditError { return &InvalidEditError{detail: detail} }

// Error implements error.
func (e *InvalidEditError) Error() string { return e.detail }

// OutcomeUnknownError reports an edit of which it is not known whether a quorum has accepted it or still will.
type OutcomeUnknownError struct {
	operation OperationID
}

// NewOutcomeUnknownError returns an error for the edit with the operation ID.
func NewOutcomeUnknownError(o OperationID) *OutcomeUnknownError {
	return &OutcomeUnknownError{operation: o}
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the outcome of operation %q is unknown: resend it under the same operation id", string(e.operation))
}

// LogFullError reports an edit that the log did not take because too many entries wait to be committed.
type LogFullError struct {
	bytes int
}

// NewLogFullError returns an error with the total size in bytes of the entries that wait.
func NewLogFullError(bytes int) *LogFullError { return &LogFullError{bytes: bytes} }

// Error implements error.
func (e *LogFullError) Error() string {
	return fmt.Sprintf("the log holds %d bytes that are not committed yet: send the edit again later", e.bytes)
}

// NotLeaderError reports an edit sent to a control instance that is not the leader.
type NotLeaderError struct {
	leader InstanceID
}

// NewNotLeaderError returns an error with the instance ID of the leader, empty when unknown.
func NewNotLeaderError(leader InstanceID) *NotLeaderError { return &NotLeaderError{leader: leader} }

// Leader returns the instance ID of the leader, empty when unknown.
func (e *NotLeaderError) Leader() InstanceID { return e.leader }

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("this instance does not lead; the leader is %q", string(e.leader))
}
