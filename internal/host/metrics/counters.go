package metrics

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/figpier/figpier"
)

// Names of the metrics, and the value of the label "reason" that stands for reasons without a counter of their own.
const (
	namePrefix     = "figpier_"
	refusalsMetric = namePrefix + "refusals_total"
	retriesMetric  = namePrefix + "retries_total"
	hopMetric      = namePrefix + "hop_seconds"
	unlistedReason = "unlisted"
)

// counters holds the metrics of a process, which any goroutine may update. Counters of refusals exist from the start, those of
// retries and hops from their first use.
type counters struct {
	set      *metrics.Set
	refusals map[figpier.RefusalReason]*metrics.Counter
	unlisted *metrics.Counter
	retries  sync.Map // of figpier.RetryReason to *metrics.Counter
	hops     sync.Map // of string to *metrics.Histogram
}

func newCounters() *counters {
	set := metrics.NewSet()
	c := &counters{
		set:      set,
		refusals: map[figpier.RefusalReason]*metrics.Counter{},
		unlisted: set.NewCounter(withLabel(refusalsMetric, "reason", unlistedReason)),
	}
	for _, k := range figpier.RefusalKinds() {
		c.refusals[k.Reason()] = set.NewCounter(RefusalCounter(k.Reason()))
	}
	return c
}

// RefusalCounter returns the name, with its label, of the counter of a refusal reason.
func RefusalCounter(r figpier.RefusalReason) string {
	return withLabel(refusalsMetric, "reason", string(r))
}

// RetryCounter returns the name, with its label, of the counter of a retry reason.
func RetryCounter(r figpier.RetryReason) string {
	return withLabel(retriesMetric, "reason", string(r))
}

// Refused implements figpier.Counters. A reason that RefusalKinds does not list is counted under unlistedReason.
func (s *Server) Refused(r figpier.RefusalReason) {
	c, ok := s.counters.refusals[r]
	if !ok {
		c = s.counters.unlisted
	}
	c.Inc()
}

// Retried implements figpier.Counters.
func (s *Server) Retried(r figpier.RetryReason) {
	c, ok := s.counters.retries.Load(r)
	if !ok {
		c, _ = s.counters.retries.LoadOrStore(r, s.counters.set.GetOrCreateCounter(RetryCounter(r)))
	}
	c.(*metrics.Counter).Inc()
}

// Observe implements figpier.Counters.
func (s *Server) Observe(hop string, d time.Duration) {
	h, ok := s.counters.hops.Load(hop)
	if !ok {
		name := withLabel(hopMetric, "hop", hop)
		h, _ = s.counters.hops.LoadOrStore(hop, s.counters.set.GetOrCreateHistogram(name))
	}
	h.(*metrics.Histogram).Update(d.Seconds())
}

// Gauge implements figpier.Counters. It adds the prefix of the metrics to the name where it lacks it. If two gauges have the same
// name, the first is kept.
func (s *Server) Gauge(name string, read func() float64) {
	if !strings.HasPrefix(name, namePrefix) {
		name = namePrefix + name
	}
	s.counters.set.GetOrCreateGauge(name, read)
}

// withLabel returns the name of a metric with one label.
func withLabel(name, label, value string) string {
	return fmt.Sprintf("%s{%s=%q}", name, label, value)
}
