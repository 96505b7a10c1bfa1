package upstream

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/zeebo/errs"
	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/host/logs"
)

var (
	nodeStart = time.Unix(1000, 0)
	longAgo   = nodeStart.Add(-time.Minute)
)

// announcementTimeout is the age at which announcements expire.
const announcementTimeout = 15 * time.Second

// openControl implements figpier.ControlThread without timers. It sends posted events to a channel.
type openControl struct {
	events chan figpier.Event
}

func (c openControl) Post(e figpier.Event) error {
	c.events <- e
	return nil
}

func (openControl) PostAfter(time.Duration, figpier.Event) func() { return func() {} }

// tableView implements what the service uses of figpier.ConfigurationView.
type tableView struct {
	figpier.ConfigurationView
	table  *figpier.Table
	member *figpier.Member
}

func (v *tableView) Configuration() *figpier.Configuration {
	return figpier.NewConfiguration(figpier.ConfigurationConfig{Table: v.table})
}

func (v *tableView) Announce(m *figpier.Member) { v.member = m }

// slotCount implements figpier.Admission for announced slots.
type slotCount struct {
	figpier.Admission
}

func (slotCount) SetSlots(int) {}

// fixedHealth implements figpier.HealthCheck with the same answer for all checks.
type fixedHealth struct {
	figpier.HealthCheck
	err   error
	paths chan string
}

func (h fixedHealth) Check(_ context.Context, _, path, _ string) error {
	h.paths <- path
	return h.err
}

// rig is the service without a kernel, which tests drive event by event.
type rig struct {
	t        *testing.T
	upstream *Upstream
	view     *tableView
	health   fixedHealth
	events   chan figpier.Event
}

// newRig returns the service of a node that started at nodeStart, whose health checks have a result.
func newRig(t *testing.T, health error) *rig {
	l, err := logs.New(logs.Config{Output: io.Discard, Instance: "node"})
	assert.NilError(t, err)
	service := figpier.NewTableService(figpier.TableServiceConfig{Name: "litters", HealthPath: "/health"})
	r := &rig{
		t:        t,
		upstream: New(Config{Address: "backend", AnnouncementTimeout: announcementTimeout, Member: figpier.MemberConfig{Service: "litters"}, Log: l}),
		view:     &tableView{table: figpier.NewTable(figpier.TableConfig{Services: []*figpier.TableService{service}})},
		health:   fixedHealth{err: health, paths: make(chan string, 1)},
		events:   make(chan figpier.Event, 1),
	}
	u := r.upstream
	u.ctx, u.started = t.Context(), nodeStart
	u.control, u.view, u.admission, u.health = openControl{events: r.events}, r.view, slotCount{}, r.health
	return r
}

func (r *rig) announce(c figpier.AnnouncementConfig) { r.announceAt(nodeStart, c) }

func (r *rig) announceAt(now time.Time, c figpier.AnnouncementConfig) {
	r.upstream.HandleEvent(now, announced{announcement: figpier.NewAnnouncement(c), done: make(chan struct{})})
}

func (r *rig) withdraw(incarnation string, started time.Time) {
	r.upstream.HandleEvent(nodeStart, withdrawn{incarnation: incarnation, started: started, done: make(chan struct{})})
}

// awaitCheck waits for the health check, and applies its result.
func (r *rig) awaitCheck() {
	assert.Equal(r.t, <-r.health.paths, "/health")
	if r.health.err == nil {
		r.upstream.HandleEvent(nodeStart, <-r.events)
	}
}

// inUse reports whether the node passes requests to the backend server and other nodes know it.
func (r *rig) inUse() bool {
	_, err := r.upstream.Address()
	assert.Equal(r.t, r.view.member.Draining(), err != nil)
	return err == nil
}

var errUnhealthy = errs.New("unhealthy")

// Guards against a deregistered backend server that is in use again because its node restarted and then got a late heartbeat.
func TestLateHeartbeatAfterRestartDoesNotBringTheBackendServerBack(t *testing.T) {
	r := newRig(t, errUnhealthy)
	r.announce(figpier.AnnouncementConfig{Incarnation: "a", Started: longAgo, Sequence: 7, Slots: 8})
	assert.Assert(t, !r.inUse())
	r.awaitCheck()
	assert.Assert(t, !r.inUse())
	for _, sequence := range []uint64{6, 7} {
		r.announce(figpier.AnnouncementConfig{Incarnation: "a", Started: longAgo, Sequence: sequence, Slots: 8})
		assert.Assert(t, !r.inUse())
	}
	r.announce(figpier.AnnouncementConfig{Incarnation: "a", Sequence: 8, Slots: 8})
	assert.Assert(t, !r.inUse(), "of another writer, without a start time")
}

