package subscription

import (
	"slices"
	"sync"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

// maxRemovals is the number of removed objects that the history keeps; a node that missed older ones gets the whole
// configuration.
const maxRemovals = 8192

// maxTables and maxTableBytes limit the number and the total size of the routing tables that the history keeps, the current one
// included, which is always kept; a node that has an older one gets the whole table.
const (
	maxTables     = 32
	maxTableBytes = 8 << 20
)

// maxChangeBytes limits the total size of the differences between tables that the history keeps for further nodes.
const maxChangeBytes = 4 << 20

// changeItemBytes is the memory that an item of a difference takes.
const changeItemBytes = 256

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
	// tables are the latest routing tables without their documents, the current one last.
	tables []*figpier.Table
	// tableChanges holds the differences from earlier tables to the current one, by the number of the earlier table.
	tableChanges map[uint64]*message.TableDelta
	// changeBytes is the size of tableChanges.
	changeBytes int
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
	h.tables = append(h.tables, t.WithoutDocument())
	h.dropOldTables()
	h.tableChanges = map[uint64]*message.TableDelta{}
	h.changeBytes = 0
}

// dropOldTables drops the oldest tables beyond the limits; the mutex must be held.
func (h *history) dropOldTables() {
	size, first := 0, len(h.tables)
	for first > 0 && len(h.tables)-first < maxTables {
		size += h.tables[first-1].Size()
		if size > maxTableBytes && first < len(h.tables) {
			break
		}
		first--
	}
	h.tables = slices.Clone(h.tables[first:])
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
		h.storeChange(number, &d)
		return &d
	}
	return nil
}

// storeChange keeps the difference from the table with a number, in place of the others if these are too large together; the mutex
// must be held.
func (h *history) storeChange(number uint64, d *message.TableDelta) {
	size := changeSize(d)
	if h.changeBytes+size > maxChangeBytes {
		h.tableChanges = map[uint64]*message.TableDelta{}
		h.changeBytes = 0
	}
	h.tableChanges[number] = d
	h.changeBytes += size
}

// changeSize returns about how many bytes of memory a difference takes.
func changeSize(d *message.TableDelta) int {
	items := 0
	for _, r := range d.Routes {
		items++
		for _, route := range r.Added {
			items += 1 + len(route.Parts)
		}
	}
	for _, r := range d.Services {
		items += 1 + len(r.Added)
	}
	for _, r := range d.Accounts {
		items++
		for _, a := range r.Added {
			items += 1 + len(a.Keys)
		}
	}
	return items * changeItemBytes
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
