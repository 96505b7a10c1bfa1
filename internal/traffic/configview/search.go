package configview

import (
	"context"
	"time"

	"github.com/figpier/figpier"
)

// searchStagger is how long a search waits for a control instance before it also asks the next one. It is several round trips between
// regions, so that a search mostly asks no more than the first instance that works.
const searchStagger = 100 * time.Millisecond

// searchAnswer is a control instance's answer to a search.
type searchAnswer struct {
	event *pollAnswered
	err   error
}

// search asks the control instances in the order of preference for what is new, and returns the first one whose answer is current. It
// does not wait for one that is silent before it asks the next, so that their time-outs don't add up. The questions do not register the
// node, which is to count at one instance only.
func (v *View) search(ctx context.Context) (address string, ok bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	remaining := v.pollOrder()
	unanswered := map[string]bool{}
	answers := make(chan searchAnswer, len(remaining))
	// due is closed when the next instance is asked.
	due, stopTimer := v.after(0)
	defer func() { stopTimer() }()
	for len(remaining) > 0 || len(unanswered) > 0 {
		select {
		case <-ctx.Done():
			return "", false
		case <-due:
			unanswered[remaining[0]] = true
			go v.ask(ctx, remaining[0], answers)
			remaining = remaining[1:]
			due = nil
			if len(remaining) > 0 {
				due, stopTimer = v.after(v.stagger())
			}
		case a := <-answers:
			address := a.event.control
			delete(unanswered, address)
			err := v.takeAnswer(ctx, a)
			if err == nil {
				v.leaveAll(unanswered, &outrunError{winner: address})
				return address, true
			}
			v.leave(address, err)
			// After an answer that is behind the stagger time goes on: while the control instances elect a leader, all are.
			if a.err != nil && len(remaining) > 0 {
				stopTimer()
				due, stopTimer = v.after(0)
			}
		}
	}
	return "", false
}

// stagger returns how long a search waits before it asks the next instance. A node that has nothing yet gives each one more time, because
// every answer brings it everything.
func (v *View) stagger() time.Duration {
	if v.Configuration().Revision() == 0 {
		return max(searchStagger, v.config.AnswerTimeout)
	}
	return searchStagger
}

// takeAnswer applies the answer to a search, and returns an error if its instance is not to be polled.
func (v *View) takeAnswer(ctx context.Context, a searchAnswer) error {
	if a.err != nil {
		return a.err
	}
	return v.apply(ctx, a.event)
}

// leaveAll leaves control instances for the same reason.
func (v *View) leaveAll(addresses map[string]bool, err error) {
	for a := range addresses {
		v.leave(a, err)
	}
}

// ask sends a poll that is to be answered at once and does not count.
func (v *View) ask(ctx context.Context, address string, answers chan<- searchAnswer) {
	ctx, cancel := context.WithTimeout(ctx, v.config.AnswerTimeout)
	defer cancel()
	known := v.published.Load()
	e := &pollAnswered{sent: v.clock.Now(), control: address, followed: known.followed, applied: make(chan struct{})}
	err := v.messenger.Request(ctx, address, figpier.MethodPoll, v.newPoll(known, 0), &e.answer)
	answers <- searchAnswer{event: e, err: err}
}

// after returns a channel that is closed after a time, and a function that stops its timer.
func (v *View) after(d time.Duration) (elapsed <-chan struct{}, cancel func()) {
	c := make(chan struct{})
	return c, v.clock.AfterFunc(d, func() { close(c) })
}