// Guards against a deregistered backend server that is in use again because two late heartbeats came in their order after a restart of
// its node.
func TestLateHeartbeatsInTheirOrderDoNotBringTheBackendServerBack(t *testing.T) {
	r := newRig(t, errUnhealthy)
	a := figpier.AnnouncementConfig{Incarnation: "a", Started: longAgo, Sequence: 7, Slots: 8}
	for late := time.Duration(0); late < announcementTimeout; late += 1500 * time.Millisecond {
		r.announceAt(nodeStart.Add(late), a)
		assert.Assert(t, !r.inUse(), "%s after the first", late)
		r.awaitCheck()
		assert.Assert(t, !r.inUse(), "%s after the first", late)
		a.Sequence++
	}
}

func TestBackendServerIsInUseAfterARestartOfItsNode(t *testing.T) {
	first := figpier.AnnouncementConfig{Incarnation: "a", Started: longAgo, Sequence: 7, Slots: 8}
	next := first
	next.Sequence++
	t.Run("once a health check confirms it", func(t *testing.T) {
		r := newRig(t, nil)
		r.announce(first)
		assert.Assert(t, !r.inUse())
		r.awaitCheck()
		assert.Assert(t, r.inUse())
	})
	t.Run("once it has announced itself for longer than announcements may be late", func(t *testing.T) {
		r := newRig(t, errUnhealthy)
		r.announce(first)
		r.awaitCheck()
		r.announceAt(nodeStart.Add(announcementTimeout), next)
		assert.Assert(t, r.inUse())
	})
	t.Run("once a health check confirms the next announcement, where the node had no table at the first", func(t *testing.T) {
		r := newRig(t, nil)
		table := r.view.table
		r.view.table = nil
		r.announce(first)
		r.view.table = table
		r.announce(next)
		assert.Assert(t, !r.inUse())
		r.awaitCheck()
		assert.Assert(t, r.inUse())
	})
	t.Run("once a health check confirms it, beside the next announcement", func(t *testing.T) {
		r := newRig(t, nil)
		r.announce(first)
		result := <-r.events
		assert.Equal(t, <-r.health.paths, "/health")
		r.announce(next)
		r.upstream.HandleEvent(nodeStart, result)
		assert.Assert(t, r.inUse())
		assert.Equal(t, r.upstream.newest.Sequence(), next.Sequence)
	})
	for name, started := range map[string]time.Time{"both started together": nodeStart.Add(-startMargin / 2), "it started later": nodeStart.Add(time.Minute)} {
		t.Run("at once where "+name, func(t *testing.T) {
			r := newRig(t, errUnhealthy)
			r.announce(figpier.AnnouncementConfig{Incarnation: "a", Started: started, Sequence: 1, Slots: 8})
			assert.Assert(t, r.inUse())
		})
	}
}

func TestDeregistrationWhileInDoubtHolds(t *testing.T) {
	r := newRig(t, nil)
	first := figpier.AnnouncementConfig{Incarnation: "a", Started: longAgo, Sequence: 7, Slots: 8}
	r.announce(first)
	r.withdraw("a", longAgo)
	r.awaitCheck()
	assert.Assert(t, !r.inUse())
	for first.Sequence = 8; first.Sequence < 10; first.Sequence++ {
		r.announce(first)
		assert.Assert(t, !r.inUse())
	}
}

func TestDeregistrationBeforeTheFirstAnnouncementHolds(t *testing.T) {
	for name, started := range map[string]time.Time{"with a start time": longAgo, "without one": {}} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, nil)
			r.withdraw("a", started)
			r.announce(figpier.AnnouncementConfig{Incarnation: "a", Started: longAgo, Sequence: 7, Slots: 8})
			assert.Assert(t, !r.inUse())
			r.announce(figpier.AnnouncementConfig{Incarnation: "a", Started: nodeStart.Add(time.Second), Sequence: 1, Slots: 8})
			assert.Assert(t, r.inUse(), "a later run under the same name")
		})
	}
}

// Guards against a drained backend server that is in use again once its last announcement has expired.
func TestLateAnnouncementAfterTheExpiryIsIgnored(t *testing.T) {
	r := newRig(t, nil)
	a := figpier.AnnouncementConfig{Incarnation: "a", Started: nodeStart, Sequence: 7, Slots: 8}
	r.announce(a)
	assert.Assert(t, r.inUse())
	r.withdraw("a", nodeStart)
	r.upstream.HandleEvent(nodeStart, noticeOver{incarnation: "a"})
	r.upstream.HandleEvent(nodeStart, announcementExpired{sequence: 7})
	a.Sequence = 6
	r.announce(a)
	assert.Assert(t, !r.inUse())
	a.Sequence = 8
	r.announce(a)
	assert.Assert(t, !r.inUse())
}

// Guards against a backend server that stays out of use because the clock was set back between its starts.
func TestRunThatStartedEarlierByTheClockIsInUseAfterTheExpiry(t *testing.T) {
	r := newRig(t, errUnhealthy)
	r.announce(figpier.AnnouncementConfig{Incarnation: "a", Started: nodeStart.Add(time.Minute), Sequence: 7, Slots: 8})
	r.upstream.HandleEvent(nodeStart, announcementExpired{sequence: 7})
	r.announce(figpier.AnnouncementConfig{Incarnation: "a", Started: nodeStart.Add(time.Second), Sequence: 1, Slots: 8})
	assert.Assert(t, r.inUse())
}
