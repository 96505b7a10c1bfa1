package process

import (
	"context"
	"crypto/sha256"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/host/settings"
	"github.com/figpier/figpier/internal/link/web"
	"github.com/figpier/figpier/internal/traffic/configview"
	"github.com/figpier/figpier/internal/traffic/tablegate"
)

// propagationBound is the time after its acceptance from which a configuration must be in force at every node that has a path to the
// control instances, as the users state it.
const propagationBound = 2 * time.Second

// nodeSettings are the settings of the node, which runs in data centre a1 of region a.
const nodeSettings = `{
	"instance": "node", "dataCentre": "a1", "region": "a", "messages": "127.0.0.1:7000", "privateNetwork": true,
	"mesh": {
		"service": "litters", "callers": "127.0.0.1:7001", "peers": "127.0.0.1:7002", "announcements": "127.0.0.1:7003",
		"readiness": "127.0.0.1:7004", "backend": "127.0.0.1:7005", "seeds": ["127.0.0.2:7001"],
		"withdrawal": "5s", "propagation": "2s", "drain": "2s", "grace": "6s",
		"retries": {"window": "10s", "share": 0.2, "slack": 40}, "quota": {"window": "5s", "share": 0.1, "slack": 20}
	}
}`

// seedList implements figpier.SeedSource.
type seedList []string

func (seedList) Name() figpier.ServiceName                      { return figpier.SeedService }
func (seedList) Start(context.Context, figpier.Directory) error { return nil }
func (seedList) Stop(context.Context) error                     { return nil }
func (s seedList) Seeds() []string                              { return s }

// mesh is five control instances in three regions and a node in the data centre of the first.
type mesh struct {
	network  *network
	controls map[string]*controlInstance
	view     *configview.View
	gate     *tablegate.Gate
}

// startMesh starts a mesh whose instances have revision 1.
func startMesh(t *testing.T) *mesh {
	t.Helper()
	m := &mesh{network: newNetwork(), controls: map[string]*controlInstance{}}
	var places []figpier.ControlPlace
	for _, address := range []string{"a1", "a2", "b1", "b2", "c1"} {
		p := figpier.NewControlPlace(figpier.ControlPlaceConfig{
			Address:    address,
			DataCentre: figpier.DataCentre(address),
			Region:     figpier.Region(address[:1]),
		})
		places = append(places, p)
		m.network.delays[address] = 12 * time.Millisecond
		m.controls[address] = &controlInstance{
			network:       m.network,
			place:         p,
			places:        func() []figpier.ControlPlace { return places },
			configuration: revision(1),
		}
	}
	m.network.delays["a1"], m.network.delays["a2"] = 100*time.Microsecond, 1400*time.Microsecond
	for _, c := range m.controls {
		c.start(t)
	}
	synctest.Wait()
	s, err := settings.Parse("settings.jsonc", []byte(nodeSettings))
	assert.NilError(t, err)
	m.view = configview.New(meshViewConfig(s, "node/1", nil))
	m.gate = tablegate.New(meshGateConfig(s))
	run(t, &endpoint{network: m.network}, seedList{"a1", "b1"}, m.view, openLimiter{}, openRanker{}, openReadiness{}, m.gate)
	synctest.Wait()
	return m
}

// revision returns the n-th configuration. Each adds the route /rN/, open to all, and the key kN of a customer, who may use /keyed/.
func revision(n figpier.Revision) *figpier.Configuration {
	routes := []*figpier.HostRoute{newRoute("/keyed/", false)}
	var keys []figpier.KeyDigest
	for i := figpier.Revision(1); i <= n; i++ {
		routes = append(routes, newRoute(fmt.Sprintf("/r%d/", i), true))
		keys = append(keys, sha256.Sum256(fmt.Appendf(nil, "k%d", i)))
	}
	table := figpier.NewTable(figpier.TableConfig{
		Number:   uint64(n),
		Revision: n,
		Routes:   routes,
		Services: []*figpier.TableService{figpier.NewTableService(figpier.TableServiceConfig{Name: "litters"})},
		Accounts: []*figpier.Account{figpier.NewAccount(figpier.AccountConfig{Customer: "valv", Keys: keys})},
	})
	return figpier.NewConfiguration(figpier.ConfigurationConfig{Revision: n, Table: table})
}

func newRoute(prefix string, open bool) *figpier.HostRoute {
	return figpier.NewHostRoute(figpier.HostRouteConfig{
		Name: prefix, Host: "pups.example", PathPrefix: prefix, Open: open, Idempotent: true,
		Timeout: 5 * time.Second, Target: 1500 * time.Millisecond, Attempts: 1,
		Parts: []figpier.RoutePart{figpier.NewRoutePart(figpier.RoutePartConfig{Service: "litters", Weight: 1})},
	})
}

// enter sends a request to the gate and returns its refusal, nil if the request is admitted.
func (m *mesh) enter(ctx context.Context, path string, keys ...string) *figpier.Refusal {
	_, err := m.gate.Enter(ctx, figpier.NewArrival(figpier.ArrivalConfig{
		Method: "GET", Host: "pups.example", Path: path, ID: "r1", Keys: keys, Remaining: 5 * time.Second, Received: time.Now(),
	}))
	if err == nil {
		return nil
	}
	return web.AsRefusal(err)
}

// accept gives a configuration to all instances that work.
func (m *mesh) accept(c *figpier.Configuration) {
	for address, i := range m.controls {
		if !m.network.isSilent(address) {
			i.accept(c)
		}
	}
}

