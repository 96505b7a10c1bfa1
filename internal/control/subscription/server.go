package subscription

import (
	"context"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

// maxPollWait is the longest time that a poll waits for a change.
const maxPollWait = 2 * time.Second

// maxReportedAge caps the quorum age in answers, which is unlimited for an instance that never had contact with a quorum.
// It is far above any freshness bound of the nodes.
const maxReportedAge = 24 * time.Hour

// maxCountingAge is how long ago this control instance may last have known that it is current for a poll to count for the division
// of limits. Nodes that find it behind go on to another control instance, which shall count them at once.
const maxCountingAge = time.Second

// maxHoldingAge is the quorum age at which an instance that is no longer current ends the polls that it holds. It is above maxCountingAge,
// so that one proof that comes late does not send all nodes to other instances.
const maxHoldingAge = maxCountingAge + 250*time.Millisecond

// coalesceTime is how long a poll waits after a change for further ones, so that changes in quick succession, such as the
// members of a fleet that starts, cost a few messages a node instead of one for each change.
const coalesceTime = 100 * time.Millisecond

// Config holds the settings of a Server.
type Config struct {
	// Log receives a line for each configuration that polls are answered with from then on, nil for no lines.
	Log *logrus.Entry
}

// Server is the service that answers nodes' polls.
type Server struct {
	config   Config
	catalog  figpier.Catalog
	log      figpier.ReplicatedLog
	registry figpier.Registry
	exchange figpier.Exchange
	clock    figpier.Clock
	history  *history
}

// New returns a server that has not started.
func New(c Config) *Server {
	if c.Log == nil {
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		c.Log = logrus.NewEntry(silent)
	}
	return &Server{config: c, history: newHistory()}
}

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
	// Installed within the event that applies it: the log publishes at the end of that event that it is current.
	s.catalog.Subscribe(s.install)
	m.Handle(figpier.MethodPoll, s.handlePoll)
	m.Handle(figpier.MethodControls, s.handleControls)
	return d.Control().Post(startEvent{})
}

// Stop implements figpier.Service.
func (s *Server) Stop(context.Context) error { return nil }

// startEvent has the control thread install the configuration that was applied before the server subscribed to the catalog.
type startEvent struct{}

// Target implements figpier.Event.
func (startEvent) Target() figpier.ServiceName { return figpier.SubscriptionService }

// HandleEvent implements figpier.EventHandler.
func (s *Server) HandleEvent(_ time.Time, e figpier.Event) {
	if _, ok := e.(startEvent); ok {
		s.install(s.catalog.Configuration())
	}
}

// install makes a configuration the one that polls are answered with, unless that is as new. It runs on the control thread.
func (s *Server) install(c *figpier.Configuration) {
	if current, _ := s.history.latest(); current == nil || current.Revision() < c.Revision() {
		s.history.install(c)
		s.logConfiguration(c)
	}
}

// logConfiguration logs a configuration that polls are answered with from now on.
func (s *Server) logConfiguration(c *figpier.Configuration) {
	line := s.config.Log.WithFields(logrus.Fields{
		"revision":        int(c.Revision()),
		"quorumAgeMillis": s.quorumAgeMillis(),
		"leader":          string(s.log.Leader()),
	})
	if c.Table() != nil {
		line = line.WithField("table", c.Table().Number())
	}
	line.Info("nodes are told a configuration")
}

// handlePoll handles figpier.MethodPoll. The poll of a node that runs beside a backend server also renews its lease.
func (s *Server) handlePoll(ctx context.Context, decode figpier.Decode) (any, error) {
	var p message.Poll
	if err := decode(&p); err != nil {
		return nil, err
	}
	current := s.log.QuorumAge(s.clock.Now()) < maxCountingAge
	if p.Member.Service != "" {
		s.registry.Announce(codec.ToMember(p.Member), time.Duration(p.ElsewhereMillis)*time.Millisecond, current)
	}
	if !current {
		return s.answerBehind(), nil
	}
	// Read once, so that a list which was not checked against a settled registry never counts as complete.
	settled := s.registry.Settled(s.clock.Now())
	full := s.needsAllMembers(&p, settled)
	if !full {
		s.waitForChange(ctx, p)
	}
	return s.answer(p, full, settled), nil
}

// answerBehind returns the answer of an instance that is not current, which the node leaves for another one. It carries nothing
// else, as all nodes get such answers over and over while the control instances elect a leader.
func (s *Server) answerBehind() *message.PollAnswer {
	uncounted := true
	return &message.PollAnswer{QuorumAgeMillis: s.quorumAgeMillis(), Controls: []message.ControlPlace{}, Uncounted: &uncounted}
}

