package replica

import (
	"crypto/rand"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/raft"
)

// ownStatus returns this instance's answer to a probe.
func (l *Log) ownStatus() peerStatus {
	return peerStatus{
		member: raft.NewMember(raft.MemberConfig{
			ID:      l.disk.Member(),
			Address: l.config.Address,
		}),
		cluster:       l.machine.Cluster(),
		leaderAddress: l.machine.LeaderAddress(),
		founder:       l.config.Founder,
		foundingSeeds: l.disk.FoundingSeeds(),
	}
}

// foundingSeeds returns the number of seeds if this is the first start of the whole system and this instance is one of them, and
// otherwise 0.
func (l *Log) foundingSeeds() int {
	if !l.config.Seeded || !l.config.Founder {
		return 0
	}
	seeds := figpier.NewSet(l.seeds.Seeds()...)
	if !seeds.Has(l.config.Address) {
		return 0
	}
	return len(seeds.Values())
}

// needsJoin reports whether this instance is not yet a voter, or is a voter under an old address. One with fixed peers that operators removed does not join again.
func (l *Log) needsJoin() bool {
	members := l.machine.Members()
	m, ok := members.Find(l.disk.Member())
	if !ok {
		return l.config.Seeded || len(members.List()) == 0 || l.disk.Fresh() && !l.wasVoter
	}
	return !m.Voter() || m.Address() != l.config.Address
}

// needsDiscovery reports whether this instance should probe the others: it needs to join, or it knows no leader and may have been removed while it was isolated.
func (l *Log) needsDiscovery() bool {
	return l.needsJoin() || l.config.Seeded && l.machine.Leader() == ""
}

// discover probes the other control instances if needed, and schedules the next round.
func (l *Log) discover(now time.Time) {
	l.control.PostAfter(joinInterval, discoveryDue{})
	if !l.needsDiscovery() {
		return
	}
	others := l.candidateAddresses()
	if len(others) == 0 {
		l.joinOrBootstrap(now, []peerStatus{l.ownStatus()})
		return
	}
	go l.probeAll(l.ownStatus(), others)
}

// candidateAddresses returns the addresses of the seeds, the known members and the fixed peers, without this instance's own.
func (l *Log) candidateAddresses() []string {
	known := figpier.NewSet[string]()
	if l.config.Seeded {
		known = figpier.NewSet(l.seeds.Seeds()...)
		for _, m := range l.machine.Members().List() {
			known = known.With(m.Address())
		}
	}
	for _, c := range l.config.Peers {
		if c.Instance != l.config.Instance {
			known = known.With(c.Address)
		}
	}
	return slices.DeleteFunc(known.Values(), func(a string) bool { return a == l.config.Address })
}

// probeAll probes the addresses in parallel and posts the answers that arrived, after this instance's own status.
func (l *Log) probeAll(self peerStatus, addresses []string) {
	var mu sync.Mutex
	var group sync.WaitGroup
	peers := []peerStatus{self}
	for _, a := range addresses {
		group.Go(func() {
			p, err := l.probe(a)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			peers = append(peers, p)
		})
	}
	group.Wait()
	_ = l.control.Post(probesFinished{peers: peers})
}

// joinOrBootstrap joins the log of a peer that knows a leader, or founds a log if mayBootstrap allows it.
func (l *Log) joinOrBootstrap(now time.Time, peers []peerStatus) {
	if !l.needsDiscovery() {
		return
	}
	for _, p := range peers {
		if p.leaderAddress != "" && p.member.ID() != l.disk.Member() {
			go l.join(p.leaderAddress, l.ownStatus().member)
			return
		}
	}
	if l.mayBootstrap(peers) {
		l.bootstrap(now, peers)
	}
}

// mayBootstrap reports whether all founders answered, none belongs to a log, and this instance has the lowest name among them.
func (l *Log) mayBootstrap(peers []peerStatus) bool {
	if l.config.Seeded {
		return l.mayBootstrapFromSeeds(peers)
	}
	if len(peers) != len(l.config.Peers) {
		return false
	}
	for _, p := range peers {
		id := p.member.ID()
		if p.cluster != "" || strings.Compare(string(id.Instance()), string(l.config.Instance)) < 0 {
			return false
		}
	}
	return l.machine.Cluster() == ""
}

// mayBootstrapFromSeeds reports whether this instance may found the log, by the answers of its seeds.
func (l *Log) mayBootstrapFromSeeds(peers []peerStatus) bool {
	seeds := figpier.NewSet(l.seeds.Seeds()...)
	return l.machine.Cluster() == "" && mayFound(l.config.Address, len(seeds.Values()), l.seedPeers(peers))
}

// mayFound reports whether all seeds answered that they belong to no log, most of them are founders, and the instance at an address has
// the lowest address among these. An instance that lost its disk is not a founder. If a log had been founded before, most of its voters,
// which were all seeds of the first start, would have it on disk before it holds anything; so fewer than half of these are founders
// without it. There is no second log as long as the founders are most of the seeds, now and at the first start.
func mayFound(address string, seeds int, answers []peerStatus) bool {
	founders, lowest, voters := 0, "", seeds
	for _, p := range answers {
		if p.cluster != "" {
			return false
		}
		if !p.mayFound() {
			continue
		}
		founders++
		voters = max(voters, p.foundingSeeds)
		if lowest == "" || p.member.Address() < lowest {
			lowest = p.member.Address()
		}
	}
	return len(answers) == seeds && 2*founders > voters && lowest == address
}

// seedPeers returns the peers whose address is that of a seed.
func (l *Log) seedPeers(peers []peerStatus) []peerStatus {
	seeds := figpier.NewSet(l.seeds.Seeds()...)
	return slices.DeleteFunc(slices.Clone(peers), func(p peerStatus) bool { return !seeds.Has(p.member.Address()) })
}

// bootstrap founds a log with the peers as voters and the state machine's current state as the first snapshot.
func (l *Log) bootstrap(now time.Time, peers []peerStatus) {
	if l.config.Seeded {
		peers = l.seedPeers(peers)
	}
	data, err := l.stateMachine.Snapshot()
	if err != nil {
		l.fail(err)
		return
	}
	var founders []raft.Member
	for _, p := range peers {
		c := p.member.Config()
		c.Voter = true
		founders = append(founders, raft.NewMember(c))
	}
	cluster := rand.Text()[:incarnationLength]
	l.machine.Bootstrap(now, cluster, raft.NewMembers(founders...), data)
	l.log.WithField("cluster", cluster).Warn("founded a new replicated log: all founders answered and none had one")
}