// loseAllControl silences all control instances.
func (m *mesh) loseAllControl() {
	for address := range m.controls {
		m.network.silence(address)
	}
}

// restoreAllControl ends the silence of all control instances.
func (m *mesh) restoreAllControl() {
	for address := range m.controls {
		m.network.restore(address)
	}
}

// awaitRevision returns the time until the node has a revision, and fails the test if it has not after limit.
func (m *mesh) awaitRevision(t *testing.T, n figpier.Revision, limit time.Duration) time.Duration {
	t.Helper()
	began := time.Now()
	for m.view.Configuration().Revision() < n {
		assert.Assert(t, time.Since(began) < limit, "the node still has revision %d, %v after revision %d was accepted",
			m.view.Configuration().Revision(), time.Since(began), n)
		<-time.After(time.Millisecond)
	}
	return time.Since(began)
}

// TestConfigurationIsInForceInTimeWithTwoControlInstancesLost guards against time-outs on the way from a control instance to a node
// that add up beyond the bound: those of a held poll, of an instance that is behind and of one that does not answer.
func TestConfigurationIsInForceInTimeWithTwoControlInstancesLost(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(m *mesh)
	}{
		{"none", func(*mesh) {}},
		{"both silent", func(m *mesh) { m.network.silence("a1"); m.network.silence("a2") }},
		{"the disk of the nearer one stalled, the other silent", func(m *mesh) { m.controls["a1"].stall(); m.network.silence("a2") }},
		{"the nearer one silent, the disk of the other stalled", func(m *mesh) { m.network.silence("a1"); m.controls["a2"].stall() }},
		{"the disks of both stalled", func(m *mesh) { m.controls["a1"].stall(); m.controls["a2"].stall() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			// The phase is when within the node's polls the change comes.
			for phase := time.Duration(0); phase < meshPollWait; phase += 5 * time.Millisecond {
				t.Run(fmt.Sprint(phase), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						m := startMesh(t)
						<-time.After(5*time.Second + phase)
						assert.Equal(t, m.view.ControlAddress(), "a1")
						c.lose(m)
						m.accept(revision(2))
						m.awaitRevision(t, 2, propagationBound)
					})
				})
			}
		})
	}
}

// TestNodeDeniesNothingByAnOldView guards against final answers, such as that there is no route, by a configuration that may have been
// replaced longer ago than the bound. Their callers don't come back, whereas the request has not run and may be allowed.
func TestNodeDeniesNothingByAnOldView(t *testing.T) {
	for _, c := range []struct {
		name, path string
		keys       []string
	}{
		{"no route", "/r2/x", nil},
		{"unknown key", "/keyed/x", []string{"k2"}},
		{"no key", "/keyed/x", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := startMesh(t)
				<-time.After(5 * time.Second)
				denied := m.enter(t.Context(), c.path, c.keys...)
				assert.Assert(t, denied != nil && denied.Status() >= 400 && denied.Status() < 500, "a view that is current denies: %v", denied)
				m.loseAllControl()
				<-time.After(propagationBound)
				r := m.enter(t.Context(), c.path, c.keys...)
				assert.Assert(t, r != nil)
				assert.Equal(t, r.Reason(), figpier.RefusalStaleView, "%v", r)
				assert.Assert(t, r.NotRun() && r.RetryAfter() > 0, "%v", r)
			})
		})
	}
}

// TestRequestOnAnAddedRouteWaitsForTheViewThatHasIt guards against a denial that a short wait for the next poll spares the caller.
func TestRequestOnAnAddedRouteWaitsForTheViewThatHasIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startMesh(t)
		<-time.After(5 * time.Second)
		m.loseAllControl()
		<-time.After(propagationBound)
		m.restoreAllControl()
		m.accept(revision(2))
		r := m.enter(t.Context(), "/r2/x")
		assert.Assert(t, r == nil, "%v", r)
	})
}

// TestRequestWithoutKeyOnARouteOpenedMeanwhileIsAdmitted guards against a denial by the table that a request found when it came, after it
// has waited for a newer one.
func TestRequestWithoutKeyOnARouteOpenedMeanwhileIsAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startMesh(t)
		<-time.After(5 * time.Second)
		m.loseAllControl()
		<-time.After(propagationBound)
		m.restoreAllControl()
		m.accept(figpier.NewConfiguration(figpier.ConfigurationConfig{Revision: 2, Table: figpier.NewTable(figpier.TableConfig{
			Number: 2, Revision: 2, KeysRequired: true, Routes: []*figpier.HostRoute{newRoute("/keyed/", true)},
		})}))
		r := m.enter(t.Context(), "/keyed/x")
		assert.Assert(t, r == nil, "%v", r)
	})
}

// TestNodeThatAnnouncesItselfOftenLeavesASilentControlInstance guards against a time-out that starts anew with each poll that
// replaces another.
func TestNodeThatAnnouncesItselfOftenLeavesASilentControlInstance(t *testing.T) {
	for _, interval := range []time.Duration{50 * time.Millisecond, 390 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(interval.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := startMesh(t)
				<-time.After(5 * time.Second)
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				go announceEvery(ctx, m.view, interval)
				m.network.silence("a1")
				m.accept(revision(2))
				m.awaitRevision(t, 2, propagationBound)
			})
		})
	}
}

// announceEvery announces a new entry of the node at each interval until the context ends.
func announceEvery(ctx context.Context, v *configview.View, interval time.Duration) {
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		v.Announce(figpier.NewMember(figpier.MemberConfig{Instance: "node/1", Service: "litters", Sequence: sequence}))
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}
