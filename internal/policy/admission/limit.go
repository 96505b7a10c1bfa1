package admission

import (
	"math"
	"time"
)

const (
	initialShare     = 0.5             // share of the announced slots that a backend server starts with
	rampFactor       = 1.5             // growth per window after the start of the backend server
	growShare        = 0.05            // growth per window after that
	slowRatio        = 1.5             // ratio of the service time to the baseline above which the limit is tried lower
	trialFactor      = 0.8             // limit of a trial, relative to the one before
	trialLossShare   = 0.5             // share of the expected loss of throughput that ends a trial
	saturatedShare   = 0.5             // share of the offered calls that found no free slot
	minTrialLimit    = 8               // least limit that is tried lower at normal service times
	shedFactor       = 0.9             // factor for the limit after the backend server rejected a call
	growRatio        = 1.2             // ratio of the service time to the baseline up to which the limit grows
	baselineGain     = 0.3             // share of the distance to a shorter service time that the baseline moves per window
	windowSamples    = 20              // answers that a window needs
	rampSamples      = 4               // the same while ramping
	trialSamples     = 80              // the same in a trial, and at service times above the baseline
	minTrialAnswers  = 20              // a trial with fewer answers is inconclusive
	maxLimitWindow   = 2 * time.Second // a longer window ends with any number of answers
	recoveredShare   = 0.7             // service time, as a share of the expected one, below which the backend server itself has become faster
	trialGenerations = 4               // the least window of a trial, in answers per call of the limit
	minTrialInterval = 4 * time.Second
	maxTrialInterval = time.Minute
)

// limit is the number of calls that a backend server runs at once, derived from the service times of its answers.
//
// A service time above the baseline has two possible causes. If the backend server queues calls internally, a lower limit
// gives the same throughput with shorter service times. If the backend server has become slower, a lower limit
// reduces the throughput. A trial with a lower limit tells them apart: in the first case the limit stays and a
// lower one is tried next, in the second case the limit is restored and the baseline raised. Trials are also made
// periodically while service times look normal, so that a wrong baseline is corrected.
type limit struct {
	slots    int     // announced by the backend server, 0 while there is none
	value    float64 // the limit, of which calls returns the whole part
	baseline time.Duration
	ramping  bool // the limit still grows fast after the start of the backend server

	windowStart      time.Time
	answers          int
	totalServiceTime time.Duration
	offered          int
	blocked          int
	rejected         bool

	trial         trial
	lastTrial     time.Time
	trialInterval time.Duration
	// fixed makes the limit equal to the slots. Service times then only set the baseline.
	fixed bool
}

// trial is a lowered limit whose throughput is compared with that of the limit before it.
type trial struct {
	active        bool
	settled       bool // the window that still had calls of the previous limit has ended
	previousLimit float64
	throughput    float64
	serviceTime   time.Duration
}

// setSlots sets the announced slots. A backend server that comes back after 0 slots starts with a part of them.
func (l *limit) setSlots(slots int) {
	cold := l.slots == 0 && slots > 0
	l.slots = slots
	if l.fixed {
		l.value = float64(slots)
		return
	}
	if cold {
		l.value = max(1, math.Ceil(initialShare*float64(slots)))
		l.ramping = true
		l.trial = trial{}
		l.trialInterval = minTrialInterval
	}
	l.value = min(l.value, float64(slots))
}

// observe records the service time of a complete answer.
func (l *limit) observe(elapsed time.Duration) {
	l.answers++
	l.totalServiceTime += elapsed
}

// closeWindow adjusts the limit and starts a new window, once the window is long enough and has enough answers.
func (l *limit) closeWindow(now time.Time, window time.Duration) {
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	age := now.Sub(l.windowStart)
	if age < window || l.answers < l.minAnswers() && !l.rejected && age < maxLimitWindow {
		return
	}
	if l.answers > 0 {
		l.adjust(now, l.totalServiceTime/time.Duration(l.answers), float64(l.answers)/age.Seconds())
	}
	l.windowStart, l.answers, l.totalServiceTime = now, 0, 0
	l.offered, l.blocked, l.rejected = 0, 0, false
}

