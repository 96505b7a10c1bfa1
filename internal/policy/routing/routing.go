package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/cutoff"
)

// Config holds the arguments of New.
type Config struct {
	// DataCentre is the data centre of the node.
	DataCentre figpier.DataCentre
	// Region is the region of the data centre.
	Region figpier.Region
	// Seed seeds the random choices.
	Seed uint64
}

// Tracker tracks the load and health of the members that a node calls. It is not safe for concurrent use.
type Tracker struct {
	config Config
	random *rand.Rand
	states map[figpier.InstanceID]*memberState
	// lastPick holds the time of the last pick for each service.
	lastPick map[figpier.UpstreamService]time.Time
}

// New returns a tracker without members.
func New(c Config) *Tracker {
	return &Tracker{
		config:   c,
		random:   rand.New(rand.NewPCG(c.Seed, c.Seed)),
		states:   map[figpier.InstanceID]*memberState{},
		lastPick: map[figpier.UpstreamService]time.Time{},
	}
}

// Verdict is the result of Pick.
type Verdict uint8

// Results of Pick.
const (
	// Picked means that a member was selected.
	Picked Verdict = iota
	// Refused means that every available member would refuse the rank of the call.
	Refused
	// NoMember means that no member is available.
	NoMember
)

// Pick selects a member of a service for a call of the rank, excluding those already tried.
func (t *Tracker) Pick(now time.Time, s figpier.UpstreamService, members []*figpier.Member, r figpier.Rank, tried []figpier.InstanceID) (*figpier.Member, Verdict) {
	candidates := t.candidates(now, s, members, tried)
	if len(candidates) == 0 {
		return nil, NoMember
	}
	accepting := filterMembers(candidates, func(m *figpier.Member) bool {
		return !t.states[m.Instance()].refuses(now, r)
	})
	if len(accepting) == 0 {
		return nil, Refused
	}
	free := filterMembers(accepting, func(m *figpier.Member) bool {
		return !t.states[m.Instance()].saturated(now, m, r)
	})
	if len(free) == 0 {
		free = accepting
	}
	return t.lessLoadedOfTwo(now, t.nearest(free)), Picked
}

// candidates returns the members that are not draining, ejected or already tried, and records which members accept calls.
func (t *Tracker) candidates(now time.Time, s figpier.UpstreamService, members []*figpier.Member, tried []figpier.InstanceID) []*figpier.Member {
	previousPick, pickedBefore := t.lastPick[s]
	t.lastPick[s] = now
	var all []*figpier.Member
	for _, m := range members {
		if m.Draining() {
			continue
		}
		st := t.markAvailable(now, m.Instance(), previousPick, pickedBefore)
		if !st.ejected(now) && !slices.Contains(tried, m.Instance()) {
			all = append(all, m)
		}
	}
	return all
}

// markAvailable records that a member accepts calls. Slow start begins if it did not at the previous pick of its service.
func (t *Tracker) markAvailable(now time.Time, id figpier.InstanceID, previousPick time.Time, pickedBefore bool) *memberState {
	st, ok := t.states[id]
	if !ok {
		st = &memberState{}
		t.states[id] = st
	}
	if pickedBefore && !st.lastSeen.Equal(previousPick) && !st.lastSeen.Equal(now) {
		st.availableSince = now
	}
	st.lastSeen = now
	return st
}

// nearest returns the members at the shortest distance.
func (t *Tracker) nearest(members []*figpier.Member) []*figpier.Member {
	var best []*figpier.Member
	distance := otherRegion + 1
	for _, m := range members {
		d := t.distance(m)
		if d < distance {
			distance, best = d, nil
		}
		if d == distance {
			best = append(best, m)
		}
	}
	return best
}

// Distances of members, in ascending order.
const (
	sameDataCentre = iota
	sameRegion
	otherRegion
)

func (t *Tracker) distance(m *figpier.Member) int {
	switch {
	case m.DataCentre() == t.config.DataCentre:
		return sameDataCentre
	case m.Region() == t.config.Region:
		return sameRegion
	}
	return otherRegion
}

