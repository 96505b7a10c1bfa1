package exit

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/link/web"
	"github.com/figpier/figpier/internal/wire/codec"
)

// result is the end of one attempt: an answer whose body is still unread, or a refusal.
type result struct {
	answer  *http.Response
	sent    *web.Attempt
	refusal *figpier.Refusal
	outcome figpier.Outcome
	member  *figpier.Member
	began   time.Time
	// cutOff is the cut-off that the member's answer carried, figpier.MaxRank for none.
	cutOff figpier.Rank
}

// orRefusal returns the result, or, where it is nil because no attempt was made, one that refuses with the error.
func (a *result) orRefusal(err error) *result {
	if a != nil {
		return a
	}
	return &result{refusal: web.AsRefusal(err)}
}

// runAttempts attempts the call at one member after another until there is an answer or no further attempt is allowed. The
// live call takes note of every cut-off met on the way.
func (h *Handler) runAttempts(ctx context.Context, w http.ResponseWriter, r *http.Request, c *figpier.Call, l figpier.LiveCall) {
	received := web.ReceiveBody(r)
	defer received.End(w)
	body, err := web.NewReplayableBody(r.Context(), r.Body, r.ContentLength)
	if err != nil {
		h.refuse(w, c, web.AsRefusal(err))
		return
	}
	h.decider.CountFirstAttempt(c)
	var tried []figpier.InstanceID
	var last *result
	ran := false // whether an attempt may have run
	for {
		m, err := h.router.Pick(c, tried)
		if err != nil {
			l.RecordCutOff(h.router.CutOff(c.Service()))
			received.PrepareRefusal(w, r)
			h.giveUp(w, c, last.orRefusal(err), ran)
			return
		}
		last.close()
		tried = append(tried, m.Instance())
		a := h.startAttempt(ctx, r, c, l, m, body)
		l.RecordCutOff(h.router.CutOff(c.Service()))
		if a.outcome.Kind() == figpier.OutcomeDone {
			received.PrepareAnswer(w, r)
			h.streamAnswer(ctx, w, a)
			return
		}
		h.endAttempt(a)
		l.RecordCutOff(h.router.CutOff(c.Service()))
		ran = ran || mayHaveRun(a.outcome.Kind())
		if !h.mayRetry(ctx, c, l, a.outcome, body) {
			received.PrepareRefusal(w, r)
			h.giveUp(w, c, a, ran)
			return
		}
		last = a
	}
}

// mayRetry decides whether to make another attempt, and counts and logs the decision.
func (h *Handler) mayRetry(ctx context.Context, c *figpier.Call, l figpier.LiveCall, o figpier.Outcome, b *web.ReplayableBody) bool {
	switch {
	case ctx.Err() != nil:
		h.recordRetryDecision(c, figpier.NoRetryDeadline)
		return false
	case !b.Reclaim():
		h.recordRetryDecision(c, figpier.NoRetryBodyStarted)
		return false
	}
	ok, reason := h.decider.MayRetry(c, l, o)
	h.recordRetryDecision(c, reason)
	return ok
}

func (h *Handler) recordRetryDecision(c *figpier.Call, r figpier.RetryReason) {
	h.counters.Retried(r)
	h.log.Retried(c, r)
}

// startAttempt sends the call to one member. The router counts the attempt as open until endAttempt is called.
func (h *Handler) startAttempt(ctx context.Context, r *http.Request, c *figpier.Call, l figpier.LiveCall, m *figpier.Member, b *web.ReplayableBody) *result {
	began := h.clock.Now()
	h.router.Begin(m)
	a, cutOff := h.send(ctx, r, c, l, m, b)
	a.member = m
	a.began = began
	a.cutOff = cutOff
	return a
}

// endAttempt reports the outcome and the duration of an attempt to the router and the counters.
func (h *Handler) endAttempt(a *result) {
	elapsed := h.clock.Now().Sub(a.began)
	a.outcome = figpier.NewOutcome(a.outcome.Kind(), elapsed)
	h.router.End(a.member, a.outcome, a.cutOff)
	h.counters.Observe("exit", elapsed)
}

