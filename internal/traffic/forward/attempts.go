package forward

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

// maxUndelivered is the number of attempts that may end before a backend server gets the request; one more of them refuses
// the request. Each attempt may cost a round trip between regions.
const maxUndelivered = 3

// notRunWait is the least Retry-After for a request that has not run: by then a reported cut-off is probed again, and a member that
// is gone has been removed from the lists.
const notRunWait = 300 * time.Millisecond

// minRetryTime is the least remaining time in which another attempt can still end: a round trip between regions and a
// short run.
const minRetryTime = 30 * time.Millisecond

// attempt is the end of one attempt: an answer whose body is still unread, or a refusal.
type attempt struct {
	answer  *figpier.Answer
	refusal *figpier.Refusal
	// kind is the outcome of a refused attempt; that of an answer is known once its body has been read.
	kind figpier.OutcomeKind
	// cutOff is the cut-off that the member reported, figpier.MaxRank for none.
	cutOff figpier.Rank
}

// progress sums up the attempts of one request so far.
type progress struct {
	tried []figpier.InstanceID
	// delivered is the number of refused attempts that got as far as a backend server.
	delivered int
	// ran means that one of them may have run the request.
	ran bool
}

// runAttempts attempts the call at one member after another until there is an answer or no further attempt is allowed.
func (f *Forwarder) runAttempts(ctx context.Context, i *figpier.Inbound, c *figpier.Call) (*figpier.Answer, error) {
	body, err := web.NewReplayableBody(ctx, i.Body(), i.Length())
	if err != nil {
		return nil, err
	}
	c = f.countFirstAttempt(c)
	p := &progress{}
	var last *figpier.Refusal
	for {
		m, err := f.router.Pick(c, p.tried)
		if err != nil {
			return nil, f.finalRefusal(c, last, web.AsRefusal(err), p)
		}
		next := c
		if p.delivered > 0 {
			next = c.WithRepeatShare(1)
		}
		a := f.startAttempt(ctx, i, next, m, body)
		p.add(m, a)
		if a.answer != nil {
			return a.answer, nil
		}
		last = a.refusal
		if !f.mayRetry(ctx, c, a, p, body) {
			return nil, f.finalRefusal(c, last, last, p)
		}
	}
}

// add records an attempt at a member.
func (p *progress) add(m *figpier.Member, a *attempt) {
	p.tried = append(p.tried, m.Instance())
	if a.refusal == nil {
		return
	}
	if a.refusal.Reason() == figpier.RefusalBackendFull || !a.refusal.NotRun() {
		p.delivered++
	}
	p.ran = p.ran || !a.refusal.NotRun()
}

// countFirstAttempt counts a first attempt, which the share of retries is relative to, and returns the call with its repeat share. A
// request without a customer may be a call of the backend server beside this node, made by a run that is itself a repeat.
func (f *Forwarder) countFirstAttempt(c *figpier.Call) *figpier.Call {
	if c.Customer() == "" {
		c = c.WithRepeatShare(f.deliverer.RepeatShare())
	}
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retryBudget.First(now, c.Service(), c.RepeatShare())
	return c
}

// mayRetry decides whether to make another attempt, and counts and logs the decision.
func (f *Forwarder) mayRetry(ctx context.Context, c *figpier.Call, a *attempt, p *progress, body *web.ReplayableBody) bool {
	reason, ok := f.decideRetry(ctx, c, a, p, body)
	f.counters.Retried(reason)
	f.log.Retried(c, reason)
	return ok
}

