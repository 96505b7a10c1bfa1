package admission

import (
	"context"
	"sync"
	"time"

	"github.com/figpier/figpier"
	policy "github.com/figpier/figpier/internal/policy/admission"
	"github.com/figpier/figpier/internal/policy/episode"
)

// Bounds of the refusals that Bindings reports.
const (
	bindingGap  = 2 * time.Second // time without a refusal after which a limit no longer binds
	maxBindings = 1000            // pairs of a customer and a limit that are kept
)

// Config configures an Admission.
type Config struct {
	// Service is the service of the backend server beside the node.
	Service figpier.UpstreamService
	// FixedLimit makes the announced slots the limit; otherwise the limit is derived from service times.
	FixedLimit bool
}

// Admission implements figpier.Admission and figpier.Explainer. It is safe for concurrent use.
type Admission struct {
	config  Config
	clock   figpier.Clock
	cutOffs figpier.CutOffs
	ranker  figpier.Ranker

	mu         sync.Mutex // guards the fields below
	controller *policy.Controller
	lastID     policy.CallID
	verdicts   map[policy.CallID]chan policy.Verdict
	refusals   *episode.Table[refusalCause]
}

// refusalCause identifies refusals by the customer of the calls and the limit that refused them.
type refusalCause struct {
	customer figpier.CustomerID
	kind     figpier.LimitKind
}

// New returns an admission that has not started.
func New(c Config) *Admission {
	return &Admission{
		config:     c,
		controller: policy.New(policy.Config{FixedLimit: c.FixedLimit}),
		verdicts:   map[policy.CallID]chan policy.Verdict{},
		refusals:   episode.New[refusalCause](episode.Config{Gap: bindingGap, MaxEntries: maxBindings}),
	}
}

// Name implements figpier.Service.
func (a *Admission) Name() figpier.ServiceName { return figpier.AdmissionService }

// Start implements figpier.Service.
func (a *Admission) Start(_ context.Context, d figpier.Directory) (err error) {
	a.clock = d.Clock()
	if a.cutOffs, err = figpier.FindCutOffs(d); err != nil {
		return err
	}
	if a.ranker, err = figpier.FindRanker(d); err != nil {
		return err
	}
	counters, err := figpier.FindCounters(d)
	if err != nil {
		return err
	}
	counters.Gauge("admission_limit", a.lockedGauge(a.controller.Limit))
	counters.Gauge("admission_slots", a.lockedGauge(a.controller.Slots))
	counters.Gauge("admission_running", a.lockedGauge(a.controller.Running))
	counters.Gauge("admission_waiting", a.lockedGauge(a.controller.Waiting))
	return nil
}

// lockedGauge returns f as a gauge that holds the lock.
func (a *Admission) lockedGauge(f func() int) func() float64 {
	return func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return float64(f())
	}
}

// Stop implements figpier.Service.
func (a *Admission) Stop(context.Context) error { return nil }

// CutOff implements figpier.Admission.
func (a *Admission) CutOff() figpier.Rank {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.CutOff(now)
}

// SetSlots implements figpier.Admission.
func (a *Admission) SetSlots(slots int) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(a.controller.SetSlots(now, slots))
}

// Admit implements figpier.Admission.
func (a *Admission) Admit(ctx context.Context, c *figpier.Call) (figpier.Ticket, error) {
	if c.Rank().Refused(a.cutOffs.CutOff(c)) {
		a.recordRefusal(c, figpier.LimitCutOff)
		return nil, a.retryableRefusal(c, figpier.RefusalCutOff)
	}
	verdict, w := a.submit(c)
	if verdict == policy.Wait {
		stop := a.clock.AfterFunc(w.maxWait, a.expire)
		defer stop()
		select {
		case verdict = <-w.verdict:
		case <-ctx.Done():
			return nil, a.stopWaiting(w)
		}
	}
	if verdict == policy.Run {
		return &ticket{admission: a, call: c}, nil
	}
	return nil, a.refusalFor(c, verdict)
}

