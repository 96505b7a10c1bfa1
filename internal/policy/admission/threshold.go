package admission

import (
	"slices"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/rank"
)

const (
	thresholdMargin     = 1.15 // calls admitted per call started in the last window
	firstStep           = rank.Octave / 8
	constantSteps       = 3 // raises before the step doubles, so that callers have seen the first ones
	thresholdSamples    = 30
	maxThresholdWindows = 4    // windows after which fewer samples are enough
	shedShare           = 0.1  // share of the offered calls that the queue may shed without overload
	thresholdGain       = 0.25 // share of the distance to its target that a cut-off moves per window
	maxOfferedRanks     = 4096
	maxRaises           = 24 // raises that remove any cut-off; more windows without overload change nothing
)

// threshold computes the cut-off: while the node is overloaded, calls with this rank or a higher one are refused
// without queueing. figpier.MaxRank means no cut-off.
//
// After a window in which the queue shed too many calls, the cut-off moves towards the rank below which as many calls
// were offered as were started. While slots are free it rises, first by constant steps and then by doubling ones, to
// find out whether the load has fallen.
type threshold struct {
	value       figpier.Rank
	step        uint32
	raises      int
	windowStart time.Time
	offered     []figpier.Rank
	started     int
	shed        int
	slotsFree   bool
}

func newThreshold() threshold { return threshold{value: figpier.MaxRank, step: firstStep} }

// addOffered records the rank of a call, up to maxOfferedRanks per window.
func (t *threshold) addOffered(r figpier.Rank) {
	if len(t.offered) < maxOfferedRanks {
		t.offered = append(t.offered, r)
	}
}

// closeWindows ends the windows that have passed: it lowers the cut-off after overload and raises it once per window without.
func (t *threshold) closeWindows(now time.Time, window time.Duration) {
	if t.windowStart.IsZero() {
		t.windowStart = now
	}
	passed := int(now.Sub(t.windowStart) / window)
	if passed <= 0 || len(t.offered) < thresholdSamples && passed < maxThresholdWindows {
		return
	}
	overloaded := float64(t.shed) > shedShare*float64(len(t.offered))
	raises := passed - 1
	if overloaded {
		t.lower()
		raises = passed - maxThresholdWindows
	}
	if !overloaded && t.slotsFree {
		raises = passed
	}
	for range min(max(raises, 0), maxRaises) {
		t.raise()
	}
	t.windowStart = t.windowStart.Add(time.Duration(passed) * window)
	t.offered = t.offered[:0]
	t.started, t.shed, t.slotsFree = 0, 0, false
}

// lower sets a cut-off that admits about as many calls as were started in the window.
func (t *threshold) lower() {
	t.step, t.raises = firstStep, 0
	admitted := int(float64(t.started)*thresholdMargin) + 1
	if admitted >= len(t.offered) {
		return
	}
	slices.Sort(t.offered)
	target := t.offered[admitted]
	if t.value != figpier.MaxRank {
		// Move only part of the way: a window has few calls, and callers react to a cut-off with a delay.
		target = figpier.Rank(float64(t.value) + thresholdGain*(float64(target)-float64(t.value)))
	}
	t.value = target
}

// raise moves the cut-off up by one step, and removes it when it reaches figpier.MaxRank.
func (t *threshold) raise() {
	remaining := uint32(figpier.MaxRank - t.value)
	if remaining <= t.step {
		t.value = figpier.MaxRank
		return
	}
	t.value += figpier.Rank(t.step)
	t.raises++
	if t.raises > constantSteps && t.step < uint32(figpier.MaxRank)/2 {
		t.step *= 2
	}
}
