package gate

import (
	"context"
	"crypto/sha256"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
)

var testStart = time.Unix(1, 0)

// Fakes of the services that the gate uses. A call of a method that only the embedded nil interface has panics.
type (
	fakeClock struct{ figpier.Clock }
	fakeView  struct {
		figpier.ConfigurationView
		configuration *figpier.Configuration
		stale         bool
	}
	fakeLimiter struct {
		figpier.Limiter
		err   error
		taken int
	}
	fakeRanker struct {
		figpier.Ranker
		ranked int
	}
	fakeDecider struct {
		figpier.RetryDecider
		wait time.Duration
	}
)

func (fakeClock) Now() time.Time { return testStart }

func (v *fakeView) Configuration() *figpier.Configuration { return v.configuration }

func (v *fakeView) Fresh(time.Time) bool { return !v.stale }

func (l *fakeLimiter) Take(context.Context, figpier.TokenRequest) error {
	l.taken++
	return l.err
}

func (r *fakeRanker) Rank(figpier.RequestID, figpier.CustomerID, float64, figpier.PriorityClass) figpier.Rank {
	r.ranked++
	return 7
}

func (d *fakeDecider) CallerRetryDelay(figpier.CustomerID, figpier.IdempotencyKey, time.Duration) time.Duration {
	return d.wait
}

const secret = "fpk_secret"

func newGate() (*Gate, *fakeView, *fakeLimiter, *fakeRanker, *fakeDecider) {
	digest := figpier.KeyDigest(sha256.Sum256([]byte(secret)))
	p := figpier.NewProfile(figpier.ProfileConfig{
		Name: "p",
		Routes: []*figpier.Route{
			figpier.NewRoute(figpier.RouteConfig{Method: "GET", Path: "/open", Open: true, Deadline: time.Second}),
			figpier.NewRoute(figpier.RouteConfig{Method: "GET", Path: "/*", Priority: 4, Deadline: time.Second}),
		},
	})
	v := &fakeView{configuration: figpier.NewConfiguration(figpier.ConfigurationConfig{
		Profiles:    map[figpier.ProfileName]*figpier.Profile{"p": p},
		Assignments: map[figpier.UpstreamService]*figpier.Assignment{"dates": figpier.NewAssignment(figpier.AssignmentConfig{Service: "dates", Profile: "p"})},
		Keys:        map[figpier.KeyDigest]*figpier.Key{digest: figpier.NewKey(figpier.KeyConfig{ID: "k", Customer: "valv", Digest: digest})},
	})}
	l, r, d := &fakeLimiter{}, &fakeRanker{}, &fakeDecider{}
	return &Gate{config: Config{Service: "dates"}, clock: fakeClock{}, view: v, limiter: l, ranker: r, decider: d}, v, l, r, d
}

func arrival(path string, keys ...string) *figpier.Arrival {
	return figpier.NewArrival(figpier.ArrivalConfig{Method: "GET", Path: path, Keys: keys, Received: testStart})
}

func TestEnterAdmitsCustomerWithKey(t *testing.T) {
	g, _, l, _, _ := newGate()
	c, err := g.Enter(t.Context(), arrival("/a", secret))
	assert.NilError(t, err)
	assert.Equal(t, c.Customer(), figpier.CustomerID("valv"))
	assert.Equal(t, c.Rank(), figpier.Rank(7))
	assert.Equal(t, c.Deadline(), testStart.Add(time.Second))
	assert.Equal(t, l.taken, 1)
}

func TestOpenRouteNeedsNoKeyAndNoFreshView(t *testing.T) {
	g, v, l, _, _ := newGate()
	v.stale = true
	c, err := g.Enter(t.Context(), arrival("/open"))
	assert.NilError(t, err)
	assert.Equal(t, c.Customer(), figpier.CustomerID(""))
	assert.Equal(t, l.taken, 0)
}

func TestEnterRefuses(t *testing.T) {
	overRate := figpier.Refuse(figpier.RefusalOverRate)
	tests := []struct {
		name     string
		arrival  *figpier.Arrival
		stale    bool
		limit    error
		wait     time.Duration
		reason   figpier.RefusalReason
		customer figpier.CustomerID // empty when no call is returned with the refusal
	}{
		{"no key", arrival("/a"), false, nil, 0, figpier.RefusalKeyMissing, ""},
		{"empty key", arrival("/a", ""), false, nil, 0, figpier.RefusalKeyMalformed, ""},
		{"two keys", arrival("/a", secret, secret), false, nil, 0, figpier.RefusalKeyMalformed, ""},
		{"unknown key", arrival("/a", "other"), false, nil, 0, figpier.RefusalKeyUnknown, ""},
		{"stale view", arrival("/a", secret), true, nil, 0, figpier.RefusalStaleView, ""},
		{"no route", figpier.NewArrival(figpier.ArrivalConfig{Method: "PUT", Path: "/a"}), false, nil, 0, figpier.RefusalNoRoute, ""},
		{"no route in a stale view", figpier.NewArrival(figpier.ArrivalConfig{Method: "PUT", Path: "/a"}), true, nil, 0, figpier.RefusalStaleView, ""},
		{"no key in a stale view", arrival("/a"), true, nil, 0, figpier.RefusalStaleView, ""},
		{"over the rate", arrival("/a", secret), false, overRate, 0, figpier.RefusalOverRate, "valv"},
		{"too soon", arrival("/a", secret), false, nil, time.Second, figpier.RefusalRetryTooSoon, "valv"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, v, l, r, d := newGate()
			v.stale, l.err, d.wait = tt.stale, tt.limit, tt.wait
			c, err := g.Enter(t.Context(), tt.arrival)
			var refusal *figpier.Refusal
			assert.Assert(t, errors.As(err, &refusal))
			assert.Equal(t, refusal.Reason(), tt.reason)
			assert.Equal(t, refusal.RetryAfter(), tt.wait)
			assert.Equal(t, c != nil, tt.customer != "")
			if c != nil {
				assert.Equal(t, c.Customer(), tt.customer)
			}
			assert.Equal(t, r.ranked, 0, "a refused request must not count towards a fair share")
		})
	}
}
