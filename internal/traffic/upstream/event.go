package upstream

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/figpier/figpier"
)

// event is embedded in the events of this service to give them their target.
type event struct{}

// Target implements figpier.Event.
func (event) Target() figpier.ServiceName { return figpier.BackendService }

// announced carries an announcement of the backend server; done is closed once it has been handled.
type announced struct {
	event
	announcement figpier.Announcement
	done         chan struct{}
}

// checked reports that the health check confirmed an announcement that was in doubt.
type checked struct {
	event
	announcement figpier.Announcement
}

// withdrawn carries the notice of one incarnation of the backend server that it leaves. A zero start time matches any
// start of the incarnation.
type withdrawn struct {
	event
	incarnation string
	started     time.Time
	done        chan struct{}
}

// noticeOver ends the period in which a draining backend server still accepts new work.
type noticeOver struct {
	event
	incarnation string
}

// announcementExpired is posted when the announcement with this sequence number expires.
type announcementExpired struct {
	event
	sequence uint64
}

// leaveRequested makes the node announce that it leaves.
type leaveRequested struct{ event }

// refuseCallsRequested makes the node refuse all new work; done is closed once that is published.
type refuseCallsRequested struct {
	event
	done chan struct{}
}

// HandleEvent implements figpier.EventHandler. The caller waits on done, which is closed after the change is published.
func (u *Upstream) HandleEvent(now time.Time, e figpier.Event) {
	switch e := e.(type) {
	case announced:
		defer close(e.done)
		u.onAnnounced(now, e.announcement)
	case checked:
		u.onChecked(e.announcement)
	case withdrawn:
		defer close(e.done)
		u.onWithdrawn(now, e)
	case noticeOver:
		u.drained = u.drained || u.draining && e.incarnation == u.newest.Incarnation()
	case announcementExpired:
		u.onAnnouncementExpired(e)
	case leaveRequested:
		u.leaving = true
	case refuseCallsRequested:
		defer close(e.done)
		u.closed = true
	}
	u.publish()
}

// onAnnounced applies an announcement unless a newer one has been applied or it is in doubt.
func (u *Upstream) onAnnounced(now time.Time, a figpier.Announcement) {
	if u.known && outdated(a, u.newest) || repeated(a, u.newest) || repeated(a, u.doubted) {
		u.logEntry(a).Info("ignored an outdated announcement of the backend server")
		return
	}
	if u.left.covers(a) && !sameIncarnation(a, u.newest) {
		u.logEntry(a).Info("ignored a late announcement of a backend server that has deregistered")
		return
	}
	if u.inDoubt(now, a) {
		u.logEntry(a).Info("the backend server may have left before the node started: waiting for a sign that it runs")
		if !sameIncarnation(a, u.doubted) {
			u.doubtedSince = now
		}
		u.doubted = a
		u.check(a)
		return
	}
	u.apply(a)
}

// repeated reports whether an announcement is not newer than another one of the same run. Unlike outdated it holds for good: the start
// times of different runs may be out of order after a change of the clock, so they are compared only until the newest one expires. A run
// without a start time can't be told from a later one of the same name.
func repeated(a, other figpier.Announcement) bool {
	return !a.Started().IsZero() && sameIncarnation(a, other) && a.Sequence() <= other.Sequence()
}

// inDoubt reports whether an announcement may be a late one of a run that deregistered at a previous start of the node, which left no
// trace here. Announcements of a drain are never in doubt, nor is a run that has announced itself for so long that none can be late.
func (u *Upstream) inDoubt(now time.Time, a figpier.Announcement) bool {
	switch {
	case a.Draining() || a.Started().After(u.started.Add(-startMargin)):
		return false
	case u.inOrder(a):
		return false
	}
	return !sameIncarnation(a, u.doubted) || now.Sub(u.doubtedSince) < u.config.AnnouncementTimeout
}

// inOrder reports whether an announcement continues the run of the newest one, which may have expired.
func (u *Upstream) inOrder(a figpier.Announcement) bool {
	return sameIncarnation(a, u.newest) && (u.known || !a.Started().IsZero())
}

// check starts a health check of the backend server for an announcement that is in doubt. It does nothing while the node doesn't know
// the path of the check.
func (u *Upstream) check(a figpier.Announcement) {
	path := healthPath(u.view.Configuration().Table(), u.config.Member.Service)
	if path == "" {
		return
	}
	ctx := u.ctx
	go func() {
		if err := u.health.Check(ctx, u.config.Address, path, a.Incarnation()); err != nil {
			u.logEntry(a).WithError(err).Info("the health check did not confirm the backend server")
			return
		}
		_ = u.control.Post(checked{announcement: a})
	}()
}

// healthPath returns the path of a service's health check, empty if the table doesn't have it.
func healthPath(t *figpier.Table, s figpier.UpstreamService) string {
	if t == nil {
		return ""
	}
	for _, service := range t.Services() {
		if service.Name() == s {
			return service.HealthPath()
		}
	}
	return ""
}

