package backend

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/link/web"
)

// ServeCall implements figpier.CallServer. What is left of the retry budget, and the cut-offs, go back with the headers.
func (s *Server) ServeCall(w http.ResponseWriter, r *http.Request, c *figpier.Call) {
	defer web.SetRequestDeadline(w, c.Deadline().Sub(s.clock.Now()))()
	w.Header().Set(figpier.HeaderRequestID, string(c.RequestID()))
	run, err := s.runner.Begin(r.Context(), c)
	if err != nil {
		s.setResultHeaders(w, c, c.Budget(), figpier.MaxRank)
		s.refuse(w, c, web.AsRefusal(err))
		return
	}
	began := s.clock.Now()
	live := run.Live()
	kind := figpier.OutcomeFailed
	defer func() {
		elapsed := s.clock.Now().Sub(began)
		run.End(figpier.NewOutcome(kind, elapsed).WithDownstream(live.DownstreamTime()))
		s.cutOffs.Record(c, live.CutOff())
		s.counters.Observe("backend", elapsed)
	}()
	received := web.ReceiveBody(r)
	defer received.End(w)
	out, attempt := web.NewRelayRequest(run.Context(), r, run.Address(), r.Body, r.ContentLength)
	out.Header.Set(figpier.HeaderCall, string(run.Handle()))
	out.Header.Set(figpier.HeaderRequestID, string(c.RequestID()))
	answer, err := s.roundTrip(out)
	if err != nil {
		kind = failureKind(attempt, run.Context())
		// A refusal is prepared by making further reads of the body fail, which would count as a failure of the sender.
		refusal := s.failureRefusal(kind, attempt, run.Context(), err)
		s.setResultHeaders(w, c, live.TakeBudget(c.Budget()), live.CutOff())
		received.PrepareRefusal(w, r)
		s.refuse(w, c, refusal)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	kind = s.passNotRunMark(w, answer, c, live)
	s.setResultHeaders(w, c, live.TakeBudget(c.Budget()), live.CutOff())
	received.PrepareAnswer(w, r)
	if err := writeAnswer(run.Context(), w, answer); err != nil {
		kind = failureKind(attempt, run.Context())
		// Abort the connection, so that a truncated answer is not taken for a complete one.
		panic(http.ErrAbortHandler)
	}
}

// roundTrip sends a request and returns its answer. It refuses an answer that names another request, one without a final status, and one
// with neither a length nor chunks, as the end of such an answer can't be distinguished from a broken connection.
func (s *Server) roundTrip(out *http.Request) (*http.Response, error) {
	answer, err := s.transport.RoundTrip(out)
	if err != nil {
		s.closeIdleAfterTimeout(out.Context())
		return nil, err
	}
	if named := answer.Header.Get(figpier.HeaderRequestID); named != "" && named != out.Header.Get(figpier.HeaderRequestID) {
		_ = answer.Body.Close()
		// The backend server has written an earlier answer once more, maybe on other connections too.
		s.transport.CloseIdleConnections()
		return nil, figpier.Refuse(figpier.RefusalAnswerBroken)
	}
	if !web.IsFinal(answer.StatusCode) {
		_ = answer.Body.Close()
		return nil, figpier.Refuse(figpier.RefusalAnswerBroken)
	}
	if out.Method != http.MethodHead && !web.HasDetectableEnd(answer) {
		_ = answer.Body.Close()
		return nil, Error.New("the answer states neither a length nor chunks")
	}
	return answer, nil
}

// closeIdleAfterTimeout closes all idle connections after a timeout, because what made one connection fail silently, such as
// a middlebox that dropped its state, may have hit others.
func (s *Server) closeIdleAfterTimeout(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		s.transport.CloseIdleConnections()
	}
}

// writeAnswer streams an answer. It stops when the request ends, even while blocked on a caller that does not read.
func writeAnswer(ctx context.Context, w http.ResponseWriter, answer *http.Response) error {
	defer web.AbortWritesOnDone(ctx, w)()
	return web.RelayResponse(w, answer)
}

