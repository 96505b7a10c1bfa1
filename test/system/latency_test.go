package system

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Load of BenchmarkAddedLatency.
const (
	latencyRate    = 400 // calls per second, half of them through figpier
	latencyCalls   = 8000
	latencyWarmUp  = 800 // successful calls before the measurement
	latencyClients = 64  // idle connections kept to each address
)

// samples holds the durations of the calls to one address.
type samples struct {
	url string
	key string

	mu     sync.Mutex
	times  []time.Duration
	failed int
}

// record adds the duration of a call, or counts the call as failed.
func (s *samples) record(d time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ok {
		s.failed++
		return
	}
	s.times = append(s.times, d)
}

// percentile returns the duration that a share of the calls, from 0 to 1, did not exceed. It sorts the samples.
func (s *samples) percentile(share float64) time.Duration {
	slices.Sort(s.times)
	return s.times[int(share*float64(len(s.times)-1))]
}

// call sends one request and records how long it took until the body was read.
func (s *samples) call(c *http.Client) {
	began := time.Now()
	r, err := http.NewRequest(http.MethodGet, s.url, nil)
	if err != nil {
		return
	}
	r.Header.Set("Figpier-Key", s.key)
	answer, err := c.Do(r)
	if err != nil {
		s.record(0, false)
		return
	}
	_, err = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	s.record(time.Since(began), err == nil && answer.StatusCode == http.StatusOK)
}

// BenchmarkAddedLatency measures calls through two backend servers, alternately with figpier's nodes between them and
// without, and reports the difference of the percentiles.
func BenchmarkAddedLatency(b *testing.B) {
	f := newFleet(b)
	control := f.startControl("c1")
	key := f.configure(control, "a", "b")
	nodeA := f.startNode("a1", "a", control)
	nodeB := f.startNode("b1", "b", control)
	f.startBackend("sa", nodeA, "--next", "b", "--slots", "70")
	sb := f.startBackend("sb", nodeB, "--slots", "70")
	direct := f.startBackend("sd", nodeB, "--next-address", sb.serverAddress(), "--mute")
	withFigpier := &samples{url: "http://" + nodeA.callerAddress() + "/chain?then=/leaf", key: key}
	withoutFigpier := &samples{url: "http://" + direct.serverAddress() + "/chain?then=/leaf", key: "none"}
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: latencyClients}}
	for served := 0; served < latencyWarmUp; {
		before := len(withFigpier.times) + len(withoutFigpier.times)
		withFigpier.call(c)
		withoutFigpier.call(c)
		served += len(withFigpier.times) + len(withoutFigpier.times) - before
		if withFigpier.failed+withoutFigpier.failed > 0 {
			time.Sleep(10 * time.Millisecond)
			withFigpier.failed, withoutFigpier.failed = 0, 0
		}
	}
	withFigpier.times, withoutFigpier.times = nil, nil

	b.ResetTimer()
	openLoop(c, withFigpier, withoutFigpier)
	b.StopTimer()
	assert.Check(b, len(withFigpier.times) > 0 && len(withoutFigpier.times) > 0)
	for name, share := range map[string]float64{"p50": 0.5, "p99": 0.99} {
		latency, baseline := withFigpier.percentile(share), withoutFigpier.percentile(share)
		b.ReportMetric(float64(latency.Microseconds()), name+"-with-µs")
		b.ReportMetric(float64(baseline.Microseconds()), name+"-without-µs")
		b.ReportMetric(float64((latency - baseline).Microseconds()), name+"-added-µs")
	}
	b.ReportMetric(float64(withFigpier.failed+withoutFigpier.failed), "failed")
}

// openLoop starts calls at latencyRate, to each target in turn, without waiting for earlier calls to end.
func openLoop(c *http.Client, targets ...*samples) {
	tick := time.NewTicker(time.Second / latencyRate)
	defer tick.Stop()
	var calls sync.WaitGroup
	for i := range latencyCalls {
		<-tick.C
		calls.Go(func() { targets[i%len(targets)].call(c) })
	}
	calls.Wait()
}
