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
func (u *Upstream) HandleEvent(_ time.Time, e figpier.Event) {
	switch e := e.(type) {
	case announced:
		defer close(e.done)
		u.onAnnounced(e.announcement)
	case withdrawn:
		defer close(e.done)
		u.onWithdrawn(e)
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

// onAnnounced applies an announcement unless a newer one has been applied. A new incarnation starts without slots or
// drain state of the previous one.
func (u *Upstream) onAnnounced(a figpier.Announcement) {
	if u.known && outdated(a, u.newest) {
		u.logEntry(a).Info("ignored an outdated announcement of the backend server")
		return
	}
	if !u.known || !sameIncarnation(a, u.newest) {
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

// onWithdrawn starts the drain if the withdrawal is for the current run of the backend server.
func (u *Upstream) onWithdrawn(e withdrawn) {
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