// decideRetry decides whether to make another attempt, and takes it from the service's retry budget. Attempts are free as
// long as no backend server has got the request.
func (f *Forwarder) decideRetry(ctx context.Context, c *figpier.Call, a *attempt, p *progress, body *web.ReplayableBody) (figpier.RetryReason, bool) {
	now := f.clock.Now()
	switch {
	case ctx.Err() != nil || c.Deadline().Sub(now) < minRetryTime:
		return figpier.NoRetryDeadline, false
	case !body.Reclaim():
		return figpier.NoRetryBodyStarted, false
	case p.ran && !c.Idempotent():
		return figpier.NoRetryUnsafe, false
	case len(p.tried) > maxUndelivered+p.delivered:
		return figpier.NoRetryOverload, false
	case p.delivered == 0:
		return figpier.RetryNotRun, true
	case p.delivered > c.Budget():
		return figpier.NoRetryBudget, false
	case a.kind == figpier.OutcomeCancelled:
		return figpier.NoRetryDone, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.retryBudget.Retry(now, c.Service()) {
		return figpier.NoRetryShare, false
	}
	return figpier.RetryFailed, true
}

// finalRefusal returns the refusal that ends a request: that of the last attempt, without the "not run" mark, if an attempt
// may have run, and else the newest refusal, with a Retry-After.
func (f *Forwarder) finalRefusal(c *figpier.Call, last, newest *figpier.Refusal, p *progress) *figpier.Refusal {
	if !p.ran {
		return f.withRetryAfter(c, newest)
	}
	return figpier.NewRefusal(figpier.RefusalConfig{Reason: last.Reason(), MayHaveRun: true, RetryAfter: last.RetryAfter()})
}

// withRetryAfter sets a Retry-After on a "not run" refusal that has none.
func (f *Forwarder) withRetryAfter(c *figpier.Call, r *figpier.Refusal) *figpier.Refusal {
	if !r.NotRun() || r.RetryAfter() > 0 {
		return r
	}
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	turn := f.turns.Turn(now, c.Priority(), 0, notRunWait)
	return figpier.NewRefusal(figpier.RefusalConfig{Reason: r.Reason(), ProvenNotRun: true, RetryAfter: turn})
}

// startAttempt sends the call to one member. The router counts the attempt as open until the answer's body has been read.
func (f *Forwarder) startAttempt(ctx context.Context, i *figpier.Inbound, c *figpier.Call, m *figpier.Member, body *web.ReplayableBody) *attempt {
	began := f.clock.Now()
	f.router.Begin(m)
	next := i.Config()
	next.Body, next.Length = body.Body(), body.Length()
	var a *attempt
	if m.Instance() == f.config.Instance {
		a = f.deliverLocal(ctx, figpier.NewInbound(next), c)
	} else {
		a = f.sendRemote(ctx, figpier.NewInbound(next), c, m)
	}
	end := func(k figpier.OutcomeKind) {
		o := figpier.NewOutcome(k, f.clock.Now().Sub(began))
		f.router.End(m, o, a.cutOff)
		f.logAttempt(c, m, a, o)
	}
	if a.answer == nil {
		end(a.kind)
		return a
	}
	answer := a.answer.Config()
	answer.Body = web.NewWatchedBody(answer.Body, func(err error) { end(bodyOutcome(ctx, err)) })
	a.answer = figpier.NewAnswer(answer)
	return a
}

// logAttempt logs an attempt unless it ended with a complete answer below status 500; logging those too would be a line for
// each request.
func (f *Forwarder) logAttempt(c *figpier.Call, m *figpier.Member, a *attempt, o figpier.Outcome) {
	status := 0
	if a.answer != nil {
		status = a.answer.Status()
	}
	if o.Kind() == figpier.OutcomeDone && status < http.StatusInternalServerError {
		return
	}
	f.log.Routed(c, m, status, o)
}

// bodyOutcome returns the outcome of an attempt by the error that ended the reading of its answer, nil for a complete answer.
func bodyOutcome(ctx context.Context, err error) figpier.OutcomeKind {
	switch {
	case err == nil:
		return figpier.OutcomeDone
	case errors.Is(err, web.ErrUnread) || ctx.Err() != nil:
		return figpier.OutcomeCancelled
	}
	return figpier.OutcomeFailed
}

// deliverLocal delivers the call to the backend server beside this node.
func (f *Forwarder) deliverLocal(ctx context.Context, i *figpier.Inbound, c *figpier.Call) *attempt {
	answer, err := f.deliverer.Deliver(ctx, c, i)
	a := &attempt{answer: answer, cutOff: f.admission.CutOff()}
	if err != nil {
		a.refusal = web.AsRefusal(err)
		a.kind = refusalOutcome(a.refusal)
	}
	return a
}

// sendRemote sends the call to the node of a member.
func (f *Forwarder) sendRemote(ctx context.Context, i *figpier.Inbound, c *figpier.Call, m *figpier.Member) *attempt {
	envelope, err := codec.EncodeEnvelope(c, f.clock.Now())
	if err != nil {
		return unreachedAttempt(err)
	}
	out, sent := web.NewForwardRequest(ctx, m.PeerAddress(), i, i.Body())
	out.Header.Set(figpier.HeaderEnvelope, envelope)
	if c.RepeatShare() > 0 {
		out.Header.Set(figpier.HeaderRepeatShare, codec.FormatShare(c.RepeatShare()))
	}
	response, err := f.transport.RoundTrip(out)
	if err != nil {
		return f.failedAttempt(ctx, sent, err)
	}
	cutOff := cutOffHeader(response.Header)
	if r, refused := web.ParseRefusalHeaders(response.Header); refused {
		_ = response.Body.Close()
		return &attempt{refusal: r, kind: refusalOutcome(r), cutOff: cutOff}
	}
	return &attempt{
		answer: figpier.NewAnswer(figpier.AnswerConfig{
			Status: response.StatusCode,
			Header: web.EndToEnd(response.Header),
			Body:   response.Body,
			Length: response.ContentLength,
		}),
		cutOff: cutOff,
	}
}

// failedAttempt returns the refusal of an attempt at a node that did not answer.
func (f *Forwarder) failedAttempt(ctx context.Context, sent *web.Attempt, err error) *attempt {
	if !sent.Reached() {
		return unreachedAttempt(err)
	}
	c := figpier.RefusalConfig{Reason: figpier.RefusalPeerFailed, MayHaveRun: true, Detail: err.Error()}
	kind := figpier.OutcomeFailed
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		c.Reason = figpier.RefusalDeadline
		kind = figpier.OutcomeExpired
	case ctx.Err() != nil || sent.SenderFailed():
		c.Reason = web.CancelReason(ctx)
		kind = figpier.OutcomeCancelled
	}
	return &attempt{refusal: figpier.NewRefusal(c), kind: kind, cutOff: figpier.MaxRank}
}

