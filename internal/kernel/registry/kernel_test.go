package registry

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/kernel/system"
)

const testService figpier.ServiceName = "test.recorder"

type numberedEvent struct{ n int }

func (numberedEvent) Target() figpier.ServiceName { return testService }

// recorder posts numbered events to itself and closes allSeen when all of them have arrived.
type recorder struct {
	mu      sync.Mutex
	seen    []int
	allSeen chan struct{}
	want    int
}

func (r *recorder) Name() figpier.ServiceName { return testService }

func (r *recorder) Start(_ context.Context, d figpier.Directory) error {
	for n := range r.want {
		if err := d.Control().Post(numberedEvent{n: n}); err != nil {
			return err
		}
	}
	return nil
}

func (r *recorder) Stop(context.Context) error { return nil }

func (r *recorder) HandleEvent(_ time.Time, e figpier.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, e.(numberedEvent).n)
	if len(r.seen) == r.want {
		close(r.allSeen)
	}
}

func TestKernelDeliversEventsInOrderUntilStopped(t *testing.T) {
	k := New(Config{Clock: system.Clock{}})
	r := &recorder{allSeen: make(chan struct{}), want: 100}
	assert.NilError(t, k.Register(r))
	assert.ErrorContains(t, k.Register(r), "registered twice")

	stop, cancel := context.WithCancel(t.Context())
	go func() {
		<-r.allSeen
		cancel()
	}()
	err := k.Run(stop, func() (context.Context, context.CancelFunc) {
		return context.WithCancel(context.Background())
	})

	assert.NilError(t, err)
	for n, got := range r.seen {
		assert.Equal(t, got, n)
	}
	assert.ErrorIs(t, k.Control().Post(numberedEvent{}), figpier.StoppedError{})
}

func TestRunStopsOnFirstFailure(t *testing.T) {
	k := New(Config{Clock: system.Clock{}})
	k.Fail(Error.New("first"))
	k.Fail(Error.New("second"))
	err := k.Run(t.Context(), func() (context.Context, context.CancelFunc) { return context.WithCancel(context.Background()) })
	assert.ErrorContains(t, err, "first")
}
