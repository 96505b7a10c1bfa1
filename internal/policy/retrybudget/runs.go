package retrybudget

import (
	"math"
	"time"
)

// Runs estimates which share of the newest runs at one backend server are repeats. It is not safe for concurrent use.
type Runs struct {
	memory  time.Duration
	at      time.Time
	runs    float64
	repeats float64
}

// NewRuns returns an estimate without runs, in which a run counts for a third after the memory time and ever less later.
func NewRuns(memory time.Duration) *Runs { return &Runs{memory: memory} }

// Add records a run with the probability that it is a repeat.
func (r *Runs) Add(now time.Time, repeatShare float64) {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		kept := math.Exp(-elapsed.Seconds() / r.memory.Seconds())
		r.runs, r.repeats, r.at = kept*r.runs, kept*r.repeats, now
	}
	r.runs++
	r.repeats += repeatShare
}

// Share returns the share of repeats from 0 to 1, 0 without runs.
func (r *Runs) Share() float64 {
	if r.runs == 0 {
		return 0
	}
	return r.repeats / r.runs
}
