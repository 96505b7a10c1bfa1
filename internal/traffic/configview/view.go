package configview

import (
	"cmp"
	"context"
	"io"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/message"
)

// Config configures a View.
type Config struct {
	// Controls are the message addresses of the control instances. If empty, they are discovered through the process's
	// seeds.
	Controls []string
	// DataCentre is the data centre that the node runs in.
	DataCentre figpier.DataCentre
	// Region is the region of that data centre.
	Region figpier.Region
	// Seed differs from node to node. It orders control instances that are equally near.
	Seed uint64
	// MaxQuorumAge is how long ago a control instance may last have known that it is current before the next one is polled,
	// Freshness when 0.
	MaxQuorumAge time.Duration
	// Freshness is the greatest age of the view at which keys are accepted.
	Freshness time.Duration
	// StaleMargin is how much older than Freshness the view gets before running requests that came with a key are ended.
	StaleMargin time.Duration
	// PollWait is how long a control instance holds a poll while it has nothing new.
	PollWait time.Duration
	// AnswerTimeout is how long a poll may stay unanswered, beyond the time it is held, before the next control instance is
	// tried.
	AnswerTimeout time.Duration
	// RetryPause is the pause after all control instances have failed or have been left.
	RetryPause time.Duration
	// Log receives a line for each configuration change and each failed poll. No lines are written when nil.
	Log *logrus.Entry
}

// View implements figpier.ConfigurationView and figpier.Staleness. A goroutine polls, the control thread applies the
// answers, and traffic threads read the published snapshot.
type View struct {
	config          Config
	clock           figpier.Clock
	control         figpier.ControlThread
	messenger       figpier.Messenger
	seeds           figpier.SeedSource
	published       atomic.Pointer[snapshot]
	ownMember       atomic.Pointer[figpier.Member]
	repollRequested chan struct{}

	// retryAt is when a control instance that was left may be polled again while a more distant one answers, and lastPoll is
	// when one may last have received a poll, both by message address. Only the polling goroutine uses them.
	retryAt  map[string]time.Time
	lastPoll map[string]time.Time

	mu          sync.Mutex
	subscribers []func(*figpier.Configuration)
	onStale     []func()

	state *state
}

// New returns a view with an empty configuration.
func New(c Config) *View {
	if c.Log == nil {
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		c.Log = logrus.NewEntry(silent)
	}
	if c.MaxQuorumAge == 0 {
		c.MaxQuorumAge = c.Freshness
	}
	v := &View{
		config:          c,
		repollRequested: make(chan struct{}, 1),
		retryAt:         map[string]time.Time{},
		lastPoll:        map[string]time.Time{},
		state:           newState(),
	}
	v.published.Store(v.state.newSnapshot())
	v.ownMember.Store(figpier.NewMember(figpier.MemberConfig{}))
	return v
}

// Name implements figpier.Service.
func (v *View) Name() figpier.ServiceName { return figpier.ConfigurationService }

// Start implements figpier.Service.
func (v *View) Start(ctx context.Context, d figpier.Directory) (err error) {
	v.clock = d.Clock()
	v.control = d.Control()
	if v.messenger, err = figpier.FindMessenger(d); err != nil {
		return err
	}
	if len(v.config.Controls) == 0 {
		if v.seeds, err = figpier.FindSeedSource(d); err != nil {
			return err
		}
	}
	v.registerGauge(d)
	go v.pollLoop(ctx)
	return nil
}

// registerGauge registers the age of the view if the process has a counter service.
func (v *View) registerGauge(d figpier.Directory) {
	c, err := figpier.FindCounters(d)
	if err != nil {
		return
	}
	c.Gauge("figpier_view_age_seconds", func() float64 {
		confirmed := v.Confirmed()
		if confirmed.IsZero() {
			return math.Inf(1)
		}
		return v.clock.Now().Sub(confirmed).Seconds()
	})
}

// Stop implements figpier.Service.
func (v *View) Stop(context.Context) error { return nil }

// Configuration implements figpier.ConfigurationView.
func (v *View) Configuration() *figpier.Configuration { return v.published.Load().configuration }

// Fresh implements figpier.ConfigurationView.
func (v *View) Fresh(now time.Time) bool {
	confirmed := v.Confirmed()
	return !confirmed.IsZero() && now.Sub(confirmed) < v.config.Freshness
}

// Confirmed implements figpier.ConfigurationView.
func (v *View) Confirmed() time.Time { return v.published.Load().confirmed }

// Members implements figpier.ConfigurationView.
func (v *View) Members(s figpier.UpstreamService) []*figpier.Member {
	return v.published.Load().members[s]
}

// ControlAddress implements figpier.ConfigurationView.
func (v *View) ControlAddress() string { return v.published.Load().control }

// ControlAddresses implements figpier.ConfigurationView.
func (v *View) ControlAddresses() []string {
	s := v.published.Load()
	others := slices.Clone(s.controls)
	slices.SortStableFunc(others, func(a, b figpier.ControlPlace) int { return cmp.Compare(v.distance(a), v.distance(b)) })
	addresses := []string{s.control}
	for _, p := range others {
		if p.Address() != s.control {
			addresses = append(addresses, p.Address())
		}
	}
	return addresses
}

// Changed implements figpier.ConfigurationView.
func (v *View) Changed() <-chan struct{} { return v.published.Load().changed }

// NodeCount implements figpier.ConfigurationView.
func (v *View) NodeCount() int { return v.published.Load().nodes }

