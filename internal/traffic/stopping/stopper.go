package stopping

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/figpier/figpier"
)

// Config holds the settings of a Stopper.
type Config struct {
	// DrainTime is how long open connections are still served after the node has become not ready.
	DrainTime time.Duration
	// Log receives a line at start and at stop.
	Log *logrus.Entry
}

// Stopper implements figpier.Readiness. It is the service that is stopped first.
type Stopper struct {
	config   Config
	clock    figpier.Clock
	view     figpier.ConfigurationView
	backend  figpier.Backend
	stopping atomic.Bool
}

// New returns a stopper, to be started by the kernel.
func New(c Config) *Stopper { return &Stopper{config: c} }

// Name implements figpier.Service.
func (s *Stopper) Name() figpier.ServiceName { return figpier.ReadinessService }

// Start implements figpier.Service.
func (s *Stopper) Start(_ context.Context, d figpier.Directory) (err error) {
	s.clock = d.Clock()
	if s.view, err = figpier.FindView(d); err != nil {
		return err
	}
	if s.backend, err = figpier.FindBackend(d); err != nil {
		return err
	}
	s.config.Log.Info("started")
	return nil
}

// Ready implements figpier.Readiness: a node is ready while it has a routing table and a fresh view, and is not stopping.
func (s *Stopper) Ready() bool {
	return !s.stopping.Load() && s.view.Configuration().Table() != nil && s.view.Fresh(s.clock.Now())
}

// Leaving implements figpier.Readiness.
func (s *Stopper) Leaving() bool { return s.stopping.Load() }

// Stop implements figpier.Service. It returns when the time to serve open connections is over or the context ends.
func (s *Stopper) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	s.config.Log.WithField("serves", s.config.DrainTime.String()).Info("stopping: no new callers are taken")
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
