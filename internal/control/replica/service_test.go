package replica

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/control/disk"
)

func TestHundredsOfEditsSurviveRestartsOfOneTwoAndAll(t *testing.T) {
	c := newCluster(t)
	var last figpier.Revision
	for n := range 300 {
		last = c.submitUntilAccepted(fmt.Sprint("edit-", n), c.instances[n%3])
		c.eventually("the next instance has the revision", func() bool { return c.instances[(n+1)%3].revision() == last })
	}
	for _, restarted := range [][]int{{0}, {1, 2}, {0, 1, 2}} {
		for _, n := range restarted {
			c.instances[n].stop()
		}
		for _, n := range restarted {
			c.instances[n].start()
		}
		c.waitForRevision(last)
		r, err := c.instances[0].submit("edit-299", 0)
		assert.NilError(t, err)
		assert.Equal(t, r.Revision(), last)
	}
}

func TestIsolatedLeaderAcceptsNoEdits(t *testing.T) {
	c := newCluster(t)
	last := c.submitUntilAccepted("first", c.instances[0])
	c.waitForRevision(last)
	old := c.waitForLeader()
	c.network.isolate(string(old.name), true)
	cut := time.Now()

	var accepted figpier.Revision
	for _, i := range c.instances {
		if i != old {
			accepted = c.submitUntilAccepted("second", i)
		}
	}
	_, err := old.submit("third", last)
	unknown, notLeader := &figpier.OutcomeUnknownError{}, &figpier.NotLeaderError{}
	assert.Assert(t, errors.As(err, &unknown) || errors.As(err, &notLeader), "%v", err)
	assert.Assert(t, old.log.QuorumAge(time.Now()) >= time.Since(cut))
	assert.Equal(t, old.revision(), last)

	c.network.isolate(string(old.name), false)
	c.waitForRevision(accepted)
}

func TestResendAfterALostAnswerGetsTheFirstOne(t *testing.T) {
	c := newCluster(t)
	first := c.submitUntilAccepted("first", c.instances[0])
	c.waitForRevision(first)
	asking, other := c.instances[0], c.instances[1]
	if lead := c.waitForLeader(); lead == asking {
		asking, other = other, asking
	}
	c.network.isolateAfterProposal(string(asking.name))
	_, err := asking.submit("second", first)
	unknown := &figpier.OutcomeUnknownError{}
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	assert.ErrorContains(t, err, "second")
	c.eventually("the edit is accepted", func() bool { return other.revision() > first })

	c.network.isolateAfterProposal("")
	c.network.isolate(string(asking.name), false)
	c.waitForRevision(other.revision())
	r, err := asking.submit("second", first)
	assert.NilError(t, err)
	assert.Equal(t, r.Revision(), other.revision())
	_, err = other.submit("third", first)
	conflictErr := &figpier.ConflictError{}
	assert.Assert(t, errors.As(err, &conflictErr))
	assert.Equal(t, conflictErr.Current(), r.Revision())
	_, err = other.submit("third", r.Revision())
	assert.Assert(t, errors.As(err, &conflictErr), "a resend of a refused edit did not get the first answer")
}

func TestLosingEachDiskInTurnKeepsEdits(t *testing.T) {
	c := newCluster(t)
	var last figpier.Revision
	for n := range 5 {
		last = c.submitUntilAccepted(fmt.Sprint("edit-", n), c.instances[0])
	}
	c.waitForRevision(last)
	for _, n := range []int{2, 0, 1} {
		c.instances[n].loseDisk()
		c.waitUntilVoter(c.instances[n])
		c.waitForRevision(last)
	}
	next := c.submitUntilAccepted("after", c.instances[1])
	assert.Assert(t, next > last)
	c.waitForRevision(next)
}

func TestDamagedLogIsRefused(t *testing.T) {
	c := newCluster(t)
	c.waitForRevision(c.submitUntilAccepted("first", c.instances[0]))
	i := c.instances[1]
	i.stop()
	paths, err := filepath.Glob(filepath.Join(i.folder, "log-*"))
	assert.NilError(t, err)
	data, err := os.ReadFile(paths[0])
	assert.NilError(t, err)
	data[len(data)/2] ^= 1
	assert.NilError(t, os.WriteFile(paths[0], data, 0o600))

	_, err = disk.Open(disk.Config{Folder: i.folder, Instance: i.name, Incarnation: "new"})
	damaged := &disk.DamagedError{}
	assert.Assert(t, errors.As(err, &damaged))
	assert.Equal(t, damaged.File(), paths[0])
}

func TestProposalWithoutALeaderIsRefused(t *testing.T) {
	c := newCluster(t)
	c.waitForRevision(c.submitUntilAccepted("first", c.instances[0]))
	for _, i := range c.instances[1:] {
		c.network.isolate(string(i.name), true)
	}
	alone := c.instances[0]
	c.eventually("the leader is gone", func() bool { return alone.log.Leader() == "" })
	_, err := alone.submit("second", alone.revision())
	notLeader := &figpier.NotLeaderError{}
	assert.Assert(t, errors.As(err, &notLeader), "%v", err)

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = alone.log.Propose(ctx, nil)
	unknown := &figpier.OutcomeUnknownError{}
	assert.Assert(t, errors.As(err, &unknown))
}
