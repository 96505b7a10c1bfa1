package raft

// log holds in memory the entries after a base entry. Compaction and snapshots move the base forward.
type log struct {
	// snapshot is the newest snapshot, nil for none. It may cover entries that are still held.
	snapshot *Snapshot
	// baseIndex, baseTerm and baseMembers describe the entry before the first one that is held.
	baseIndex   uint64
	baseTerm    uint64
	baseMembers *Members
	entries     []*Entry
	// members is the membership in effect at the last entry.
	members *Members
}

func newLog(s *Snapshot, entries []*Entry) *log {
	l := &log{baseMembers: NewMembers()}
	if s != nil {
		l.reset(s)
	}
	for _, e := range entries {
		if e.Index() > l.baseIndex {
			l.entries = append(l.entries, e)
		}
	}
	l.updateMembers()
	return l
}

// reset drops all entries and makes the end of the snapshot the base.
func (l *log) reset(s *Snapshot) {
	l.snapshot = s
	l.baseIndex = s.Index()
	l.baseTerm = s.Term()
	l.baseMembers = s.Members()
	l.entries = nil
	l.updateMembers()
}

func (l *log) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	t, _ := l.termAt(l.lastIndex())
	return t
}

// termAt returns the term of the base or of an entry that is held, and false for any other index.
func (l *log) termAt(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entryAt(index).Term(), true
}

// entryAt returns the entry at an index, which the log must hold.
func (l *log) entryAt(index uint64) *Entry { return l.entries[index-l.baseIndex-1] }

// between returns the entries with after < index <= upTo, all of which the log must hold.
func (l *log) between(after, upTo uint64) []*Entry {
	return l.entries[after-l.baseIndex : upTo-l.baseIndex]
}

// batch returns the entries from an index on whose sizes are together no larger than limit bytes. The first entry is always
// included, whatever its size.
func (l *log) batch(from uint64, limit int) []*Entry {
	size := 0
	end := from
	for end <= l.lastIndex() {
		size += l.entryAt(end).Size()
		if size > limit && end > from {
			break
		}
		end++
	}
	return l.between(from-1, end-1)
}

// append adds entries directly after the last one.
func (l *log) append(entries ...*Entry) {
	l.entries = append(l.entries, entries...)
	l.updateMembers()
}

// truncate drops the entries after the given index. It copies the rest, since messages share the old array.
func (l *log) truncate(last uint64) {
	kept := l.entries[:last-l.baseIndex]
	l.entries = append([]*Entry(nil), kept...)
	l.updateMembers()
}

// compact records a snapshot of an entry that is held and drops the entries that it covers, except for the last ones within
// the limits. These spare followers that lag a little from receiving the snapshot.
func (l *log) compact(s *Snapshot, limits trailingLimits) {
	l.snapshot = s
	base := s.Index()
	for size := 0; base > l.baseIndex && s.Index()-base < limits.entries; base-- {
		size += l.entryAt(base).Size()
		if limits.bytes > 0 && size > limits.bytes {
			break
		}
	}
	if base == l.baseIndex {
		return
	}
	members := l.membersAt(base)
	term, _ := l.termAt(base)
	l.entries = append([]*Entry(nil), l.between(base, l.lastIndex())...)
	l.baseIndex = base
	l.baseTerm = term
	l.baseMembers = members
}

// trailingLimits bounds the entries before the end of a snapshot that stay in memory.
type trailingLimits struct {
	entries uint64
	// bytes bounds the total of Entry.Size, 0 for no bound.
	bytes int
}

// size returns the total of Entry.Size of the entries with after < index <= upTo, all of which the log must hold.
func (l *log) size(after, upTo uint64) int {
	total := 0
	for _, e := range l.between(after, upTo) {
		total += e.Size()
	}
	return total
}

// membersAt returns the membership in effect at an index.
func (l *log) membersAt(index uint64) *Members {
	for i := index; i > l.baseIndex; i-- {
		if m := l.entryAt(i).Members(); m != nil {
			return m
		}
	}
	return l.baseMembers
}

// membersIndex returns the index of the entry that holds the current membership, or the base if none that is held does.
func (l *log) membersIndex() uint64 {
	for i := l.lastIndex(); i > l.baseIndex; i-- {
		if l.entryAt(i).Members() != nil {
			return i
		}
	}
	return l.baseIndex
}

func (l *log) updateMembers() { l.members = l.membersAt(l.lastIndex()) }

// isMoreUpToDate reports whether the log is newer than one that ends at the given entry: its last term is higher, or
// equal with a higher last index.
func (l *log) isMoreUpToDate(index, term uint64) bool {
	own := l.lastTerm()
	return own > term || own == term && l.lastIndex() > index
}
