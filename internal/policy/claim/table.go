package claim

import (
	"crypto/sha256"
	"time"

	"github.com/figpier/figpier"
)

// Key identifies a request by a digest of its customer, service and idempotency key.
type Key [sha256.Size]byte

// NewKey returns the key of a request. Customer and service are hashed separately first, so that requests whose parts
// only concatenate to the same string get different keys.
func NewKey(c figpier.CustomerID, s figpier.UpstreamService, i figpier.IdempotencyKey) Key {
	h := sha256.New()
	for _, part := range []string{string(c), string(s)} {
		sum := sha256.Sum256([]byte(part))
		h.Write(sum[:])
	}
	h.Write([]byte(i))
	return Key(h.Sum(nil))
}

// AttemptID identifies one attempt at a request and is never used again.
type AttemptID string

// State is what is known about the last attempt that claimed a key.
type State uint8

// States of a key.
const (
	// StateRunning means that the attempt may be running.
	StateRunning State = iota + 1
	// StateFinished means that the attempt ran to completion.
	StateFinished
	// StateUnknown means that the attempt ended without a known outcome and may have run.
	StateUnknown
	// StateNotRun means that the attempt is known not to have run, so that another one may claim the key.
	StateNotRun
)

// Verdict is the answer to a claim. The zero Verdict is none of them.
type Verdict uint8

// Verdicts on a claim.
const (
	// VerdictGranted allows the attempt to run.
	VerdictGranted Verdict = iota + 1
	// VerdictRunning refuses the attempt because another one may be running.
	VerdictRunning
	// VerdictAlreadyRun refuses the attempt because another one has run.
	VerdictAlreadyRun
	// VerdictUnknown refuses the attempt because another one may have run.
	VerdictUnknown
	// VerdictTooSoon refuses the attempt because the caller retries sooner than its profile allows.
	VerdictTooSoon
	// VerdictStale refuses the attempt because it has already ended; its claim was delayed or repeated.
	VerdictStale
)

// EntryConfig builds an Entry.
type EntryConfig struct {
	// State is what is known about Attempt.
	State State
	// Attempt is the last attempt that claimed the key, or that ended before its claim arrived.
	Attempt AttemptID
	// Since is when State was set.
	Since time.Time
}

// Entry is the immutable state of one key.
type Entry struct {
	config EntryConfig
	// lastClaimAt is when an attempt last claimed the key, from which the wait of VerdictTooSoon is counted.
	lastClaimAt time.Time
}

// NewEntry returns an entry, new or received from another replica, whose last claim is taken to be at Since.
func NewEntry(c EntryConfig) Entry { return Entry{config: c, lastClaimAt: c.Since} }

// State returns what is known about the last attempt.
func (e Entry) State() State { return e.config.State }

// Attempt returns the last attempt that claimed the key, or that ended before its claim arrived.
func (e Entry) Attempt() AttemptID { return e.config.Attempt }

// Since returns when the state was set.
func (e Entry) Since() time.Time { return e.config.Since }

// Config builds a Table.
type Config struct {
	// Retention is how long an entry is kept after its last change.
	Retention time.Duration
	// RunTimeout is how long an attempt counts as running before its outcome counts as unknown.
	RunTimeout time.Duration
	// LostAt is when earlier claims of the shard were lost, zero if none were. A key without an entry is refused until
	// Retention after that time, as it may have been claimed before the loss.
	LostAt time.Time
}

// Table holds the claims of one shard. It is not safe for concurrent use.
type Table struct {
	config  Config
	entries map[Key]Entry
	// changes are the changes of entries, oldest first; those before firstChange are expired.
	changes     []keyChange
	firstChange int
}

// keyChange records that a key's entry was set at a given time.
type keyChange struct {
	key   Key
	since time.Time
}

// New returns a table without entries.
func New(c Config) *Table {
	return &Table{config: c, entries: map[Key]Entry{}}
}

// LostAt returns when earlier claims of the shard were lost, zero if none were.
func (t *Table) LostAt() time.Time { return t.config.LostAt }

// Len returns the number of entries, some of which may be past the retention.
func (t *Table) Len() int { return len(t.entries) }

// Entry returns the entry of a key, and false if there is none.
func (t *Table) Entry(k Key) (Entry, bool) {
	e, ok := t.entries[k]
	return e, ok
}

// Put sets the entry of a key. A backup calls it for every write from the primary.
func (t *Table) Put(k Key, e Entry) {
	t.entries[k] = e
	t.changes = append(t.changes, keyChange{key: k, since: e.Since()})
}

