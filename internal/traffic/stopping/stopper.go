package stopping

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/comeback"
	"github.com/figpier/figpier/internal/policy/shutdown"
)

// Config holds the settings of a Stopper. The times count from the beginning of a stop.
type Config struct {
	// OpenTime is how long requests are taken whatever time they have left.
	OpenTime time.Duration
	// DrainTime is how long open connections are still served after the node has become not ready.
	DrainTime time.Duration
	// EndTime is when requests in flight are ended.
	EndTime time.Duration
	// Log receives a line at start and at stop.
	Log *logrus.Entry
}

// Stopper implements figpier.Readiness. It is the service that is stopped first.
type Stopper struct {
	config  Config
	clock   figpier.Clock
	view    figpier.ConfigurationView
	backend figpier.Backend
	ending  context.Context
	// endRequests ends the context ending with a refusal as its cause.
	endRequests context.CancelCauseFunc
	// started is set once the fields above may be read: listeners start before this service.
	started atomic.Bool
	// schedule is nil until the stop begins.
	schedule atomic.Pointer[shutdown.Schedule]

	mu sync.Mutex // guards turns
	// turns are those of the requests that came too late.
	turns comeback.Queue
}

// New returns a stopper, to be started by the kernel.
func New(c Config) *Stopper {
	s := &Stopper{config: c}
	s.ending, s.endRequests = context.WithCancelCause(context.Background())
	return s
}

// Name implements figpier.Service.
func (s *Stopper) Name() figpier.ServiceName { return figpier.ReadinessService }

// Start implements figpier.Service.
func (s *Stopper) Start(ctx context.Context, d figpier.Directory) (err error) {
	s.clock = d.Clock()
	if s.view, err = figpier.FindView(d); err != nil {
		return err
	}
	if s.backend, err = figpier.FindBackend(d); err != nil {
		return err
	}
	context.AfterFunc(ctx, s.endAll)
	s.started.Store(true)
	s.config.Log.Info("started")
	return nil
}

// endAll ends the requests in flight.
func (s *Stopper) endAll() { s.endRequests(figpier.Refuse(figpier.RefusalStopping)) }

// Ready implements figpier.Readiness: a node is ready while it has a routing table and a fresh view, and is not starting or stopping.
func (s *Stopper) Ready() bool {
	return s.started.Load() && !s.Leaving() && s.view.Configuration().Table() != nil && s.view.Fresh(s.clock.Now())
}

// Leaving implements figpier.Readiness.
func (s *Stopper) Leaving() bool { return s.schedule.Load() != nil }

// Take implements figpier.Readiness. A refused caller may come back once the node has ended, and its successor may have started.
func (s *Stopper) Take(received, deadline time.Time, p figpier.PriorityClass) error {
	schedule := s.schedule.Load()
	if schedule == nil || schedule.Takes(received, deadline) {
		return nil
	}
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	turn := s.turns.Turn(now, p, 0, schedule.End().Sub(now))
	return figpier.NewRefusal(figpier.RefusalConfig{Reason: figpier.RefusalStopping, RetryAfter: turn})
}

// Ending implements figpier.Readiness.
func (s *Stopper) Ending() context.Context { return s.ending }

// Stop implements figpier.Service. It returns when the time to serve open connections is over or the context ends. Requests in flight
// may go on until EndTime.
func (s *Stopper) Stop(ctx context.Context) error {
	schedule := shutdown.New(s.clock.Now(), shutdown.Config{Open: s.config.OpenTime, End: s.config.EndTime})
	s.schedule.Store(&schedule)
	s.clock.AfterFunc(s.config.EndTime, s.endAll)
	s.config.Log.WithFields(logrus.Fields{
		"serves": s.config.DrainTime.String(),
		"ends":   s.config.EndTime.String(),
	}).Info("stopping: no new callers are taken")
	s.backend.Leave()
	over := make(chan struct{})
	cancel := s.clock.AfterFunc(s.config.DrainTime, func() { close(over) })
	defer cancel()
	select {
	case <-ctx.Done():
	case <-over:
	}
	s.backend.RefuseCalls()
	return nil
}
