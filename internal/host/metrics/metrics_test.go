package metrics

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/host/memory"
	"github.com/figpier/figpier/internal/kernel/registry"
	"github.com/figpier/figpier/internal/kernel/system"
)

var _ figpier.Counters = (*Server)(nil)

func TestServerServesMetrics(t *testing.T) {
	s := New(Config{Address: "127.0.0.1:0"})
	k := registry.New(registry.Config{Clock: system.Clock{}})
	assert.NilError(t, k.Register(memory.New(memory.Config{})))
	assert.NilError(t, s.Start(t.Context(), k))
	s.Refused(figpier.RefusalOverRate)
	s.Refused(figpier.RefusalOverRate)
	s.Refused("made-up")
	s.Retried(figpier.RetryUnreached)
	s.Observe("entry", 20*time.Millisecond)
	s.Gauge("live_calls", func() float64 { return 7 })

	answer, err := http.Get("http://" + s.Address() + "/metrics")
	assert.NilError(t, err)
	body, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	for _, line := range []string{
		`figpier_refusals_total{reason="over-rate"} 2`,
		`figpier_refusals_total{reason="unlisted"} 1`,
		`figpier_refusals_total{reason="key-missing"} 0`,
		`figpier_retries_total{reason="unreached"} 1`,
		`figpier_hop_seconds_count{hop="entry"} 1`,
		`figpier_live_calls 7`,
	} {
		assert.Assert(t, strings.Contains(string(body), line+"\n"), "%s is missing in:\n%s", line, body)
	}
	assert.NilError(t, s.Stop(context.Background()))
}

func TestServerWithoutAddressDoesNotListen(t *testing.T) {
	s := New(Config{})
	assert.NilError(t, s.Start(t.Context(), nil))
	s.Refused(figpier.RefusalLeaving)
	assert.Assert(t, s.Address() == "")
	assert.NilError(t, s.Stop(context.Background()))
}
