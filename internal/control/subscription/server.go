package subscription

import (
	"context"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

// maxPollWait is the longest time that a poll waits for a change.
const maxPollWait = 2 * time.Second

// maxReportedAge caps the quorum age in answers, which is unlimited for an instance that never had contact with a quorum.
// It is far above any freshness bound of the nodes.
const maxReportedAge = 24 * time.Hour

// unsettledWait is how long a poll waits while the registry is not settled: short, so that nodes learn of members soon
// after these announce themselves.
const unsettledWait = 200 * time.Millisecond

// Server is the service that answers nodes' polls.
type Server struct {
	catalog  figpier.Catalog
	log      figpier.ReplicatedLog
	registry figpier.Registry
	exchange figpier.Exchange
	clock    figpier.Clock
	history  *history
}

// New returns a server that has not started.
func New() *Server { return &Server{history: newHistory()} }

// Name implements figpier.Service.
func (s *Server) Name() figpier.ServiceName { return figpier.SubscriptionService }

// Start implements figpier.Service.
func (s *Server) Start(_ context.Context, d figpier.Directory) (err error) {
	s.clock = d.Clock()
	if s.catalog, err = figpier.FindCatalog(d); err != nil {
		return err
	}
	if s.log, err = figpier.FindReplicatedLog(d); err != nil {
		return err
	}
	if s.registry, err = figpier.FindRegistry(d); err != nil {
		return err
	}
	if s.exchange, err = figpier.FindExchange(d); err != nil {
		return err
	}
	m, err := figpier.FindMessenger(d)
	if err != nil {
		return err
	}
	s.catalog.Subscribe(func(c *figpier.Configuration) { _ = d.Control().Post(configurationEvent{configuration: c}) })
	m.Handle(figpier.MethodPoll, s.handlePoll)
	return d.Control().Post(configurationEvent{configuration: s.catalog.Configuration()})
}

// Stop implements figpier.Service.
func (s *Server) Stop(context.Context) error { return nil }

// configurationEvent carries an accepted configuration to the control thread.
type configurationEvent struct{ configuration *figpier.Configuration }

// Target implements figpier.Event.
func (configurationEvent) Target() figpier.ServiceName { return figpier.SubscriptionService }

// HandleEvent implements figpier.EventHandler.
func (s *Server) HandleEvent(_ time.Time, e figpier.Event) {
	a, ok := e.(configurationEvent)
	if !ok {
		return
	}
	if current, _ := s.history.latest(); current == nil || current.Revision() < a.configuration.Revision() {
		s.history.install(a.configuration)
	}
}

// handlePoll handles figpier.MethodPoll. The poll of a node that runs beside a backend server also renews its lease. A node
// whose member versions belong to another registry, such as that of a restarted control instance, gets all members.
func (s *Server) handlePoll(ctx context.Context, decode figpier.Decode) (any, error) {
	var p message.Poll
	if err := decode(&p); err != nil {
		return nil, err
	}
	if p.Member.Service != "" {
		s.registry.Announce(codec.ToMember(p.Member), time.Duration(p.ElsewhereMillis)*time.Millisecond)
	}
	full := p.Registry != s.registry.ID()
	switch {
	case !full:
		s.waitForChange(ctx, p)
	case !s.registry.Settled(s.clock.Now()):
		s.delayUnsettled(ctx, p)
	}
	if full {
		p.MemberVersion = 0
	}
	return s.answer(p, full), nil
}

// waitForChange returns once the configuration or the members are newer than the node's, or when the poll's waiting time is
// over.
func (s *Server) waitForChange(ctx context.Context, p message.Poll) {
	c, configurationChanged := s.history.latest()
	d := s.registry.Since(uint64(p.MemberVersion))
	if c == nil || int(c.Revision()) > p.Revision || d.Version() != uint64(p.MemberVersion) {
		return
	}
	wait := min(time.Duration(p.WaitMillis)*time.Millisecond, maxPollWait)
	s.waitForEither(ctx, wait, configurationChanged, d.Changed())
}

// delayUnsettled waits a short time if the node's configuration is current. Without it, nodes would poll in a tight loop
// while the registry is not settled.
func (s *Server) delayUnsettled(ctx context.Context, p message.Poll) {
	c, changed := s.history.latest()
	if c == nil || int(c.Revision()) > p.Revision {
		return
	}
	s.waitForEither(ctx, unsettledWait, changed, nil)
}

// waitForEither returns when one of two channels is closed, the waiting time is over or the context ends.
func (s *Server) waitForEither(ctx context.Context, wait time.Duration, a, b <-chan struct{}) {
	over := make(chan struct{})
	cancel := s.clock.AfterFunc(wait, func() { close(over) })
	defer cancel()
	select {
	case <-ctx.Done():
	case <-over:
	case <-a:
	case <-b:
	}
}

func (s *Server) answer(p message.Poll, full bool) *message.PollAnswer {
	// Read the age before the configuration, so that the configuration is at least as new as the age says.
	age := s.log.QuorumAge(s.clock.Now())
	a := &message.PollAnswer{
		QuorumAgeMillis: int(min(age, maxReportedAge).Milliseconds()) + 1,
		Registry:        s.registry.ID(),
		Full:            full,
		Settled:         s.registry.Settled(s.clock.Now()),
		Nodes:           s.registry.Count(),
		Controls:        []message.ControlPlace{},
	}
	for _, c := range s.exchange.Controls() {
		a.Controls = append(a.Controls, message.ControlPlace{
			Address:    c.Address(),
			DataCentre: string(c.DataCentre()),
			Region:     string(c.Region()),
		})
	}
	s.addMembers(a, p)
	s.addConfiguration(a, p)
	return a
}

// addMembers adds the changed members of the services that the node follows, and all removed members.
func (s *Server) addMembers(a *message.PollAnswer, p message.Poll) {
	d := s.registry.Since(uint64(p.MemberVersion))
	a.MemberVersion = int(d.Version())
	followed := figpier.NewSet(p.Services...)
	members, gone := codec.FromMembers(d)
	for _, m := range members {
		if followed.Has(m.Service) {
			a.Members = append(a.Members, m)
		}
	}
	a.Gone = gone
}

// addConfiguration adds what changed since the node's revision, as a delta if the history reaches back that far and as a
// whole configuration otherwise.
func (s *Server) addConfiguration(a *message.PollAnswer, p message.Poll) {
	c, _ := s.history.latest()
	if c == nil {
		return
	}
	a.Revision = int(c.Revision())
	if int(c.Revision()) <= p.Revision {
		return
	}
	if d, ok := s.history.since(figpier.Revision(p.Revision)); ok && p.Revision > 0 {
		a.Delta = d
		a.Revision = d.Changed.Revision
		return
	}
	w := codec.FromConfiguration(c)
	a.Configuration = &w
}
