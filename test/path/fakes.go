package path

import (
	"context"
	"crypto/sha256"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figpier/figpier"
)

// quickRouteDeadline is the deadline of the route for requests that must be answered although a connection has gone
// silent. It is long enough for the node to notice that and to retry.
const quickRouteDeadline = 4 * time.Second

// callerKey is the only key in the configuration of a fakeView. It belongs to the customer "acme".
const callerKey = "test-caller-key"

// fakeView implements figpier.ConfigurationView and figpier.Staleness with the members and the configuration that a test
// sets.
type fakeView struct {
	configuration atomic.Pointer[figpier.Configuration]
	stale         atomic.Bool

	mu             sync.Mutex
	members        []*figpier.Member
	subscribers    []func(*figpier.Configuration)
	staleCallbacks []func()
}

// newProfile returns a profile with a route for each kind of request: /once/ is not idempotent, /open/ needs no key,
// /quick/ and /short/ have short deadlines. The budget is the number of retries of a whole call tree.
func newProfile(budget int) *figpier.Profile {
	route := func(method, path string, idempotent, open bool, deadline time.Duration) *figpier.Route {
		return figpier.NewRoute(figpier.RouteConfig{Method: method, Path: path, Idempotent: idempotent, Open: open, Deadline: deadline})
	}
	return figpier.NewProfile(figpier.ProfileConfig{
		Name: "p",
		Routes: []*figpier.Route{
			route("*", "/once/*", false, false, time.Minute),
			route("*", "/open/*", true, true, time.Minute),
			route("*", "/quick/*", true, false, quickRouteDeadline),
			route("*", "/short/*", true, false, 500*time.Millisecond),
			route("*", "/*", true, false, time.Minute),
		},
		DefaultLimit: figpier.NewLimit(figpier.LimitConfig{Rate: 1e6, Burst: 1e6}),
		Retry:        figpier.NewRetryPolicy(figpier.RetryConfig{TreeBudget: budget, Share: 1}),
	})
}

// newView returns a view whose services all have the profile of newProfile.
func newView(budget int, services ...figpier.UpstreamService) *fakeView {
	v := &fakeView{}
	digest := figpier.KeyDigest(sha256.Sum256([]byte(callerKey)))
	c := figpier.ConfigurationConfig{
		Revision:    1,
		Profiles:    map[figpier.ProfileName]*figpier.Profile{"p": newProfile(budget)},
		Assignments: map[figpier.UpstreamService]*figpier.Assignment{},
		Keys: map[figpier.KeyDigest]*figpier.Key{
			digest: figpier.NewKey(figpier.KeyConfig{ID: "k", Customer: "acme", Digest: digest}),
		},
	}
	for _, s := range services {
		c.Assignments[s] = figpier.NewAssignment(figpier.AssignmentConfig{Service: s, Profile: "p"})
	}
	v.configuration.Store(figpier.NewConfiguration(c))
	return v
}

func (v *fakeView) Name() figpier.ServiceName { return figpier.ConfigurationService }

func (v *fakeView) Start(context.Context, figpier.Directory) error { return nil }

func (v *fakeView) Stop(context.Context) error { return nil }

func (v *fakeView) Configuration() *figpier.Configuration { return v.configuration.Load() }

func (v *fakeView) Fresh(time.Time) bool { return !v.stale.Load() }

func (v *fakeView) Confirmed() time.Time { return time.Time{} }

func (v *fakeView) Announce(*figpier.Member) {}

func (v *fakeView) FollowMembers(context.Context, figpier.UpstreamService) error { return nil }

func (v *fakeView) NodeCount() int { return 0 }

func (v *fakeView) LastPoll() time.Time { return time.Time{} }

func (v *fakeView) ControlAddress() string { return "" }

func (v *fakeView) ControlAddresses() []string { return nil }

func (v *fakeView) Changed() <-chan struct{} { return nil }

func (v *fakeView) Members(s figpier.UpstreamService) []*figpier.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var found []*figpier.Member
	for _, m := range v.members {
		if m.Service() == s {
			found = append(found, m)
		}
	}
	return found
}

func (v *fakeView) Subscribe(f func(*figpier.Configuration)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.subscribers = append(v.subscribers, f)
}

func (v *fakeView) OnStale(f func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.staleCallbacks = append(v.staleCallbacks, f)
}

// makeStale makes the view too old to check keys by, and runs the callbacks for that.
func (v *fakeView) makeStale() {
	v.stale.Store(true)
	v.mu.Lock()
	callbacks := slices.Clone(v.staleCallbacks)
	v.mu.Unlock()
	for _, callback := range callbacks {
		callback()
	}
}

// addMember adds a node to the members of its service. Subscribers are not told.
func (v *fakeView) addMember(m *figpier.Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.members = append(v.members, m)
}

// withdrawAllKeys publishes a configuration without keys.
func (v *fakeView) withdrawAllKeys() {
	edited := v.Configuration().Clone()
	clear(edited.Keys)
	c := figpier.NewConfiguration(edited)
	v.configuration.Store(c)
	v.mu.Lock()
	subscribers := slices.Clone(v.subscribers)
	v.mu.Unlock()
	for _, f := range subscribers {
		f(c)
	}
}

// orderedRouter implements figpier.Router. It picks the first member, in the order of addMember, that has not been tried.
type orderedRouter struct {
	view *fakeView

	mu       sync.Mutex
	outcomes []figpier.OutcomeKind
}

func (r *orderedRouter) Name() figpier.ServiceName { return figpier.RouterService }

func (r *orderedRouter) Start(context.Context, figpier.Directory) error { return nil }

func (r *orderedRouter) Stop(context.Context) error { return nil }

func (r *orderedRouter) Pick(c *figpier.Call, tried []figpier.InstanceID) (*figpier.Member, error) {
	for _, m := range r.view.Members(c.Service()) {
		if !slices.Contains(tried, m.Instance()) {
			return m, nil
		}
	}
	return nil, figpier.Refuse(figpier.RefusalNoUpstream)
}

func (r *orderedRouter) CutOff(figpier.UpstreamService) figpier.Rank { return figpier.MaxRank }

func (r *orderedRouter) Begin(*figpier.Member) {}

func (r *orderedRouter) End(_ *figpier.Member, o figpier.Outcome, _ figpier.Rank) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o.Kind())
}

// endedOutcomes returns the outcomes of the attempts that have ended, in that order.
func (r *orderedRouter) endedOutcomes() []figpier.OutcomeKind {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.outcomes)
}
