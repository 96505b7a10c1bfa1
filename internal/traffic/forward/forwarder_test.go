package forward

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/kernel/system"
)

// directory finds the services of a test.
type directory struct {
	figpier.Directory
	services map[figpier.ServiceName]figpier.Service
}

// Clock implements figpier.Directory.
func (directory) Clock() figpier.Clock { return system.Clock{} }

// Find implements figpier.Directory.
func (d directory) Find(name figpier.ServiceName) (figpier.Service, error) {
	s, ok := d.services[name]
	if !ok {
		return nil, figpier.NewUnknownServiceError(name)
	}
	return s, nil
}

// installedView is a view that got its configuration before anyone subscribed, and gets no other.
type installedView struct {
	figpier.ConfigurationView
	configuration *figpier.Configuration
	followed      []figpier.UpstreamService
}

// Configuration implements figpier.ConfigurationView.
func (v *installedView) Configuration() *figpier.Configuration { return v.configuration }

// Subscribe implements figpier.ConfigurationView.
func (v *installedView) Subscribe(func(*figpier.Configuration)) {}

// FollowMembers implements figpier.ConfigurationView.
func (v *installedView) FollowMembers(_ context.Context, s figpier.UpstreamService) error {
	v.followed = append(v.followed, s)
	return nil
}

// counters are counters that count nothing.
type counters struct{ figpier.Counters }

// Gauge implements figpier.Counters.
func (counters) Gauge(string, func() float64) {}

// TestConfigurationBeforeTheStartIsFollowed guards against a node that is ready and refuses every request: it gets its configuration
// before the forwarder has subscribed, and follows the members of no service until the next one.
func TestConfigurationBeforeTheStartIsFollowed(t *testing.T) {
	service := figpier.NewTableService(figpier.TableServiceConfig{Name: "litters"})
	table := figpier.NewTable(figpier.TableConfig{Number: 1, Services: []*figpier.TableService{service}})
	view := &installedView{configuration: figpier.NewConfiguration(figpier.ConfigurationConfig{Table: table})}
	f := New(Config{Instance: "a"})
	assert.NilError(t, f.Start(t.Context(), directory{services: map[figpier.ServiceName]figpier.Service{
		figpier.ConfigurationService: view,
		figpier.ReadinessService:     struct{ figpier.Readiness }{},
		figpier.GateService:          struct{ figpier.Gate }{},
		figpier.RouterService:        struct{ figpier.Router }{},
		figpier.AdmissionService:     struct{ figpier.Admission }{},
		figpier.DeliveryService:      struct{ figpier.Deliverer }{},
		figpier.CounterService:       counters{},
		figpier.RequestLogService:    struct{ figpier.RequestLog }{},
	}}))
	assert.DeepEqual(t, view.followed, []figpier.UpstreamService{"litters"})
}

// repeatingDeliverer is a deliverer beside a backend server half of whose newest runs are repeats.
type repeatingDeliverer struct{ figpier.Deliverer }

// RepeatShare implements figpier.Deliverer.
func (repeatingDeliverer) RepeatShare() float64 { return 0.5 }

// TestCallsOfRepeatedRunsUseUpTheRetryBudget guards against retries that add up along a call chain: the calls of a repeated run must count
// as repeats at the service that they call.
func TestCallsOfRepeatedRunsUseUpTheRetryBudget(t *testing.T) {
	retries := func(customer figpier.CustomerID) (n int, share float64) {
		f := New(Config{Instance: "a", RetryShare: 0.5, RetryWindow: 10 * time.Second})
		f.clock, f.deliverer = system.Clock{}, repeatingDeliverer{}
		c := figpier.NewCall(figpier.CallConfig{Service: "litters", Customer: customer})
		for range 100 {
			share = f.countFirstAttempt(c).RepeatShare()
		}
		for f.retryBudget.Retry(f.clock.Now(), "litters") {
			n++
		}
		return n, share
	}
	n, share := retries("valv")
	assert.Equal(t, share, 0.0)
	assert.Equal(t, n, 50)
	n, share = retries("")
	assert.Equal(t, share, 0.5)
	assert.Equal(t, n, 0)
}
