package upstream

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/figpier/figpier"
)

// Config holds the settings of an Upstream.
type Config struct {
	// Address is the IP address and port at which the backend server takes requests.
	Address string
	// AnnouncementTimeout is the age at which an announcement expires unless a newer one has come.
	AnnouncementTimeout time.Duration
	// DrainNotice is how long new work is still accepted after the backend server has begun to drain, so that other nodes have
	// time to learn of it.
	DrainNotice time.Duration
	// Member is the node's own entry in the members list; its slots, draining state and sequence are filled in here.
	Member figpier.MemberConfig
	// Log receives a line for each change of the backend server's state.
	Log *logrus.Entry
}

// startMargin is how much earlier than the node a run of the backend server may have started without being in doubt: both start together
// with the instance, in any order.
const startMargin = time.Second

// snapshot is the state that traffic threads read; it is never changed once published.
type snapshot struct {
	incarnation string
	// known means that the newest announcement has not expired.
	known bool
	// drained means that no new work is accepted: the drain notice is over, or the node has closed.
	drained bool
	// leaving means that the node has announced that it leaves.
	leaving bool
}

// Upstream tracks the backend server beside the node. It implements figpier.Backend and figpier.Announcements.
type Upstream struct {
	config    Config
	control   figpier.ControlThread
	view      figpier.ConfigurationView
	admission figpier.Admission
	health    figpier.HealthCheck
	current   atomic.Pointer[snapshot]
	// ctx ends with the service, and started is the time at which the service started.
	ctx     context.Context
	started time.Time

	// The fields below belong to the control thread.

	newest figpier.Announcement
	// doubted is the newest announcement that is neither confirmed nor in use.
	doubted figpier.Announcement
	// doubtedSince is when the first announcement of the run of doubted came.
	doubtedSince time.Time
	// left is the run that deregistered last.
	left departure
	// known means that newest has not expired.
	known bool
	// draining means that the backend server has begun to drain, drained that the notice is over as well.
	draining bool
	drained  bool
	leaving  bool
	closed   bool
	// lastMember is the entry that the node announced last, and sequence the number of entries announced so far.
	lastMember figpier.MemberConfig
	sequence   uint64
	// cancelExpiry and cancelNotice stop the timers of the announcement's expiry and of the drain notice.
	cancelExpiry func()
	cancelNotice func()
}

// New returns an Upstream whose backend server has not announced itself yet.
func New(c Config) *Upstream {
	u := &Upstream{config: c, cancelExpiry: func() {}, cancelNotice: func() {}}
	u.current.Store(&snapshot{})
	return u
}

// Name implements figpier.Service.
func (u *Upstream) Name() figpier.ServiceName { return figpier.BackendService }

// Start implements figpier.Service.
func (u *Upstream) Start(ctx context.Context, d figpier.Directory) (err error) {
	u.ctx, u.started = ctx, d.Clock().Now()
	u.control = d.Control()
	if u.health, err = figpier.FindHealthCheck(d); err != nil {
		return err
	}
	if u.view, err = figpier.FindView(d); err != nil {
		return err
	}
	u.admission, err = figpier.FindAdmission(d)
	return err
}

// Stop implements figpier.Service.
func (u *Upstream) Stop(context.Context) error { return nil }

// Address implements figpier.Backend: it refuses while the backend server is unknown or no longer accepts work.
func (u *Upstream) Address() (string, error) {
	v := u.current.Load()
	switch {
	case !v.known:
		return "", figpier.Refuse(figpier.RefusalNoBackend)
	case v.drained:
		return "", figpier.Refuse(figpier.RefusalLeaving)
	}
	return u.config.Address, nil
}

// Leave implements figpier.Backend.
func (u *Upstream) Leave() { _ = u.control.Post(leaveRequested{}) }

// Leaving implements figpier.Backend.
func (u *Upstream) Leaving() bool { return u.current.Load().leaving }

// RefuseCalls implements figpier.Backend; it returns once the control thread has published the change.
func (u *Upstream) RefuseCalls() {
	done := make(chan struct{})
	if err := u.control.Post(refuseCallsRequested{done: done}); err == nil {
		<-done
	}
}

// Incarnation implements figpier.Announcements.
func (u *Upstream) Incarnation() string { return u.current.Load().incarnation }

// Announce implements figpier.Announcements; it returns once the control thread has handled the announcement.
func (u *Upstream) Announce(ctx context.Context, a figpier.Announcement) error {
	e := announced{announcement: a, done: make(chan struct{})}
	return u.postAndWait(ctx, e, e.done)
}

// Withdraw implements figpier.Announcements; it returns once the control thread has handled the withdrawal.
func (u *Upstream) Withdraw(ctx context.Context, incarnation string, started time.Time) error {
	e := withdrawn{incarnation: incarnation, started: started, done: make(chan struct{})}
	return u.postAndWait(ctx, e, e.done)
}

// postAndWait sends an event to the control thread and waits until the event has been handled.
func (u *Upstream) postAndWait(ctx context.Context, e figpier.Event, done <-chan struct{}) error {
	if err := u.control.Post(e); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