func (s *Server) quorumAgeMillis() int {
	return int(min(s.log.QuorumAge(s.clock.Now()), maxReportedAge).Milliseconds()) + 1
}

// needsAllMembers reports whether the node has to be sent all members: its member versions belong to another registry, such as
// that of a restarted control instance, or its list may hold former members. If its list is complete all the same, the
// poll is changed to one that names this registry and its version.
func (s *Server) needsAllMembers(p *message.Poll, settled bool) bool {
	known := p.Registry == s.registry.ID()
	if known && (!isTrue(p.Partial) || !settled) {
		return false
	}
	p.MemberVersion = 0
	if !settled || p.MembersDigest == nil {
		return true
	}
	all := s.registry.Since(0)
	if codec.FormatMembersDigest(followedMembers(all.Members(), p.Services)) != *p.MembersDigest {
		return true
	}
	p.MemberVersion = int(all.Version())
	return false
}

func isTrue(b *bool) bool { return b != nil && *b }

// followedMembers returns the members of the services.
func followedMembers(members []*figpier.Member, services []string) []*figpier.Member {
	followed := figpier.NewSet(services...)
	var kept []*figpier.Member
	for _, m := range members {
		if followed.Has(string(m.Service())) {
			kept = append(kept, m)
		}
	}
	return kept
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
	if s.waitWhileCurrent(ctx, wait, configurationChanged, d.Changed()) {
		s.waitForEither(ctx, coalesceTime, nil, nil)
	}
}

// waitWhileCurrent does what waitForEither does, and also returns false once this instance has not been current for a while, so that
// its nodes leave it.
func (s *Server) waitWhileCurrent(ctx context.Context, wait time.Duration, a, b <-chan struct{}) bool {
	end := s.clock.Now().Add(wait)
	for ctx.Err() == nil {
		now := s.clock.Now()
		left := min(end.Sub(now), maxHoldingAge-s.log.QuorumAge(now))
		if left <= 0 {
			return false
		}
		if s.waitForEither(ctx, left, a, b) {
			return true
		}
	}
	return false
}

// waitForEither returns when one of two channels is closed, the waiting time is over or the context ends, and reports whether
// it was a channel.
func (s *Server) waitForEither(ctx context.Context, wait time.Duration, a, b <-chan struct{}) bool {
	over := make(chan struct{})
	cancel := s.clock.AfterFunc(wait, func() { close(over) })
	defer cancel()
	select {
	case <-ctx.Done():
	case <-over:
	case <-a:
		return true
	case <-b:
		return true
	}
	return false
}

// handleControls handles figpier.MethodControls.
func (s *Server) handleControls(context.Context, figpier.Decode) (any, error) {
	return message.ControlsAnswer{Controls: s.controls()}, nil
}

// controls returns the wire forms of the control instances that this one knows, itself included.
func (s *Server) controls() []message.ControlPlace {
	all := []message.ControlPlace{}
	for _, c := range s.exchange.Controls() {
		all = append(all, message.ControlPlace{
			Address:    c.Address(),
			DataCentre: string(c.DataCentre()),
			Region:     string(c.Region()),
		})
	}
	return all
}

func (s *Server) answer(p message.Poll, full, settled bool) *message.PollAnswer {
	// Read the age before the configuration, so that the configuration is at least as new as the age says.
	a := &message.PollAnswer{
		QuorumAgeMillis: s.quorumAgeMillis(),
		Registry:        s.registry.ID(),
		Full:            full,
		Settled:         settled,
		Nodes:           s.registry.Count(),
		Controls:        s.controls(),
	}
	s.addMembers(a, p)
	s.addConfiguration(a, p)
	return a
}

// addMembers adds the changed members of the services that the node follows, and the removed members unless the node discards
// all that are not listed.
func (s *Server) addMembers(a *message.PollAnswer, p message.Poll) {
	d := s.registry.Since(uint64(p.MemberVersion))
	a.MemberVersion = int(d.Version())
	for _, m := range followedMembers(d.Members(), p.Services) {
		a.Members = append(a.Members, codec.FromMember(m))
	}
	if a.Full && a.Settled {
		return
	}
	for _, id := range d.Removed() {
		a.Gone = append(a.Gone, string(id))
	}
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
	if d, ok := s.history.since(figpier.Revision(p.Revision), nodeTable(p)); ok && p.Revision > 0 {
		a.Delta = d
		a.Revision = d.Changed.Revision
		return
	}
	w := codec.FromConfiguration(c)
	a.Configuration = &w
}

// nodeTable returns the number of the routing table that the polling node has, 0 for none.
func nodeTable(p message.Poll) uint64 {
	if p.Table == nil || *p.Table < 0 {
		return 0
	}
	return uint64(*p.Table)
}
