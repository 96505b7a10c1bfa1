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

// apply applies an answer that must be applicable.
func apply(t *testing.T, s *state, a *pollAnswered) {
	t.Helper()
	_, err := s.applyAnswer(a)
	assert.NilError(t, err)
}

func answerAt(revision int) message.PollAnswer {
	w := codec.FromConfiguration(figpier.NewConfiguration(figpier.ConfigurationConfig{Revision: figpier.Revision(revision)}))
	return message.PollAnswer{Revision: revision, Configuration: &w}
}

func TestOlderConfigurationIsNotAppliedAndConfirmsNothing(t *testing.T) {
	s := newState()
	epoch := time.Unix(0, 0)
	newer, err := s.applyAnswer(&pollAnswered{sent: epoch, answer: answerAt(5)})
	assert.NilError(t, err)
	assert.Assert(t, newer)
	assert.Equal(t, s.configuration.Revision(), figpier.Revision(5))
	assert.Equal(t, s.confirmed, epoch)

	newer, err = s.applyAnswer(&pollAnswered{sent: epoch.Add(time.Second), answer: answerAt(4)})
	assert.NilError(t, err)
	assert.Assert(t, !newer)
	assert.Equal(t, s.configuration.Revision(), figpier.Revision(5))
	assert.Equal(t, s.confirmed, epoch)
}

func TestViewAgeIncludesQuorumAgeOfControlInstance(t *testing.T) {
	s := newState()
	sent := time.Unix(100, 0)
	a := answerAt(1)
	a.QuorumAgeMillis = 1500
	apply(t, s, &pollAnswered{sent: sent, answer: a})
	assert.Equal(t, s.confirmed, sent.Add(-1500*time.Millisecond))
}

func TestMembersAreLoadedOnlyAfterAPollThatAskedForThem(t *testing.T) {
	s := newState()
	e := &followRequested{service: "b", loaded: make(chan struct{})}
	s.follow(e)
	m := message.Member{Instance: "b1", Service: "b"}
	apply(t, s, &pollAnswered{answer: message.PollAnswer{Full: true, Settled: true, Registry: "r"}})
	s.notifyWaiters()
	assert.Assert(t, !s.loaded.Has("b"))

	asked := figpier.NewSet[figpier.UpstreamService]("b")
	apply(t, s, &pollAnswered{followed: asked, answer: message.PollAnswer{Full: true, Settled: true, Registry: "r", Members: []message.Member{m}}})
	s.notifyWaiters()
	<-e.loaded
	assert.Equal(t, len(s.newSnapshot().members["b"]), 1)
}

func TestControlInstanceWithoutQuorumContactConfirmsNothing(t *testing.T) {
	s := newState()
	sent := time.Unix(100, 0)
	a := answerAt(1)
	a.QuorumAgeMillis = int(time.Duration(math.MaxInt64).Milliseconds()) + 1
	apply(t, s, &pollAnswered{sent: sent, answer: a})
	assert.Assert(t, s.confirmed.IsZero(), "%v", s.confirmed)
}
