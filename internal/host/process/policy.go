package process

import (
	"github.com/zeebo/xxh3"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/baseline/fixed"
	"github.com/figpier/figpier/internal/host/settings"
	"github.com/figpier/figpier/internal/traffic/admission"
	"github.com/figpier/figpier/internal/traffic/retry"
	"github.com/figpier/figpier/internal/traffic/router"
)

// PolicyConfig holds the services that decide on admission, routing and retries. A node needs all three.
type PolicyConfig struct {
	// Admission decides when a call may run on the backend server.
	Admission figpier.Admission
	// Router picks the member to which an exit call is sent.
	Router figpier.Router
	// Decider decides whether a failed attempt is retried.
	Decider figpier.RetryDecider
}

// Adaptive returns the policies that a node runs with by default.
func Adaptive(s *settings.Settings) PolicyConfig {
	return PolicyConfig{
		Admission: admission.New(admission.Config{Service: figpier.UpstreamService(s.Node().Service)}),
		Router: router.New(router.Config{
			DataCentre: figpier.DataCentre(s.DataCentre()),
			Region:     figpier.Region(s.Region()),
			Seed:       xxh3.HashString(s.Instance()),
		}),
		Decider: retry.New(),
	}
}

// FixedSlots returns the baseline that runs at most as many concurrent calls as the backend server announced slots, with plain
// retries.
func FixedSlots() PolicyConfig {
	return PolicyConfig{
		Admission: fixed.NewAdmission(1),
		Router:    fixed.NewRouter(),
		Decider:   fixed.NewUnbudgetedDecider(),
	}
}

// Uncontrolled returns the baseline without an admission limit, with plain retries.
func Uncontrolled() PolicyConfig {
	return PolicyConfig{
		Admission: fixed.NewOpenAdmission(),
		Router:    fixed.NewRouter(),
		Decider:   fixed.NewUnbudgetedDecider(),
	}
}
