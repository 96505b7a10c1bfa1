package figpier

import (
	"context"
	"time"
)

// ReceiptConfig holds the arguments of NewReceipt.
type ReceiptConfig struct {
	// Operation is the operation ID of the edit.
	Operation OperationID
	// Revision is the configuration revision that the edit created.
	Revision Revision
	// KeyID is the key ID of the key that was given or withdrawn, empty for other edits.
	KeyID string
}

// Receipt confirms an accepted edit.
type Receipt struct {
	config ReceiptConfig
}

// NewReceipt returns an immutable receipt.
func NewReceipt(c ReceiptConfig) *Receipt { return &Receipt{config: c} }

// Operation returns the operation ID of the edit.
func (r *Receipt) Operation() OperationID { return r.config.Operation }

// Revision returns the configuration revision that the edit created.
func (r *Receipt) Revision() Revision { return r.config.Revision }

// KeyID returns the key ID of the key that was given or withdrawn, empty for other edits.
func (r *Receipt) KeyID() string { return r.config.KeyID }

// Catalog holds the accepted configuration of a control instance.
type Catalog interface {
	Service
	// Submit returns once a quorum has accepted the edit, or with one of the typed errors for edits.
	Submit(ctx context.Context, e *Edit) (*Receipt, error)
	// Configuration returns the newest accepted configuration that this instance knows.
	Configuration() *Configuration
	// Subscribe registers a function that runs on the control thread after each accepted configuration.
	Subscribe(f func(*Configuration))
}

// StateMachine is the deterministic state to which a replicated log applies committed commands.
type StateMachine interface {
	// Apply applies the committed command at a log index and returns the result for its proposer.
	Apply(index uint64, command []byte) (answer any)
	// Snapshot encodes the state after the last applied command.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot.
	Restore(snapshot []byte) error
}

// ReplicatedLog replicates commands between control instances and applies them in order to a state machine on the control thread.
type ReplicatedLog interface {
	Service
	// SetStateMachine sets the state machine. It must be called before the log starts.
	SetStateMachine(m StateMachine)
	// Propose returns the state machine's result once a quorum has committed the command.
	Propose(ctx context.Context, command []byte) (answer any, err error)
	// QuorumAge returns the time since this instance was last known to be up to date with a quorum.
	QuorumAge(now time.Time) time.Duration
	// Leader returns the instance ID of the leader, empty when unknown.
	Leader() InstanceID
	// Peers returns the message addresses of the other members of the log.
	Peers() []string
}

// ControlPlaceConfig holds the arguments of NewControlPlace.
type ControlPlaceConfig struct {
	// Address is the IP address and port for messages.
	Address string
	// DataCentre is the data centre of the control instance.
	DataCentre DataCentre
	// Region is the region of the data centre.
	Region Region
}

// ControlPlace holds the location and message address of a control instance.
type ControlPlace struct {
	config ControlPlaceConfig
}

// NewControlPlace returns an immutable location.
func NewControlPlace(c ControlPlaceConfig) ControlPlace { return ControlPlace{config: c} }

// Address returns the IP address and port for messages.
func (p ControlPlace) Address() string { return p.config.Address }

// DataCentre returns the data centre of the control instance.
func (p ControlPlace) DataCentre() DataCentre { return p.config.DataCentre }

// Region returns the region of the data centre.
func (p ControlPlace) Region() Region { return p.config.Region }

// Exchange copies member registrations between control instances and tracks which of them respond.
type Exchange interface {
	Service
	// Controls returns the control instances that responded recently, including this one.
	Controls() []ControlPlace
}

// FindExchange finds the exchange of a control instance.
func FindExchange(d Directory) (Exchange, error) {
	return findService[Exchange](d, ExchangeService)
}

// Registry holds the members that are registered with the control instances.
type Registry interface {
	Service
	// Announce adds or renews a member that polled this control instance. sinceElsewhere is the time since a poll of another one
	// counted; counts is false while polls of this one do not count for CountPolling.
	Announce(m *Member, sinceElsewhere time.Duration, counts bool)
	// Merge applies a delta of the members registered with another control instance. If full is set, d replaces all of them.
	Merge(source InstanceID, d MemberDelta, full bool)
	// RemoveSource removes the members of a control instance that no longer responds.
	RemoveSource(source InstanceID)
	// ID returns the identifier of this registry. Version numbers are comparable only between deltas with the same ID.
	ID() string
	// Settled reports whether the registry has run long enough for every live member to have registered.
	Settled(now time.Time) bool
	// Count returns the number of members registered with any control instance.
	Count() int
	// CountPolling returns the number of members that poll this control instance regularly, and the greatest recent number at
	// all control instances. A member that changes control instance is briefly counted at neither.
	CountPolling(now time.Time) (local, all int)
	// PolledTime returns the time since the start for which members were counted by CountPolling, added up over the members.
	PolledTime(now time.Time) time.Duration
	// Since returns the changes after a version across all control instances.
	Since(version uint64) MemberDelta
	// LocalSince returns the changes after a version among the members that poll this control instance.
	LocalSince(version uint64) MemberDelta
}
