package memory

import (
	"runtime/debug"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier/internal/host/metrics"
	"github.com/figpier/figpier/internal/kernel/registry"
	"github.com/figpier/figpier/internal/kernel/system"
)

// keepLimit restores the memory limit of the test process.
func keepLimit(t *testing.T) {
	t.Helper()
	before := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(before) })
}

func TestReservationsStayWithinAQuarterOfTheHeap(t *testing.T) {
	keepLimit(t)
	b := New(Config{Bytes: 100 << 20})
	k := registry.New(registry.Config{Clock: system.Clock{}})
	assert.NilError(t, k.Register(metrics.New(metrics.Config{})))
	assert.NilError(t, b.Start(t.Context(), k))
	assert.Equal(t, debug.SetMemoryLimit(-1), int64(80<<20))
	assert.Assert(t, b.Reserve(20<<20))
	assert.Assert(t, !b.Reserve(1))
	b.Free(1 << 20)
	assert.Assert(t, !b.Reserve(2<<20))
	assert.Assert(t, b.Reserve(1<<20))
}

func TestBoundFollowsTheLimitOfTheRuntime(t *testing.T) {
	keepLimit(t)
	debug.SetMemoryLimit(40 << 20)
	assert.Equal(t, New(Config{}).total, int64(10<<20))
	assert.Equal(t, debug.SetMemoryLimit(-1), int64(40<<20))
}
