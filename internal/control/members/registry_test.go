package members

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/figpier/figpier"
)

// fakeControl discards events; the tests pass them to HandleEvent themselves.
type fakeControl struct{}

func (fakeControl) Post(figpier.Event) error                      { return nil }
func (fakeControl) PostAfter(time.Duration, figpier.Event) func() { return func() {} }
func member(id figpier.InstanceID, sequence uint64) *figpier.Member {
	return figpier.NewMember(figpier.MemberConfig{Instance: id, Sequence: sequence})
}

func instanceNames(d figpier.MemberDelta) []string {
	list := []string{}
	for _, m := range d.Members() {
		list = append(list, string(m.Instance()))
	}
	return list
}

func TestMemberThatMovesBetweenControlInstancesStaysRegistered(t *testing.T) {
	r := New(Config{Lease: 3 * time.Second})
	r.control = fakeControl{}
	now := time.Unix(0, 0)
	r.HandleEvent(now, announceEvent{member: member("b1", 1)})
	before := r.Since(0).Version()

	other := figpier.NewMemberDelta(figpier.MemberDeltaConfig{Members: []*figpier.Member{member("b1", 1)}})
	r.HandleEvent(now, mergeEvent{source: "c2", delta: other, full: true})
	r.HandleEvent(now.Add(3*time.Second), leaseEndEvent{instance: "b1"})
	assert.DeepEqual(t, instanceNames(r.Since(0)), []string{"b1"})
	assert.Equal(t, len(r.Since(before).Removed()), 0)
	assert.DeepEqual(t, instanceNames(r.LocalSince(0)), []string{})

	r.HandleEvent(now, mergeEvent{source: "c2", full: true})
	assert.DeepEqual(t, instanceNames(r.Since(0)), []string{})
	assert.Equal(t, len(r.Since(before).Removed()), 1)
}

func TestRenewalExtendsTheLease(t *testing.T) {
	r := New(Config{Lease: 3 * time.Second})
	r.control = fakeControl{}
	now := time.Unix(0, 0)
	r.HandleEvent(now, announceEvent{member: member("b1", 1)})
	r.HandleEvent(now.Add(2*time.Second), announceEvent{member: member("b1", 1)})
	r.HandleEvent(now.Add(3*time.Second), leaseEndEvent{instance: "b1"})
	assert.DeepEqual(t, instanceNames(r.Since(0)), []string{"b1"})
	r.HandleEvent(now.Add(5*time.Second), leaseEndEvent{instance: "b1"})
	assert.DeepEqual(t, instanceNames(r.Since(0)), []string{})
}

func TestMovingMemberIsNeverCountedAtTwoControlInstances(t *testing.T) {
	start := time.Unix(0, 0)
	left, joined := New(Config{Lease: 3 * time.Second}), New(Config{Lease: 3 * time.Second})
	left.control, joined.control = fakeControl{}, fakeControl{}
	moves := 5 * time.Second
	for at := time.Duration(0); at < 10*time.Second; at += 100 * time.Millisecond {
		now, polled, elsewhere := start.Add(at), left, time.Hour
		if at >= moves {
			polled, elsewhere = joined, at-moves+100*time.Millisecond
		}
		polled.HandleEvent(now, announceEvent{member: member("b1", 1), elsewhere: elsewhere, counts: true})
		before, _ := left.CountPolling(now)
		after, _ := joined.CountPolling(now)
		assert.Assert(t, before+after <= 1, "%v: %d and %d", at, before, after)
	}
	counted, _ := joined.CountPolling(start.Add(10 * time.Second))
	assert.Equal(t, counted, 1)
}

