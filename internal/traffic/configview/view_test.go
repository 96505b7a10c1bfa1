package configview

import (
	"context"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/kernel/registry"
	"github.com/figpier/figpier/internal/kernel/system"
	"github.com/figpier/figpier/internal/wire/message"
)

// fakeMessenger answers for the control instances that are alive. Messages to the others time out, or are refused at once.
type fakeMessenger struct {
	mu      sync.Mutex
	alive   map[string]bool
	refuses map[string]bool
	// behind are the control instances that are not current.
	behind map[string]bool
	// polled are the addresses that were polled, in order.
	polled []string
	// elsewhere is the field ElsewhereMillis of the last poll of each address.
	elsewhere map[string]int
}

func (*fakeMessenger) Name() figpier.ServiceName                      { return figpier.MessengerService }
func (*fakeMessenger) Start(context.Context, figpier.Directory) error { return nil }
func (*fakeMessenger) Stop(context.Context) error                     { return nil }
func (*fakeMessenger) Handle(figpier.Method, figpier.MessageHandler)  {}

// controls are the places of the control instances in all answers.
var controls = []message.ControlPlace{
	{Address: "far", DataCentre: "b1", Region: "b"},
	{Address: "near", DataCentre: "a1", Region: "a"},
	{Address: "beside", DataCentre: "a2", Region: "a"},
}

func (m *fakeMessenger) Request(ctx context.Context, address string, method figpier.Method, question, answer any) error {
	m.mu.Lock()
	if method == figpier.MethodPoll {
		m.polled = append(m.polled, address)
		m.elsewhere[address] = question.(message.Poll).ElsewhereMillis
	}
	alive, refuses, behind := m.alive[address], m.refuses[address], m.behind[address]
	m.mu.Unlock()
	switch {
	case refuses:
		return figpier.NewUnreachedError(address, syscall.ECONNREFUSED)
	case !alive:
		<-ctx.Done()
		return ctx.Err()
	case method == figpier.MethodControls:
		*answer.(*message.ControlsAnswer) = message.ControlsAnswer{Controls: controls}
		return nil
	}
	if behind {
		*answer.(*message.PollAnswer) = message.PollAnswer{Uncounted: &behind, QuorumAgeMillis: 1e9}
		return nil
	}
	wait := time.NewTimer(time.Duration(question.(message.Poll).WaitMillis) * time.Millisecond)
	defer wait.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-wait.C:
	}
	*answer.(*message.PollAnswer) = message.PollAnswer{Settled: true, Registry: "r", Controls: controls}
	return nil
}

func (m *fakeMessenger) set(address string, alive, refuses bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.alive[address], m.refuses[address] = alive, refuses
}

// setBehind makes the control instances at the addresses, and no others, not current.
func (m *fakeMessenger) setBehind(addresses ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.behind)
	for _, a := range addresses {
		m.behind[a] = true
	}
}

// polls returns how often a control instance was polled.
func (m *fakeMessenger) polls(address string) (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.polled {
		if a == address {
			n++
		}
	}
	return n
}

// seeds implements figpier.SeedSource.
type seeds []string

func (seeds) Name() figpier.ServiceName                      { return figpier.SeedService }
func (seeds) Start(context.Context, figpier.Directory) error { return nil }
func (seeds) Stop(context.Context) error                     { return nil }
func (s seeds) Seeds() []string                              { return s }

// startView runs a view in data centre a1 of region a whose only seed is "far", until the test ends.
func startView(t *testing.T, m *fakeMessenger) *View {
	t.Helper()
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
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- k.Run(ctx, func() (context.Context, context.CancelFunc) { return context.WithCancel(context.Background()) })
	}()
	t.Cleanup(func() {
		stop()
		assert.NilError(t, <-done)
	})
	return v
}

// lastElsewhere returns how long before the last poll of a control instance the node said that it had polled another one.
func (m *fakeMessenger) lastElsewhere(address string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.elsewhere[address]) * time.Millisecond
}