// send makes the request to the member with a portion of the live call's retry budget, and gives back what is left of it.
// After a failure that came once the request had been sent, nothing is given back, as the member may have used it up.
func (h *Handler) send(ctx context.Context, r *http.Request, c *figpier.Call, l figpier.LiveCall, m *figpier.Member, b *web.ReplayableBody) (*result, figpier.Rank) {
	portion := h.decider.TakeBudgetPortion(l)
	hop := c.Config()
	hop.Budget = portion
	envelope, err := codec.EncodeEnvelope(figpier.NewCall(hop), h.clock.Now())
	if err != nil {
		l.ReturnBudget(portion)
		return unreachedResult(err), figpier.MaxRank
	}
	out, attempt := web.NewRelayRequest(ctx, r, m.PeerAddress(), b.Body(), b.Length())
	if h.config.TLS != nil {
		out.URL.Scheme = "https"
	}
	if b.Length() == 0 {
		// With no body, the HTTP/2 transport itself resends a request, but only if the peer stated that it did not process
		// it.
		out.Body = http.NoBody
	}
	out.Header.Set(figpier.HeaderEnvelope, envelope)
	answer, err := h.roundTrip(out) //nolint:bodyclose // closed with the result
	if err != nil {
		if !attempt.Reached() {
			l.ReturnBudget(portion)
			return unreachedResult(err), figpier.MaxRank
		}
		return h.failedResult(ctx, c, attempt, err), figpier.MaxRank
	}
	l.ReturnBudget(min(portion, headerNumber(answer.Header, figpier.HeaderBudget, 0)))
	l.RecordCutOff(headerRank(answer.Header, figpier.HeaderTreeCutOff))
	cutOff := headerRank(answer.Header, figpier.HeaderCutOff)
	return &result{answer: answer, sent: attempt, outcome: figpier.NewOutcome(answerKind(answer), 0)}, cutOff
}

// roundTrip sends a request and returns its answer over HTTP/2. net/http falls back to HTTP/1 where the other end doesn't choose HTTP/2, and
// takes the end of a TLS connection without a notice for the end of an answer without a length.
func (h *Handler) roundTrip(out *http.Request) (*http.Response, error) {
	answer, err := h.transport.RoundTrip(out)
	if err != nil {
		return nil, err
	}
	if answer.ProtoMajor < 2 {
		_ = answer.Body.Close()
		return nil, Error.New("the other node answers over %s, want HTTP/2", answer.Proto)
	}
	return answer, nil
}

// headerNumber returns a header's value as a number, or the default where it is missing, malformed or negative.
func headerNumber(h http.Header, name string, def int) int {
	n, err := strconv.Atoi(h.Get(name))
	if err != nil || n < 0 {
		return def
	}
	return n
}

// headerRank returns the rank in a header, figpier.MaxRank where there is none.
func headerRank(h http.Header, name string) figpier.Rank {
	return figpier.Rank(min(headerNumber(h, name, int(figpier.MaxRank)), int(figpier.MaxRank)))
}

// answerKind returns the outcome that an answer's refusal headers state.
func answerKind(answer *http.Response) figpier.OutcomeKind {
	reason := figpier.RefusalReason(answer.Header.Get(figpier.HeaderRefusal))
	switch {
	case reason == "":
		return figpier.OutcomeDone
	case answer.Header.Get(figpier.HeaderNotRun) != figpier.NotRunMark:
		return figpier.OutcomeFailed
	case reason == figpier.RefusalOverload || reason == figpier.RefusalCutOff:
		return figpier.OutcomeOverloaded
	}
	return figpier.OutcomeNotRun
}

// unreachedResult returns the result of an attempt whose request was never sent.
func unreachedResult(err error) *result {
	return &result{
		refusal: figpier.NewRefusal(figpier.RefusalConfig{
			Reason:       figpier.RefusalPeerFailed,
			ProvenNotRun: true,
			Detail:       err.Error(),
		}),
		outcome: figpier.NewOutcome(figpier.OutcomeUnreached, 0),
	}
}

