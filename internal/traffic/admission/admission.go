package admission

import (
	"context"
	"sync"
	"time"

	"github.com/figpier/figpier"
	policy "github.com/figpier/figpier/internal/policy/admission"
	"github.com/figpier/figpier/internal/policy/spell"
)

// Bounds of what the admission explains.
const (
	spellGap  = 2 * time.Second
	mostSpell = 1000
)

// retryAfterOverload is when a caller may try again after a refusal for overload.
const retryAfterOverload = time.Second

// Config builds an Admission.
type Config struct {
	// Service is the service that the backend server beside the node runs.
	Service figpier.UpstreamService
	// Stated says that the backend server runs as many calls at once as it announced, so that the limit is not learnt.
	Stated bool
}

// Admission implements figpier.Admission.
type Admission struct {
	config  Config
	clock   figpier.Clock
	cutOffs figpier.CutOffs
	ranker  figpier.Ranker

	mu      sync.Mutex
	policy  *policy.Controller
	last    policy.CallID
	waiters map[policy.CallID]chan policy.Verdict
	shed    *spell.Table[cause]
}

// cause is whose calls are held back, and by which limit.
type cause struct {
	customer figpier.CustomerID
	kind     figpier.LimitKind
}

// New returns an admission that has not started.
func New(c Config) *Admission {
	return &Admission{
		config:  c,
		policy:  policy.New(policy.Config{FixedLimit: c.Stated}),
		waiters: map[policy.CallID]chan policy.Verdict{},
		shed:    spell.New[cause](spell.Config{Gap: spellGap, Most: mostSpell}),
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
	counters.Gauge("admission_limit", a.gauge(a.policy.Limit))
	counters.Gauge("admission_slots", a.gauge(a.policy.Slots))
	counters.Gauge("admission_running", a.gauge(a.policy.Running))
	counters.Gauge("admission_waiting", a.gauge(a.policy.Waiting))
	return nil
}

func (a *Admission) gauge(f func() int) func() float64 {
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
	return a.policy.CutOff(now)
}

// Resize implements figpier.Admission.
func (a *Admission) Resize(slots int) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(a.policy.SetSlots(now, slots))
}

// Admit implements figpier.Admission.
func (a *Admission) Admit(ctx context.Context, c *figpier.Call) (figpier.Ticket, error) {
	if c.Rank().Refused(a.cutOffs.CutOff(c)) {
		a.mark(c, figpier.LimitCutOff)
		return nil, refusal(figpier.RefusalCutOff)
	}
	verdict, w := a.offer(c)
	if verdict == policy.Wait {
		stop := a.clock.AfterFunc(w.longest, a.expire)
		defer stop()
		select {
		case verdict = <-w.decided:
		case <-ctx.Done():
			return nil, a.giveUp(w)
		}
	}
	if verdict == policy.Run {
		return &ticket{admission: a, call: c}, nil
	}
	return nil, a.refuse(c, verdict)
}

// waiter is a call in the queue.
type waiter struct {
	id      policy.CallID
	longest time.Duration
	decided chan policy.Verdict
}

// offer asks for a slot, and returns the waiter when the call waits.
func (a *Admission) offer(c *figpier.Call) (policy.Verdict, waiter) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last++
	w := waiter{id: a.last, longest: a.policy.QueueTime()}
	verdict, effects := a.policy.Submit(now, w.id, c.Rank(), c.Deadline())
	a.apply(effects)
	if verdict == policy.Wait {
		w.decided = make(chan policy.Verdict, 1)
		a.waiters[w.id] = w.decided
	}
	return verdict, w
}

// apply tells waiting calls what was decided; the mutex is held.
func (a *Admission) apply(effects []policy.Decision) {
	for _, e := range effects {
		a.waiters[e.ID()] <- e.Verdict()
		delete(a.waiters, e.ID())
	}
}

func (a *Admission) expire() {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(a.policy.Expire(now))
}

// giveUp takes a call out of the queue whose caller waits no longer.
func (a *Admission) giveUp(w waiter) error {
	a.mu.Lock()
	waiting := a.policy.Cancel(w.id)
	delete(a.waiters, w.id)
	a.mu.Unlock()
	if !waiting && <-w.decided == policy.Run {
		a.release(figpier.NewOutcome(figpier.OutcomeNotRun, 0))
	}
	return figpier.Refuse(figpier.RefusalDeadline)
}

func (a *Admission) refuse(c *figpier.Call, v policy.Verdict) *figpier.Refusal {
	switch v {
	case policy.DeadlineMissed:
		return figpier.Refuse(figpier.RefusalDeadline)
	case policy.NoBackend:
		return figpier.Refuse(figpier.RefusalNoBackend)
	default:
		a.mark(c, figpier.LimitConcurrency)
		return refusal(figpier.RefusalOverload)
	}
}

func refusal(r figpier.RefusalReason) *figpier.Refusal {
	return figpier.NewRefusal(figpier.RefusalConfig{Reason: r, RetryAfter: retryAfterOverload})
}

func (a *Admission) mark(c *figpier.Call, k figpier.LimitKind) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shed.Mark(now, cause{customer: c.Customer(), kind: k})
}

func (a *Admission) release(o figpier.Outcome) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(a.policy.Release(now, o))
}

// Bindings implements figpier.Explainer.
func (a *Admission) Bindings(now time.Time) []figpier.Binding {
	a.mu.Lock()
	defer a.mu.Unlock()
	var all []figpier.Binding
	a.shed.Each(now, func(x cause, since time.Time, count int) {
		c := figpier.BindingConfig{
			Kind:     x.kind,
			Service:  a.config.Service,
			Customer: x.customer,
			Since:    since,
			Count:    count,
		}
		if x.kind == figpier.LimitConcurrency {
			c.Limit = float64(a.policy.Limit())
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
