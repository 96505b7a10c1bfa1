package rank

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/figpier/figpier"
)

// Bit fields of a rank, from most to least significant: priority class, level and tie-breaker.
const (
	tieBits   = 12
	levelBits = 16
	maxLevel  = 1<<levelBits - 1
)

// Levels are logarithmic in the demand per unit of weight, in busy slots. Level 0 is a demand of 2^lowestOctave.
const (
	lowestOctave    = -20.0
	levelsPerOctave = 2048.0
)

// Octave is the difference in rank between a request and one of the same class with twice the demand.
const Octave = uint32(levelsPerOctave) << tieBits

const (
	defaultWindow = 2 * time.Second
	// initialServiceTime is the estimate before any request has been served.
	initialServiceTime = 10 * time.Millisecond
	// serviceTimeGain is the weight of a new sample in the moving averages of service time.
	serviceTimeGain = 0.1
	// minKeptDemand is the demand, in seconds of service time, below which a customer is removed.
	minKeptDemand = 1e-9
	// sweepIntervalWindows is the interval between sweeps, in windows.
	sweepIntervalWindows = 30
)

// Config holds the arguments of New.
type Config struct {
	// Window is the time constant of the average of a customer's demand, 2 s when 0.
	Window time.Duration
}

// Ranker estimates the demand of each customer and ranks requests by it. It is not safe for concurrent use.
type Ranker struct {
	window    time.Duration
	customers map[figpier.CustomerID]*demand
	// meanServiceTime is the moving average over all customers, in seconds.
	meanServiceTime float64
	lastSweep       time.Time
}

// demand is the recent demand of one customer.
type demand struct {
	// requested is the exponentially decayed sum of the service times of the requests, in seconds.
	requested float64
	// serviceTime is the moving average of the customer's service times in seconds, 0 before the first one.
	serviceTime float64
	updated     time.Time
}

// New returns a ranker without customers.
func New(c Config) *Ranker {
	if c.Window == 0 {
		c.Window = defaultWindow
	}
	return &Ranker{
		window:          c.Window,
		customers:       map[figpier.CustomerID]*demand{},
		meanServiceTime: initialServiceTime.Seconds(),
	}
}

// Request holds the properties of a request that determine its rank.
type Request struct {
	config RequestConfig
}

// RequestConfig holds the arguments of NewRequest.
type RequestConfig struct {
	// ID is the identifier of the end-to-end request.
	ID figpier.RequestID
	// Customer is the sender of the request, empty on open routes.
	Customer figpier.CustomerID
	// Weight is the customer's fair-share weight; 0 or less counts as 1.
	Weight float64
	// Class is the priority class of the route.
	Class figpier.PriorityClass
}

// NewRequest returns an immutable request.
func NewRequest(c RequestConfig) Request { return Request{config: c} }

// Rank adds a request to its customer's demand and returns its rank.
//
// Within a class, the level is u*D/w, where D is the demand of the customer as service time per second, w its weight and
// u in (0,1] a hash of the request ID. Refusing all levels above L leaves each customer min(D, L*w), which is the weighted
// max-min fair share.
func (r *Ranker) Rank(now time.Time, q Request) figpier.Rank {
	r.sweep(now)
	d := r.demandOf(now, q.config.Customer)
	d.decay(now, r.window)
	d.requested += r.serviceTimeOf(d)

	hash := xxh3.HashString(string(q.config.ID))
	fraction := (float64(hash>>32) + 1) / (1 << 32)
	weightedDemand := d.requested / r.window.Seconds() / weightOrDefault(q.config.Weight)
	tie := uint32(hash) & (1<<tieBits - 1)
	return compose(q.config.Class, levelOf(fraction*weightedDemand), tie)
}

// Served records the service time of a customer's request at the backend server, to estimate that of later requests.
func (r *Ranker) Served(now time.Time, c figpier.CustomerID, elapsed time.Duration) {
	r.meanServiceTime += serviceTimeGain * (elapsed.Seconds() - r.meanServiceTime)
	d := r.demandOf(now, c)
	if d.serviceTime == 0 {
		d.serviceTime = elapsed.Seconds()
		return
	}
	d.serviceTime += serviceTimeGain * (elapsed.Seconds() - d.serviceTime)
}

// Demand returns the demand of a customer as the number of slots that it would keep busy.
func (r *Ranker) Demand(now time.Time, c figpier.CustomerID) float64 {
	d, ok := r.customers[c]
	if !ok {
		return 0
	}
	d.decay(now, r.window)
	return d.requested / r.window.Seconds()
}

func (r *Ranker) demandOf(now time.Time, c figpier.CustomerID) *demand {
	d, ok := r.customers[c]
	if !ok {
		d = &demand{updated: now}
		r.customers[c] = d
	}
	return d
}

// serviceTimeOf returns the expected service time of a request in seconds.
func (r *Ranker) serviceTimeOf(d *demand) float64 {
	if d.serviceTime > 0 {
		return d.serviceTime
	}
	return r.meanServiceTime
}

// sweep removes the customers whose demand has decayed to almost nothing.
func (r *Ranker) sweep(now time.Time) {
	if now.Sub(r.lastSweep) < sweepIntervalWindows*r.window {
		return
	}
	r.lastSweep = now
	for c, d := range r.customers {
		d.decay(now, r.window)
		if d.requested < minKeptDemand {
			delete(r.customers, c)
		}
	}
}

func (d *demand) decay(now time.Time, window time.Duration) {
	age := now.Sub(d.updated)
	if age <= 0 {
		return
	}
	d.requested *= math.Exp(-age.Seconds() / window.Seconds())
	d.updated = now
}

func weightOrDefault(weight float64) float64 {
	if weight > 0 {
		return weight
	}
	return 1
}

// levelOf returns the logarithmic level of a weighted demand, within the range of the bit field.
func levelOf(weightedDemand float64) uint32 {
	l := (math.Log2(weightedDemand) - lowestOctave) * levelsPerOctave
	return uint32(min(max(l, 0), maxLevel))
}

func compose(c figpier.PriorityClass, level, tie uint32) figpier.Rank {
	class := uint32(min(c, figpier.LowestPriority))
	return figpier.Rank(class<<(levelBits+tieBits) | level<<tieBits | tie)
}

// Class returns the priority class contained in a rank.
func Class(r figpier.Rank) figpier.PriorityClass {
	return figpier.PriorityClass(r >> (levelBits + tieBits))
}