// unreachedAttempt returns an attempt whose request was never sent.
func unreachedAttempt(err error) *attempt {
	return &attempt{
		refusal: figpier.NewRefusal(figpier.RefusalConfig{
			Reason:       figpier.RefusalPeerFailed,
			ProvenNotRun: true,
			Detail:       err.Error(),
		}),
		kind:   figpier.OutcomeUnreached,
		cutOff: figpier.MaxRank,
	}
}

// refusalOutcome returns the outcome of an attempt that ended with a refusal.
func refusalOutcome(r *figpier.Refusal) figpier.OutcomeKind {
	switch r.Reason() {
	case figpier.RefusalOverload, figpier.RefusalCutOff, figpier.RefusalBackendFull:
		return figpier.OutcomeOverloaded
	case figpier.RefusalDeadline:
		return figpier.OutcomeExpired
	case figpier.RefusalGivenUp:
		return figpier.OutcomeCancelled
	}
	if r.NotRun() {
		return figpier.OutcomeNotRun
	}
	return figpier.OutcomeFailed
}

// cutOffHeader returns the cut-off in the headers of an answer, figpier.MaxRank for none.
func cutOffHeader(h http.Header) figpier.Rank {
	n, err := strconv.ParseUint(h.Get(figpier.HeaderCutOff), 10, 32)
	if err != nil {
		return figpier.MaxRank
	}
	return figpier.Rank(n)
}
