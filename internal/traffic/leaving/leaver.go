package leaving

import (
	"context"
	"time"

	"github.com/figpier/figpier"
)

// Config holds the settings of a Leaver.
type Config struct {
	// LeaveNotice is how long the node still accepts new work after it has announced that it leaves, so that other nodes have time
	// to learn of it.
	LeaveNotice time.Duration
}

// Leaver is the service that is stopped first: its Stop announces that the node leaves, waits for the notice, and then makes
// the node refuse new work.
type Leaver struct {
	config  Config
	clock   figpier.Clock
	backend figpier.Backend
}

// New returns a leaver, to be started by the kernel.
func New(c Config) *Leaver { return &Leaver{config: c} }

// Name implements figpier.Service.
func (l *Leaver) Name() figpier.ServiceName { return figpier.LeavingService }

// Start implements figpier.Service.
func (l *Leaver) Start(_ context.Context, d figpier.Directory) (err error) {
	l.clock = d.Clock()
	l.backend, err = figpier.FindBackend(d)
	return err
}

// Stop implements figpier.Service. The end of the context cuts the notice short.
func (l *Leaver) Stop(ctx context.Context) error {
	l.backend.Leave()
	over := make(chan struct{})
	cancel := l.clock.AfterFunc(l.config.LeaveNotice, func() { close(over) })
	defer cancel()
	select {
	case <-ctx.Done():
	case <-over:
	}
	l.backend.RefuseCalls()
	return nil
}
