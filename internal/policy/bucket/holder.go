package bucket

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time constant of the exponential decay of demand.
	demandTimeConstant = 500 * time.Millisecond
	// batchDuration is how much demand one batch of tokens covers.
	batchDuration = 100 * time.Millisecond
	// minRenewalInterval is the least time between requests for tokens ahead of need.
	minRenewalInterval = 5 * time.Millisecond
	// flushInterval is the longest time that spent tokens stay unreported.
	flushInterval = 200 * time.Millisecond
)

// Verdict says whether a request may run.
type Verdict uint8

// Verdicts on a request.
const (
	// VerdictWait means that the request waits until the holder gets a token.
	VerdictWait Verdict = iota
	// VerdictSpent means that a token was spent and the request may run.
	VerdictSpent
	// VerdictOverRate means that the bucket reported the customer as over its rate and burst.
	VerdictOverRate
)

// HolderConfig configures a Holder.
type HolderConfig struct {
	// ID identifies the holder to the bucket.
	ID HolderID
	// MaxWait is how long a request may wait for a token.
	MaxWait time.Duration
	// AnswerTimeout is how long a request for tokens may stay unanswered before the next one is sent.
	AnswerTimeout time.Duration
}

// Holder spends leased tokens at one node. It is not safe for concurrent use, and sends nothing itself: its owner calls
// Next for requests that are due, and HandleGrant or HandleFailure with their result.
type Holder struct {
	config        HolderConfig
	leases        []*heldLease
	sequence      uint64
	lastSent      time.Time
	inFlight      bool
	nextAsk       time.Time
	nextRenewal   time.Time
	overRateUntil time.Time
	lastAnswer    time.Time
	bucketEmpty   bool

	demand        float64 // requests, decayed with demandTimeConstant
	demandUpdated time.Time
	waiting       int
	unreported    bool
}

// heldLease is the holder's view of a lease. Nothing is spent from it while closing, which the next request reports.
type heldLease struct {
	sequence uint64
	tokens   int
	spent    int
	expires  time.Time
	closing  bool
}

// NewHolder returns a holder without tokens.
func NewHolder(c HolderConfig, now time.Time) *Holder {
	return &Holder{config: c, demandUpdated: now}
}

// AddRequest adds a request to the demand and then tries to spend a token for it.
func (h *Holder) AddRequest(now time.Time) Verdict {
	h.decayDemand(now)
	h.demand++
	return h.Take(now)
}

// Take spends a token, unless none is left or every lease has expired.
func (h *Holder) Take(now time.Time) Verdict {
	for _, l := range h.leases {
		if l.usable(now) {
			l.spent++
			h.unreported = true
			return VerdictSpent
		}
	}
	if now.Before(h.overRateUntil) {
		return VerdictOverRate
	}
	return VerdictWait
}

// SetWaiting sets the number of requests that wait for a token.
func (h *Holder) SetWaiting(n int) { h.waiting = n }

// EmptySince reports whether the bucket's last answer came at or after t and said that the bucket had no token.
func (h *Holder) EmptySince(t time.Time) bool { return h.bucketEmpty && !h.lastAnswer.Before(t) }

// Next returns the request for tokens that is due now. When none is due, it returns when to call it again, the zero time
// if only another call to the holder can make one due.
func (h *Holder) Next(now time.Time) (a TokenRequestConfig, due bool, nextCheck time.Time) {
	if h.inFlight {
		timeout := h.lastSent.Add(h.config.AnswerTimeout)
		if now.Before(timeout) {
			return TokenRequestConfig{}, false, timeout
		}
	}
	if at := h.nextAskTime(now); at.IsZero() || at.After(now) {
		return TokenRequestConfig{}, false, at
	}
	return h.buildRequest(now), true, time.Time{}
}

// nextAskTime returns when the next request for tokens should be sent, the zero time if none is needed.
func (h *Holder) nextAskTime(now time.Time) time.Time {
	if h.waiting > 0 {
		return latest(now, h.nextAsk)
	}
	if h.needsRenewal(now) {
		return latest(now, h.nextRenewal)
	}
	if h.unreported || h.usableTokens(now) > 0 {
		return h.lastSent.Add(flushInterval)
	}
	return time.Time{}
}

