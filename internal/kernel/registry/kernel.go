package registry

import (
	"context"
	"errors"

	"github.com/zeebo/errs"

	"github.com/figpier/figpier"
)

// Error is the class of errors returned by the kernel.
var Error = errs.Class("kernel")

// Config holds the arguments of New.
type Config struct {
	// Clock is the clock of the process.
	Clock figpier.Clock
}

// Kernel holds the services of a process and runs its control thread. It implements figpier.Directory.
type Kernel struct {
	clock    figpier.Clock
	control  *controlThread
	services map[figpier.ServiceName]figpier.Service
	order    []figpier.Service
	failure  chan error
}

// New returns a kernel without services, which is to be run once.
func New(c Config) *Kernel {
	k := &Kernel{
		clock:    c.Clock,
		services: map[figpier.ServiceName]figpier.Service{},
		failure:  make(chan error, 1),
	}
	k.control = newControlThread(c.Clock, k)
	return k
}

// Register adds a service. Services start in the order of registration. Register must not be called after Run.
func (k *Kernel) Register(s figpier.Service) error {
	if _, taken := k.services[s.Name()]; taken {
		return Error.New("service %q is registered twice", s.Name())
	}
	k.services[s.Name()] = s
	k.order = append(k.order, s)
	return nil
}

// Find implements figpier.Directory.
func (k *Kernel) Find(name figpier.ServiceName) (figpier.Service, error) {
	s, ok := k.services[name]
	if !ok {
		return nil, figpier.NewUnknownServiceError(name)
	}
	return s, nil
}

// Control implements figpier.Directory.
func (k *Kernel) Control() figpier.ControlThread { return k.control }

// Clock implements figpier.Directory.
func (k *Kernel) Clock() figpier.Clock { return k.clock }

// Fail implements figpier.Directory. Only the first failure is kept; it is returned by Run.
func (k *Kernel) Fail(err error) {
	select {
	case k.failure <- err:
	default:
	}
}

// Run starts all services, waits until the stop context ends or Fail is called, and stops the services in reverse order.
// newGrace returns the context that bounds the calls of Stop. The context given to Start ends after them.
func (k *Kernel) Run(stop context.Context, newGrace func() (context.Context, context.CancelFunc)) error {
	serviceCtx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	controlDone := make(chan struct{})
	go func() {
		defer close(controlDone)
		k.control.run(serviceCtx)
	}()

	started, err := k.startServices(serviceCtx)
	if err == nil {
		err = k.waitForStop(stop)
	}

	graceCtx, cancelGrace := newGrace()
	defer cancelGrace()
	err = errors.Join(err, k.stopServices(graceCtx, started))
	cancel()
	<-controlDone
	return err
}

// waitForStop returns nil when the context ends, or the error given to Fail.
func (k *Kernel) waitForStop(stop context.Context) error {
	select {
	case <-stop.Done():
		return nil
	case err := <-k.failure:
		return err
	}
}

// startServices starts the services in order and returns how many were started.
func (k *Kernel) startServices(ctx context.Context) (started int, err error) {
	for i, s := range k.order {
		if err := s.Start(ctx, k); err != nil {
			return i, Error.New("start %s: %w", s.Name(), err)
		}
	}
	return len(k.order), nil
}

// stopServices stops the first started services in reverse order and joins their errors.
func (k *Kernel) stopServices(ctx context.Context, started int) error {
	var failures error
	for i := started - 1; i >= 0; i-- {
		s := k.order[i]
		if err := s.Stop(ctx); err != nil {
			failures = errors.Join(failures, Error.New("stop %s: %w", s.Name(), err))
		}
	}
	return failures
}
