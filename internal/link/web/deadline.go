package web

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/figpier/figpier"
)

// refusalMargin is the time after a request's deadline in which a refusal may still be written.
const refusalMargin = time.Second

// SetRequestDeadline sets deadlines on a connection, so that a caller that sends its body or reads the answer too slowly can't hold the
// request longer than its remaining time. The handler must call release when the request has ended.
func SetRequestDeadline(w http.ResponseWriter, remaining time.Duration) (release func()) {
	c := http.NewResponseController(w)
	end := time.Now().Add(remaining + refusalMargin)
	_ = c.SetReadDeadline(end)
	_ = c.SetWriteDeadline(end)
	return func() { _ = c.SetWriteDeadline(time.Time{}) }
}

// WithEnding returns a context derived from ctx that also ends, with the same cause, when ending does. The caller must call release when
// the request has ended.
func WithEnding(ctx, ending context.Context) (derived context.Context, release func()) {
	derived, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(ending, func() { cancel(context.Cause(ending)) })
	return derived, func() {
		stop()
		cancel(nil)
	}
}

// CancelReason returns why a request was cancelled: the reason of the refusal that ended its context, or that its caller went away.
func CancelReason(ctx context.Context) figpier.RefusalReason {
	var ended *figpier.Refusal
	if errors.As(context.Cause(ctx), &ended) {
		return ended.Reason()
	}
	return figpier.RefusalGivenUp
}

// AbortWritesOnDone makes writes of an answer fail once the context ends, also a write that is blocked because the caller doesn't
// read. The handler must call release before it returns.
func AbortWritesOnDone(ctx context.Context, w http.ResponseWriter) (release func()) {
	aborted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(aborted)
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now())
	})
	return func() {
		if !stop() {
			<-aborted
		}
	}
}
