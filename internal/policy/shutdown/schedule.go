package shutdown

import "time"

// Config holds the settings of a Schedule, both as times since the stop began.
type Config struct {
	// Open is how long requests are taken whatever time they have left.
	Open time.Duration
	// End is when requests in flight have to end.
	End time.Duration
}

// Schedule is the course of one planned stop.
type Schedule struct {
	config Config
	began  time.Time
}

// New returns the schedule of a stop that begins now.
func New(now time.Time, c Config) Schedule { return Schedule{config: c, began: now} }

// Takes reports whether a request is taken that was received at one time and has its deadline at another. A late request is taken only
// if the process outlives its deadline, because one that is cut has neither an answer nor a promise that it was not run.
func (s Schedule) Takes(received, deadline time.Time) bool {
	return received.Before(s.began.Add(s.config.Open)) || !deadline.After(s.End())
}

// End returns the time at which requests in flight have to end.
func (s Schedule) End() time.Time { return s.began.Add(s.config.End) }
