package backend

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/message"
)

// Paths of the backend server's announcements.
const (
	pathAnnounce = "/figpier/announce"
	pathDrain    = "/figpier/drain"
)

// Bounds on an announcement.
const (
	maxAnnouncementBytes = 4 << 10
	maxSlots             = 1 << 16
)

// backendState is the state that traffic threads read; it is never changed once published.
type backendState struct {
	// address is the backend server's address, empty while it is unknown.
	address string
	slots   int
	// drained means that no new work is accepted.
	drained bool
	// leaving means that the node has announced that it leaves.
	leaving bool
	// expires is when the announcement expires.
	expires time.Time
}

// controlState is the state that belongs to the control thread.
type controlState struct {
	backend     backendState
	incarnation string
	// draining means that the backend server has begun to drain, also while the notice still runs.
	draining bool
	leaving  bool
	closed   bool
	// lastMember is the entry that the node announced last, and sequence the number of entries announced so far.
	lastMember figpier.MemberConfig
	sequence   uint64
	// cancelExpiry and cancelNotice stop the timers of the expiry and of the drain notice; nil means that there is no timer.
	cancelExpiry func()
	cancelNotice func()
}

// announced carries an announcement of the backend server.
type announced struct {
	address     string
	slots       int
	incarnation string
}

// Target implements figpier.Event.
func (announced) Target() figpier.ServiceName { return figpier.BackendService }

// drainRequested is the backend server's notice that it drains.
type drainRequested struct{}

// Target implements figpier.Event.
func (drainRequested) Target() figpier.ServiceName { return figpier.BackendService }

// noticeOver ends the period in which a draining backend server still accepts new work.
type noticeOver struct{}

// Target implements figpier.Event.
func (noticeOver) Target() figpier.ServiceName { return figpier.BackendService }

// leaveRequested makes the node announce that it leaves.
type leaveRequested struct{}

// Target implements figpier.Event.
func (leaveRequested) Target() figpier.ServiceName { return figpier.BackendService }

// refuseCallsRequested makes the node refuse all new work; done is closed once that is published.
type refuseCallsRequested struct{ done chan struct{} }

// Target implements figpier.Event.
func (refuseCallsRequested) Target() figpier.ServiceName { return figpier.BackendService }

// announcementExpired is posted when an announcement may have expired.
type announcementExpired struct{}

// Target implements figpier.Event.
func (announcementExpired) Target() figpier.ServiceName { return figpier.BackendService }

// HandleEvent implements figpier.EventHandler.
func (s *Server) HandleEvent(now time.Time, e figpier.Event) {
	switch e := e.(type) {
	case announced:
		s.onAnnounced(now, e)
	case drainRequested:
		s.startDrain()
	case noticeOver:
		s.state.backend.drained = s.state.draining
	case leaveRequested:
		s.state.leaving = true
	case refuseCallsRequested:
		s.state.closed = true
		defer close(e.done)
	case announcementExpired:
		if now.Before(s.state.backend.expires) {
			return
		}
		s.state.backend = backendState{}
		s.admission.SetSlots(0)
	}
	s.publish()
}

// onAnnounced applies an announcement. One of another backend server ends the drain of the previous one.
func (s *Server) onAnnounced(now time.Time, e announced) {
	a := &s.state.backend
	if a.address != e.address || s.state.incarnation != e.incarnation {
		s.cancelDrain()
		s.admission.SetSlots(0)
	}
	s.state.incarnation = e.incarnation
	a.address = e.address
	a.slots = e.slots
	a.expires = now.Add(s.config.AnnouncementTimeout)
	if s.state.cancelExpiry != nil {
		s.state.cancelExpiry()
	}
	s.state.cancelExpiry = s.control.PostAfter(s.config.AnnouncementTimeout, announcementExpired{})
	s.admission.SetSlots(e.slots)
}

