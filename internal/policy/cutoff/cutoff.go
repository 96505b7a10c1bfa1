package cutoff

import (
	"math"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/rank"
)

const (
	// holdTime is the time for which a reported cut-off stays unchanged.
	holdTime = 200 * time.Millisecond
	// doublingTime is the time in which the raise of a cut-off doubles after holdTime.
	doublingTime = 100 * time.Millisecond
	// initialRaise is the raise, in ranks, after the first doublingTime.
	initialRaise = float64(rank.Octave / 4)
	// maxDoublings bounds the exponent of the raise; no cut-off remains after as many.
	maxDoublings = 40
)

// Reported is a cut-off that another node reported. The zero value is no cut-off.
type Reported struct {
	rank figpier.Rank
	at   time.Time
}

// NewReported returns a cut-off that was reported at the given time.
func NewReported(now time.Time, r figpier.Rank) Reported { return Reported{rank: r, at: now} }

// At returns the cut-off in effect at the given time. It is the reported one for holdTime and then rises exponentially,
// so that higher ranks are tried again.
func (r Reported) At(now time.Time) figpier.Rank {
	if r.at.IsZero() {
		return figpier.MaxRank
	}
	age := now.Sub(r.at) - holdTime
	if age <= 0 {
		return r.rank
	}
	doublings := min(float64(age)/float64(doublingTime), maxDoublings)
	raised := float64(r.rank) + initialRaise*(math.Exp2(doublings)-1)
	if raised >= float64(figpier.MaxRank) {
		return figpier.MaxRank
	}
	return figpier.Rank(raised)
}

// answersPerRoute is the number of most recent answers of a route that must all report a cut-off before it is applied, so
// that a route is not refused when only some of its requests reach the overloaded service.
const answersPerRoute = 4

const sweepInterval = 10 * time.Second

// Route identifies the requests that share a cut-off.
type Route struct {
	service figpier.UpstreamService
	pattern string
}

// NewRoute returns a route of a service.
func NewRoute(s figpier.UpstreamService, pattern string) Route {
	return Route{service: s, pattern: pattern}
}

// Service returns the service of the route.
func (r Route) Service() figpier.UpstreamService { return r.service }

// Pattern returns the pattern or name of the route, as figpier.Call.Route does.
func (r Route) Pattern() string { return r.pattern }

// Table stores the cut-offs of routes. It is not safe for concurrent use.
type Table struct {
	routes    map[Route]*recentAnswers
	lastSweep time.Time
}

// recentAnswers is a ring buffer of the cut-offs that the most recent answers of a route reported.
type recentAnswers struct {
	cutOffs [answersPerRoute]Reported
	next    int
	since   time.Time
}

// New returns a table without cut-offs.
func New() *Table { return &Table{routes: map[Route]*recentAnswers{}} }

// Record records the cut-off that an answer reported, figpier.MaxRank for none.
func (t *Table) Record(now time.Time, r Route, cutOff figpier.Rank) {
	t.sweep(now)
	a, ok := t.routes[r]
	if !ok {
		if cutOff == figpier.MaxRank {
			return
		}
		a = &recentAnswers{}
		t.routes[r] = a
	}
	a.cutOffs[a.next] = NewReported(now, cutOff)
	a.next = (a.next + 1) % answersPerRoute
	a.updateSince(now)
}

// CutOff returns the lowest rank of the route that is refused, figpier.MaxRank when none is.
func (t *Table) CutOff(now time.Time, r Route) figpier.Rank {
	a, ok := t.routes[r]
	if !ok {
		return figpier.MaxRank
	}
	return a.cutOff(now)
}

// Each calls f for each route that has a cut-off, with the time from which it has had one.
func (t *Table) Each(now time.Time, f func(r Route, cutOff figpier.Rank, since time.Time)) {
	for r, a := range t.routes {
		if c := a.cutOff(now); c != figpier.MaxRank {
			f(r, c, a.since)
		}
	}
}

// updateSince records when the cut-off began. It runs only on an answer, so a cut-off that ended between two answers counts
// as uninterrupted.
func (a *recentAnswers) updateSince(now time.Time) {
	if a.cutOff(now) == figpier.MaxRank {
		a.since = time.Time{}
		return
	}
	if a.since.IsZero() {
		a.since = now
	}
}

// cutOff returns the highest of the recorded cut-offs, so that one answer without a cut-off lifts it.
func (a *recentAnswers) cutOff(now time.Time) figpier.Rank {
	var highest figpier.Rank
	for _, t := range a.cutOffs {
		highest = max(highest, t.At(now))
	}
	return highest
}

// sweep removes the routes without a cut-off, at most once in sweepInterval.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	for r, a := range t.routes {
		if a.expired(now) {
			delete(t.routes, r)
		}
	}
}

// expired reports whether none of the recorded cut-offs is in effect any more.
func (a *recentAnswers) expired(now time.Time) bool {
	for _, t := range a.cutOffs {
		if t.At(now) != figpier.MaxRank {
			return false
		}
	}
	return true
}
