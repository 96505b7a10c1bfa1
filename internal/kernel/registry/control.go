package registry

import (
	"context"
	"sync"
	"time"

	"github.com/figpier/figpier"
)

// controlThread delivers queued events one at a time, in order, to their target services.
type controlThread struct {
	clock     figpier.Clock
	directory figpier.Directory

	mu      sync.Mutex // guards queue and stopped
	queue   []figpier.Event
	stopped bool
	wake    chan struct{} // holds a value while the queue may have events
}

func newControlThread(c figpier.Clock, d figpier.Directory) *controlThread {
	return &controlThread{clock: c, directory: d, wake: make(chan struct{}, 1)}
}

// Post implements figpier.ControlThread.
func (t *controlThread) Post(e figpier.Event) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return figpier.StoppedError{}
	}
	t.queue = append(t.queue, e)
	select {
	case t.wake <- struct{}{}:
	default:
	}
	return nil
}

// PostAfter implements figpier.ControlThread.
func (t *controlThread) PostAfter(d time.Duration, e figpier.Event) (cancel func()) {
	return t.clock.AfterFunc(d, func() {
		_ = t.Post(e)
	})
}

// run delivers events until the context ends. Events that are still queued then are dropped.
func (t *controlThread) run(ctx context.Context) {
	defer t.close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
			t.deliverQueued()
		}
	}
}

func (t *controlThread) deliverQueued() {
	for _, e := range t.dequeueAll() {
		t.deliver(e)
	}
}

func (t *controlThread) dequeueAll() []figpier.Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	events := t.queue
	t.queue = nil
	return events
}

// deliver drops an event whose target is not registered or handles no events.
func (t *controlThread) deliver(e figpier.Event) {
	s, err := t.directory.Find(e.Target())
	if err != nil {
		return
	}
	if h, ok := s.(figpier.EventHandler); ok {
		h.HandleEvent(t.clock.Now(), e)
	}
}

// close drops the queued events and makes Post return a StoppedError.
func (t *controlThread) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.queue = nil
}
