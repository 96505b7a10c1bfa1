package exchange

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

// Config builds an Exchange.
type Config struct {
	// Place is this control instance's address, data centre and region.
	Place figpier.ControlPlace
	// PollWait is how long a poll is held while there is no change, and the time between two checks of the log's members.
	PollWait time.Duration
	// AnswerTimeout is how long after PollWait an unanswered poll fails.
	AnswerTimeout time.Duration
	// RetryPause is the pause after a poll that failed.
	RetryPause time.Duration
	// SilenceTimeout is how long the members of a control instance that does not answer are kept.
	SilenceTimeout time.Duration
}

// Exchange is the service that polls the other control instances for their members and answers their polls.
type Exchange struct {
	config    Config
	clock     figpier.Clock
	log       figpier.ReplicatedLog
	registry  figpier.Registry
	messenger figpier.Messenger

	mu sync.Mutex
	// controls holds the other control instances that answer, by address.
	controls map[string]figpier.ControlPlace
}

// New returns an exchange that has not started.
func New(c Config) *Exchange {
	return &Exchange{config: c, controls: map[string]figpier.ControlPlace{}}
}

// Name implements figpier.Service.
func (x *Exchange) Name() figpier.ServiceName { return figpier.ExchangeService }

// Start implements figpier.Service.
func (x *Exchange) Start(ctx context.Context, d figpier.Directory) (err error) {
	x.clock = d.Clock()
	if x.registry, err = figpier.FindRegistry(d); err != nil {
		return err
	}
	if x.messenger, err = figpier.FindMessenger(d); err != nil {
		return err
	}
	if x.log, err = figpier.FindReplicatedLog(d); err != nil {
		return err
	}
	x.messenger.Handle(figpier.MethodMembers, x.handlePoll)
	go x.followPeers(ctx)
	return nil
}

// Stop implements figpier.Service.
func (x *Exchange) Stop(context.Context) error { return nil }

// handlePoll answers with this instance's local members that changed since the poll's version, or with all of them if
// the poll names another registry. Without a change it waits up to PollWait for one.
func (x *Exchange) handlePoll(ctx context.Context, decode figpier.Decode) (any, error) {
	var p message.MembersPoll
	if err := decode(&p); err != nil {
		return nil, err
	}
	full := p.Registry != x.registry.ID()
	if full {
		p.MemberVersion = 0
	}
	d := x.registry.LocalSince(uint64(p.MemberVersion))
	if !full && d.Version() == uint64(p.MemberVersion) {
		x.waitForChange(ctx, min(time.Duration(p.WaitMillis)*time.Millisecond, x.config.PollWait), d.Changed())
		d = x.registry.LocalSince(uint64(p.MemberVersion))
	}
	a := &message.MembersAnswer{
		MemberVersion: int(d.Version()),
		Registry:      x.registry.ID(),
		Full:          full,
		DataCentre:    string(x.config.Place.DataCentre()),
		Region:        string(x.config.Place.Region()),
	}
	a.Members, a.Gone = codec.FromMembers(d)
	return a, nil
}

// waitForChange waits for a time, for a change or for the end of the context.
func (x *Exchange) waitForChange(ctx context.Context, d time.Duration, changed <-chan struct{}) {
	over := make(chan struct{})
	cancel := x.clock.AfterFunc(d, func() { close(over) })
	defer cancel()
	select {
	case <-ctx.Done():
	case <-over:
	case <-changed:
	}
}

// Controls implements figpier.Exchange.
func (x *Exchange) Controls() []figpier.ControlPlace {
	x.mu.Lock()
	defer x.mu.Unlock()
	all := []figpier.ControlPlace{x.config.Place}
	for _, p := range x.controls {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b figpier.ControlPlace) int { return strings.Compare(a.Address(), b.Address()) })
	return all
}

// Distance implements figpier.DistanceSource.
func (x *Exchange) Distance(address string) figpier.Distance {
	x.mu.Lock()
	defer x.mu.Unlock()
	other, ok := x.controls[address]
	if !ok {
		return figpier.DistanceUnknown
	}
	own := x.config.Place
	return figpier.DistanceBetween(own.DataCentre(), own.Region(), other.DataCentre(), other.Region())
}

// followPeers runs follow for each other member of the log for as long as it is a member.
func (x *Exchange) followPeers(ctx context.Context) {
	followed := map[string]context.CancelFunc{}
	for ctx.Err() == nil {
		peers := figpier.NewSet(x.log.Peers()...)
		for _, address := range peers.Values() {
			if followed[address] == nil {
				peer, cancel := context.WithCancel(ctx)
				followed[address] = cancel
				go x.follow(peer, address)
			}
		}
		for address, cancel := range followed {
			if !peers.Has(address) {
				cancel()
				delete(followed, address)
			}
		}
		x.waitForChange(ctx, x.config.PollWait, nil)
	}
}

// recordControl stores the address and location of a control instance that answered.
func (x *Exchange) recordControl(address string, a *message.MembersAnswer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.controls[address] = figpier.NewControlPlace(figpier.ControlPlaceConfig{
		Address:    address,
		DataCentre: figpier.DataCentre(a.DataCentre),
		Region:     figpier.Region(a.Region),
	})
}

// removeControl removes a control instance and the members learnt from it.
func (x *Exchange) removeControl(address string) {
	x.registry.RemoveSource(figpier.InstanceID(address))
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.controls, address)
}

// follow polls another control instance and merges its members into the registry. It removes them after SilenceTimeout
// without an answer, and when ctx ends.
func (x *Exchange) follow(ctx context.Context, address string) {
	defer x.removeControl(address)
	known := message.MembersPoll{WaitMillis: int(x.config.PollWait.Milliseconds())}
	lastAnswer := x.clock.Now()
	for ctx.Err() == nil {
		a, err := x.poll(ctx, address, known)
		if err == nil {
			lastAnswer = x.clock.Now()
			x.recordControl(address, a)
			x.registry.Merge(figpier.InstanceID(address), codec.ToMemberDelta(a.MemberVersion, a.Members, a.Gone), a.Full)
			known.Registry = a.Registry
			known.MemberVersion = a.MemberVersion
			continue
		}
		if known.Registry != "" && x.clock.Now().Sub(lastAnswer) > x.config.SilenceTimeout {
			x.removeControl(address)
			known.Registry = ""
		}
		x.waitForChange(ctx, x.config.RetryPause, nil)
	}
}

func (x *Exchange) poll(ctx context.Context, address string, known message.MembersPoll) (*message.MembersAnswer, error) {
	bounded, cancel := context.WithTimeout(ctx, x.config.PollWait+x.config.AnswerTimeout)
	defer cancel()
	a := &message.MembersAnswer{}
	if err := x.messenger.Request(bounded, address, figpier.MethodMembers, known, a); err != nil {
		return nil, err
	}
	return a, nil
}
