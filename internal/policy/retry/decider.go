package retry

import (
	"math"
	"time"

	"github.com/figpier/figpier"
)

const (
	// maxCredit is the initial and the maximum number of retries in a customer's credit.
	maxCredit = 10.0
	// overloadWindow is the time constant with which the attempts at a service are forgotten.
	overloadWindow = time.Second
	// minOverloadAttempts is the minimum of recent first attempts for a service to count as overloaded as a whole.
	minOverloadAttempts = 5.0
	// maxOverloadedFraction is the ratio of overload refusals to first attempts above which a service counts as overloaded.
	maxOverloadedFraction = 0.2
	// creditExpiry is the time after which unused credit is removed.
	creditExpiry  = time.Minute
	sweepInterval = 10 * time.Second
)

// CustomerService is a customer at a service, for which the ratio of retries is limited.
type CustomerService struct {
	customer figpier.CustomerID
	service  figpier.UpstreamService
}

// NewCustomerService returns the pair of a customer and a service.
func NewCustomerService(c figpier.CustomerID, s figpier.UpstreamService) CustomerService {
	return CustomerService{customer: c, service: s}
}

// Customer returns the customer.
func (p CustomerService) Customer() figpier.CustomerID { return p.customer }

// Service returns the service.
func (p CustomerService) Service() figpier.UpstreamService { return p.service }

// Decider decides whether attempts are retried. It is not safe for concurrent use.
type Decider struct {
	credits   map[CustomerService]*credit
	services  map[figpier.UpstreamService]*attemptStats
	lastSweep time.Time
}

// credit is the balance of retries that first attempts of a customer at a service have earned.
type credit struct {
	balance  float64
	lastUsed time.Time
}

// attemptStats holds the exponentially decayed numbers of first attempts at a service and of attempts that it
// refused because of overload.
type attemptStats struct {
	attempts, overloaded float64
	updated              time.Time
}

// New returns a decider without attempts.
func New() *Decider {
	return &Decider{credits: map[CustomerService]*credit{}, services: map[figpier.UpstreamService]*attemptStats{}}
}

// CountFirstAttempt records a first attempt. share is the number of retries that it earns.
func (d *Decider) CountFirstAttempt(now time.Time, p CustomerService, share float64) {
	d.sweep(now)
	c := d.creditOf(p)
	c.balance = min(maxCredit, c.balance+share)
	c.lastUsed = now
	d.statsOf(now, p.service).attempts++
}

// AttemptConfig holds the arguments of NewAttempt.
type AttemptConfig struct {
	// CustomerService is the customer at the service.
	CustomerService CustomerService
	// Kind is the outcome of the attempt.
	Kind figpier.OutcomeKind
	// Idempotent marks a request that may safely run more than once.
	Idempotent bool
	// Deadline is the time at which the request times out.
	Deadline time.Time
}

// Attempt describes a finished attempt that may be retried.
type Attempt struct {
	config AttemptConfig
}

// NewAttempt returns an immutable attempt.
func NewAttempt(c AttemptConfig) Attempt { return Attempt{config: c} }

// MayRetry reports whether an attempt is to be retried, and the reason for the decision. It calls take(1) to take the retry
// from the budget of the call tree, which returns 0 if none is left.
func (d *Decider) MayRetry(now time.Time, a Attempt, take func(n int) int) (bool, figpier.RetryReason) {
	c := a.config
	d.creditOf(c.CustomerService).lastUsed = now
	if c.Kind == figpier.OutcomeOverloaded {
		d.statsOf(now, c.CustomerService.service).overloaded++
	}
	reason, safe := reasonFor(c.Kind, c.Idempotent)
	switch {
	case !safe:
		return false, reason
	case !now.Before(c.Deadline):
		return false, figpier.NoRetryDeadline
	case c.Kind == figpier.OutcomeOverloaded && d.Overloaded(now, c.CustomerService.service):
		return false, figpier.NoRetryOverload
	case d.creditOf(c.CustomerService).balance < 1:
		return false, figpier.NoRetryShare
	case take(1) == 0:
		return false, figpier.NoRetryBudget
	}
	d.creditOf(c.CustomerService).balance--
	return true, reason
}

// Overloaded reports whether a service as a whole, and not only one of its members, refuses calls because of overload.
func (d *Decider) Overloaded(now time.Time, s figpier.UpstreamService) bool {
	stats := d.statsOf(now, s)
	return stats.attempts >= minOverloadAttempts && stats.overloaded > maxOverloadedFraction*stats.attempts
}

// reasonFor reports whether a retry after the outcome is safe, and the reason for or against it.
func reasonFor(k figpier.OutcomeKind, idempotent bool) (reason figpier.RetryReason, safe bool) {
	switch k {
	case figpier.OutcomeUnreached:
		return figpier.RetryUnreached, true
	case figpier.OutcomeNotRun, figpier.OutcomeOverloaded:
		return figpier.RetryNotRun, true
	case figpier.OutcomeFailed:
		if idempotent {
			return figpier.RetryFailed, true
		}
		return figpier.NoRetryUnsafe, false
	case figpier.OutcomeExpired:
		return figpier.NoRetryDeadline, false
	default:
		return figpier.NoRetryDone, false
	}
}

// creditOf returns the credit of a pair, which starts at maxCredit.
func (d *Decider) creditOf(p CustomerService) *credit {
	c, ok := d.credits[p]
	if !ok {
		c = &credit{balance: maxCredit}
		d.credits[p] = c
	}
	return c
}

// statsOf returns the statistics of a service, decayed to the given time.
func (d *Decider) statsOf(now time.Time, s figpier.UpstreamService) *attemptStats {
	stats, ok := d.services[s]
	if !ok {
		stats = &attemptStats{updated: now}
		d.services[s] = stats
	}
	if age := now.Sub(stats.updated); age > 0 {
		decay := math.Exp(-age.Seconds() / overloadWindow.Seconds())
		stats.attempts *= decay
		stats.overloaded *= decay
		stats.updated = now
	}
	return stats
}

// sweep removes expired credit, at most once in sweepInterval.
func (d *Decider) sweep(now time.Time) {
	if now.Sub(d.lastSweep) < sweepInterval {
		return
	}
	d.lastSweep = now
	for p, c := range d.credits {
		if now.Sub(c.lastUsed) > creditExpiry {
			delete(d.credits, p)
		}
	}
}
