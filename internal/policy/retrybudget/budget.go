package retrybudget

import (
	"time"

	"github.com/figpier/figpier"
)

// slotsPerWindow is the number of slots into which a window is divided; the window advances by one slot at a time.
const slotsPerWindow = 20

// Config holds the arguments of New.
type Config struct {
	// Share is the maximum ratio of retries to first attempts within the window.
	Share float64
	// Window is the period over which attempts are counted.
	Window time.Duration
	// MinRetries is the number of retries allowed within the window in addition to Share.
	MinRetries float64
}

// Table counts the first attempts and retries of each service. It is not safe for concurrent use.
type Table struct {
	config   Config
	services map[figpier.UpstreamService]*slotCounts
}

// slotCounts is a ring buffer of the attempts at one service for each slot of the window.
type slotCounts struct {
	firsts [slotsPerWindow]int
	// repeats are the retries, and the parts of first attempts that repeat one because their callers' runs do.
	repeats [slotsPerWindow]float64
	// currentSlot is the number of the newest slot since the Unix epoch; its index is the remainder by slotsPerWindow.
	currentSlot int64
}

// New returns a table without attempts.
func New(c Config) *Table {
	return &Table{config: c, services: map[figpier.UpstreamService]*slotCounts{}}
}

// First records a first attempt, with the probability that it belongs to a repeated run of its caller. Such attempts use up the budget,
// because the retries of the levels of a call chain would else add up at its end.
func (t *Table) First(now time.Time, s figpier.UpstreamService, repeatShare float64) {
	c := t.countsAt(now, s)
	c.firsts[c.currentSlot%slotsPerWindow]++
	c.repeats[c.currentSlot%slotsPerWindow] += repeatShare
}

// Retry reports whether the budget of the service allows a retry, and counts it if so.
func (t *Table) Retry(now time.Time, s figpier.UpstreamService) bool {
	c := t.countsAt(now, s)
	firsts, repeats := 0, 0.0
	for i := range slotsPerWindow {
		firsts += c.firsts[i]
		repeats += c.repeats[i]
	}
	if repeats+1 > t.config.Share*float64(firsts)+t.config.MinRetries {
		return false
	}
	c.repeats[c.currentSlot%slotsPerWindow]++
	return true
}

// countsAt returns the counts of a service after clearing the slots that have left the window.
func (t *Table) countsAt(now time.Time, s figpier.UpstreamService) *slotCounts {
	slot := now.UnixNano() / int64(t.config.Window/slotsPerWindow)
	c, ok := t.services[s]
	if !ok {
		c = &slotCounts{currentSlot: slot}
		t.services[s] = c
	}
	if slot-c.currentSlot >= slotsPerWindow {
		*c = slotCounts{currentSlot: slot}
	}
	for c.currentSlot < slot {
		c.currentSlot++
		c.firsts[c.currentSlot%slotsPerWindow], c.repeats[c.currentSlot%slotsPerWindow] = 0, 0
	}
	return c
}
