package shard

import "time"

// unreachableBackoff is how long a member gets no part in a shard after the shard's primary has reported it unreachable.
const unreachableBackoff = 30 * time.Second

// partsPerMember returns how many times each member serves as a primary, a backup or a joining member.
func (s *Assigner) partsPerMember() map[MemberID]int {
	load := map[MemberID]int{}
	for _, a := range s.assignments.All() {
		load[a.Primary()]++
		for _, m := range a.Backups() {
			load[m]++
		}
		for _, m := range a.Joining() {
			load[m]++
		}
	}
	return load
}

// pickHost returns the eligible host with the lowest placement penalty and, among those, the lowest load, and counts it
// in load. It returns false if no host is eligible. The taken members are those that the shard has already.
func (s *Assigner) pickHost(id ID, taken []MemberID, load map[MemberID]int, now time.Time) (MemberID, bool) {
	var best *Host
	bestCost := 0
	for m, h := range s.hosts {
		if !s.isEligible(id, m, taken, now) {
			continue
		}
		cost := s.placementPenalty(h, taken)*maxLoad + load[m]
		if best == nil || cost < bestCost || cost == bestCost && m < best.Member() {
			best, bestCost = h, cost
		}
	}
	if best == nil {
		return "", false
	}
	load[best.Member()]++
	return best.Member(), true
}

// maxLoad exceeds the number of parts of any member, so that the placement penalty outweighs the load.
const maxLoad = 1 << 20

// placementPenalty rates a host by its worst relation to a taken member: 0 for another data centre of the same region, 1
// for the same data centre, and 2 for another region.
func (s *Assigner) placementPenalty(h *Host, taken []MemberID) int {
	worst := 0
	for _, m := range taken {
		t, ok := s.hosts[m]
		switch {
		case !ok:
		case t.config.Region != h.config.Region:
			worst = max(worst, 2)
		case t.config.DataCentre == h.config.DataCentre:
			worst = max(worst, 1)
		}
	}
	return worst
}

// isEligible reports whether a host may get a part in a shard: it is alive, is not leaving, has no part in it yet, and
// was not reported unreachable within unreachableBackoff.
func (s *Assigner) isEligible(id ID, m MemberID, taken []MemberID, now time.Time) bool {
	for _, t := range taken {
		if t == m {
			return false
		}
	}
	h := s.hosts[m]
	if h.config.Leaving || !s.isAlive(m, now) {
		return false
	}
	reported, unreachable := s.unreachableAt[id][m]
	return !unreachable || now.Sub(reported) >= unreachableBackoff
}