// Each calls f with every entry, in no particular order, until f returns false.
func (t *Table) Each(f func(Key, Entry) bool) {
	for k, e := range t.entries {
		if !f(k, e) {
			return
		}
	}
}

// Claim claims a key for an attempt. With VerdictTooSoon it also returns how long the caller has to wait, since interval
// must pass between claims. The caller must replicate the entry before it passes on VerdictGranted.
func (t *Table) Claim(k Key, a AttemptID, interval time.Duration, now time.Time) (Verdict, time.Duration) {
	t.removeExpired(now)
	e, known := t.entries[k]
	if !known {
		return t.claimNewKey(k, a, now), 0
	}
	if e.Attempt() == a {
		return verdictForRepeat(e), 0
	}
	wait := e.lastClaimAt.Add(interval).Sub(now)
	if wait > 0 {
		return VerdictTooSoon, wait
	}
	e.lastClaimAt = now
	t.entries[k] = e
	return t.claimKnownKey(k, e, a, now), 0
}

// claimNewKey decides on a key without an entry.
func (t *Table) claimNewKey(k Key, a AttemptID, now time.Time) Verdict {
	if t.mayHaveLost(now) {
		return VerdictUnknown
	}
	t.Put(k, NewEntry(EntryConfig{State: StateRunning, Attempt: a, Since: now}))
	return VerdictGranted
}

// verdictForRepeat decides on a claim of the attempt that already holds the entry, which was sent more than once or
// arrived after the attempt had ended.
func verdictForRepeat(e Entry) Verdict {
	switch e.State() {
	case StateRunning:
		return VerdictGranted
	default:
		return VerdictStale
	}
}

// claimKnownKey decides on a key that another attempt claimed before.
func (t *Table) claimKnownKey(k Key, e Entry, a AttemptID, now time.Time) Verdict {
	switch e.State() {
	case StateFinished:
		return VerdictAlreadyRun
	case StateUnknown:
		return VerdictUnknown
	case StateRunning:
		if now.Sub(e.Since()) >= t.config.RunTimeout {
			return VerdictUnknown
		}
		return VerdictRunning
	default:
		t.Put(k, NewEntry(EntryConfig{State: StateRunning, Attempt: a, Since: now}))
		return VerdictGranted
	}
}

// mayHaveLost reports whether a key without an entry may have been claimed before the loss of earlier claims.
func (t *Table) mayHaveLost(now time.Time) bool {
	return !t.config.LostAt.IsZero() && now.Sub(t.config.LostAt) < t.config.Retention
}

// Finish records how an attempt ended and reports whether the entry has changed and must be replicated. It ignores an
// attempt that does not hold the key or has ended already.
func (t *Table) Finish(k Key, a AttemptID, s State, now time.Time) bool {
	t.removeExpired(now)
	e, known := t.entries[k]
	if !known {
		return t.finishUnknownKey(k, a, s, now)
	}
	if e.Attempt() != a || e.State() != StateRunning {
		return false
	}
	next := NewEntry(EntryConfig{State: s, Attempt: a, Since: now})
	next.lastClaimAt = e.lastClaimAt
	t.Put(k, next)
	return true
}

// finishUnknownKey records the end of an attempt whose claim has not arrived, so that a delayed claim is not granted.
func (t *Table) finishUnknownKey(k Key, a AttemptID, s State, now time.Time) bool {
	if s == StateNotRun && t.mayHaveLost(now) {
		return false
	}
	t.Put(k, NewEntry(EntryConfig{State: s, Attempt: a, Since: now}))
	return true
}

// removeExpired deletes the entries whose last change is older than the retention.
func (t *Table) removeExpired(now time.Time) {
	for t.firstChange < len(t.changes) && now.Sub(t.changes[t.firstChange].since) >= t.config.Retention {
		t.removeUnlessChanged(t.changes[t.firstChange])
		t.firstChange++
	}
	if t.firstChange > len(t.changes)/2 {
		t.changes = append([]keyChange(nil), t.changes[t.firstChange:]...)
		t.firstChange = 0
	}
}

// removeUnlessChanged deletes an entry unless it has been set again since.
func (t *Table) removeUnlessChanged(c keyChange) {
	if e, ok := t.entries[c.key]; ok && e.Since().Equal(c.since) {
		delete(t.entries, c.key)
	}
}
