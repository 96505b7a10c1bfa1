package system

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestNowAdvancesAndHasNoMonotonicReading(t *testing.T) {
	a := Clock{}.Now()
	assert.Equal(t, a, a.Round(0), "a monotonic reading would stop while the instance is suspended")
	fired := make(chan struct{})
	defer Clock{}.AfterFunc(5*time.Millisecond, func() { close(fired) })()
	<-fired
	elapsed := Clock{}.Now().Sub(a)
	assert.Assert(t, elapsed >= 5*time.Millisecond && elapsed < time.Minute, "%v", elapsed)
}
