package configview

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/kernel/registry"
	"github.com/figpier/figpier/internal/kernel/system"
	"github.com/figpier/figpier/internal/wire/message"
)

// fakeMessenger answers for the control instances that are alive, and lets messages to the others time out.
type fakeMessenger struct {
	mu    sync.Mutex
	alive map[string]bool
	asked []string
}

func (*fakeMessenger) Name() figpier.ServiceName                      { return figpier.MessengerService }
func (*fakeMessenger) Start(context.Context, figpier.Directory) error { return nil }
func (*fakeMessenger) Stop(context.Context) error                     { return nil }
func (*fakeMessenger) Handle(figpier.Method, figpier.MessageHandler)  {}

func (m *fakeMessenger) Request(ctx context.Context, address string, _ figpier.Method, question, answer any) error {
	m.mu.Lock()
	m.asked = append(m.asked, address)
	alive := m.alive[address]
	m.mu.Unlock()
	if !alive {
		<-ctx.Done()
		return ctx.Err()
	}
	wait := time.NewTimer(time.Duration(question.(message.Poll).WaitMillis) * time.Millisecond)
	defer wait.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-wait.C:
	}
	*answer.(*message.PollAnswer) = message.PollAnswer{Settled: true, Registry: "r", Controls: []message.ControlPlace{
		{Address: "far", DataCentre: "b1", Region: "b"},
		{Address: "near", DataCentre: "a1", Region: "a"},
		{Address: "beside", DataCentre: "a2", Region: "a"},
	}}
	return nil
}

func (m *fakeMessenger) setAlive(address string, alive bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.alive[address] = alive
}

// seeds implements figpier.SeedSource.
type seeds []string

func (seeds) Name() figpier.ServiceName                      { return figpier.SeedService }
func (seeds) Start(context.Context, figpier.Directory) error { return nil }
func (seeds) Stop(context.Context) error                     { return nil }
func (s seeds) Seeds() []string                              { return s }

func TestViewSwitchesFromUnreachableControlInstances(t *testing.T) {
	m := &fakeMessenger{alive: map[string]bool{"far": true, "near": true, "beside": true}}
	v := New(Config{
		DataCentre:    "a1",
		Region:        "a",
		Freshness:     time.Second,
		PollWait:      60 * time.Millisecond,
		AnswerTimeout: 40 * time.Millisecond,
		RetryPause:    10 * time.Millisecond,
	})
	k := registry.New(registry.Config{Clock: system.Clock{}})
	for _, s := range []figpier.Service{m, seeds{"far"}, v} {
		assert.NilError(t, k.Register(s))
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		done <- k.Run(ctx, func() (context.Context, context.CancelFunc) { return context.WithCancel(context.Background()) })
	}()
	// The view learns of the others from the seed, which it leaves for a nearer one once it fails or after nearerRetryInterval.
	waitFor(t, func() bool { return v.ControlAddress() == "far" })
	m.setAlive("far", false)
	waitFor(t, func() bool { return v.ControlAddress() == "near" })

	m.setAlive("near", false)
	m.setAlive("beside", false)
	m.setAlive("far", true)
	lost := time.Now()
	waitFor(t, func() bool { return v.ControlAddress() == "far" })
	// Expected are one held poll and two immediate ones, with a pause in between; the bound is ten times the polls.
	assert.Assert(t, time.Since(lost) < 10*(60+3*40)*time.Millisecond, "%v", time.Since(lost))
	m.mu.Lock()
	assert.Assert(t, slices.Contains(m.asked, "beside"))
	m.mu.Unlock()
	stop()
	assert.NilError(t, <-done)
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	end := time.NewTimer(10 * time.Second)
	defer end.Stop()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !done() {
		select {
		case <-end.C:
			t.Fatal("condition not met within 10 s")
		case <-tick.C:
		}
	}
}
