package admission

import (
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/comeback"
)

const (
	defaultQueueTime   = 25 * time.Millisecond
	maxQueueTime       = 250 * time.Millisecond
	queuedServiceTimes = 1 // service times that a call may wait in the queue
	defaultWindow      = 100 * time.Millisecond
	probeInterval      = time.Second
)

// Config configures a Controller.
type Config struct {
	// QueueTime is how long a call may wait for a slot at a backend server with short service times, 25 ms when 0.
	QueueTime time.Duration
	// FixedLimit makes the announced slots the limit, for a backend server that runs that many calls at once without
	// losing throughput. Where calls of 30 ms and of 500 ms share the slots, service times do not show overload.
	FixedLimit bool
	// Window is the least time between two changes of the limit or of the cut-off, 100 ms when 0.
	Window time.Duration
}

// Verdict is the decision on a call.
type Verdict uint8

// Decisions on a call.
const (
	// Wait keeps the call in the queue.
	Wait Verdict = iota
	// Run starts the call on a slot, which Controller.Release frees.
	Run
	// Overloaded sheds the call because calls with a lower rank take all slots.
	Overloaded
	// DeadlineMissed drops the call because it cannot end by its deadline.
	DeadlineMissed
	// NoBackend refuses the call because no backend server has announced slots.
	NoBackend
)

// Decision is the verdict on a call that was waiting.
type Decision struct {
	id      CallID
	verdict Verdict
}

// ID returns the identifier of the call.
func (d Decision) ID() CallID { return d.id }

// Verdict returns the verdict on the call.
func (d Decision) Verdict() Verdict { return d.verdict }

// Controller decides which calls one backend server runs. It is not safe for concurrent use.
type Controller struct {
	queueTime     time.Duration
	window        time.Duration
	limit         limit
	queue         queue
	cutOff        cutOff
	running       int
	lastRelease   time.Time
	sheddingSince time.Time
	turns         comeback.Queue
}

// New returns a controller for a backend server that has not announced its slots.
func New(c Config) *Controller {
	if c.QueueTime == 0 {
		c.QueueTime = defaultQueueTime
	}
	if c.Window == 0 {
		c.Window = defaultWindow
	}
	return &Controller{queueTime: c.QueueTime, window: c.Window, limit: limit{fixed: c.FixedLimit}, cutOff: newCutOff()}
}

// SetSlots sets the number of slots that the backend server announced, 0 when it is gone, and returns the decisions on
// waiting calls.
func (c *Controller) SetSlots(now time.Time, slots int) []Decision {
	c.limit.setSlots(slots)
	return c.startWaiting(now, nil)
}

// Submit decides on a new call and returns the decisions on calls that were waiting.
func (c *Controller) Submit(now time.Time, id CallID, r figpier.Rank, deadline time.Time) (Verdict, []Decision) {
	c.closeWindows(now)
	if c.limit.calls() == 0 {
		return NoBackend, nil
	}
	if c.missesDeadline(now, deadline) {
		return DeadlineMissed, nil
	}
	c.cutOff.addOffered(r)
	c.limit.offered++
	if c.queue.len() == 0 && c.running < c.limit.calls() {
		c.start()
		return Run, nil
	}
	c.limit.blocked++
	if r.Refused(c.cutOff.value) {
		c.markShedding(now)
		return Overloaded, nil
	}
	c.queue.push(queuedCall{id: id, rank: r, expires: now.Add(c.QueueTime()), deadline: deadline})
	return c.trimQueue(now, id)
}

// trimQueue sheds the last call of the queue if the queue exceeds its maximum length.
func (c *Controller) trimQueue(now time.Time, newest CallID) (Verdict, []Decision) {
	if c.queue.len() <= c.maxQueueLength() {
		return Wait, nil
	}
	c.countShed(now)
	w := c.queue.popWorst()
	if w.id == newest {
		return Overloaded, nil
	}
	return Wait, []Decision{{id: w.id, verdict: Overloaded}}
}

// Release frees the slot of a call that ended, and returns the decisions on waiting calls.
func (c *Controller) Release(now time.Time, o figpier.Outcome) []Decision {
	c.running--
	c.lastRelease = now
	switch o.Kind() {
	case figpier.OutcomeDone:
		c.limit.observe(o.OwnElapsed())
	case figpier.OutcomeOverloaded:
		c.limit.rejected = true
	default:
	}
	c.closeWindows(now)
	return c.startWaiting(now, nil)
}

