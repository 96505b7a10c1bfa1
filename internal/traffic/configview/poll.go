package configview

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/xxh3"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

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

// pollLoop polls one control instance until it fails or a nearer one is known, and searches for the next one then.
func (v *View) pollLoop(ctx context.Context) {
	if len(v.config.Controls) == 0 {
		v.discover(ctx)
	}
	for ctx.Err() == nil {
		address, ok := v.search(ctx)
		if !ok {
			v.waitRetryPause(ctx)
			continue
		}
		v.pollInstance(ctx, address)
	}
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

// pollInstance polls a control instance until it fails, or until a nearer one is known. Polls that repoll replaces share the time by
// which the instance has to answer.
func (v *View) pollInstance(ctx context.Context, address string) {
	var due time.Time
	for ctx.Err() == nil {
		if due.IsZero() {
			due = v.clock.Now().Add(v.config.PollWait + v.config.AnswerTimeout)
		}
		answered, err := v.poll(ctx, address, due)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			v.leave(address, err)
			return
		}
		if !answered {
			continue
		}
		if v.knowsNearer(address) {
			return
		}
		due = time.Time{}
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
	elapsed, cancel := v.after(v.config.RetryPause)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-elapsed:
	}
}

// poll sends a poll that has to be answered by the due time, and waits until its answer is applied. It reports false if repoll
// replaced the poll before it was answered, and returns an error if the control instance has to be left.
func (v *View) poll(ctx context.Context, address string, due time.Time) (answered bool, err error) {
	sent := v.clock.Now()
	wait := min(v.config.PollWait, max(0, due.Sub(sent)-v.config.AnswerTimeout))
	pollCtx, cancel := context.WithTimeout(ctx, due.Sub(sent))
	defer cancel()
	var replaced atomic.Bool
	if wait > 0 {
		// A poll that is answered at once is not replaced: frequent requests would leave no time for its answer.
		done := make(chan struct{})
		defer close(done)
		go func() {
			select {
			case <-v.repollRequested:
				replaced.Store(true)
				cancel()
			case <-done:
			}
		}()
	}

	known := v.published.Load()
	p := v.newPoll(known, wait)
	p.ElsewhereMillis = int(v.sinceOtherPoll(sent, address).Milliseconds())
	p.Member = codec.FromMember(v.ownMember.Load())
	var a message.PollAnswer
	err = v.messenger.Request(pollCtx, address, figpier.MethodPoll, p, &a)
	unreached := (*figpier.UnreachedError)(nil)
	if !errors.As(err, &unreached) && !uncounted(a) {
		v.lastPoll[address] = sent
	}
	if err != nil && replaced.Load() && ctx.Err() == nil {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	return true, v.apply(ctx, &pollAnswered{sent: sent, control: address, followed: known.followed, answer: a, applied: make(chan struct{})})
}

// uncounted reports whether a control instance answered that it is behind, so that the poll does not count for the division of limits.
func uncounted(a message.PollAnswer) bool { return a.Uncounted != nil && *a.Uncounted }

// apply has the control thread apply an answer. It returns a behindError if the answer may be out of date, and an unappliedError if it
// can't be applied.
func (v *View) apply(ctx context.Context, e *pollAnswered) error {
	if uncounted(e.answer) {
		return newBehindError(e.answer)
	}
	if err := v.control.Post(e); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-e.applied:
	}
	if e.err != nil {
		return &unappliedError{cause: e.err}
	}
	if e.answer.QuorumAgeMillis >= int(v.config.MaxQuorumAge.Milliseconds()) {
		return newBehindError(e.answer)
	}
	return nil
}

// leave logs why a control instance is left, and sets when it may be polled again while a more distant one answers.
func (v *View) leave(address string, err error) {
	line := v.config.Log.WithError(err).WithField("control", address)
	interval := silentRetryInterval
	behind, unapplied := (*behindError)(nil), (*unappliedError)(nil)
	switch {
	case errors.As(err, &behind):
		interval = behindRetryInterval
		line.WithFields(logrus.Fields{"quorumAgeMillis": behind.quorumAgeMillis, "revision": behind.revision}).Warn("a control instance is behind")
	case errors.As(err, &unapplied):
		interval = behindRetryInterval
		line.Warn("a configuration can't be applied: the whole one is requested")
	case errors.Is(err, syscall.ECONNREFUSED):
		interval = behindRetryInterval
		line.Warn("a control instance does not answer")
	default:
		line.Warn("a control instance does not answer")
	}
	v.retryAt[address] = v.clock.Now().Add(interval)
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

// newPoll returns a poll from which a control instance learns what the node has, without the node's own entry.
func (v *View) newPoll(s *snapshot, wait time.Duration) message.Poll {
	p := message.Poll{
		Revision:      int(s.configuration.Revision()),
		Registry:      s.registry,
		MemberVersion: s.memberVersion,
		Services:      []string{},
		WaitMillis:    int(wait.Milliseconds()),
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
