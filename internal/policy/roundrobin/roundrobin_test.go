package roundrobin

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
)

func route(weights ...float64) *figpier.HostRoute {
	c := figpier.HostRouteConfig{Name: "r"}
	for i, w := range weights {
		name := figpier.UpstreamService(rune('a' + i))
		c.Parts = append(c.Parts, figpier.NewRoutePart(figpier.RoutePartConfig{Service: name, Weight: w}))
	}
	return figpier.NewHostRoute(c)
}

func TestServicesStayWithinOneRequestOfShare(t *testing.T) {
	weights := []float64{90, 10, 0, 33.5}
	table, r := New(), route(weights...)
	counts := map[figpier.UpstreamService]float64{}
	for n := 1; n <= 2000; n++ {
		s, ok := table.Next(r)
		assert.Assert(t, ok)
		counts[s]++
		for i, w := range weights {
			share := w / 133.5 * float64(n)
			got := counts[figpier.UpstreamService(rune('a'+i))]
			assert.Assert(t, got-share < 1.001 && share-got < 1.001, "request %d: %v of %v", n, got, share)
		}
	}
}

func TestNextFailsWithoutPositiveWeight(t *testing.T) {
	_, ok := New().Next(route(0, 0))
	assert.Assert(t, !ok)
}
