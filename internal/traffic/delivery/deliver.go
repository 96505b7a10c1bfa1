package delivery

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/link/web"
)

// Deliver implements figpier.Deliverer. The slot is held until the answer's body has been read or closed.
func (s *Server) Deliver(ctx context.Context, c *figpier.Call, i *figpier.Inbound) (*figpier.Answer, error) {
	ticket, err := s.admit(ctx, c)
	if err != nil {
		return nil, err
	}
	address, err := s.checkStillValid(c)
	if err != nil {
		ticket.Release(figpier.NewOutcome(figpier.OutcomeNotRun, 0))
		return nil, err
	}
	s.countRun(c)
	b := &backendCall{server: s, call: c, ticket: ticket, began: s.clock.Now()}
	return b.send(ctx, address, i)
}

// RepeatShare implements figpier.Deliverer.
func (s *Server) RepeatShare() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs.Share()
}

// countRun counts a call that is sent to the backend server.
func (s *Server) countRun(c *figpier.Call) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs.Add(now, c.RepeatShare())
}

// admit waits for a slot of the backend server, no longer than until the call's deadline.
func (s *Server) admit(ctx context.Context, c *figpier.Call) (figpier.Ticket, error) {
	if c.Service() != s.config.Service {
		return nil, figpier.NewRefusal(figpier.RefusalConfig{Reason: figpier.RefusalNoBackend, Detail: "another service is here"})
	}
	if _, err := s.backend.Address(); err != nil {
		return nil, err
	}
	wait, cancel := context.WithTimeout(ctx, c.Deadline().Sub(s.clock.Now()))
	defer cancel()
	t, err := s.admission.Admit(wait, c)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return nil, figpier.Refuse(web.CancelReason(ctx))
	}
	return t, err
}

// checkStillValid returns the backend server's address. It refuses if, while the call waited, its deadline passed, its key
// was withdrawn or the backend server stopped taking work.
func (s *Server) checkStillValid(c *figpier.Call) (address string, err error) {
	now := s.clock.Now()
	if !now.Before(c.Deadline()) {
		return "", figpier.Refuse(figpier.RefusalDeadline)
	}
	if c.Customer() != "" {
		if err := s.checkKey(now, c); err != nil {
			return "", err
		}
	}
	return s.backend.Address()
}

// checkKey refuses a call whose key this node does not know as its customer's.
func (s *Server) checkKey(now time.Time, c *figpier.Call) error {
	if !s.view.Fresh(now) {
		return figpier.Refuse(figpier.RefusalStaleView)
	}
	t := s.view.Configuration().Table()
	if t == nil {
		return figpier.Refuse(figpier.RefusalNotReady)
	}
	if a, ok := t.AccountOf(c.KeyDigest()); ok && a.Customer() == c.Customer() {
		return nil
	}
	// The entry node accepted the key, maybe from a newer table than this one. Hence the key is not refused as unknown.
	return figpier.Refuse(figpier.RefusalStaleView)
}

// backendCall is one call that holds a slot of the backend server.
type backendCall struct {
	server *Server
	call   *figpier.Call
	ticket figpier.Ticket
	began  time.Time
}

// release releases the slot with the outcome, and records the duration.
func (b *backendCall) release(k figpier.OutcomeKind) {
	elapsed := b.server.clock.Now().Sub(b.began)
	b.ticket.Release(figpier.NewOutcome(k, elapsed))
	b.server.counters.Observe("backend", elapsed)
}

// send sends the request to the backend server and returns its answer.
func (b *backendCall) send(ctx context.Context, address string, i *figpier.Inbound) (*figpier.Answer, error) {
	remaining := b.call.Deadline().Sub(b.began)
	work, cancel := context.WithTimeout(ctx, remaining)
	out, attempt := web.NewForwardRequest(work, address, i, i.Body())
	b.server.dialect.SetHeaders(out.Header, b.call, remaining)
	response, err := b.server.transport.RoundTrip(out) //nolint:bodyclose // closed with the answer
	if err != nil {
		defer cancel()
		kind := failureKind(work, attempt)
		b.release(kind)
		return nil, failureRefusal(work, kind, attempt, err)
	}
	return b.acceptResponse(response, cancel)
}

// acceptResponse turns a response into an answer whose body releases the slot at its end, or into a refusal if the
// protocol's dialect reads it as one.
func (b *backendCall) acceptResponse(response *http.Response, cancel context.CancelFunc) (*figpier.Answer, error) {
	refuse := func(k figpier.OutcomeKind, r figpier.RefusalReason) (*figpier.Answer, error) {
		_ = response.Body.Close()
		cancel()
		b.release(k)
		return nil, figpier.Refuse(r)
	}
	if !web.IsFinal(response.StatusCode) {
		return refuse(figpier.OutcomeFailed, figpier.RefusalAnswerBroken)
	}
	switch b.server.dialect.Classify(response.StatusCode, response.Header, b.call) {
	case figpier.VerdictFull:
		return refuse(figpier.OutcomeOverloaded, figpier.RefusalBackendFull)
	case figpier.VerdictNotRun:
		return refuse(figpier.OutcomeNotRun, figpier.RefusalBackendFull)
	case figpier.VerdictMismatch:
		// The response belongs to an earlier request, so that other idle connections can't be trusted either.
		b.server.transport.CloseIdleConnections()
		return refuse(figpier.OutcomeFailed, figpier.RefusalAnswerBroken)
	default:
	}
	body := web.NewWatchedBody(response.Body, func(err error) {
		cancel()
		if err == nil {
			b.release(figpier.OutcomeDone)
			return
		}
		b.release(figpier.OutcomeFailed)
	})
	return figpier.NewAnswer(figpier.AnswerConfig{
		Status: response.StatusCode,
		Header: web.EndToEnd(response.Header),
		Body:   body,
		Length: response.ContentLength,
	}), nil
}

// failureKind returns the outcome of a request that got no answer.
func failureKind(ctx context.Context, a *web.Attempt) figpier.OutcomeKind {
	switch {
	case !a.Reached():
		return figpier.OutcomeUnreached
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return figpier.OutcomeExpired
	case errors.Is(ctx.Err(), context.Canceled) || a.SenderFailed():
		return figpier.OutcomeCancelled
	}
	return figpier.OutcomeFailed
}

// failureRefusal returns the refusal of a call that got no answer from the backend server.
func failureRefusal(ctx context.Context, kind figpier.OutcomeKind, a *web.Attempt, err error) *figpier.Refusal {
	c := figpier.RefusalConfig{
		Reason:       figpier.RefusalBackendFailed,
		MayHaveRun:   a.Reached(),
		ProvenNotRun: !a.Reached(),
		Detail:       err.Error(),
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		c.Reason = figpier.RefusalDeadline
	case kind == figpier.OutcomeCancelled:
		c.Reason = web.CancelReason(ctx)
	}
	return figpier.NewRefusal(c)
}
