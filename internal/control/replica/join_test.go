package replica

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier/internal/policy/raft"
)

// Guards against a fleet that never serves because a seed lost its disk before a log was founded, and against a second log.
func TestSeedLostBeforeTheFoundingDoesNotPreventIt(t *testing.T) {
	answer := func(address string, founder bool, cluster string) peerStatus {
		return peerStatus{member: raft.NewMember(raft.MemberConfig{Address: address}), founder: founder, cluster: cluster}
	}
	founder := func(address string) peerStatus { return answer(address, true, "") }
	lost := func(address string) peerStatus { return answer(address, false, "") }
	// restarted is a founder whose process was started again, on the disk that it had at a first start with so many seeds.
	restarted := func(address string, seeds int) peerStatus {
		p := answer(address, false, "")
		p.foundingSeeds = seeds
		return p
	}
	for name, c := range map[string]struct {
		answers  []peerStatus
		seeds    int
		founding string // the address of the instance that founds the log, empty for none
	}{
		"all are founders":           {[]peerStatus{founder("a"), founder("b"), founder("c")}, 3, "a"},
		"in another order":           {[]peerStatus{founder("c"), founder("a"), founder("b")}, 3, "a"},
		"the second lost its disk":   {[]peerStatus{founder("a"), lost("b"), founder("c")}, 3, "a"},
		"the lowest lost its disk":   {[]peerStatus{lost("a"), founder("b"), founder("c")}, 3, "b"},
		"two lost their disks":       {[]peerStatus{founder("a"), lost("b"), lost("c")}, 3, ""},
		"one does not answer":        {[]peerStatus{founder("a"), founder("c")}, 3, ""},
		"one belongs to a log":       {[]peerStatus{founder("a"), founder("b"), answer("c", true, "x")}, 3, ""},
		"a lost one belongs to one":  {[]peerStatus{founder("a"), answer("b", false, "x"), founder("c")}, 3, ""},
		"one of two lost its disk":   {[]peerStatus{founder("a"), lost("b")}, 2, ""},
		"the only one":               {[]peerStatus{founder("a")}, 1, "a"},
		"the only one lost its disk": {[]peerStatus{lost("a")}, 1, ""},
		"no seed":                    {nil, 0, ""},
		"two were started again":     {[]peerStatus{founder("a"), restarted("b", 3), restarted("c", 3)}, 3, "a"},
		"all were started again":     {[]peerStatus{restarted("a", 3), restarted("b", 3), restarted("c", 3)}, 3, "a"},
		"one of each":                {[]peerStatus{lost("a"), restarted("b", 3), founder("c")}, 3, "b"},
		"one restarted, two lost":    {[]peerStatus{lost("a"), restarted("b", 3), lost("c")}, 3, ""},
		"a restarted one in a log":   {[]peerStatus{restarted("a", 3), restarted("b", 3), answer("c", false, "x")}, 3, ""},
		"fewer seeds than before":    {[]peerStatus{restarted("a", 3)}, 1, ""},
		"a minority of those before": {[]peerStatus{restarted("a", 5), restarted("b", 5)}, 2, ""},
	} {
		for _, address := range []string{"a", "b", "c"} {
			assert.Equal(t, mayFound(address, c.seeds, c.answers), address == c.founding, "%s: at %s", name, address)
		}
	}
}
