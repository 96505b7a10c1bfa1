package admission

import (
	"slices"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/rank"
)

const (
	cutOffMargin     = 1.15 // calls admitted per call started in the last window
	firstStep        = rank.Octave / 8
	constantSteps    = 3    // raises before the step doubles, so that callers have seen the first ones
	cutOffSamples    = 30   // offered calls that a window needs
	maxCutOffWindows = 4    // windows after which fewer samples are enough
	shedShare        = 0.1  // share of the offered calls that the queue may shed without overload
	cutOffGain       = 0.25 // share of the distance to its target that a cut-off moves per window
	maxOfferedRanks  = 4096 // per window
	maxRaises        = 24   // enough raises in a row to remove any cut-off
)

// cutOff is the rank from which calls are refused without queueing while the node is overloaded, or figpier.MaxRank for
// no cut-off.
//
// After a window in which the queue shed too many calls, it moves towards the rank below which as many calls were offered
// as were started. While slots are free it rises, first by constant steps and then by doubling ones, to find out whether
// the load has fallen.
type cutOff struct {
	value       figpier.Rank
	step        uint32
	raises      int
	windowStart time.Time
	offered     []figpier.Rank
	started     int
	shed        int
	slotsFree   bool
}

func newCutOff() cutOff { return cutOff{value: figpier.MaxRank, step: firstStep} }

// addOffered records the rank of a call, up to maxOfferedRanks per window.
func (c *cutOff) addOffered(r figpier.Rank) {
	if len(c.offered) < maxOfferedRanks {
		c.offered = append(c.offered, r)
	}
}

// closeWindows ends the windows that have passed. It lowers the cut-off after overload; otherwise it raises it once per
// window, except for the first one if no slot was free in it.
func (c *cutOff) closeWindows(now time.Time, window time.Duration) {
	if c.windowStart.IsZero() {
		c.windowStart = now
	}
	passed := int(now.Sub(c.windowStart) / window)
	if passed <= 0 || len(c.offered) < cutOffSamples && passed < maxCutOffWindows {
		return
	}
	overloaded := float64(c.shed) > shedShare*float64(len(c.offered))
	raises := passed - 1
	if overloaded {
		c.lower()
		raises = passed - maxCutOffWindows
	}
	if !overloaded && c.slotsFree {
		raises = passed
	}
	for range min(max(raises, 0), maxRaises) {
		c.raise()
	}
	c.windowStart = c.windowStart.Add(time.Duration(passed) * window)
	c.offered = c.offered[:0]
	c.started, c.shed, c.slotsFree = 0, 0, false
}

// lower sets a cut-off that admits about as many calls as were started in the window.
func (c *cutOff) lower() {
	c.step, c.raises = firstStep, 0
	admitted := int(float64(c.started)*cutOffMargin) + 1
	if admitted >= len(c.offered) {
		return
	}
	slices.Sort(c.offered)
	target := c.offered[admitted]
	if c.value != figpier.MaxRank {
		// Move only part of the way: a window has few calls, and callers react to a cut-off with a delay.
		target = figpier.Rank(float64(c.value) + cutOffGain*(float64(target)-float64(c.value)))
	}
	c.value = target
}

// raise moves the cut-off up by one step, and removes it when it reaches figpier.MaxRank.
func (c *cutOff) raise() {
	remaining := uint32(figpier.MaxRank - c.value)
	if remaining <= c.step {
		c.value = figpier.MaxRank
		return
	}
	c.value += figpier.Rank(c.step)
	c.raises++
	if c.raises > constantSteps && c.step < uint32(figpier.MaxRank)/2 {
		c.step *= 2
	}
}
