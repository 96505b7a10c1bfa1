package limiter

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/bucket"
	"github.com/figpier/figpier/internal/policy/shard"
)

const (
	// answerTimeout bounds one request for tokens.
	answerTimeout = 500 * time.Millisecond
	// resendTime is how long a request for tokens may stay unanswered before another is sent.
	resendTime = 60 * time.Millisecond
	// retryPause is the pause after a failed request for tokens.
	retryPause = 20 * time.Millisecond
	// maxSources is the number of token sources from which idle ones are removed before another is added.
	maxSources = 256
)

// Config configures a Limiter.
type Config struct {
	// Instance is the identifier of the node.
	Instance figpier.InstanceID
	// MaxWait is how long a request may wait for its token.
	MaxWait time.Duration
}

// Limiter implements figpier.Limiter. It is safe for concurrent use.
type Limiter struct {
	config    Config
	id        bucket.HolderID
	clock     figpier.Clock
	view      figpier.ConfigurationView
	messenger figpier.Messenger
	locator   figpier.ShardLocator
	runCtx    context.Context // from Start; bounds the renewal of tokens

	mu      sync.Mutex // guards sources and their users
	sources map[sourceKey]*tokenSource
}

// sourceKey identifies the tokens of a customer at a service.
type sourceKey struct {
	customer figpier.CustomerID
	service  figpier.UpstreamService
}

// New returns a limiter without tokens. Its holder ID is unique to this process, because the leases of an earlier process on
// the same instance are not its own.
func New(c Config) *Limiter {
	return &Limiter{
		config:  c,
		id:      bucket.HolderID(string(c.Instance) + "/" + rand.Text()),
		sources: map[sourceKey]*tokenSource{},
	}
}

// Name implements figpier.Service.
func (l *Limiter) Name() figpier.ServiceName { return figpier.LimiterService }

// Start implements figpier.Service.
func (l *Limiter) Start(ctx context.Context, d figpier.Directory) (err error) {
	l.runCtx = ctx
	l.clock = d.Clock()
	if l.view, err = figpier.FindView(d); err != nil {
		return err
	}
	if l.messenger, err = figpier.FindMessenger(d); err != nil {
		return err
	}
	l.locator, err = figpier.FindShardLocator(d)
	return err
}

// Stop implements figpier.Service.
func (l *Limiter) Stop(context.Context) error { return nil }

// Take implements figpier.Limiter. A request waits for at most Config.MaxWait.
func (l *Limiter) Take(ctx context.Context, r figpier.TokenRequest) error {
	if _, ok := l.view.Configuration().ProfileOf(r.Service()); !ok {
		return figpier.Refuse(figpier.RefusalNoProfile)
	}
	return l.acquireSource(sourceKey{customer: r.Customer(), service: r.Service()}).take(ctx)
}

// acquireSource returns the token source of a key and counts its caller as a user until releaseSource.
func (l *Limiter) acquireSource(k sourceKey) *tokenSource {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.sources[k]; ok {
		s.users++
		return s
	}
	now := l.clock.Now()
	if len(l.sources) >= maxSources {
		l.removeIdle(now)
	}
	s := &tokenSource{
		limiter: l,
		key:     k,
		shard:   uint32(shard.ForLimit(k.customer, k.service)),
		holder: bucket.NewHolder(bucket.HolderConfig{
			ID:            l.id,
			MaxWait:       l.config.MaxWait,
			AnswerTimeout: resendTime,
		}, now),
		wake:  make(chan struct{}, 1),
		users: 1,
	}
	l.sources[k] = s
	return s
}

// removeIdle removes the token sources that have no users and no leases. l.mu must be held.
func (l *Limiter) removeIdle(now time.Time) {
	for k, s := range l.sources {
		if s.users == 0 && s.idle(now) {
			delete(l.sources, k)
		}
	}
}

func (l *Limiter) releaseSource(s *tokenSource) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.users--
}
