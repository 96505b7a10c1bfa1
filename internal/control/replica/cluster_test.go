package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/control/catalog"
	"github.com/figpier/figpier/internal/control/disk"
	"github.com/figpier/figpier/internal/kernel/registry"
	"github.com/figpier/figpier/internal/kernel/system"
	"github.com/figpier/figpier/internal/policy/raft"
)

// network connects the messengers of a test. Messages from and to an isolated instance are lost without an error.
type network struct {
	mu       sync.Mutex
	handlers map[string]map[figpier.Method]figpier.MessageHandler
	cut      map[string]bool
	// cutAfterProposal is the address that is isolated as soon as the leader has answered a proposal from it.
	cutAfterProposal string
}

func (n *network) isolate(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

func (n *network) isolateAfterProposal(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutAfterProposal = address
}

func (n *network) delivered(from string, m figpier.Method) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m == figpier.MethodPropose && from == n.cutAfterProposal {
		n.cut[from] = true
	}
}

func (n *network) isolated(addresses ...string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		if n.cut[a] {
			return true
		}
	}
	return false
}

// endpoint implements figpier.Messenger for one address of a network.
type endpoint struct {
	network *network
	address string
}

func (e *endpoint) Name() figpier.ServiceName { return figpier.MessengerService }

func (e *endpoint) Start(context.Context, figpier.Directory) error { return nil }

func (e *endpoint) Stop(context.Context) error {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	delete(e.network.handlers, e.address)
	return nil
}

func (e *endpoint) Handle(m figpier.Method, h figpier.MessageHandler) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	if e.network.handlers[e.address] == nil {
		e.network.handlers[e.address] = map[figpier.Method]figpier.MessageHandler{}
	}
	e.network.handlers[e.address][m] = h
}

func (e *endpoint) Request(ctx context.Context, address string, m figpier.Method, message, answer any) error {
	e.network.mu.Lock()
	h, ok := e.network.handlers[address][m]
	e.network.mu.Unlock()
	if !ok {
		return Error.New("connection refused")
	}
	if e.network.isolated(e.address, address) {
		<-ctx.Done()
		return ctx.Err()
	}
	text, err := json.Marshal(message)
	if err != nil {
		return err
	}
	reply, err := h(ctx, func(into any) error { return json.Unmarshal(text, into) })
	if err != nil {
		return err
	}
	e.network.delivered(e.address, m)
	if e.network.isolated(e.address, address) {
		<-ctx.Done()
		return ctx.Err()
	}
	if text, err = json.Marshal(reply); err != nil {
		return err
	}
	return json.Unmarshal(text, answer)
}

// instance is a control instance that a test can restart.
type instance struct {
	cluster *cluster
	name    figpier.InstanceID
	folder  string
	log     *Log
	catalog *catalog.Catalog
	stop    func()
	// newMessenger returns the messenger for the instance's endpoint.
	newMessenger func(endpoint) figpier.Messenger
	// full makes the disk refuse all writes.
	full atomic.Bool
}

// cluster is three control instances on an in-memory network, each with a data folder on disk.
type cluster struct {
	t         *testing.T
	network   *network
	peers     []PeerConfig
	instances []*instance
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, network: &network{
		handlers: map[string]map[figpier.Method]figpier.MessageHandler{},
		cut:      map[string]bool{},
	}}
	folder := t.TempDir()
	for i := range 3 {
		name := figpier.InstanceID(fmt.Sprintf("c%d", i))
		c.peers = append(c.peers, PeerConfig{Instance: name, Address: string(name)})
		c.instances = append(c.instances, &instance{
			cluster:      c,
			name:         name,
			folder:       filepath.Join(folder, string(name)),
			newMessenger: func(e endpoint) figpier.Messenger { return &e },
		})
	}
	for _, i := range c.instances {
		i.start()
		t.Cleanup(func() { i.stop() })
	}
	return c
}

// start runs the instance until stop is called. It must not end by itself.
func (i *instance) start() {
	i.run(func(err error) { assert.Check(i.cluster.t, err) })
}

