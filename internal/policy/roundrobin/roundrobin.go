package roundrobin

import "github.com/figpier/figpier"

// Table holds the state of a smooth weighted round-robin for each route. It is not safe for concurrent use.
type Table struct {
	// currentWeights holds how far each service is behind its share, in units of weight; the largest is selected next.
	currentWeights map[routeService]float64
}

type routeService struct {
	route   string
	service figpier.UpstreamService
}

// New returns a table without routes.
func New() *Table { return &Table{currentWeights: map[routeService]float64{}} }

// Next selects the service for the next request of a route. It returns false if no service has a positive weight.
//
// After any number of requests, each service has received its share to within one request.
func (t *Table) Next(r *figpier.HostRoute) (figpier.UpstreamService, bool) {
	total := 0.0
	var best routeService
	found := false
	for _, p := range r.Parts() {
		if p.Weight() <= 0 {
			continue
		}
		key := routeService{route: r.Name(), service: p.Service()}
		t.currentWeights[key] += p.Weight()
		total += p.Weight()
		if !found || t.currentWeights[key] > t.currentWeights[best] {
			best, found = key, true
		}
	}
	if !found {
		return "", false
	}
	t.currentWeights[best] -= total
	return best.service, true
}