// minAnswers returns the number of answers that the open window needs.
func (l *limit) minAnswers() int {
	if l.trial.active && !l.trial.settled {
		return int(l.trial.previousLimit) + 1
	}
	if l.trial.active || l.aboveBaseline() {
		return max(trialSamples, trialGenerations*int(l.value))
	}
	if l.ramping {
		return max(rampSamples, int(l.value))
	}
	return max(windowSamples, int(l.value))
}

// aboveBaseline reports whether the mean service time of the open window exceeds slowRatio times the baseline.
func (l *limit) aboveBaseline() bool {
	return l.answers > 0 && l.totalServiceTime.Seconds()/float64(l.answers) > slowRatio*l.baseline.Seconds()
}

// adjust sets the limit from the mean service time and the throughput, in answers per second, of the closed window.
func (l *limit) adjust(now time.Time, mean time.Duration, throughput float64) {
	l.lowerBaseline(mean)
	if l.fixed {
		return
	}
	switch {
	case l.rejected:
		l.ramping = false
		l.value = max(1, shedFactor*l.value)
	case l.trial.active:
		l.evaluateTrial(mean, throughput, l.answers)
	case l.ramping && float64(mean) <= slowRatio*float64(l.baseline):
		l.value *= rampFactor
		l.ramping = l.value < float64(l.slots)
	case !l.saturated():
	case l.trialDue(now, mean):
		l.ramping = false
		l.lastTrial = now
		l.startTrial(throughput, mean)
	case float64(mean) <= growRatio*float64(l.baseline):
		l.value += max(1, growShare*l.value)
	default:
	}
	l.value = min(l.value, float64(l.slots))
}

// saturated reports whether the limit delayed or refused a large share of the window's calls.
func (l *limit) saturated() bool {
	return float64(l.blocked) > saturatedShare*float64(l.offered)
}

// trialDue reports whether to start a trial. A limit below minTrialLimit gets one only if the service time is above
// the baseline, because a single step takes a large share of it.
func (l *limit) trialDue(now time.Time, mean time.Duration) bool {
	if now.Sub(l.lastTrial) <= l.trialInterval {
		return false
	}
	return l.value >= minTrialLimit || float64(mean) > slowRatio*float64(l.baseline)
}

// lowerBaseline moves the baseline towards a shorter mean service time.
func (l *limit) lowerBaseline(mean time.Duration) {
	if l.baseline == 0 {
		l.baseline = mean
	}
	if mean < l.baseline {
		l.baseline -= time.Duration(baselineGain * float64(l.baseline-mean))
	}
}

// evaluateTrial decides whether a trial's lower limit stays. The first window of a trial is skipped, because it
// still contains calls that started under the higher limit.
func (l *limit) evaluateTrial(mean time.Duration, throughput float64, answers int) {
	if !l.trial.settled {
		l.trial.settled = true
		return
	}
	limitRatio := float64(l.calls()) / float64(int(l.trial.previousLimit))
	recovered := mean.Seconds() < recoveredShare*limitRatio*l.trial.serviceTime.Seconds()
	if recovered || answers < minTrialAnswers {
		l.revertTrial()
		return
	}
	if throughput < l.trial.throughput*(1-trialLossShare*(1-limitRatio)) {
		l.baseline = mean
		l.revertTrial()
		return
	}
	l.trialInterval = minTrialInterval
	l.startTrial(max(throughput, l.trial.throughput), mean)
}

// revertTrial restores the limit from before the trial and doubles the time until the next one.
func (l *limit) revertTrial() {
	l.value = l.trial.previousLimit
	l.trial = trial{}
	l.trialInterval = min(2*l.trialInterval, maxTrialInterval)
}

// startTrial lowers the limit and records the throughput and service time to compare the result with.
func (l *limit) startTrial(throughput float64, serviceTime time.Duration) {
	if l.value <= 1 {
		l.trial = trial{}
		return
	}
	l.trial = trial{active: true, previousLimit: l.value, throughput: throughput, serviceTime: serviceTime}
	l.value = max(1, min(trialFactor*l.value, float64(int(l.value)-1)))
}

// calls returns the limit as a whole number of calls, 0 while the backend server has announced no slots.
func (l *limit) calls() int {
	if l.slots == 0 {
		return 0
	}
	return max(1, int(l.value))
}