// LastPoll implements figpier.ConfigurationView.
func (v *View) LastPoll() time.Time { return v.published.Load().pollSentAt }

// Distance implements figpier.DistanceSource for control instances and for the members that the node follows.
func (v *View) Distance(address string) figpier.Distance {
	s := v.published.Load()
	for _, p := range s.controls {
		if p.Address() == address {
			return v.distance(p)
		}
	}
	for _, members := range s.members {
		for _, m := range members {
			if m.PeerAddress() == address {
				return figpier.DistanceBetween(v.config.DataCentre, v.config.Region, m.DataCentre(), m.Region())
			}
		}
	}
	return figpier.DistanceUnknown
}

// Subscribe implements figpier.ConfigurationView.
func (v *View) Subscribe(f func(*figpier.Configuration)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.subscribers = append(v.subscribers, f)
}

// OnStale implements figpier.Staleness.
func (v *View) OnStale(f func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.onStale = append(v.onStale, f)
}

// Announce implements figpier.ConfigurationView.
func (v *View) Announce(m *figpier.Member) {
	v.ownMember.Store(m)
	v.repoll()
}

// repoll makes the polling goroutine replace the poll in flight by a new one.
func (v *View) repoll() {
	select {
	case v.repollRequested <- struct{}{}:
	default:
	}
}

// FollowMembers implements figpier.ConfigurationView.
func (v *View) FollowMembers(ctx context.Context, s figpier.UpstreamService) error {
	if v.published.Load().loaded.Has(s) {
		return nil
	}
	e := &followRequested{service: s, loaded: make(chan struct{})}
	if err := v.control.Post(e); err != nil {
		return err
	}
	select {
	case <-e.loaded:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// pollAnswered is the event of an answer to a poll.
type pollAnswered struct {
	sent     time.Time
	control  string
	followed figpier.Set[figpier.UpstreamService]
	answer   message.PollAnswer
	applied  chan struct{}
	// err is the error of applying the answer; it is set before applied is closed.
	err error
}

// Target implements figpier.Event.
func (*pollAnswered) Target() figpier.ServiceName { return figpier.ConfigurationService }

// controlsLearned is the event of a seed's answer.
type controlsLearned struct {
	controls []figpier.ControlPlace
	applied  chan struct{}
}

// Target implements figpier.Event.
func (*controlsLearned) Target() figpier.ServiceName { return figpier.ConfigurationService }

// followRequested is the event of a traffic thread's request for the members of a service.
type followRequested struct {
	service figpier.UpstreamService
	loaded  chan struct{}
}

// Target implements figpier.Event.
func (*followRequested) Target() figpier.ServiceName { return figpier.ConfigurationService }

// HandleEvent implements figpier.EventHandler.
func (v *View) HandleEvent(now time.Time, e figpier.Event) {
	newer := false
	switch e := e.(type) {
	case staleTimerFired:
		v.handleStaleTimer(e)
		return
	case *pollAnswered:
		defer close(e.applied)
		newer, e.err = v.state.applyAnswer(e)
		v.startStaleTimer(now)
	case *controlsLearned:
		defer close(e.applied)
		v.state.controls = e.controls
	case *followRequested:
		if v.state.follow(e) {
			defer v.repoll()
		}
	}
	close(v.published.Swap(v.state.newSnapshot()).changed)
	v.state.notifyWaiters()
	if newer {
		v.logConfiguration(now)
		v.notifySubscribers()
	}
}

// logConfiguration logs the configuration that was just published.
func (v *View) logConfiguration(now time.Time) {
	c := v.state.configuration
	line := v.config.Log.WithFields(logrus.Fields{
		"revision": int(c.Revision()),
		"control":  v.state.control,
		"age":      now.Sub(v.state.confirmed).String(),
	})
	if c.Table() != nil {
		line = line.WithField("table", c.Table().Number())
	}
	line.Info("configuration updated")
}

// notifySubscribers calls the subscribers on the control thread, without the lock.
func (v *View) notifySubscribers() {
	v.mu.Lock()
	subscribers := v.subscribers
	v.mu.Unlock()
	for _, f := range subscribers {
		f(v.state.configuration)
	}
}

// staleTimerFired is posted when the view may have become too old for requests that came with a key.
type staleTimerFired struct{ confirmed time.Time }

// Target implements figpier.Event.
func (staleTimerFired) Target() figpier.ServiceName { return figpier.ConfigurationService }

// startStaleTimer posts staleTimerFired for when the view is too old, in place of the timer for an earlier confirmed time.
func (v *View) startStaleTimer(now time.Time) {
	confirmed := v.state.confirmed
	if confirmed.Equal(v.state.timerFor) {
		return
	}
	v.state.timerFor = confirmed
	if v.state.stopTimer != nil {
		v.state.stopTimer()
	}
	due := confirmed.Add(v.config.Freshness + v.config.StaleMargin).Sub(now)
	v.state.stopTimer = v.control.PostAfter(due, staleTimerFired{confirmed: confirmed})
}

// handleStaleTimer calls the OnStale callbacks unless the view was confirmed again after the timer was started.
func (v *View) handleStaleTimer(e staleTimerFired) {
	if !e.confirmed.Equal(v.state.confirmed) {
		return
	}
	v.mu.Lock()
	callbacks := v.onStale
	v.mu.Unlock()
	for _, callback := range callbacks {
		callback()
	}
}