// lessLoadedOfTwo selects two random members and returns the less loaded one.
func (t *Tracker) lessLoadedOfTwo(now time.Time, members []*figpier.Member) *figpier.Member {
	i := t.random.IntN(len(members))
	if len(members) == 1 {
		return members[i]
	}
	k := t.random.IntN(len(members) - 1)
	if k >= i {
		k++
	}
	a, b := members[i], members[k]
	if t.states[b.Instance()].load(now, b) < t.states[a.Instance()].load(now, a) {
		return b
	}
	return a
}

// Begin records the start of a call to a member.
func (t *Tracker) Begin(m *figpier.Member) {
	st := t.stateOf(m.Instance())
	st.member = m
	st.inFlight++
}

// End records the outcome of a call to a member and the cut-off in its answer, figpier.MaxRank for none. members are all
// members of the service, which limit ejections.
func (t *Tracker) End(now time.Time, m *figpier.Member, members []*figpier.Member, k figpier.OutcomeKind, cutOff figpier.Rank) {
	st := t.stateOf(m.Instance())
	st.inFlight = max(0, st.inFlight-1)
	switch k {
	case figpier.OutcomeExpired:
		if st.silent(now) && t.othersAnswer(now, m, members) && t.mayEject(now, members) {
			st.eject(now)
		}
		return
	case figpier.OutcomeFailed, figpier.OutcomeUnreached:
		if st.recordFailure() && !st.ejected(now) && t.mayEject(now, members) {
			st.eject(now)
		}
		return
	case figpier.OutcomeCancelled:
		return
	case figpier.OutcomeDone:
		st.failures, st.ejections = 0, 0
		st.lastAnswer = now
	default:
		st.failures = 0
	}
	st.cutOff = cutoff.NewReported(now, cutOff)
}

// othersAnswer reports whether another member of the service has answered recently. Only then is a silent member itself at
// fault, and not a service that all members depend on.
func (t *Tracker) othersAnswer(now time.Time, m *figpier.Member, members []*figpier.Member) bool {
	return slices.ContainsFunc(members, func(o *figpier.Member) bool {
		return o.Instance() != m.Instance() && !t.stateOf(o.Instance()).silent(now)
	})
}

// mayEject reports whether the number of ejected members is below the limit.
func (t *Tracker) mayEject(now time.Time, members []*figpier.Member) bool {
	ejected := 0
	for _, m := range members {
		if t.stateOf(m.Instance()).ejected(now) {
			ejected++
		}
	}
	limit := int(maxEjectedFraction * float64(len(members)))
	if len(members) > 1 {
		limit = max(1, limit)
	}
	return ejected < limit
}

// CutOff returns the lowest rank that every available member refuses, figpier.MaxRank when there is none.
func (t *Tracker) CutOff(now time.Time, members []*figpier.Member) figpier.Rank {
	var highest figpier.Rank
	for _, m := range members {
		if st := t.stateOf(m.Instance()); !m.Draining() && !st.ejected(now) {
			highest = max(highest, st.cutOff.At(now))
		}
	}
	if highest == 0 {
		return figpier.MaxRank
	}
	return highest
}

// Ejected calls f for each ejected member with the time of its ejection.
func (t *Tracker) Ejected(now time.Time, f func(m *figpier.Member, since time.Time)) {
	for _, st := range t.states {
		if st.ejected(now) {
			f(st.member, st.ejectedAt)
		}
	}
}

// Forget removes members that have no calls in flight and were last available longer than after ago.
func (t *Tracker) Forget(now time.Time, after time.Duration) {
	for id, st := range t.states {
		if st.inFlight == 0 && now.Sub(st.lastSeen) > after {
			delete(t.states, id)
		}
	}
}

func (t *Tracker) stateOf(id figpier.InstanceID) *memberState {
	st, ok := t.states[id]
	if !ok {
		st = &memberState{}
		t.states[id] = st
	}
	return st
}

func filterMembers(members []*figpier.Member, f func(*figpier.Member) bool) []*figpier.Member {
	var kept []*figpier.Member
	for _, m := range members {
		if f(m) {
			kept = append(kept, m)
		}
	}
	return kept
}
