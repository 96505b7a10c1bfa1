package locator

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/shard"
	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

// Error is the class of the errors of failed lookups.
var Error = errs.Class("shard locator")

const (
	// requestTimeout bounds one lookup at a control instance.
	requestTimeout = 500 * time.Millisecond
	// minLookupInterval is the minimum time between two lookups of one shard.
	minLookupInterval = 200 * time.Millisecond
)

// Config holds the settings of a Locator.
type Config struct {
	// Controls are the message addresses of the control instances.
	Controls []string
}

// Locator caches the message addresses of shards' primaries. It implements figpier.ShardLocator.
type Locator struct {
	config    Config
	clock     figpier.Clock
	messenger figpier.Messenger
	// lookupCtx is the context of lookups, which go on after their callers have given up.
	lookupCtx context.Context

	mu sync.Mutex // guards the fields below
	// nextControl is the index of the control instance to ask first.
	nextControl int
	// primaries has the address of each known primary, by shard.
	primaries map[uint32]string
	// pending has the lookups in progress, and lastLookup the start of each shard's last one.
	pending    map[uint32]*pendingLookup
	lastLookup map[uint32]time.Time
}

// pendingLookup is a lookup that several callers may wait for. Its result may be read once done is closed.
type pendingLookup struct {
	done    chan struct{}
	address string
	err     error
}

// New returns a locator with an empty cache.
func New(c Config) *Locator {
	return &Locator{
		config:     c,
		primaries:  map[uint32]string{},
		pending:    map[uint32]*pendingLookup{},
		lastLookup: map[uint32]time.Time{},
	}
}

// Name implements figpier.Service.
func (l *Locator) Name() figpier.ServiceName { return figpier.ShardLocatorService }

// Start implements figpier.Service.
func (l *Locator) Start(ctx context.Context, d figpier.Directory) (err error) {
	l.lookupCtx = ctx
	l.clock = d.Clock()
	l.messenger, err = figpier.FindMessenger(d)
	return err
}

// Stop implements figpier.Service.
func (l *Locator) Stop(context.Context) error { return nil }

// Primary implements figpier.ShardLocator. Concurrent callers share one lookup.
func (l *Locator) Primary(ctx context.Context, id uint32) (address string, err error) {
	address, s, err := l.startLookup(id)
	if s == nil {
		return address, err
	}
	select {
	case <-s.done:
		return s.address, s.err
	case <-ctx.Done():
		return "", Error.Wrap(ctx.Err())
	}
}

// startLookup returns the cached address, or else the lookup in progress, which it starts if there is none. It returns an
// error if the last lookup of the shard started too recently.
func (l *Locator) startLookup(id uint32) (string, *pendingLookup, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if address, ok := l.primaries[id]; ok {
		return address, nil, nil
	}
	s, ok := l.pending[id]
	if !ok {
		now := l.clock.Now()
		if now.Sub(l.lastLookup[id]) < minLookupInterval {
			return "", nil, Error.New("the last lookup of shard %d was too recent", id)
		}
		l.lastLookup[id] = now
		s = &pendingLookup{done: make(chan struct{})}
		l.pending[id] = s
		go l.runLookup(id, s)
	}
	return "", s, nil
}

// runLookup runs a lookup and stores its result.
func (l *Locator) runLookup(id uint32, s *pendingLookup) {
	s.address, s.err = l.askControls(id)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
	if s.err == nil {
		l.primaries[id] = s.address
	}
	close(s.done)
}

// askControls asks the control instances in turn, beginning with the one that answered last.
func (l *Locator) askControls(id uint32) (string, error) {
	l.mu.Lock()
	first := l.nextControl
	l.mu.Unlock()
	for i := range l.config.Controls {
		n := (first + i) % len(l.config.Controls)
		address, err := l.askControl(l.config.Controls[n], id)
		if err == nil {
			l.mu.Lock()
			l.nextControl = n
			l.mu.Unlock()
			return address, nil
		}
	}
	return "", Error.New("no control instance knows the primary of shard %d", id)
}

// askControl looks a shard up at one control instance.
func (l *Locator) askControl(control string, id uint32) (string, error) {
	ctx, cancel := context.WithTimeout(l.lookupCtx, requestTimeout)
	defer cancel()
	var f message.ShardFound
	err := l.messenger.Request(ctx, control, figpier.MethodShardLookup, message.ShardLookup{Shard: int(id)}, &f)
	if err != nil {
		return "", err
	}
	if f.Assignment == nil {
		return "", Error.New("shard %d has no primary yet", id)
	}
	return codec.MemberAddress(shard.MemberID(f.Assignment.Primary)), nil
}

// Invalidate implements figpier.ShardLocator. It does nothing if another address has been found since.
func (l *Locator) Invalidate(id uint32, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.primaries[id] == address {
		delete(l.primaries, id)
		// The control instance that returned the address may be behind the others.
		l.nextControl = (l.nextControl + 1) % max(1, len(l.config.Controls))
	}
}