// needsRenewal reports whether demand may use up the tokens before a request that is sent now brings more.
func (h *Holder) needsRenewal(now time.Time) bool {
	h.decayDemand(now)
	return h.demand >= 1 && 2*h.usableTokens(now) < h.targetTokens()
}

// buildRequest returns the next request for tokens, which reports every lease, and records it as sent.
func (h *Holder) buildRequest(now time.Time) TokenRequestConfig {
	h.sequence++
	h.lastSent = now
	h.inFlight = true
	h.unreported = false
	h.decayDemand(now)
	a := TokenRequestConfig{
		Holder:   h.config.ID,
		Sequence: h.sequence,
		Target:   h.targetTokens(),
		Waiting:  h.waiting,
		MaxWait:  h.config.MaxWait,
	}
	for _, l := range h.leases {
		l.closing = l.closing || a.Target == 0 || !l.usable(now)
		a.Reports = append(a.Reports, LeaseReportConfig{Sequence: l.sequence, Spent: l.spent, Closed: l.closing})
	}
	return a
}

// HandleGrant applies the bucket's answer, unless a later request was sent in the meantime.
func (h *Holder) HandleGrant(g Grant, now time.Time) {
	if g.Sequence() != h.sequence || !h.inFlight {
		return
	}
	h.inFlight = false
	h.removeClosing()
	h.lastAnswer = now
	h.bucketEmpty = g.Empty()
	h.nextRenewal = now.Add(max(g.RetryAfter(), minRenewalInterval))
	h.nextAsk = now
	if g.Tokens() == 0 {
		h.nextAsk = h.nextRenewal
	}
	if g.OverRate() {
		h.overRateUntil = h.nextAsk
	}
	if g.Tokens() > 0 {
		h.leases = append(h.leases, &heldLease{
			sequence: g.Sequence(),
			tokens:   g.Tokens(),
			expires:  h.lastSent.Add(g.LeaseTime()),
		})
	}
}

// HandleFailure records that a request failed, and delays the next one until retryAt. It is ignored after a later request.
func (h *Holder) HandleFailure(sequence uint64, retryAt time.Time) {
	if sequence != h.sequence {
		return
	}
	h.inFlight = false
	h.unreported = true
	h.nextAsk = retryAt
	h.nextRenewal = retryAt
}

// Idle reports whether the holder has nothing to report and no recent demand.
func (h *Holder) Idle(now time.Time) bool {
	h.decayDemand(now)
	return !h.inFlight && !h.unreported && h.waiting == 0 && len(h.leases) == 0 && h.demand < 1.0/64
}

// removeClosing removes the leases that the bucket has closed in its answer.
func (h *Holder) removeClosing() {
	open := h.leases[:0]
	for _, l := range h.leases {
		if !l.closing {
			open = append(open, l)
		}
	}
	h.leases = open
}

// targetTokens returns the number of tokens that recent demand and the waiting requests need.
func (h *Holder) targetTokens() int {
	if h.demand < 1.0/2 {
		return h.waiting
	}
	perBatch := h.demand * batchDuration.Seconds() / demandTimeConstant.Seconds()
	return int(math.Ceil(perBatch)) + 1 + h.waiting
}

// usableTokens returns the number of tokens that can be spent now.
func (h *Holder) usableTokens(now time.Time) int {
	n := 0
	for _, l := range h.leases {
		if l.usable(now) {
			n += l.tokens - l.spent
		}
	}
	return n
}

// decayDemand reduces the demand by the time since its last update.
func (h *Holder) decayDemand(now time.Time) {
	if passed := now.Sub(h.demandUpdated); passed > 0 {
		h.demand *= math.Exp(-passed.Seconds() / demandTimeConstant.Seconds())
		h.demandUpdated = now
	}
}

func (l *heldLease) usable(now time.Time) bool {
	return !l.closing && l.spent < l.tokens && now.Before(l.expires)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
