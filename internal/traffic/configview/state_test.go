package configview

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

func answerAt(revision int) message.PollAnswer {
	w := codec.FromConfiguration(figpier.NewConfiguration(figpier.ConfigurationConfig{Revision: figpier.Revision(revision)}))
	return message.PollAnswer{Revision: revision, Configuration: &w}
}

func TestOlderConfigurationIsNotAppliedAndConfirmsNothing(t *testing.T) {
	s := newState()
	epoch := time.Unix(0, 0)
	assert.Assert(t, s.applyAnswer(&pollAnswered{sent: epoch, answer: answerAt(5)}))
	assert.Equal(t, s.configuration.Revision(), figpier.Revision(5))
	assert.Equal(t, s.confirmed, epoch)

	assert.Assert(t, !s.applyAnswer(&pollAnswered{sent: epoch.Add(time.Second), answer: answerAt(4)}))
	assert.Equal(t, s.configuration.Revision(), figpier.Revision(5))
	assert.Equal(t, s.confirmed, epoch)
}

func TestViewAgeIncludesQuorumAgeOfControlInstance(t *testing.T) {
	s := newState()
	sent := time.Unix(100, 0)
	a := answerAt(1)
	a.QuorumAgeMillis = 1500
	s.applyAnswer(&pollAnswered{sent: sent, answer: a})
	assert.Equal(t, s.confirmed, sent.Add(-1500*time.Millisecond))
}

func TestMembersAreLoadedOnlyAfterAPollThatAskedForThem(t *testing.T) {
	s := newState()
	e := &followRequested{service: "b", loaded: make(chan struct{})}
	s.follow(e)
	m := message.Member{Instance: "b1", Service: "b"}
	s.applyAnswer(&pollAnswered{answer: message.PollAnswer{Full: true, Settled: true, Registry: "r"}})
	s.notifyWaiters()
	assert.Assert(t, !s.loaded.Has("b"))

	asked := figpier.NewSet[figpier.UpstreamService]("b")
	s.applyAnswer(&pollAnswered{followed: asked, answer: message.PollAnswer{Full: true, Settled: true, Registry: "r", Members: []message.Member{m}}})
	s.notifyWaiters()
	<-e.loaded
	assert.Equal(t, len(s.newSnapshot().members["b"]), 1)
}

func TestControlInstanceWithoutQuorumContactConfirmsNothing(t *testing.T) {
	s := newState()
	sent := time.Unix(100, 0)
	a := answerAt(1)
	a.QuorumAgeMillis = int(time.Duration(math.MaxInt64).Milliseconds()) + 1
	s.applyAnswer(&pollAnswered{sent: sent, answer: a})
	assert.Assert(t, s.confirmed.IsZero(), "%v", s.confirmed)
}
