package members

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/figpier/figpier"
)

// idLength is the length in letters of a registry's ID: 60 random bits. Every poll carries one, so it is kept short.
const idLength = 12

// Bounds on the members that CountPolling counts.
const (
	// pollingTimeout is how long after its last poll a member is still counted. It covers two polls; a member that is
	// silent for longer may be polling another control instance.
	pollingTimeout = 1500 * time.Millisecond
	// minPollingTime is how long a member must have polled this control instance to be counted. It is above
	// pollingTimeout, so that a member that moves is never counted at two instances.
	minPollingTime = 2 * time.Second
	// peakRetention is how long the greatest number of members is reported after the number has dropped, because an
	// instance that has just started knows too few members.
	peakRetention = 10 * time.Second
)

// Config holds the settings of a Registry.
type Config struct {
	// Lease is how long a member stays registered after its last announcement.
	Lease time.Duration
}

// Registry implements figpier.Registry. The control thread makes all changes; mu lets other goroutines read.
type Registry struct {
	config  Config
	id      string
	control figpier.ControlThread
	// settledAt is one lease after the start; by then every live member has announced itself.
	settledAt time.Time
	// leases are those of the local members; mu guards them too.
	leases map[figpier.InstanceID]lease

	mu sync.Mutex
	// local holds the members that announce themselves to this control instance.
	local *table
	// remote holds the members of each other control instance, by the name of that instance.
	remote map[figpier.InstanceID]map[figpier.InstanceID]*figpier.Member
	// overall merges local and remote.
	overall *table
	// peak is the greatest recent size of overall, which was last reached at peakAt.
	peak   int
	peakAt time.Time
	// polled is the time until polledAt for which members were counted, added up over the members.
	polled   time.Duration
	polledAt time.Time
}

// lease keeps a local member registered until it expires.
type lease struct {
	expiresAt time.Time
	// pollingSince is when a poll of another control instance last counted, as the member said, and countedAt is when one of this
	// control instance last did; both are zero until one has. countedSince is when the polls that count here began.
	pollingSince time.Time
	countedAt    time.Time
	countedSince time.Time
	// cancel stops the timer that ends the lease.
	cancel func()
}

// New returns an empty registry with a random ID.
func New(c Config) *Registry {
	return &Registry{
		config:  c,
		id:      rand.Text()[:idLength],
		leases:  map[figpier.InstanceID]lease{},
		local:   newTable(),
		remote:  map[figpier.InstanceID]map[figpier.InstanceID]*figpier.Member{},
		overall: newTable(),
	}
}

// Name implements figpier.Service.
func (r *Registry) Name() figpier.ServiceName { return figpier.RegistryService }

// Start implements figpier.Service.
func (r *Registry) Start(_ context.Context, d figpier.Directory) error {
	now := d.Clock().Now()
	r.control = d.Control()
	r.settledAt = now.Add(r.config.Lease)
	r.polledAt = now
	return nil
}

// Stop implements figpier.Service.
func (r *Registry) Stop(context.Context) error { return nil }

// ID implements figpier.Registry.
func (r *Registry) ID() string { return r.id }

// Settled implements figpier.Registry.
func (r *Registry) Settled(now time.Time) bool { return !now.Before(r.settledAt) }

// Count implements figpier.Registry.
func (r *Registry) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.overall.members)
}

// CountPolling implements figpier.Registry.
func (r *Registry) CountPolling(now time.Time) (local, all int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.leases {
		if !l.countedAt.IsZero() && now.Sub(l.pollingSince) >= minPollingTime && now.Sub(l.countedAt) <= pollingTimeout {
			local++
		}
	}
	if n := len(r.overall.members); n >= r.peak || now.Sub(r.peakAt) > peakRetention {
		r.peak, r.peakAt = n, now
	}
	return local, r.peak
}

// PolledTime implements figpier.Registry.
func (r *Registry) PolledTime(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.After(r.polledAt) {
		return r.polled
	}
	for _, l := range r.leases {
		r.polled += l.countedBetween(r.polledAt, now)
	}
	r.polledAt = now
	return r.polled
}

// countedBetween returns for how long of a period a member was counted.
func (l lease) countedBetween(from, to time.Time) time.Duration {
	for _, begin := range []time.Time{l.countedSince, l.pollingSince.Add(minPollingTime)} {
		if begin.After(from) {
			from = begin
		}
	}
	if end := l.countedAt.Add(pollingTimeout); end.Before(to) {
		to = end
	}
	return max(0, to.Sub(from))
}