// onChecked applies the newest announcement of a run that is no longer in doubt, unless the run has left or another one has come meanwhile.
func (u *Upstream) onChecked(a figpier.Announcement) {
	if sameIncarnation(a, u.doubted) {
		u.apply(u.doubted)
	}
}

// apply puts an announcement in use. A new incarnation starts without slots or drain state of the previous one.
func (u *Upstream) apply(a figpier.Announcement) {
	u.doubted = figpier.Announcement{}
	if !u.inOrder(a) {
		u.logEntry(a).Info("the backend server announced itself")
		u.cancelNotice()
		u.draining, u.drained = false, false
		u.admission.SetSlots(0)
	}
	u.newest, u.known = a, true
	u.admission.SetSlots(a.Slots())
	u.scheduleExpiry(a)
	if a.Draining() {
		u.startDrain()
	}
}

// outdated reports whether an announcement is not newer than the newest one. Announcements of one incarnation are ordered by
// sequence number, those of different incarnations by start time. One that names no start can't replace one that does.
func outdated(a, newest figpier.Announcement) bool {
	if sameIncarnation(a, newest) {
		return a.Sequence() <= newest.Sequence()
	}
	if a.Started().IsZero() && !newest.Started().IsZero() {
		return true
	}
	return !a.Started().IsZero() && a.Started().Before(newest.Started())
}

// sameIncarnation reports whether two announcements come from one run of the backend server. The start time counts too, as a
// backend server may restart under its old incarnation name.
func sameIncarnation(a, b figpier.Announcement) bool {
	return a.Incarnation() == b.Incarnation() && a.Started().Equal(b.Started())
}

// departure is the deregistration of a run of the backend server, or of all runs of its name where it gives no start time.
type departure struct {
	incarnation string
	started     time.Time
	at          time.Time
}

// covers reports whether an announcement comes from a run that has left. One without a start time may come from a later run.
func (d departure) covers(a figpier.Announcement) bool {
	if a.Incarnation() != d.incarnation || a.Started().IsZero() {
		return false
	}
	return a.Started().Equal(d.started) || d.started.IsZero() && !a.Started().After(d.at)
}

// onWithdrawn starts the drain if the withdrawal is for the current run of the backend server. It remembers a run that the node has not
// heard of or has in doubt, so that late announcements don't bring it back.
func (u *Upstream) onWithdrawn(now time.Time, e withdrawn) {
	u.left = departure{incarnation: e.incarnation, started: e.started, at: now}
	if e.incarnation == u.doubted.Incarnation() {
		u.doubted = figpier.Announcement{}
	}
	n := u.newest
	if !u.known || e.incarnation != n.Incarnation() || !e.started.IsZero() && !e.started.Equal(n.Started()) {
		return
	}
	u.startDrain()
}

// startDrain announces the drain to other nodes at once, and refuses new work once the notice is over.
func (u *Upstream) startDrain() {
	if u.draining {
		return
	}
	u.draining = true
	u.logEntry(u.newest).Info("the backend server is draining")
	u.cancelNotice = u.control.PostAfter(u.config.DrainNotice, noticeOver{incarnation: u.newest.Incarnation()})
}

// scheduleExpiry starts the timer after which the announcement expires, in place of that of the previous one.
func (u *Upstream) scheduleExpiry(a figpier.Announcement) {
	u.cancelExpiry()
	u.cancelExpiry = u.control.PostAfter(u.config.AnnouncementTimeout, announcementExpired{sequence: a.Sequence()})
}

// onAnnouncementExpired marks the backend server as unknown unless a newer announcement has come.
func (u *Upstream) onAnnouncementExpired(e announcementExpired) {
	if e.sequence != u.newest.Sequence() {
		return
	}
	u.logEntry(u.newest).Warn("the backend server has stopped announcing itself")
	u.known = false
	u.admission.SetSlots(0)
}

// publish makes the state visible to traffic threads, and announces the node if its entry has changed.
func (u *Upstream) publish() {
	u.current.Store(&snapshot{
		incarnation: u.newest.Incarnation(),
		known:       u.known,
		drained:     u.drained || u.closed,
		leaving:     u.leaving,
	})
	m := u.config.Member
	m.Slots = u.newest.Slots()
	m.Draining = u.draining || u.leaving || !u.known
	if u.sequence > 0 && m == u.lastMember {
		return
	}
	u.lastMember = m
	u.sequence++
	m.Sequence = u.sequence
	u.view.Announce(figpier.NewMember(m))
}

func (u *Upstream) logEntry(a figpier.Announcement) *logrus.Entry {
	return u.config.Log.WithFields(logrus.Fields{
		"incarnation": a.Incarnation(),
		"sequence":    a.Sequence(),
		"slots":       a.Slots(),
		"draining":    a.Draining(),
	})
}