// passNotRunMark passes on a backend server's "not run" mark, and returns the outcome. A request that has made exit calls
// has run in part, so its mark is ignored; from then on it may make no exit calls. A mark that does not name the request is ignored
// too, as it may be that of an earlier refusal on the same connection.
func (s *Server) passNotRunMark(w http.ResponseWriter, answer *http.Response, c *figpier.Call, l figpier.LiveCall) figpier.OutcomeKind {
	if answer.Header.Get(figpier.HeaderNotRun) != figpier.NotRunMark || answer.Header.Get(figpier.HeaderRequestID) != string(c.RequestID()) {
		return figpier.OutcomeDone
	}
	if answer.StatusCode != http.StatusServiceUnavailable && answer.StatusCode != http.StatusTooManyRequests {
		return figpier.OutcomeDone
	}
	if l.RefuseExits() > 0 {
		return figpier.OutcomeDone
	}
	w.Header().Set(figpier.HeaderNotRun, figpier.NotRunMark)
	w.Header().Set(figpier.HeaderRefusal, string(figpier.RefusalOverload))
	s.counters.Refused(figpier.RefusalOverload)
	s.log.Refused(c, figpier.Refuse(figpier.RefusalOverload))
	return figpier.OutcomeOverloaded
}

// setResultHeaders sets the headers that tell the calling node how many extra attempts are left, this node's cut-off, and
// the lowest cut-off of the nodes further down. A request that came from outside, at depth 0, gets none.
func (s *Server) setResultHeaders(w http.ResponseWriter, c *figpier.Call, unused int, downstream figpier.Rank) {
	if c.Depth() == 0 {
		return
	}
	w.Header().Set(figpier.HeaderBudget, strconv.Itoa(unused))
	w.Header().Set(figpier.HeaderCutOff, formatRank(s.admission.CutOff()))
	w.Header().Set(figpier.HeaderTreeCutOff, formatRank(min(downstream, s.cutOffs.CutOff(c))))
}

func formatRank(r figpier.Rank) string { return strconv.FormatUint(uint64(r), 10) }

// refuse counts and logs a refusal, and answers with it. The call may be nil.
func (s *Server) refuse(w http.ResponseWriter, c *figpier.Call, r *figpier.Refusal) {
	s.counters.Refused(r.Reason())
	s.log.Refused(c, r)
	web.WriteRefusal(w, r)
}

// failureKind returns the outcome of a request that got no complete answer.
func failureKind(a *web.Attempt, ctx context.Context) figpier.OutcomeKind {
	if !a.Reached() {
		return figpier.OutcomeUnreached
	}
	if errors.Is(ctx.Err(), context.Canceled) || a.SenderFailed() {
		return figpier.OutcomeCancelled
	}
	return figpier.OutcomeFailed
}

// failureRefusal returns the refusal of a request that got no answer from the backend server. If the request was cancelled
// with a refusal, its reason is that of the latter.
func (s *Server) failureRefusal(kind figpier.OutcomeKind, a *web.Attempt, ctx context.Context, err error) *figpier.Refusal {
	unreached := kind == figpier.OutcomeUnreached
	c := figpier.RefusalConfig{
		Reason:       figpier.RefusalBackendFailed,
		MayHaveRun:   !unreached,
		ProvenNotRun: unreached,
		Detail:       err.Error(),
	}
	var ended, broken *figpier.Refusal
	switch {
	case errors.As(context.Cause(ctx), &ended):
		c.Reason = ended.Reason()
	case errors.As(err, &broken):
		c.Reason = broken.Reason()
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		c.Reason = figpier.RefusalDeadline
		c.RetryAfter = time.Second
	case a.SenderFailed():
		c.Reason = figpier.RefusalMalformed
	}
	return figpier.NewRefusal(c)
}
