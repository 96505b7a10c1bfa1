package configview

import (
	"context"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/codec"
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

// otherRegionDistance is the distance of a control instance in another region.
const otherRegionDistance = 2

// nearerRetryInterval is how long a more distant control instance is polled before the nearest one is tried again. Each
// try of an unreachable one costs a poll timeout.
const nearerRetryInterval = 5 * time.Second

// noOtherPollAge is reported when no other control instance was polled. It is far above the time for which a control
// instance counts a node that has stopped polling it.
const noOtherPollAge = time.Hour

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

	// lastFailure and lastPoll hold the last time by message address. Only the polling goroutine uses them.
	lastFailure map[string]time.Time
	lastPoll    map[string]time.Time

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
	v := &View{config: c, repollRequested: make(chan struct{}, 1), lastFailure: map[string]time.Time{}, lastPoll: map[string]time.Time{}, state: newState()}
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
	go v.pollLoop(ctx)
	return nil
}

// Stop implements figpier.Service.
func (v *View) Stop(context.Context) error { return nil }

// Configuration implements figpier.ConfigurationView.
func (v *View) Configuration() *figpier.Configuration { return v.published.Load().configuration }

// Fresh implements figpier.ConfigurationView.
func (v *View) Fresh(now time.Time) bool {
	s := v.published.Load()
	return !s.confirmed.IsZero() && now.Sub(s.confirmed) < v.config.Freshness
}

// Members implements figpier.ConfigurationView.
func (v *View) Members(s figpier.UpstreamService) []*figpier.Member {
	return v.published.Load().members[s]
}

// ControlAddress implements figpier.ConfigurationView.
func (v *View) ControlAddress() string { return v.published.Load().control }

// NodeCount implements figpier.ConfigurationView.
func (v *View) NodeCount() int { return v.published.Load().nodes }

// LastPoll implements figpier.ConfigurationView.
func (v *View) LastPoll() time.Time { return v.published.Load().pollSentAt }

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

// pollLoop polls control instances in the order of preference, each for as long as it answers.
func (v *View) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		for i, address := range v.pollOrder() {
			v.pollInstance(ctx, address, i == 0)
		}
		v.waitRetryPause(ctx)
	}
}

// pollInstance polls a control instance until it fails, or for nearerRetryInterval if there is a nearer one.
func (v *View) pollInstance(ctx context.Context, address string, nearest bool) {
	deadline := v.clock.Now().Add(nearerRetryInterval)
	// The first poll asks for an immediate answer, so that an unreachable instance is detected early.
	wait := time.Duration(0)
	for v.poll(ctx, address, wait) && (nearest || v.clock.Now().Before(deadline)) {
		wait = v.config.PollWait
	}
	if ctx.Err() == nil {
		v.lastFailure[address] = v.clock.Now()
	}
}

// pollOrder returns the message addresses of the control instances in the order in which to poll them.
func (v *View) pollOrder() []string {
	if len(v.config.Controls) > 0 {
		return v.config.Controls
	}
	instances := slices.Clone(v.published.Load().controls)
	now := v.clock.Now()
	slices.SortStableFunc(instances, func(a, b figpier.ControlPlace) int { return v.preference(now, a) - v.preference(now, b) })
	var addresses []string
	for _, p := range instances {
		addresses = append(addresses, p.Address())
	}
	for _, a := range v.seeds.Seeds() {
		if !slices.Contains(addresses, a) {
			addresses = append(addresses, a)
		}
	}
	return addresses
}

// preference orders control instances by distance; those that failed within nearerRetryInterval come last.
func (v *View) preference(now time.Time, p figpier.ControlPlace) int {
	at, failed := v.lastFailure[p.Address()]
	if failed && now.Sub(at) < nearerRetryInterval {
		return otherRegionDistance + 1 + v.distance(p)
	}
	return v.distance(p)
}

// distance returns 0 for the own data centre, 1 for the own region, and otherRegionDistance elsewhere.
func (v *View) distance(p figpier.ControlPlace) int {
	switch {
	case p.DataCentre() == v.config.DataCentre:
		return 0
	case p.Region() == v.config.Region:
		return 1
	}
	return otherRegionDistance
}

func (v *View) waitRetryPause(ctx context.Context) {
	elapsed := make(chan struct{})
	cancel := v.clock.AfterFunc(v.config.RetryPause, func() { close(elapsed) })
	defer cancel()
	select {
	case <-ctx.Done():
	case <-elapsed:
	}
}

// poll sends one poll and waits until its answer is applied. It returns false if the control instance did not answer, or
// has not known for MaxQuorumAge that it is current. A poll that repoll ended counts as answered.
func (v *View) poll(ctx context.Context, address string, wait time.Duration) bool {
	pollCtx, cancel := context.WithTimeout(ctx, wait+v.config.AnswerTimeout)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	var repolled atomic.Bool
	go func() {
		select {
		case <-v.repollRequested:
			repolled.Store(true)
			cancel()
		case <-done:
		}
	}()

	sent := v.clock.Now()
	known := v.published.Load()
	p := v.newPoll(known, wait)
	p.ElsewhereMillis = int(v.sinceOtherPoll(sent, address).Milliseconds())
	v.lastPoll[address] = sent
	var a message.PollAnswer
	if err := v.messenger.Request(pollCtx, address, figpier.MethodPoll, p, &a); err != nil {
		if repolled.Load() && ctx.Err() == nil {
			return true
		}
		v.config.Log.WithError(err).WithField("control", address).Warn("a control instance does not answer")
		return false
	}
	e := &pollAnswered{sent: sent, control: address, followed: known.followed, answer: a, applied: make(chan struct{})}
	if err := v.control.Post(e); err != nil {
		return false
	}
	select {
	case <-ctx.Done():
	case <-e.applied:
	}
	if a.QuorumAgeMillis >= int(v.config.MaxQuorumAge.Milliseconds()) {
		line := v.config.Log.WithFields(logrus.Fields{"control": address, "quorumAgeMillis": a.QuorumAgeMillis})
		line.Warn("a control instance is behind")
		return false
	}
	return true
}

// sinceOtherPoll returns how long ago a control instance at any other address was polled.
func (v *View) sinceOtherPoll(now time.Time, address string) time.Duration {
	age := noOtherPollAge
	for a, at := range v.lastPoll {
		if a != address {
			age = min(age, now.Sub(at))
		}
	}
	return age
}

func (v *View) newPoll(s *snapshot, wait time.Duration) message.Poll {
	p := message.Poll{
		Revision:      int(s.configuration.Revision()),
		Registry:      s.registry,
		MemberVersion: s.memberVersion,
		Services:      []string{},
		WaitMillis:    int(wait.Milliseconds()),
		Member:        codec.FromMember(v.ownMember.Load()),
	}
	for _, service := range s.followed.Values() {
		p.Services = append(p.Services, string(service))
	}
	return p
}

// pollAnswered is the event of an answer to a poll.
type pollAnswered struct {
	sent     time.Time
	control  string
	followed figpier.Set[figpier.UpstreamService]
	answer   message.PollAnswer
	applied  chan struct{}
}

// Target implements figpier.Event.
func (*pollAnswered) Target() figpier.ServiceName { return figpier.ConfigurationService }

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
		newer = v.state.applyAnswer(e)
		v.startStaleTimer(now)
	case *followRequested:
		v.state.follow(e)
		defer v.repoll()
	}
	v.published.Store(v.state.newSnapshot())
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
