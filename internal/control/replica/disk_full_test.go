package replica

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
)

const (
	// restartDelay is the time after which an instance that ended by itself is started again.
	restartDelay = 300 * time.Millisecond
	// fullTime is how long a disk takes no writes.
	fullTime = 2 * time.Second
	// acknowledgementBound is the time within which an edit has to be acknowledged while most instances run, as the users state it.
	acknowledgementBound = 4 * time.Second
)

// supervised is an instance that is started again whenever it has ended by itself.
type supervised struct {
	*instance
	mu      sync.Mutex // guards the running instance while it is replaced
	stopped bool
	ends    int
}

// start runs the instance, and again each time that a full disk has ended it.
func (s *supervised) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.run(func(err error) {
		assert.Check(s.cluster.t, err == nil || errors.Is(err, syscall.ENOSPC), "%v", err)
		if err == nil {
			return
		}
		time.AfterFunc(restartDelay, func() {
			s.mu.Lock()
			s.ends++
			s.mu.Unlock()
			s.start()
		})
	})
}

// end stops the instance for good.
func (s *supervised) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.stop()
}

// submitTo submits an edit to the instance as it runs now.
func (s *supervised) submitTo(operation string, base figpier.Revision) (*figpier.Receipt, error) {
	s.mu.Lock()
	c := s.catalog
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return c.Submit(ctx, newProfileEdit(operation, base))
}

// acceptWithin sends an edit to the instances in turn, as an operator does, until one accepts it, and returns its revision.
func acceptWithin(t *testing.T, all []*supervised, operation string, base figpier.Revision, bound time.Duration) figpier.Revision {
	t.Helper()
	began := time.Now()
	for n := 0; time.Since(began) < bound; n++ {
		if r, err := all[n%len(all)].submitTo(operation, base); err == nil {
			return r.Revision()
		}
		<-time.After(50 * time.Millisecond)
	}
	t.Fatalf("%s was not accepted within %v", operation, bound)
	return 0
}

// TestEditsAreAcceptedWhileDisksAreFullInTurn guards against changes that are refused or stay unanswered for good after the disks of all
// instances were full, one after the other and never two at once.
func TestEditsAreAcceptedWhileDisksAreFullInTurn(t *testing.T) {
	c := newCluster(t)
	var all []*supervised
	c.waitForLeader()
	for _, i := range c.instances {
		c.waitUntilVoter(i)
	}
	for _, i := range c.instances {
		i.stop()
		s := &supervised{instance: i}
		all = append(all, s)
		s.start()
		t.Cleanup(s.end)
	}
	revision := acceptWithin(t, all, "first", 0, time.Minute)
	for round := range 2 {
		for n, s := range all {
			s.full.Store(true)
			for began, edit := time.Now(), 0; time.Since(began) < fullTime; edit++ {
				revision = acceptWithin(t, all, fmt.Sprintf("edit-%d-%d-%d", round, n, edit), revision, acknowledgementBound)
			}
			s.full.Store(false)
		}
	}
	// Each instance answers by itself again once the last disk has room.
	for n, s := range all {
		revision = acceptWithin(t, []*supervised{s}, fmt.Sprintf("last-%d", n), revision, acknowledgementBound)
	}
	for _, s := range all {
		s.mu.Lock()
		assert.Check(t, s.ends > 0, "%s did not end by itself", s.name)
		s.mu.Unlock()
	}
}
