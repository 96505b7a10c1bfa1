package shards_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
	controlshards "github.com/figpier/figpier/internal/control/shards"
	"github.com/figpier/figpier/internal/control/statemachines"
	"github.com/figpier/figpier/internal/kernel/registry"
	"github.com/figpier/figpier/internal/kernel/system"
	"github.com/figpier/figpier/internal/policy/shard"
	"github.com/figpier/figpier/internal/traffic/claims"
	"github.com/figpier/figpier/internal/traffic/limiter"
	"github.com/figpier/figpier/internal/traffic/locator"
	"github.com/figpier/figpier/internal/traffic/shards"
)

const (
	testService   = figpier.UpstreamService("booking")
	controlName   = "control"
	tokenLease    = 500 * time.Millisecond
	maxClockDrift = 25 * time.Millisecond
	lossTime      = 10 * time.Second
)

// synctestClock returns the fake time of the synctest bubble, which the kernel's own clocks don't follow.
type synctestClock struct{ system.Clock }

// Now implements figpier.Clock.
func (synctestClock) Now() time.Time { return time.Now() }

// fakeLog implements figpier.ReplicatedLog in memory, without replication.
type fakeLog struct {
	machine figpier.StateMachine
	control figpier.ControlThread
}

type proposal struct {
	command []byte
	answer  chan any
}

func (proposal) Target() figpier.ServiceName { return figpier.ReplicaService }

func (l *fakeLog) Name() figpier.ServiceName              { return figpier.ReplicaService }
func (l *fakeLog) SetStateMachine(m figpier.StateMachine) { l.machine = m }
func (l *fakeLog) QuorumAge(time.Time) time.Duration      { return 0 }
func (l *fakeLog) Leader() figpier.InstanceID             { return controlName }
func (l *fakeLog) Peers() []string                        { return nil }
func (l *fakeLog) Stop(context.Context) error             { return nil }
func (l *fakeLog) HandleEvent(_ time.Time, e figpier.Event) {
	p := e.(proposal)
	p.answer <- l.machine.Apply(1, p.command)
}

func (l *fakeLog) Start(_ context.Context, d figpier.Directory) error {
	l.control = d.Control()
	return nil
}

func (l *fakeLog) Propose(ctx context.Context, command []byte) (any, error) {
	time.Sleep(5 * time.Millisecond)
	p := proposal{command: command, answer: make(chan any, 1)}
	if err := l.control.Post(p); err != nil {
		return nil, err
	}
	select {
	case a := <-p.answer:
		return a, nil
	case <-ctx.Done():
		return nil, figpier.NewOutcomeUnknownError("")
	}
}

// fakeCounters implements figpier.Counters without counting.
type fakeCounters struct{ figpier.Counters }

func (fakeCounters) Name() figpier.ServiceName                      { return figpier.CounterService }
func (fakeCounters) Start(context.Context, figpier.Directory) error { return nil }
func (fakeCounters) Stop(context.Context) error                     { return nil }
func (fakeCounters) Gauge(string, func() float64)                   {}

// fakeView implements figpier.ConfigurationView with one profile.
type fakeView struct {
	figpier.ConfigurationView
	configuration *figpier.Configuration
}

func newFakeView() *fakeView {
	p := figpier.NewProfile(figpier.ProfileConfig{
		Name: "p",
		Limits: map[figpier.CustomerID]figpier.Limit{
			"quick": figpier.NewLimit(figpier.LimitConfig{Rate: 40, Burst: 10}),
			"slow":  figpier.NewLimit(figpier.LimitConfig{Rate: 4, Burst: 20}),
		},
	})
	a := figpier.NewAssignment(figpier.AssignmentConfig{Service: testService, Profile: "p"})
	return &fakeView{configuration: figpier.NewConfiguration(figpier.ConfigurationConfig{
		Profiles:    map[figpier.ProfileName]*figpier.Profile{"p": p},
		Assignments: map[figpier.UpstreamService]*figpier.Assignment{testService: a},
	})}
}

func (v *fakeView) Name() figpier.ServiceName                      { return figpier.ConfigurationService }
func (v *fakeView) Start(context.Context, figpier.Directory) error { return nil }
func (v *fakeView) Stop(context.Context) error                     { return nil }
func (v *fakeView) Configuration() *figpier.Configuration          { return v.configuration }
func (v *fakeView) Fresh(time.Time) bool                           { return true }

// process is a running kernel with the services of a node or of the control instance.
type process struct {
	link    *link
	stop    context.CancelFunc
	stopped bool
	limiter *limiter.Limiter
	claims  *claims.Claims
	locator *locator.Locator
	ended   chan struct{}
}

