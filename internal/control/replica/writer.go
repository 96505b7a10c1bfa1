package replica

import (
	"context"
	"sync"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/raft"
)

// writeFunc makes effects durable in order. After an error every further call returns the same error.
type writeFunc func(all []*raft.Effects) error

// writer makes effects durable in order on its own goroutine; all that are queued share one call of write.
type writer struct {
	write   writeFunc
	control figpier.ControlThread
	// wake holds a value while the queue may have entries.
	wake chan struct{}
	// done is closed when run has returned.
	done chan struct{}

	mu    sync.Mutex
	queue []*raft.Effects
}

func newWriter(write writeFunc, c figpier.ControlThread) *writer {
	return &writer{
		write:   write,
		control: c,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
}

func (w *writer) enqueue(e *raft.Effects) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(w.queue, e)
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *writer) run(ctx context.Context) {
	defer close(w.done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
			w.flush()
		}
	}
}

func (w *writer) flush() {
	w.mu.Lock()
	batch := w.queue
	w.queue = nil
	w.mu.Unlock()
	err := w.write(batch)
	_ = w.control.Post(writesFinished{effects: batch, err: err})
}
