package figpier

import "context"

// Method is the name of a request between processes.
type Method string

// Decode decodes the received request into message, which is a pointer.
type Decode func(message any) error

// MessageHandler handles a request from another process and returns the answer to encode.
type MessageHandler func(ctx context.Context, decode Decode) (answer any, err error)

// Messenger sends requests to other processes and serves those that they send.
type Messenger interface {
	Service
	// Handle sets the handler of a method. It must be called before the messenger starts.
	Handle(m Method, h MessageHandler)
	// Request sends a request to an IP address and port and decodes the response into answer, which is a pointer. It fails with an
	// *UnreachedError if the request was not sent.
	Request(ctx context.Context, address string, m Method, message, answer any) error
}

// UnreachedError reports a request that was not sent, because no connection to the other process could be opened.
type UnreachedError struct {
	address string
	cause   error
}

// NewUnreachedError returns an error about a process that could not be reached because of the cause.
func NewUnreachedError(address string, cause error) *UnreachedError {
	return &UnreachedError{address: address, cause: cause}
}

// Error implements error.
func (e *UnreachedError) Error() string { return "connect to " + e.address + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *UnreachedError) Unwrap() error { return e.cause }

// Methods that control instances serve.
const (
	// MethodPoll fetches changes from a control instance and renews the node's registration.
	MethodPoll Method = "subscription.poll"
	// MethodControls fetches the places of the control instances that a control instance knows.
	MethodControls Method = "subscription.controls"
	// MethodPool requests a token of a customer's rate limit from a control instance.
	MethodPool Method = "pool.token"
	// MethodTransfer requests unused tokens of a customer's rate limit from another control instance.
	MethodTransfer Method = "pool.transfer"
	// MethodMembers fetches the members that are registered with a control instance.
	MethodMembers Method = "exchange.members"
)

// Methods between control instances.
const (
	// MethodReplica carries a message between members of the replicated log.
	MethodReplica Method = "replica.message"
	// MethodPropose forwards a command to the leader.
	MethodPropose Method = "replica.propose"
	// MethodProbe asks a control instance for its identity and the leader.
	MethodProbe Method = "replica.probe"
	// MethodJoin asks the leader to add a control instance to the replicated log.
	MethodJoin Method = "replica.join"
	// MethodRemove asks the leader to remove a control instance from the replicated log permanently.
	MethodRemove Method = "replica.remove"
)

// MethodExplain asks a node which of its limits currently cause refusals.
const MethodExplain Method = "explanation.view"