// waiter is a call that waits for its verdict, for at most maxWait.
type waiter struct {
	id      policy.CallID
	maxWait time.Duration
	verdict chan policy.Verdict
}

// submit submits a call to the controller. The returned waiter has a channel only if the verdict is Wait.
func (a *Admission) submit(c *figpier.Call) (policy.Verdict, waiter) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastID++
	w := waiter{id: a.lastID, maxWait: a.controller.QueueTime()}
	verdict, decisions := a.controller.Submit(now, w.id, c.Rank(), c.Deadline())
	a.deliver(decisions)
	if verdict == policy.Wait {
		w.verdict = make(chan policy.Verdict, 1)
		a.verdicts[w.id] = w.verdict
	}
	return verdict, w
}

// deliver sends decisions to the calls that wait for them. a.mu must be held.
func (a *Admission) deliver(decisions []policy.Decision) {
	for _, d := range decisions {
		a.verdicts[d.ID()] <- d.Verdict()
		delete(a.verdicts, d.ID())
	}
}

// expire sheds the calls that have waited too long.
func (a *Admission) expire() {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(a.controller.Expire(now))
}

// stopWaiting removes a call whose context ended, and frees the slot if it was given one in the meantime.
func (a *Admission) stopWaiting(w waiter) error {
	a.mu.Lock()
	waiting := a.controller.Cancel(w.id)
	delete(a.verdicts, w.id)
	a.mu.Unlock()
	if !waiting && <-w.verdict == policy.Run {
		a.release(figpier.NewOutcome(figpier.OutcomeNotRun, 0))
	}
	return figpier.Refuse(figpier.RefusalDeadline)
}

// refusalFor returns the refusal for a verdict other than Run, and records it if the limit on concurrent calls is the cause.
func (a *Admission) refusalFor(c *figpier.Call, v policy.Verdict) *figpier.Refusal {
	switch v {
	case policy.DeadlineMissed:
		return figpier.Refuse(figpier.RefusalDeadline)
	case policy.NoBackend:
		return figpier.Refuse(figpier.RefusalNoBackend)
	default:
		a.recordRefusal(c, figpier.LimitConcurrency)
		return a.retryableRefusal(c, figpier.RefusalOverload)
	}
}

// retryableRefusal returns a refusal that tells the caller when to come back.
func (a *Admission) retryableRefusal(c *figpier.Call, r figpier.RefusalReason) *figpier.Refusal {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	return figpier.NewRefusal(figpier.RefusalConfig{Reason: r, RetryAfter: a.controller.Turn(now, c.Priority())})
}

func (a *Admission) recordRefusal(c *figpier.Call, k figpier.LimitKind) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refusals.Record(now, refusalCause{customer: c.Customer(), kind: k})
}

func (a *Admission) release(o figpier.Outcome) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(a.controller.Release(now, o))
}

// Bindings implements figpier.Explainer.
func (a *Admission) Bindings(now time.Time) []figpier.Binding {
	a.mu.Lock()
	defer a.mu.Unlock()
	var all []figpier.Binding
	a.refusals.Each(now, func(x refusalCause, since time.Time, count int) {
		c := figpier.BindingConfig{
			Kind:     x.kind,
			Service:  a.config.Service,
			Customer: x.customer,
			Since:    since,
			Count:    count,
		}
		if x.kind == figpier.LimitConcurrency {
			c.Limit = float64(a.controller.Limit())
		}
		all = append(all, figpier.NewBinding(c))
	})
	return all
}

// ticket implements figpier.Ticket.
type ticket struct {
	admission *Admission
	call      *figpier.Call
}

// Release implements figpier.Ticket.
func (t *ticket) Release(o figpier.Outcome) {
	t.admission.release(o)
	if t.call.Depth() == 0 && o.Kind() == figpier.OutcomeDone {
		t.admission.ranker.Served(t.call.Customer(), o.Elapsed())
	}
}
