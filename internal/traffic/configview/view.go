package configview

import (
	"cmp"
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/xxh3"

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

// Times after which a control instance that was left is tried again, when a more distant one is polled.
const (
	// silentRetryInterval is for one that did not answer; each try costs a poll timeout.
	silentRetryInterval = 5 * time.Second
	// behindRetryInterval is for one that answered at once that it is behind, or refused the connection, as it does while it
	// restarts.
	behindRetryInterval = time.Second
)

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

// pollLoop polls control instances in the order of preference, each until it fails or a nearer one is known.
func (v *View) pollLoop(ctx context.Context) {
	if len(v.config.Controls) == 0 {
		v.discover(ctx)
	}
	for ctx.Err() == nil {
		if !v.pollAny(ctx) {
			v.waitRetryPause(ctx)
		}
	}
}

// pollAny polls the control instances one after the other, and returns true once one was left for a nearer one.
func (v *View) pollAny(ctx context.Context) (nearer bool) {
	for _, address := range v.pollOrder() {
		if v.pollInstance(ctx, address) {
			return true
		}
	}
	return false
}

// discover asks the seeds for the places of the control instances, so that the node fetches the configuration and the members
// from a near one. It returns once one of them has answered, or all have failed.
func (v *View) discover(ctx context.Context) {
	for _, address := range v.pollOrder() {
		bounded, cancel := context.WithTimeout(ctx, v.config.AnswerTimeout)
		var a message.ControlsAnswer
		err := v.messenger.Request(bounded, address, figpier.MethodControls, message.ControlsAsk{}, &a)
		cancel()
		if err != nil {
			v.config.Log.WithError(err).WithField("control", address).Info("a seed does not tell the control instances")
			continue
		}
		e := &controlsLearned{controls: controlPlaces(a.Controls), applied: make(chan struct{})}
		if v.control.Post(e) != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-e.applied:
		}
		return
	}
}

// pollInstance polls a control instance until it fails, or until a nearer one is known, which it reports.
func (v *View) pollInstance(ctx context.Context, address string) (nearer bool) {
	// The first poll asks for an immediate answer, so that an unreachable instance is detected early.
	wait := time.Duration(0)
	for {
		retryInterval, ok := v.poll(ctx, address, wait)
		if !ok {
			v.retryAt[address] = v.clock.Now().Add(retryInterval)
			return false
		}
		if v.knowsNearer(address) {
			return true
		}
		wait = v.config.PollWait
	}
}

// knowsNearer reports whether there is a control instance to poll that is nearer than the one at an address. The distance of a
// seed that no control instance has listed is not known, so that any other is preferred to it.
func (v *View) knowsNearer(address string) bool {
	if len(v.config.Controls) > 0 {
		return false
	}
	now := v.clock.Now()
	controls := v.published.Load().controls
	at := slices.IndexFunc(controls, func(p figpier.ControlPlace) bool { return p.Address() == address })
	return slices.ContainsFunc(controls, func(p figpier.ControlPlace) bool {
		return (at < 0 || v.distance(p) < v.distance(controls[at])) && !now.Before(v.retryAt[p.Address()])
	})
}

// pollOrder returns the message addresses of the control instances in the order in which to poll them: by preference, and
// those of the same preference in an order of this node's own, so that nodes spread over them.
func (v *View) pollOrder() []string {
	if len(v.config.Controls) > 0 {
		return v.config.Controls
	}
	instances := slices.Clone(v.published.Load().controls)
	now := v.clock.Now()
	slices.SortFunc(instances, func(a, b figpier.ControlPlace) int {
		return cmp.Or(
			cmp.Compare(v.preference(now, a), v.preference(now, b)),
			cmp.Compare(v.spreadOrder(a.Address()), v.spreadOrder(b.Address())),
		)
	})
	var addresses []string
	for _, p := range instances {
		addresses = append(addresses, p.Address())
	}
	seeds := slices.Clone(v.seeds.Seeds())
	slices.SortFunc(seeds, func(a, b string) int { return cmp.Compare(v.spreadOrder(a), v.spreadOrder(b)) })
	for _, a := range seeds {
		if !slices.Contains(addresses, a) {
			addresses = append(addresses, a)
		}
	}
	return addresses
}

// spreadOrder returns a number for an address that differs from node to node.
func (v *View) spreadOrder(address string) uint64 {
	return xxh3.HashStringSeed(address, v.config.Seed)
}

// preference orders control instances by distance; those that failed and are not due to be tried again come last.
func (v *View) preference(now time.Time, p figpier.ControlPlace) int {
	if now.Before(v.retryAt[p.Address()]) {
		return len(figpier.Distances) + int(v.distance(p))
	}
	return int(v.distance(p))
}

// distance returns the distance of a control instance.
func (v *View) distance(p figpier.ControlPlace) figpier.Distance {
	return figpier.DistanceBetween(v.config.DataCentre, v.config.Region, p.DataCentre(), p.Region())
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

// poll sends one poll and waits until its answer is applied. It returns false, and how long to leave the control instance, if
// that one did not answer, sent a configuration that can't be applied, or has not known for MaxQuorumAge that it is current. A poll
// that repoll ended counts as answered.
func (v *View) poll(ctx context.Context, address string, wait time.Duration) (retryInterval time.Duration, ok bool) {
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
	var a message.PollAnswer
	err := v.messenger.Request(pollCtx, address, figpier.MethodPoll, p, &a)
	unreached := (*figpier.UnreachedError)(nil)
	uncounted := err == nil && a.Uncounted != nil && *a.Uncounted
	if !errors.As(err, &unreached) && !uncounted {
		v.lastPoll[address] = sent
	}
	if err != nil {
		if repolled.Load() && ctx.Err() == nil {
			return 0, true
		}
		v.config.Log.WithError(err).WithField("control", address).Warn("a control instance does not answer")
		return retryIntervalFor(err), false
	}
	line := v.config.Log.WithFields(logrus.Fields{"control": address, "quorumAgeMillis": a.QuorumAgeMillis, "revision": a.Revision})
	if uncounted {
		line.Warn("a control instance is behind")
		v.waitRetryPause(ctx)
		return behindRetryInterval, false
	}
	e := &pollAnswered{sent: sent, control: address, followed: known.followed, answer: a, applied: make(chan struct{})}
	if err := v.control.Post(e); err != nil {
		return 0, false
	}
	select {
	case <-ctx.Done():
		return 0, false
	case <-e.applied:
	}
	if e.err != nil {
		line.WithError(e.err).Warn("a configuration can't be applied: the whole one is requested")
		return behindRetryInterval, false
	}
	if a.QuorumAgeMillis >= int(v.config.MaxQuorumAge.Milliseconds()) {
		line.Warn("a control instance is behind")
		return behindRetryInterval, false
	}
	return 0, true
}

// retryIntervalFor returns how long to leave a control instance after a failed poll.
func retryIntervalFor(err error) time.Duration {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return behindRetryInterval
	}
	return silentRetryInterval
}

// sinceOtherPoll returns how long ago a control instance at any other address may have received a poll that it counts.
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
		MembersDigest: &s.membersDigest,
	}
	if t := s.configuration.Table(); t != nil {
		number := int(t.Number())
		p.Table = &number
	}
	if s.partial {
		p.Partial = &s.partial
	}
	if s.resync {
		p.Revision, p.Table = 0, nil
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
		v.state.follow(e)
		defer v.repoll()
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