func newFakeMessenger() *fakeMessenger {
	return &fakeMessenger{alive: map[string]bool{"far": true, "near": true, "beside": true}, refuses: map[string]bool{}, behind: map[string]bool{}, elsewhere: map[string]int{}}
}

// TestNodePollsItsOwnRegion guards against polls that cross to another region while the own one has a control instance, as
// those of a node did whose seeds are all elsewhere.
func TestNodePollsItsOwnRegion(t *testing.T) {
	m := newFakeMessenger()
	v := startView(t, m)
	waitFor(t, func() bool { return v.ControlAddress() == "near" })
	m.set("near", false, true)
	waitFor(t, func() bool { return v.ControlAddress() == "beside" })
	assert.Equal(t, m.polls("far"), 0)

	// Both of the region refuse connections, as while they restart: the node goes abroad, and comes back.
	m.set("beside", false, true)
	waitFor(t, func() bool { return v.ControlAddress() == "far" })
	m.set("near", true, false)
	m.set("beside", true, false)
	returned := time.Now()
	waitFor(t, func() bool { return v.ControlAddress() == "near" })
	// One held poll abroad may be in progress.
	assert.Assert(t, time.Since(returned) < 2*behindRetryInterval, "%v", time.Since(returned))
	polls := m.polls("far")
	waitFor(t, func() bool { return m.polls("near") > 5 })
	assert.Equal(t, m.polls("far"), polls)
}

func TestNodeThatCannotReachItsSeedTriesAgain(t *testing.T) {
	m := newFakeMessenger()
	m.set("far", false, true)
	v := startView(t, m)
	waitFor(t, func() bool { return m.polls("far") > 2 })
	m.set("far", true, false)
	waitFor(t, func() bool { return v.ControlAddress() == "near" })
}

// TestInstancesThatAreBehindAreLeftAndDoNotCount covers the time after a restart of all control instances, in which nodes poll
// one after the other until a leader is elected.
func TestInstancesThatAreBehindAreLeftAndDoNotCount(t *testing.T) {
	m := newFakeMessenger()
	v := startView(t, m)
	waitFor(t, func() bool { return v.ControlAddress() == "near" })
	m.setBehind("near", "beside", "far")
	waitFor(t, func() bool { return m.polls("far") > 1 })
	assert.Equal(t, v.ControlAddress(), "near", "an instance that is behind has no tokens")
	m.setBehind()
	polls := m.polls("near")
	waitFor(t, func() bool { return m.polls("near") > polls+1 })
	assert.Equal(t, m.lastElsewhere("near"), noOtherPollAge)
}

func TestViewSwitchesFromUnreachableControlInstances(t *testing.T) {
	m := newFakeMessenger()
	v := startView(t, m)
	waitFor(t, func() bool { return v.ControlAddress() == "near" })

	m.set("near", false, false)
	m.set("beside", false, false)
	lost := time.Now()
	waitFor(t, func() bool { return v.ControlAddress() == "far" })
	// Expected are one held poll and two immediate ones, with a pause in between; the bound is ten times the polls.
	assert.Assert(t, time.Since(lost) < 10*(60+3*40)*time.Millisecond, "%v", time.Since(lost))
	assert.Assert(t, m.polls("beside") > 0)
}

// TestNodeIsNotCountedAsPollingWhereItWasRefused guards against pools that count no node after a restart of all control
// instances, because each node tried others in the meantime.
func TestNodeIsNotCountedAsPollingWhereItWasRefused(t *testing.T) {
	m := newFakeMessenger()
	v := startView(t, m)
	waitFor(t, func() bool { return v.ControlAddress() == "near" })
	m.set("beside", false, true)
	m.set("far", false, true)
	m.set("near", false, true)
	waitFor(t, func() bool { return m.polls("far") > 2 })
	polls := m.polls("near")
	m.set("near", true, false)
	waitFor(t, func() bool { return m.polls("near") > polls+1 })
	assert.Equal(t, m.lastElsewhere("near"), noOtherPollAge)
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
