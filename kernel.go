package figpier

import (
	"context"
	"time"
)

// Service is a component of a process that other components find by name.
type Service interface {
	// Name returns the name under which other services find this one.
	Name() ServiceName
	// Start looks up the services that this one needs and starts its work, which ends when the context does.
	Start(ctx context.Context, d Directory) error
	// Stop finishes the work in progress before the context ends.
	Stop(ctx context.Context) error
}

// Directory gives the services of a process access to each other, the control thread and the clock.
type Directory interface {
	// Find returns the service registered under the name, or an *UnknownServiceError.
	Find(name ServiceName) (Service, error)
	// Control returns the control thread of the process.
	Control() ControlThread
	// Clock returns the clock of the process.
	Clock() Clock
	// Fail stops the process with an error, after which its supervisor restarts it.
	Fail(err error)
}

// Event requests a change to the control state of one service.
type Event interface {
	// Target returns the name of the service that receives the event.
	Target() ServiceName
}

// EventHandler is a service that receives events on the control thread.
type EventHandler interface {
	Service
	// HandleEvent applies an event to the control state. It is called on the control thread only.
	HandleEvent(now time.Time, e Event)
}

// ControlThread delivers events one at a time, so that control state has a single writer.
type ControlThread interface {
	// Post queues an event. It does not wait for delivery, and returns a StoppedError once the thread has stopped.
	Post(e Event) error
	// PostAfter queues an event after a delay and returns a function that cancels it.
	PostAfter(d time.Duration, e Event) (cancel func())
}

// Clock provides the time and timers; tests replace it.
type Clock interface {
	// Now returns the current time. Differences between its values measure elapsed time.
	Now() time.Time
	// AfterFunc runs a function in its own goroutine after a delay and returns a function that cancels the timer.
	AfterFunc(d time.Duration, f func()) (cancel func())
}

// UnknownServiceError reports that no service of the expected type is registered under a name.
type UnknownServiceError struct {
	name ServiceName
}

// NewUnknownServiceError returns the error for a name.
func NewUnknownServiceError(name ServiceName) *UnknownServiceError {
	return &UnknownServiceError{name: name}
}

// Error implements error.
func (e *UnknownServiceError) Error() string {
	return "no service of the expected type is registered as " + string(e.name)
}

// StoppedError reports an event posted after the control thread ended.
type StoppedError struct{}

// Error implements error.
func (StoppedError) Error() string { return "the control thread has stopped" }
