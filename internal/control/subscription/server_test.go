package subscription

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/kernel/registry"
	"github.com/figpier/figpier/internal/kernel/system"
	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

// fakeRegistry implements the parts of figpier.Registry that answer polls.
type fakeRegistry struct {
	figpier.Registry
	id      string
	settled bool
	members []*figpier.Member
}

func (r *fakeRegistry) ID() string             { return r.id }
func (r *fakeRegistry) Settled(time.Time) bool { return r.settled }
func (r *fakeRegistry) Since(uint64) figpier.MemberDelta {
	return figpier.NewMemberDelta(figpier.MemberDeltaConfig{Version: 7, Members: r.members})
}

func newMember(instance string, s figpier.UpstreamService, sequence uint64) *figpier.Member {
	return figpier.NewMember(figpier.MemberConfig{Instance: figpier.InstanceID(instance), Service: s, Sequence: sequence})
}

// fakeLog is a replicated log that was last known to be current at a time that the test sets.
type fakeLog struct {
	figpier.ReplicatedLog
	mu      sync.Mutex
	current time.Time
}

func (l *fakeLog) QuorumAge(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.current)
}

func (l *fakeLog) proveCurrent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = time.Now()
}

// bubbleClock returns the fake time of a synctest bubble.
type bubbleClock struct{ system.Clock }

// Now implements figpier.Clock.
func (bubbleClock) Now() time.Time { return time.Now() }

// TestInstanceThatIsNoLongerCurrentHoldsNoPoll guards against nodes that learn only at the end of a held poll that their control instance
// may lack the newest configuration.
func TestInstanceThatIsNoLongerCurrentHoldsNoPoll(t *testing.T) {
	hold := func(t *testing.T, prove bool) time.Duration {
		s := New(Config{})
		log := &fakeLog{current: time.Now()}
		s.clock, s.log = bubbleClock{}, log
		s.registry = &fakeRegistry{}
		s.history.install(figpier.NewConfiguration(figpier.ConfigurationConfig{Revision: 1}))
		if prove {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go func() {
				for ctx.Err() == nil {
					log.proveCurrent()
					select {
					case <-ctx.Done():
					case <-time.After(700 * time.Millisecond):
					}
				}
			}()
		}
		began := time.Now()
		s.waitForChange(t.Context(), message.Poll{Revision: 1, MemberVersion: 7, WaitMillis: 1900})
		return time.Since(began)
	}
	synctest.Test(t, func(t *testing.T) {
		assert.Equal(t, hold(t, false), maxHoldingAge)
		assert.Equal(t, hold(t, true), 1900*time.Millisecond)
	})
}

// Fakes of the services that a server finds besides the log and the registry.
type (
	fakeCatalog struct {
		figpier.Catalog
		publish func(*figpier.Configuration)
	}
	fakeExchange  struct{ figpier.Exchange }
	fakeMessenger struct{ figpier.Messenger }
)

func (*fakeLog) Name() figpier.ServiceName                          { return figpier.ReplicaService }
func (*fakeLog) Leader() figpier.InstanceID                         { return "" }
func (*fakeRegistry) Name() figpier.ServiceName                     { return figpier.RegistryService }
func (*fakeRegistry) Count() int                                    { return 0 }
func (*fakeCatalog) Name() figpier.ServiceName                      { return figpier.CatalogService }
func (*fakeCatalog) Configuration() *figpier.Configuration          { return newRevision(1) }
func (c *fakeCatalog) Subscribe(f func(*figpier.Configuration))     { c.publish = f }
func (fakeExchange) Name() figpier.ServiceName                      { return figpier.ExchangeService }
func (fakeExchange) Controls() []figpier.ControlPlace               { return nil }
func (fakeMessenger) Name() figpier.ServiceName                     { return figpier.MessengerService }
func (fakeMessenger) Handle(figpier.Method, figpier.MessageHandler) {}

func newRevision(r figpier.Revision) *figpier.Configuration {
	return figpier.NewConfiguration(figpier.ConfigurationConfig{Revision: r})
}

// TestAnswerIsAsNewAsItsQuorumAge guards against an answer that calls a configuration current after a newer one was applied: nodes would
// believe for as long as a view is fresh that the older one is in force.
func TestAnswerIsAsNewAsItsQuorumAge(t *testing.T) {
	log, c, s := &fakeLog{}, &fakeCatalog{}, New(Config{})
	// The kernel does not run, so that no event is handled between the steps.
	k := registry.New(registry.Config{Clock: system.Clock{}})
	for _, service := range []figpier.Service{log, c, &fakeRegistry{}, fakeExchange{}, fakeMessenger{}, s} {
		assert.NilError(t, k.Register(service))
	}
	assert.NilError(t, s.Start(t.Context(), k))
	c.publish(newRevision(2))
	log.proveCurrent()
	assert.Equal(t, s.answer(message.Poll{Revision: 1}, false, true).Revision, 2)
}

// TestNodeWithTheSameMembersIsNotSentThemAgain guards against a full list for each node that changes its control instance, or
// whose control instance restarts: versions of registries can't be compared, but the digests of the lists can.
func TestNodeWithTheSameMembersIsNotSentThemAgain(t *testing.T) {
	a, b := newMember("a/1", "litters", 3), newMember("b/1", "vets", 1)
	other := newMember("c/1", "walkers", 1)
	for _, c := range []struct {
		name     string
		settled  bool
		partial  bool
		registry string
		held     []*figpier.Member
		full     bool
	}{
		{name: "known registry", settled: true, registry: "here", full: false},
		{name: "known registry that has not settled", registry: "here", partial: true, full: false},
		{name: "another registry, same members in another order", settled: true, registry: "there", held: []*figpier.Member{b, a}, full: false},
		{name: "another registry, a member is missing", settled: true, registry: "there", held: []*figpier.Member{a}, full: true},
		{name: "another registry, a former member", settled: true, registry: "there", held: []*figpier.Member{a, b, newMember("a/0", "litters", 9)}, full: true},
		{name: "another registry, an older announcement", settled: true, registry: "there", held: []*figpier.Member{newMember("a/1", "litters", 2), b}, full: true},
		{name: "another registry that has not settled", registry: "there", held: []*figpier.Member{a, b}, full: true},
		{name: "settled since the list was sent, same members", settled: true, partial: true, registry: "here", held: []*figpier.Member{a, b}, full: false},
		{name: "settled since the list was sent, a former member", settled: true, partial: true, registry: "here", held: []*figpier.Member{a, b, newMember("d/1", "vets", 1)}, full: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New(Config{})
			s.clock = system.Clock{}
			s.registry = &fakeRegistry{id: "here", settled: c.settled, members: []*figpier.Member{a, b, other}}
			digest := codec.FormatMembersDigest(c.held)
			p := message.Poll{Registry: c.registry, MemberVersion: 2, Partial: &c.partial, MembersDigest: &digest, Services: []string{"litters", "vets"}}
			assert.Equal(t, s.needsAllMembers(&p, c.settled), c.full)
			switch {
			case c.full:
				assert.Equal(t, p.MemberVersion, 0)
			case c.registry != "here" || c.partial && c.settled:
				assert.Equal(t, p.MemberVersion, 7, "the node goes on from this registry's version")
			default:
				assert.Equal(t, p.MemberVersion, 2)
			}
		})
	}
}
