package routing

import (
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/cutoff"
)

const (
	// failuresToEject is the number of consecutive failed attempts after which a member is ejected.
	failuresToEject = 3
	// firstEjection is the duration of a member's first ejection, which doubles with each further one up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// silenceTimeout is the time without a complete answer after which an expired attempt can eject a member.
	silenceTimeout = time.Second
	// maxEjectedFraction limits the members of a service that are ejected at once; of two or more, one always may be.
	maxEjectedFraction = 1.0 / 3
	// slowStartDuration is the time in which the load of a member grows to its full share after it became available.
	slowStartDuration  = 5 * time.Second
	minSlowStartWeight = 0.1
)

// memberState holds the load and health of one member as seen by this node.
type memberState struct {
	// member is set by the first attempt.
	member   *figpier.Member
	inFlight int
	// cutOff is the cut-off in the member's newest answer.
	cutOff cutoff.Reported
	// failures is the number of failed attempts since the last answer or ejection.
	failures int
	// ejections is the number of ejections since the last complete answer.
	ejections    int
	ejectedUntil time.Time
	ejectedAt    time.Time
	// lastAnswer is the time of the last complete answer.
	lastAnswer time.Time
	// lastSeen is the time of the last pick at which the member accepted calls.
	lastSeen time.Time
	// availableSince is when the member last became available, zero if it has been since the first pick.
	availableSince time.Time
}

func (s *memberState) ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// weight returns the fraction of its usual load that a member receives: 1, or less during slow start.
func (s *memberState) weight(now time.Time) float64 {
	rampStart := s.availableSince
	if s.ejectedUntil.After(rampStart) {
		rampStart = s.ejectedUntil
	}
	if rampStart.IsZero() {
		return 1
	}
	fraction := float64(now.Sub(rampStart)) / float64(slowStartDuration)
	return max(minSlowStartWeight, min(1, fraction))
}

// load returns the calls per usable slot if the member received one more. One is added while the member sheds load.
func (s *memberState) load(now time.Time, m *figpier.Member) float64 {
	load := float64(s.inFlight+1) / (float64(max(1, m.Slots())) * s.weight(now))
	if s.cutOff.At(now) != figpier.MaxRank {
		load++
	}
	return load
}

// refuses reports whether the member's reported cut-off refuses the rank.
func (s *memberState) refuses(now time.Time, r figpier.Rank) bool { return r.Refused(s.cutOff.At(now)) }

// saturated reports whether the member refuses the rank or has no free slot, so that a more distant one is preferable.
func (s *memberState) saturated(now time.Time, m *figpier.Member, r figpier.Rank) bool {
	return s.refuses(now, r) || s.inFlight >= m.Slots()
}

// silent reports whether the member has given no complete answer for silenceTimeout.
func (s *memberState) silent(now time.Time) bool { return now.Sub(s.lastAnswer) > silenceTimeout }

// recordFailure counts a failed attempt and reports whether the member should be ejected.
func (s *memberState) recordFailure() bool {
	s.failures++
	return s.failures >= failuresToEject
}

// eject ejects the member. The limit on the shift keeps it from overflowing; 32 s is already above maxEjection.
func (s *memberState) eject(now time.Time) {
	duration := min(maxEjection, firstEjection<<min(s.ejections, 5))
	s.ejections++
	s.failures = 0
	s.ejectedAt = now
	s.ejectedUntil = now.Add(duration)
}