// run starts the instance. It calls ended with the result once the instance has ended.
func (i *instance) run(ended func(error)) {
	i.log = New(Config{Instance: i.name, Address: string(i.name), DataFolder: i.folder, Peers: i.cluster.peers})
	i.log.wrapWrite = i.refuseWhenFull
	i.catalog = catalog.New()
	i.log.SetStateMachine(i.catalog)
	k := registry.New(registry.Config{Clock: system.Clock{}})
	assert.NilError(i.cluster.t, k.Register(i.newMessenger(endpoint{network: i.cluster.network, address: string(i.name)})))
	assert.NilError(i.cluster.t, k.Register(i.log))
	assert.NilError(i.cluster.t, k.Register(i.catalog))
	ready := &startProbe{started: make(chan struct{})}
	assert.NilError(i.cluster.t, k.Register(ready))
	stop, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		ended(k.Run(stop, func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.Background(), time.Minute)
		}))
	}()
	<-ready.started
	i.stop = func() {
		cancel()
		<-done
	}
}

// refuseWhenFull returns a function that writes unless the disk is full.
func (i *instance) refuseWhenFull(write writeFunc) writeFunc {
	var refused error
	return func(all []*raft.Effects) error {
		if refused == nil && i.full.Load() {
			refused = disk.Error.Wrap(syscall.ENOSPC)
		}
		if refused != nil {
			return refused
		}
		return write(all)
	}
}

// startProbe is registered last and closes started when all other services have started.
type startProbe struct{ started chan struct{} }

func (*startProbe) Name() figpier.ServiceName { return "test.readiness" }

func (r *startProbe) Start(context.Context, figpier.Directory) error {
	close(r.started)
	return nil
}

func (*startProbe) Stop(context.Context) error { return nil }

// loseDisk stops an instance, deletes its data folder and starts it again.
func (i *instance) loseDisk() {
	i.stop()
	assert.NilError(i.cluster.t, os.RemoveAll(i.folder))
	i.start()
}

// newProfileEdit returns an edit that applies the profile "p" on a base revision.
func newProfileEdit(operation string, base figpier.Revision) *figpier.Edit {
	return figpier.NewEdit(figpier.EditConfig{
		Operation: figpier.OperationID(operation),
		Kind:      figpier.EditApplyProfile,
		Base:      base,
		Profile:   figpier.NewProfile(figpier.ProfileConfig{Name: "p"}),
	})
}

func (i *instance) submit(operation string, base figpier.Revision) (*figpier.Receipt, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return i.catalog.Submit(ctx, newProfileEdit(operation, base))
}

// revision returns the revision of the profile "p", 0 when there is none.
func (i *instance) revision() figpier.Revision {
	p, ok := i.catalog.Configuration().Profiles()["p"]
	if !ok {
		return 0
	}
	return p.Revision()
}

// submitUntilAccepted resends an edit, always on the revision known at the first call, until it is accepted, and returns its revision.
func (c *cluster) submitUntilAccepted(operation string, at *instance) (accepted figpier.Revision) {
	c.t.Helper()
	base := at.revision()
	c.eventually(operation+" is accepted", func() bool {
		r, err := at.submit(operation, base)
		if err == nil {
			accepted = r.Revision()
		}
		return err == nil
	})
	return accepted
}

func (c *cluster) eventually(what string, f func() bool) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if f() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(time.Minute), poll.WithDelay(20*time.Millisecond))
}

// waitForRevision waits until all instances have a revision and were in contact with a quorum within two seconds.
func (c *cluster) waitForRevision(want figpier.Revision) {
	c.t.Helper()
	for _, i := range c.instances {
		c.eventually(fmt.Sprintf("%s has revision %d", i.name, want), func() bool {
			return i.revision() >= want && i.log.QuorumAge(time.Now()) < 2*time.Second
		})
		assert.Equal(c.t, i.revision(), want)
	}
}

func (c *cluster) waitForLeader() *instance {
	c.t.Helper()
	var lead *instance
	c.eventually("one instance leads", func() bool {
		for _, i := range c.instances {
			if i.log.published.Load().leading {
				lead = i
			}
		}
		return lead != nil
	})
	return lead
}

// waitUntilVoter waits until an instance is a voter and knows of as many voters as there are peers.
func (c *cluster) waitUntilVoter(i *instance) {
	c.t.Helper()
	c.eventually(string(i.name)+" is a voter", func() bool { return i.log.published.Load().voters == len(c.peers) })
}