// Cancel removes a call from the queue and reports whether it was still waiting.
func (c *Controller) Cancel(id CallID) bool { return c.queue.remove(id) }

// Expire sheds the calls that have waited for their full queue time, and returns the decisions on waiting calls.
func (c *Controller) Expire(now time.Time) []Decision {
	c.closeWindows(now)
	expired := c.queue.removeIf(func(w queuedCall) bool { return !now.Before(w.expires) })
	var decisions []Decision
	for _, w := range expired {
		c.countShed(now)
		decisions = append(decisions, Decision{id: w.id, verdict: Overloaded})
	}
	return c.startWaiting(now, decisions)
}

// CutOff returns the lowest rank that is refused without queueing, or figpier.MaxRank when none is.
func (c *Controller) CutOff(now time.Time) figpier.Rank {
	c.closeWindows(now)
	return c.cutOff.value
}

// QueueTime returns how long a call that is submitted now may wait.
func (c *Controller) QueueTime() time.Duration {
	return max(c.queueTime, min(queuedServiceTimes*c.limit.baseline, maxQueueTime))
}

// Turn returns how long the caller of a shed call of a class shall stay away. Slots come free at the limit over the usual service
// time.
func (c *Controller) Turn(now time.Time, class figpier.PriorityClass) time.Duration {
	rate := 0.0
	if c.limit.baseline > 0 {
		rate = float64(c.limit.calls()) / c.limit.baseline.Seconds()
	}
	return c.turns.Turn(now, class, rate, 0)
}

// Limit returns the number of calls that may run at once.
func (c *Controller) Limit() int { return c.limit.calls() }

// Slots returns the number of slots that the backend server announced.
func (c *Controller) Slots() int { return c.limit.slots }

// Running returns the number of calls that hold a slot.
func (c *Controller) Running() int { return c.running }

// Waiting returns the number of calls in the queue.
func (c *Controller) Waiting() int { return c.queue.len() }

// SheddingSince returns when the controller began to shed calls, the zero time when it sheds none.
func (c *Controller) SheddingSince(now time.Time) time.Time {
	c.closeWindows(now)
	return c.sheddingSince
}

// startWaiting starts the waiting calls with the lowest ranks while slots are free.
func (c *Controller) startWaiting(now time.Time, decisions []Decision) []Decision {
	for c.queue.len() > 0 && c.running < c.limit.calls() {
		w := c.queue.popBest()
		if c.missesDeadline(now, w.deadline) {
			decisions = append(decisions, Decision{id: w.id, verdict: DeadlineMissed})
			continue
		}
		c.start()
		decisions = append(decisions, Decision{id: w.id, verdict: Run})
	}
	if c.running < c.limit.calls() {
		c.cutOff.slotsFree = true
	}
	return decisions
}

func (c *Controller) start() {
	c.running++
	c.cutOff.started++
}

// missesDeadline reports whether a call cannot end by its deadline. When nothing has run for probeInterval, every call whose
// deadline has not passed is admitted, to measure the service time again.
func (c *Controller) missesDeadline(now, deadline time.Time) bool {
	left := deadline.Sub(now)
	if left <= 0 {
		return true
	}
	probe := c.running == 0 && now.Sub(c.lastRelease) > probeInterval
	return !probe && left < c.limit.baseline
}

// maxQueueLength returns the number of calls that can start within the queue time.
func (c *Controller) maxQueueLength() int {
	limit := c.limit.calls()
	if c.limit.baseline == 0 {
		return limit
	}
	servable := float64(limit) * c.QueueTime().Seconds() / c.limit.baseline.Seconds()
	return max(1, min(int(servable), maxQueuePerSlot*limit))
}

// maxQueuePerSlot is the number of waiting calls per call that the limit allows to run.
const maxQueuePerSlot = 8

// countShed records a call that the queue shed.
func (c *Controller) countShed(now time.Time) {
	c.cutOff.shed++
	c.markShedding(now)
}

func (c *Controller) markShedding(now time.Time) {
	if c.sheddingSince.IsZero() {
		c.sheddingSince = now
	}
}

func (c *Controller) closeWindows(now time.Time) {
	c.limit.closeWindow(now, c.window)
	c.cutOff.closeWindows(now, c.window)
	if c.cutOff.value == figpier.MaxRank && c.cutOff.shed == 0 {
		c.sheddingSince = time.Time{}
	}
}
