package retry

import (
	"time"

	"github.com/figpier/figpier"
)

// maxTrackedKeys bounds the memory of a Pacer. Attempts with further keys are not paced.
const maxTrackedKeys = 100_000

// Pacer enforces a minimum time between a caller's attempts with the same idempotency key. It is not safe for concurrent use.
type Pacer struct {
	lastAttempts map[attemptKey]time.Time
	lastSweep    time.Time
}

type attemptKey struct {
	customer figpier.CustomerID
	key      figpier.IdempotencyKey
}

// NewPacer returns a pacer without attempts.
func NewPacer() *Pacer { return &Pacer{lastAttempts: map[attemptKey]time.Time{}} }

// Wait returns the time that a caller must wait before the attempt, 0 when it may proceed. Only attempts that may
// proceed are recorded.
func (p *Pacer) Wait(now time.Time, c figpier.CustomerID, k figpier.IdempotencyKey, interval time.Duration) time.Duration {
	if k == "" || interval <= 0 {
		return 0
	}
	p.sweep(now, interval)
	key := attemptKey{customer: c, key: k}
	if last, ok := p.lastAttempts[key]; ok && now.Sub(last) < interval {
		return interval - now.Sub(last)
	}
	if len(p.lastAttempts) < maxTrackedKeys {
		p.lastAttempts[key] = now
	}
	return 0
}

// sweep removes the attempts that no longer delay others, at most once in each interval.
func (p *Pacer) sweep(now time.Time, interval time.Duration) {
	if now.Sub(p.lastSweep) < interval {
		return
	}
	p.lastSweep = now
	for key, last := range p.lastAttempts {
		if now.Sub(last) >= interval {
			delete(p.lastAttempts, key)
		}
	}
}