// startDrain announces the drain to other nodes at once, and refuses new work once the notice is over.
func (s *Server) startDrain() {
	if s.state.draining {
		return
	}
	s.state.draining = true
	s.state.cancelNotice = s.control.PostAfter(s.config.DrainNotice, noticeOver{})
}

// cancelDrain ends a drain and accepts new work again, as another backend server has announced itself.
func (s *Server) cancelDrain() {
	s.state.draining = false
	s.state.backend.drained = false
	if s.state.cancelNotice != nil {
		s.state.cancelNotice()
		s.state.cancelNotice = nil
	}
}

// publish makes the state visible to traffic threads, and announces the node if its entry has changed.
func (s *Server) publish() {
	a := s.state.backend
	a.drained = a.drained || s.state.closed
	a.leaving = s.state.leaving
	s.current.Store(&a)
	m := s.config.Member
	m.Slots = a.slots
	m.Draining = s.state.draining || s.state.leaving || a.address == ""
	if m == s.state.lastMember && s.state.sequence > 0 {
		return
	}
	s.state.lastMember = m
	s.state.sequence++
	m.Sequence += s.state.sequence
	s.view.Announce(figpier.NewMember(m))
}

// Address implements figpier.Backend: it refuses while the backend server is unknown or no longer accepts work.
func (s *Server) Address() (string, error) {
	a := s.current.Load()
	switch {
	case a == nil || a.address == "" || !s.clock.Now().Before(a.expires):
		return "", figpier.Refuse(figpier.RefusalNoBackend)
	case a.drained:
		return "", figpier.Refuse(figpier.RefusalLeaving)
	}
	return a.address, nil
}

// Leave implements figpier.Backend.
func (s *Server) Leave() { _ = s.control.Post(leaveRequested{}) }

// Leaving implements figpier.Backend.
func (s *Server) Leaving() bool {
	a := s.current.Load()
	return a != nil && a.leaving
}

// RefuseCalls implements figpier.Backend; it returns once the control thread has published the change.
func (s *Server) RefuseCalls() {
	done := make(chan struct{})
	if err := s.control.Post(refuseCallsRequested{done: done}); err == nil {
		<-done
	}
}

// handler serves exit calls, which it tells by their host name, and the paths of announcements.
func (s *Server) handler() http.Handler {
	announcements := http.NewServeMux()
	announcements.HandleFunc("POST "+pathAnnounce, s.handleAnnounce)
	announcements.HandleFunc("POST "+pathDrain, s.handleDrain)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.Host, figpier.ExitSuffix) {
			s.exit.ServeHTTP(w, r)
			return
		}
		announcements.ServeHTTP(w, r)
	})
}

func (s *Server) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	e, err := parseAnnouncement(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		s.refuse(w, nil, figpier.NewRefusal(figpier.RefusalConfig{Reason: figpier.RefusalMalformed, Detail: err.Error()}))
		return
	}
	_ = s.control.Post(e)
	w.WriteHeader(http.StatusNoContent)
}

// parseAnnouncement decodes and validates an announcement.
func parseAnnouncement(body io.Reader) (announced, error) {
	var b message.Announcement
	if err := json.NewDecoder(body).Decode(&b); err != nil {
		return announced{}, Error.New("announcement: %w", err)
	}
	if _, err := netip.ParseAddrPort(b.Address); err != nil {
		return announced{}, Error.New("announcement: address %q is no IP address with a port", b.Address)
	}
	if b.Slots < 1 || b.Slots > maxSlots {
		return announced{}, Error.New("announcement: slots must be from 1 to %d", maxSlots)
	}
	e := announced{address: b.Address, slots: b.Slots}
	if b.Incarnation != nil {
		e.incarnation = *b.Incarnation
	}
	return e, nil
}

func (s *Server) handleDrain(w http.ResponseWriter, _ *http.Request) {
	_ = s.control.Post(drainRequested{})
	w.WriteHeader(http.StatusNoContent)
}
