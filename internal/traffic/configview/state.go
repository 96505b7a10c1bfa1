package configview

import (
	"cmp"
	"slices"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

// maxQuorumAgeMillis is far above any freshness bound. A control instance that never knew that it was current reports a
// greater age, which would overflow a time.Duration.
const maxQuorumAgeMillis = int(time.Hour / time.Millisecond)

// snapshot is the part of the state that traffic threads read. A published snapshot is never changed.
type snapshot struct {
	configuration *figpier.Configuration
	members       map[figpier.UpstreamService][]*figpier.Member
	// followed are the services whose members polls ask for.
	followed figpier.Set[figpier.UpstreamService]
	// loaded are the services whose members have been received.
	loaded figpier.Set[figpier.UpstreamService]
	// registry and memberVersion identify the last member list received; an empty registry requests all members.
	registry      string
	memberVersion int
	// partial means that the registry had not settled, so that former members may be in the list.
	partial bool
	// membersDigest is the hash of the members.
	membersDigest string
	// resync requests the whole configuration, because the last change could not be applied.
	resync bool
	// nodes is the number of nodes of all services.
	nodes int
	// control is the message address of the control instance that answered last.
	control string
	// pollSentAt is when the poll was sent that this answer belongs to.
	pollSentAt time.Time
	// changed is closed when the next snapshot is published.
	changed chan struct{}
	// controls are the control instances listed in the last answer.
	controls []figpier.ControlPlace
	// confirmed is the latest time at which the configuration is known to have been the accepted one.
	confirmed time.Time
}

// state is the full state of a View. Only the control thread uses it.
type state struct {
	snapshot
	members map[figpier.InstanceID]*figpier.Member
	waiters map[figpier.UpstreamService][]chan struct{}
	// timerFor is the confirmed time that the stale timer was started for, and stopTimer stops that timer.
	timerFor  time.Time
	stopTimer func()
}

func newState() *state {
	return &state{
		snapshot: snapshot{
			configuration: figpier.NewConfiguration(figpier.ConfigurationConfig{}),
			followed:      figpier.NewSet[figpier.UpstreamService](),
			loaded:        figpier.NewSet[figpier.UpstreamService](),
		},
		members: map[figpier.InstanceID]*figpier.Member{},
		waiters: map[figpier.UpstreamService][]chan struct{}{},
	}
}

// follow adds a service and clears registry, so that the next poll returns all members. It reports false if the service was followed
// before, so that a poll asks for it already.
func (s *state) follow(e *followRequested) (added bool) {
	s.waiters[e.service] = append(s.waiters[e.service], e.loaded)
	if s.followed.Has(e.service) {
		return false
	}
	s.followed = s.followed.With(e.service)
	s.registry = ""
	return true
}

// applyAnswer applies an answer and reports whether it brought a newer configuration. An answer with a lower revision
// neither replaces the configuration nor confirms it. After an error the next poll requests the whole configuration.
func (s *state) applyAnswer(a *pollAnswered) (newer bool, err error) {
	s.control, s.pollSentAt = a.control, a.sent
	next, err := s.nextConfiguration(a.answer)
	s.resync = err != nil
	if err != nil {
		return false, err
	}
	newer = next != s.configuration
	s.configuration = next
	age := time.Duration(a.answer.QuorumAgeMillis) * time.Millisecond
	confirmed := a.sent.Add(-age)
	if a.answer.QuorumAgeMillis < maxQuorumAgeMillis && a.answer.Revision == int(next.Revision()) && confirmed.After(s.confirmed) {
		s.confirmed = confirmed
	}
	s.applyMembers(a)
	return newer, nil
}

// nextConfiguration returns the configuration after an answer. It fails if the answer can't be decoded or applied.
func (s *state) nextConfiguration(a message.PollAnswer) (*figpier.Configuration, error) {
	current := s.configuration
	if a.Revision <= int(current.Revision()) {
		return current, nil
	}
	switch {
	case a.Configuration != nil:
		return codec.ToConfiguration(*a.Configuration)
	case a.Delta != nil && a.Delta.Base <= int(current.Revision()):
		return codec.ApplyDelta(current, *a.Delta)
	}
	return current, nil
}

// applyMembers applies the members of an answer. It marks the followed services as loaded only if the poll asked for all of
// them.
func (s *state) applyMembers(a *pollAnswered) {
	if a.answer.Full && a.answer.Settled {
		clear(s.members)
	}
	s.applyPlaces(a.answer)
	for _, m := range a.answer.Members {
		s.members[figpier.InstanceID(m.Instance)] = codec.ToMember(m)
	}
	for _, id := range a.answer.Gone {
		delete(s.members, figpier.InstanceID(id))
	}
	complete := true
	for _, service := range s.followed.Values() {
		complete = complete && a.followed.Has(service)
	}
	if !complete {
		return
	}
	s.registry = a.answer.Registry
	s.partial = !a.answer.Settled
	s.memberVersion = a.answer.MemberVersion
	s.loaded = s.followed
}

// applyPlaces records the control instances, and the number of nodes if the answering registry has settled.
func (s *state) applyPlaces(a message.PollAnswer) {
	if a.Settled {
		s.nodes = a.Nodes
	}
	s.controls = controlPlaces(a.Controls)
}

// controlPlaces converts the list of control instances in an answer.
func controlPlaces(list []message.ControlPlace) []figpier.ControlPlace {
	var all []figpier.ControlPlace
	for _, c := range list {
		all = append(all, figpier.NewControlPlace(figpier.ControlPlaceConfig{
			Address:    c.Address,
			DataCentre: figpier.DataCentre(c.DataCentre),
			Region:     figpier.Region(c.Region),
		}))
	}
	return all
}

// notifyWaiters closes the channels of those that wait for the members of a loaded service. It is called after the members
// are published.
func (s *state) notifyWaiters() {
	for service, channels := range s.waiters {
		if !s.loaded.Has(service) {
			continue
		}
		for _, loaded := range channels {
			close(loaded)
		}
		delete(s.waiters, service)
	}
}

// newSnapshot returns a copy of the state for traffic threads, with members by service in the order of their instances.
func (s *state) newSnapshot() *snapshot {
	published := s.snapshot
	published.changed = make(chan struct{})
	published.members = map[figpier.UpstreamService][]*figpier.Member{}
	all := make([]*figpier.Member, 0, len(s.members))
	for _, m := range s.members {
		published.members[m.Service()] = append(published.members[m.Service()], m)
		all = append(all, m)
	}
	published.membersDigest = codec.FormatMembersDigest(all)
	for _, list := range published.members {
		slices.SortFunc(list, func(a, b *figpier.Member) int { return cmp.Compare(a.Instance(), b.Instance()) })
	}
	return &published
}