// cluster is one control instance and some nodes inside a synctest bubble.
type cluster struct {
	t       *testing.T
	network *network
	control *process

	mu    sync.Mutex // guards nodes and whether each is stopped
	nodes []*process
	// grace is how long the services of a process may take to stop, 0 for an abrupt end.
	grace time.Duration
}

func newCluster(t *testing.T, seed uint64, nodes int) *cluster {
	cl := &cluster{t: t, network: newNetwork(seed)}
	log := &fakeLog{}
	assigner := controlshards.New(controlshards.Config{
		Instance:      controlName,
		LeaseTime:     2 * time.Second,
		MaxClockDrift: 100 * time.Millisecond,
		LossTime:      lossTime,
		Backups:       2,
		Log:           discardLog(),
	})
	log.SetStateMachine(statemachines.New(statemachines.Config{Shards: assigner}))
	cl.control = cl.startProcess(cl.network.link(controlName), log, assigner)
	for range nodes {
		cl.startNode()
	}
	time.Sleep(3 * time.Second)
	return cl
}

func discardLog() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

// startNode starts a node.
func (cl *cluster) startNode() *process {
	address := fmt.Sprintf("node%d", len(cl.allNodes()))
	name := figpier.InstanceID(address)
	host := shards.New(shards.Config{
		Instance:      name,
		Address:       address,
		DataCentre:    figpier.DataCentre(address),
		Region:        "north",
		Controls:      []string{controlName},
		TokenLease:    tokenLease,
		MaxClockDrift: maxClockDrift,
		Retention:     24 * time.Hour,
		RunTimeout:    time.Minute,
	})
	l := limiter.New(limiter.Config{Instance: name, MaxWait: 100 * time.Millisecond})
	c := claims.New()
	finder := locator.New(locator.Config{Controls: []string{controlName}})
	p := cl.startProcess(cl.network.link(address), newFakeView(), finder, host, l, c)
	p.limiter, p.claims, p.locator = l, c, finder
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.nodes = append(cl.nodes, p)
	return p
}

func (cl *cluster) startProcess(l *link, services ...figpier.Service) *process {
	k := registry.New(registry.Config{Clock: synctestClock{}})
	for _, s := range append([]figpier.Service{l, fakeCounters{}}, services...) {
		assert.NilError(cl.t, k.Register(s))
	}
	ctx, stop := context.WithCancel(cl.t.Context())
	p := &process{link: l, stop: stop, ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		_ = k.Run(ctx, func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.Background(), cl.grace)
		})
	}()
	synctest.Wait()
	return p
}

// allNodes returns all nodes, also the stopped ones.
func (cl *cluster) allNodes() []*process {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return slices.Clone(cl.nodes)
}

// markStopped keeps new requests away from a node.
func (cl *cluster) markStopped(p *process) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	p.stopped = true
}

// kill ends a process abruptly: its messages are cut off before it stops.
func (cl *cluster) kill(p *process) {
	cl.markStopped(p)
	p.link.kill()
	p.stop()
	<-p.ended
}

// stopGracefully ends a process by a planned stop.
func (cl *cluster) stopGracefully(p *process) {
	cl.markStopped(p)
	cl.grace = time.Second
	p.stop()
	<-p.ended
	cl.grace = 0
}

func (cl *cluster) stopAll() {
	for _, p := range append(cl.allNodes(), cl.control) {
		p.link.kill()
		p.stop()
	}
	for _, p := range append(cl.allNodes(), cl.control) {
		<-p.ended
	}
	// Lets the messages that are still on their way end.
	time.Sleep(time.Minute)
}

// primary returns the node that the locator names as a shard's primary.
func (cl *cluster) primary(id shard.ID) *process {
	cl.t.Helper()
	address, err := cl.runningNodes()[0].locator.Primary(cl.t.Context(), uint32(id))
	assert.NilError(cl.t, err)
	for _, p := range cl.allNodes() {
		if p.link.address == address {
			return p
		}
	}
	cl.t.Fatalf("no node has the address %s", address)
	return nil
}

// runningNodes returns the nodes that were neither killed nor stopped.
func (cl *cluster) runningNodes() []*process {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var all []*process
	for _, p := range cl.nodes {
		if !p.stopped {
			all = append(all, p)
		}
	}
	return all
}

// runCounter counts the runs of each request, and the refusals by reason.
type runCounter struct {
	mu      sync.Mutex
	runs    map[figpier.IdempotencyKey]int
	refused map[figpier.RefusalReason]int
}

func (c *runCounter) countRun(k figpier.IdempotencyKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[k]++
}

func (c *runCounter) countRefusal(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var r *figpier.Refusal
	if errors.As(err, &r) {
		c.refused[r.Reason()]++
	}
}