// announceEvent carries a member's announcement to the control thread.
type announceEvent struct {
	member *figpier.Member
	// elsewhere is how long ago a poll of another control instance counted.
	elsewhere time.Duration
	// counts is false if the poll of this one does not count.
	counts bool
}

// Target implements figpier.Event.
func (announceEvent) Target() figpier.ServiceName { return figpier.RegistryService }

// leaseEndEvent is posted when a member's lease may have expired.
type leaseEndEvent struct{ instance figpier.InstanceID }

// Target implements figpier.Event.
func (leaseEndEvent) Target() figpier.ServiceName { return figpier.RegistryService }

// mergeEvent carries a change of the members at another control instance to the control thread.
type mergeEvent struct {
	source figpier.InstanceID
	delta  figpier.MemberDelta
	// full means that the delta lists all members, so that those known before are removed first.
	full bool
}

// Target implements figpier.Event.
func (mergeEvent) Target() figpier.ServiceName { return figpier.RegistryService }

// Announce implements figpier.Registry.
func (r *Registry) Announce(m *figpier.Member, elsewhere time.Duration, counts bool) {
	_ = r.control.Post(announceEvent{member: m, elsewhere: elsewhere, counts: counts})
}

// Merge implements figpier.Registry.
func (r *Registry) Merge(source figpier.InstanceID, d figpier.MemberDelta, full bool) {
	_ = r.control.Post(mergeEvent{source: source, delta: d, full: full})
}

// RemoveSource implements figpier.Registry.
func (r *Registry) RemoveSource(source figpier.InstanceID) {
	_ = r.control.Post(mergeEvent{source: source, full: true})
}

// HandleEvent implements figpier.EventHandler.
func (r *Registry) HandleEvent(now time.Time, e figpier.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e := e.(type) {
	case announceEvent:
		r.renew(now, e)
	case leaseEndEvent:
		r.expire(now, e.instance)
	case mergeEvent:
		r.merge(e)
	}
}

// renew registers a member or extends its lease; an announcement older than the registered one is ignored.
func (r *Registry) renew(now time.Time, e announceEvent) {
	m := e.member
	id := m.Instance()
	old, ok := r.local.members[id]
	if ok && old.member.Sequence() > m.Sequence() {
		return
	}
	l, renewed := r.leases[id]
	if renewed {
		l.cancel()
	}
	l.expiresAt = now.Add(r.config.Lease)
	l.cancel = r.control.PostAfter(r.config.Lease, leaseEndEvent{instance: id})
	if since := now.Add(-e.elsewhere); since.After(l.pollingSince) {
		l.pollingSince = since
	}
	if e.counts {
		if now.Sub(l.countedAt) > pollingTimeout {
			l.countedSince = now
		}
		l.countedAt = now
	}
	r.leases[id] = l
	r.local.put(m)
	r.updateOverall(id)
}

// expire removes a member unless its lease was renewed after the event was posted.
func (r *Registry) expire(now time.Time, id figpier.InstanceID) {
	l, ok := r.leases[id]
	if !ok || now.Before(l.expiresAt) {
		return
	}
	delete(r.leases, id)
	r.local.remove(id)
	r.updateOverall(id)
}

// merge applies a change of the members at another control instance.
func (r *Registry) merge(e mergeEvent) {
	members, ok := r.remote[e.source]
	if !ok {
		members = map[figpier.InstanceID]*figpier.Member{}
		r.remote[e.source] = members
	}
	affected := map[figpier.InstanceID]struct{}{}
	if e.full {
		for id := range members {
			affected[id] = struct{}{}
		}
		clear(members)
	}
	for _, m := range e.delta.Members() {
		members[m.Instance()] = m
		affected[m.Instance()] = struct{}{}
	}
	for _, id := range e.delta.Removed() {
		delete(members, id)
		affected[id] = struct{}{}
	}
	for id := range affected {
		r.updateOverall(id)
	}
}

// updateOverall sets an instance's entry in the overall table to its newest announcement at any control instance, or
// removes it if there is none.
func (r *Registry) updateOverall(id figpier.InstanceID) {
	newest := r.local.members[id].member
	for _, members := range r.remote {
		m, ok := members[id]
		if ok && (newest == nil || m.Sequence() > newest.Sequence()) {
			newest = m
		}
	}
	if newest == nil {
		r.overall.remove(id)
		return
	}
	r.overall.put(newest)
}

// Since implements figpier.Registry.
func (r *Registry) Since(version uint64) figpier.MemberDelta {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overall.since(version)
}

// LocalSince implements figpier.Registry.
func (r *Registry) LocalSince(version uint64) figpier.MemberDelta {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.local.since(version)
}
