package episode

import "time"

// Config holds the arguments of New.
type Config struct {
	// Gap is the time without an event after which an episode ends.
	Gap time.Duration
	// MaxEntries is the maximum number of concurrent episodes; events that would begin further ones are ignored.
	MaxEntries int
}

// Table holds the current episodes by key. It is not safe for concurrent use.
type Table[K comparable] struct {
	config   Config
	episodes map[K]*episode
}

type episode struct {
	started, lastEvent time.Time
	count              int
}

// New returns a table without episodes.
func New[K comparable](c Config) *Table[K] {
	return &Table[K]{config: c, episodes: map[K]*episode{}}
}

// Record records an event, which begins an episode or extends the current one.
func (t *Table[K]) Record(now time.Time, k K) {
	e, ok := t.episodes[k]
	if !ok {
		if len(t.episodes) >= t.config.MaxEntries {
			t.sweep(now)
		}
		if len(t.episodes) >= t.config.MaxEntries {
			return
		}
		e = &episode{started: now}
		t.episodes[k] = e
	}
	if ok && now.Sub(e.lastEvent) > t.config.Gap {
		e.started, e.count = now, 0
	}
	e.lastEvent = now
	e.count++
}

// Each calls f for each current episode with the time of its first event and the number of events.
func (t *Table[K]) Each(now time.Time, f func(k K, since time.Time, count int)) {
	t.sweep(now)
	for k, e := range t.episodes {
		f(k, e.started, e.count)
	}
}

// sweep removes the episodes that have ended.
func (t *Table[K]) sweep(now time.Time) {
	for k, e := range t.episodes {
		if now.Sub(e.lastEvent) > t.config.Gap {
			delete(t.episodes, k)
		}
	}
}
