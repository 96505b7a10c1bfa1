package subscription

import (
	"sync"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

// maxRemovals is the number of removed objects that the history keeps; a node that missed older ones gets the whole
// configuration.
const maxRemovals = 8192

// maxTables is the number of routing tables that the history keeps, current one included; a node that has an older one gets the
// whole table.
const maxTables = 32

// removal is a profile or key that is no longer in the configuration.
type removal struct {
	revision figpier.Revision
	profile  figpier.ProfileName
	key      string
}

// history keeps the newest configuration and the latest removals from it, so that nodes can be sent only what changed.
// Additions need no record, because every object carries its revision.
type history struct {
	mu sync.Mutex
	// completeSince is the revision after which no removal is missing.
	completeSince figpier.Revision
	// current is nil before the first configuration.
	current *figpier.Configuration
	// removals are in the order of their revisions.
	removals []removal
	// tables are the latest routing tables, the current one last.
	tables []*figpier.Table
	// tableChanges holds the differences from earlier tables to the current one, by the number of the earlier table.
	tableChanges map[uint64]*message.TableDelta
	// changed is closed when the next configuration is installed.
	changed chan struct{}
}

func newHistory() *history { return &history{changed: make(chan struct{})} }

// install makes a newer configuration the current one, records what it no longer has, and wakes the waiting polls.
func (h *history) install(c *figpier.Configuration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current == nil {
		h.completeSince = c.Revision()
	} else {
		h.recordRemovals(c)
	}
	h.current = c
	h.recordTable(c.Table())
	close(h.changed)
	h.changed = make(chan struct{})
}

// recordTable records the routing table of a newer configuration, nil for none; the mutex must be held.
func (h *history) recordTable(t *figpier.Table) {
	if t == nil || len(h.tables) > 0 && h.tables[len(h.tables)-1].Number() == t.Number() {
		return
	}
	h.tables = append(h.tables, t)
	if len(h.tables) > maxTables {
		h.tables = h.tables[1:]
	}
	h.tableChanges = map[uint64]*message.TableDelta{}
}

// tableChange returns the difference from the table with a number to the current one, nil if that table is not kept or
// the difference can't be encoded; the mutex must be held.
func (h *history) tableChange(number uint64) *message.TableDelta {
	if d, ok := h.tableChanges[number]; ok {
		return d
	}
	for _, t := range h.tables {
		if t.Number() != number {
			continue
		}
		d, err := codec.FromTableChange(t, h.current.Table())
		if err != nil {
			return nil
		}
		h.tableChanges[number] = &d
		return &d
	}
	return nil
}

// recordRemovals records the profiles and keys that a newer configuration no longer has; the mutex must be held.
func (h *history) recordRemovals(c *figpier.Configuration) {
	for name := range h.current.Profiles() {
		if _, ok := c.Profiles()[name]; !ok {
			h.removals = append(h.removals, removal{revision: c.Revision(), profile: name})
		}
	}
	for d, k := range h.current.Keys() {
		if _, ok := c.Keys()[d]; !ok {
			h.removals = append(h.removals, removal{revision: c.Revision(), key: k.ID()})
		}
	}
	for len(h.removals) > maxRemovals {
		h.completeSince = h.removals[0].revision
		h.removals = h.removals[1:]
	}
}

// latest returns the newest configuration, nil if there is none yet, and a channel that is closed when a newer one is
// installed.
func (h *history) latest() (*figpier.Configuration, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current, h.changed
}

// since returns what changed after a revision, or false if the history does not reach back that far. table is the number of the
// routing table that the node has, 0 for none: a changed table is sent as the difference from that one if it is kept, and else whole.
func (h *history) since(base figpier.Revision, table uint64) (*message.ConfigurationDelta, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if base < h.completeSince {
		return nil, false
	}
	d := &message.ConfigurationDelta{
		Base:         int(base),
		Changed:      codec.FromConfiguration(changedSince(h.current, base)),
		GoneProfiles: []string{},
		GoneKeys:     []string{},
	}
	if d.Changed.Table != nil {
		if d.Table = h.tableChange(table); d.Table != nil {
			d.Changed.Table = nil
		}
	}
	for _, r := range h.removals {
		switch {
		case r.revision <= base:
		case r.key != "":
			d.GoneKeys = append(d.GoneKeys, r.key)
		default:
			d.GoneProfiles = append(d.GoneProfiles, string(r.profile))
		}
	}
	return d, true
}

// changedSince returns the objects of a configuration that were added or changed after a revision.
func changedSince(c *figpier.Configuration, base figpier.Revision) *figpier.Configuration {
	changed := figpier.ConfigurationConfig{
		Revision:    c.Revision(),
		Profiles:    map[figpier.ProfileName]*figpier.Profile{},
		Assignments: map[figpier.UpstreamService]*figpier.Assignment{},
		Keys:        map[figpier.KeyDigest]*figpier.Key{},
	}
	for name, p := range c.Profiles() {
		if p.Revision() > base {
			changed.Profiles[name] = p
		}
	}
	for s, a := range c.Assignments() {
		if a.Revision() > base {
			changed.Assignments[s] = a
		}
	}
	for d, k := range c.Keys() {
		if k.Revision() > base {
			changed.Keys[d] = k
		}
	}
	if t := c.Table(); t != nil && t.Revision() > base {
		changed.Table = t
	}
	return figpier.NewConfiguration(changed)
}