// TestMemberThatMovesToAndFroIsNeverCountedTwice guards against a control instance that counts a returning member at once,
// because its lease from before is still there.
func TestMemberThatMovesToAndFroIsNeverCountedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(0, 0)
		registries := []*Registry{New(Config{Lease: 3 * time.Second}), New(Config{Lease: 3 * time.Second}), New(Config{Lease: 3 * time.Second})}
		counted := make([]time.Time, len(registries))
		for _, r := range registries {
			r.control, r.polledAt = fakeControl{}, start
		}
		at := 0
		for step := range 200 {
			now := start.Add(time.Duration(step) * 100 * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "move") == 0 {
				at = rapid.IntRange(0, len(registries)-1).Draw(t, "registry")
			}
			elsewhere := time.Hour
			for i, last := range counted {
				if i != at && !last.IsZero() {
					elsewhere = min(elsewhere, now.Sub(last))
				}
			}
			counts := rapid.IntRange(0, 4).Draw(t, "behind") > 0
			if counts {
				counted[at] = now
			}
			registries[at].HandleEvent(now, announceEvent{member: member("b1", 1), elsewhere: elsewhere, counts: counts})
			all := 0
			for _, r := range registries {
				n, _ := r.CountPolling(now)
				all += n
			}
			assert.Assert(t, all <= 1, "step %d: counted at %d control instances", step, all)
			if rapid.IntRange(0, 9).Draw(t, "ask") == 0 {
				polled := time.Duration(0)
				for _, r := range registries {
					polled += r.PolledTime(now)
				}
				assert.Assert(t, polled <= now.Sub(start), "step %d: a node's time is counted twice: %v", step, polled)
			}
		}
	})
}

func TestPolledTimeAddsUpTheMembersThatPoll(t *testing.T) {
	r := New(Config{Lease: 3 * time.Second})
	now := time.Unix(0, 0)
	r.control, r.polledAt = fakeControl{}, now
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		r.HandleEvent(now, announceEvent{member: member("b1", 1), elsewhere: time.Hour, counts: true})
		r.HandleEvent(now, announceEvent{member: member("b2", 1), elsewhere: time.Hour, counts: true})
	}
	assert.Equal(t, r.PolledTime(now), 2*39*250*time.Millisecond)
	assert.Equal(t, r.PolledTime(now), 2*39*250*time.Millisecond)
	assert.Equal(t, r.PolledTime(now.Add(time.Minute)), 2*(39*250*time.Millisecond+pollingTimeout))
}

// TestPollsThatDoNotCountDelayNoLaterCount covers the restart of all control instances: members poll one after the other while
// none of them is current, and are counted at the first one that is.
func TestPollsThatDoNotCountDelayNoLaterCount(t *testing.T) {
	r := New(Config{Lease: 3 * time.Second})
	r.control = fakeControl{}
	now := time.Unix(0, 0)
	r.HandleEvent(now, announceEvent{member: member("b1", 1), elsewhere: time.Hour})
	counted, _ := r.CountPolling(now)
	assert.Equal(t, counted, 0)
	r.HandleEvent(now.Add(time.Second), announceEvent{member: member("b1", 1), elsewhere: time.Hour, counts: true})
	counted, _ = r.CountPolling(now.Add(time.Second))
	assert.Equal(t, counted, 1)
}

func TestMemberNotCountedElsewhereIsCountedAtOnce(t *testing.T) {
	r := New(Config{Lease: 3 * time.Second})
	r.control = fakeControl{}
	now := time.Unix(0, 0)
	r.HandleEvent(now, announceEvent{member: member("b1", 1), elsewhere: minPollingTime - time.Millisecond, counts: true})
	r.HandleEvent(now, announceEvent{member: member("b2", 1), elsewhere: minPollingTime, counts: true})
	counted, _ := r.CountPolling(now)
	assert.Equal(t, counted, 1)
}

func TestDropInMemberCountIsReportedLate(t *testing.T) {
	r := New(Config{Lease: 3 * time.Second})
	r.control = fakeControl{}
	now := time.Unix(0, 0)
	r.HandleEvent(now, announceEvent{member: member("b1", 1)})
	r.HandleEvent(now, announceEvent{member: member("b2", 1)})
	_, all := r.CountPolling(now)
	assert.Equal(t, all, 2)
	r.HandleEvent(now.Add(4*time.Second), leaseEndEvent{instance: "b1"})
	_, all = r.CountPolling(now.Add(4 * time.Second))
	assert.Equal(t, all, 2)
	_, all = r.CountPolling(now.Add(time.Minute))
	assert.Equal(t, all, 1)
}