// failedResult returns the result of an attempt that got no answer after its request had been sent.
func (h *Handler) failedResult(ctx context.Context, call *figpier.Call, a *web.Attempt, err error) *result {
	c := figpier.RefusalConfig{Reason: figpier.RefusalPeerFailed, MayHaveRun: true, Detail: err.Error()}
	kind := figpier.OutcomeFailed
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded) || !h.clock.Now().Before(call.Deadline()):
		c.Reason = figpier.RefusalDeadline
		c.RetryAfter = time.Second
		kind = figpier.OutcomeExpired
	case a.SenderFailed():
		c.Reason = figpier.RefusalMalformed
		kind = figpier.OutcomeCancelled
	case ctx.Err() != nil:
		kind = figpier.OutcomeCancelled
	}
	return &result{refusal: figpier.NewRefusal(c), outcome: figpier.NewOutcome(kind, 0)}
}

// close closes the body of the answer, if there is one.
func (a *result) close() {
	if a != nil && a.answer != nil {
		_ = a.answer.Body.Close()
	}
}

// mayHaveRun reports whether an attempt with this outcome may have run the request.
func mayHaveRun(k figpier.OutcomeKind) bool {
	return k == figpier.OutcomeFailed || k == figpier.OutcomeExpired || k == figpier.OutcomeCancelled
}

// finalRefusal removes the "not run" mark from a refusal if an attempt may have run.
func finalRefusal(r *figpier.Refusal, ran bool) *figpier.Refusal {
	if !ran {
		return r
	}
	return figpier.NewRefusal(figpier.RefusalConfig{Reason: r.Reason(), MayHaveRun: true, RetryAfter: r.RetryAfter()})
}

// giveUp answers with the refusal of the last attempt. A member's refusal is passed on as it came, unless an attempt may
// have run.
func (h *Handler) giveUp(w http.ResponseWriter, c *figpier.Call, a *result, ran bool) {
	defer a.close()
	if a.answer == nil {
		h.refuse(w, c, finalRefusal(a.refusal, ran))
		return
	}
	r := refusalOf(a.answer)
	if ran {
		// The member's answer can't be passed on: its body says "not run" too, not only its header.
		h.refuse(w, c, finalRefusal(r, ran))
		return
	}
	h.counters.Refused(r.Reason())
	h.log.Refused(c, r)
	w.Header().Set(figpier.HeaderRefusal, string(r.Reason()))
	if r.NotRun() {
		w.Header().Set(figpier.HeaderNotRun, figpier.NotRunMark)
	}
	if err := web.RelayResponse(w, a.answer); err != nil {
		// Abort the connection, so that a truncated answer is not taken for a complete one.
		panic(http.ErrAbortHandler)
	}
}

// refusalOf returns the refusal in the headers of another node's answer.
func refusalOf(answer *http.Response) *figpier.Refusal {
	notRun := answer.Header.Get(figpier.HeaderNotRun) == figpier.NotRunMark
	return figpier.NewRefusal(figpier.RefusalConfig{
		Reason:       figpier.RefusalReason(answer.Header.Get(figpier.HeaderRefusal)),
		MayHaveRun:   !notRun,
		ProvenNotRun: notRun,
		RetryAfter:   time.Duration(headerNumber(answer.Header, "Retry-After", 0)) * time.Second,
	})
}

// streamAnswer streams a member's answer to the backend server; the attempt counts as failed if the stream breaks off.
func (h *Handler) streamAnswer(ctx context.Context, w http.ResponseWriter, a *result) {
	defer a.close()
	defer h.endAttempt(a)
	defer web.AbortWritesOnDone(ctx, w)()
	if err := web.RelayResponse(w, a.answer); err != nil {
		kind := figpier.OutcomeFailed
		if ctx.Err() != nil {
			kind = figpier.OutcomeCancelled
		}
		a.outcome = figpier.NewOutcome(kind, 0)
		// Abort the connection, so that a truncated answer is not taken for a complete one.
		panic(http.ErrAbortHandler)
	}
}
