package shutdown

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLateRequestsAreTakenOnlyIfTheyCanEnd guards against requests that are taken late in a planned stop and cut at its end while their
// backend server works on them.
func TestLateRequestsAreTakenOnlyIfTheyCanEnd(t *testing.T) {
	began := time.Unix(1000, 0)
	s := New(began, Config{Open: 2500 * time.Millisecond, End: 5 * time.Second})
	assert.Equal(t, s.End(), began.Add(5*time.Second))
	for _, c := range []struct {
		received, timeout time.Duration
		taken             bool
	}{
		{0, time.Minute, true},
		{2499 * time.Millisecond, 6 * time.Second, true},
		{2500 * time.Millisecond, 6 * time.Second, false},
		{2500 * time.Millisecond, 2500 * time.Millisecond, true},
		{3 * time.Second, 2001 * time.Millisecond, false},
		{4300 * time.Millisecond, 700 * time.Millisecond, true},
		{5 * time.Second, time.Millisecond, false},
	} {
		received := began.Add(c.received)
		assert.Equal(t, s.Takes(received, received.Add(c.timeout)), c.taken, "received after %v with %v left", c.received, c.timeout)
	}
}
