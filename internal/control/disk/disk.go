package disk

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"

	"github.com/zeebo/errs"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/raft"
	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

// Error is the error class of file system failures.
var Error = errs.Class("data folder")

// Config builds a Disk.
type Config struct {
	// Folder is the data folder.
	Folder string
	// Instance is the control instance's name.
	Instance figpier.InstanceID
	// Incarnation tells the member of a new folder from earlier members of the same instance; an existing folder keeps its own.
	Incarnation string
	// FoundingSeeds is kept by a new folder: the number of seeds, this instance among them, if this is the first start of the whole
	// system, and otherwise 0.
	FoundingSeeds int
}

// Disk is the open data folder of one member. After Open, one goroutine at a time may call Write.
type Disk struct {
	config        Config
	lock          *os.File
	segment       *os.File
	segmentNumber int
	// segmentEnd is the length of the segment in bytes, at which the next record begins.
	segmentEnd int64
	// writeErr is the first error of Write, which every later call returns.
	writeErr     error
	fresh        bool
	droppedBytes int64
	state        raft.HardState
	snapshot     *raft.Snapshot
	entries      []*raft.Entry
}

// Open locks and reads a data folder, or creates one for a new incarnation when it is empty or missing.
// It fails with a LockedFolderError, a ForeignFolderError or a DamagedError where one of these applies.
func Open(c Config) (*Disk, error) {
	if err := makeFolder(c.Folder); err != nil {
		return nil, err
	}
	l, err := lockFolder(c.Folder)
	if err != nil {
		return nil, err
	}
	d := &Disk{config: c, lock: l}
	if err := d.loadOrInitialize(); err != nil {
		_ = d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Disk) loadOrInitialize() error {
	contents, err := listFolder(d.config.Folder)
	if err != nil {
		return err
	}
	if !contents.identity {
		return d.initialize(contents)
	}
	identity, err := readIdentity(d.config.Folder, d.config.Instance)
	if err != nil {
		return err
	}
	d.config.Incarnation = identity.Incarnation
	d.config.FoundingSeeds = 0
	if identity.FoundingSeeds != nil {
		d.config.FoundingSeeds = *identity.FoundingSeeds
	}
	return d.load(contents)
}

// initialize creates a new member. The identity is written last, so that a crash before it leaves a folder that initialize accepts again.
func (d *Disk) initialize(c folderContents) error {
	if len(c.segments) > 1 || c.snapshots > 0 || len(c.segments) == 1 && c.segments[0] != segmentName(1) {
		return &DamagedError{file: d.path(identityFile), detail: "the file is missing but the folder holds a log"}
	}
	if len(c.segments) == 1 {
		if err := d.load(c); err != nil {
			return err
		}
		if d.state != (raft.HardState{}) || len(d.entries) > 0 {
			return &DamagedError{file: d.path(identityFile), detail: "the file is missing but the folder holds a log"}
		}
		_ = d.segment.Close()
	}
	d.fresh = true
	if err := d.startSegment(1, nil, nil); err != nil {
		return err
	}
	m := message.ReplicaIdentity{Instance: string(d.config.Instance), Incarnation: d.config.Incarnation}
	if d.config.FoundingSeeds > 0 {
		m.FoundingSeeds = &d.config.FoundingSeeds
	}
	identity, err := encodeRecordFile(m)
	if err != nil {
		return err
	}
	return replaceFile(d.path(identityFile), identity)
}

// Member returns the ID of the member that the folder belongs to.
func (d *Disk) Member() raft.MemberID {
	return raft.NewMemberID(d.config.Instance, d.config.Incarnation)
}

// FoundingSeeds returns the number of seeds that the folder was made with at the first start of the whole system, 0 if it was made at
// another start.
func (d *Disk) FoundingSeeds() int { return d.config.FoundingSeeds }

// Fresh reports whether Open created the member.
func (d *Disk) Fresh() bool { return d.fresh }

// DroppedBytes returns the size of the incomplete record that Open removed from the end of the log, 0 for none.
func (d *Disk) DroppedBytes() int64 { return d.droppedBytes }

// State returns the hard state at the time of opening.
func (d *Disk) State() raft.HardState { return d.state }

// TakeSnapshot returns the snapshot at the time of opening, nil for none, and forgets it.
func (d *Disk) TakeSnapshot() *raft.Snapshot {
	s := d.snapshot
	d.snapshot = nil
	return s
}

// TakeEntries returns the entries after the snapshot at the time of opening, and forgets them.
func (d *Disk) TakeEntries() []*raft.Entry {
	e := d.entries
	d.entries = nil
	return e
}

// Write makes the writes of effects durable in order. After an error every further call returns the same error.
func (d *Disk) Write(all []*raft.Effects) error {
	if d.writeErr != nil {
		return d.writeErr
	}
	d.writeErr = d.write(all)
	return d.writeErr
}

func (d *Disk) write(all []*raft.Effects) error {
	var pending []*raft.Entry
	changed := false
	for _, e := range all {
		if e.State() != nil {
			d.state = *e.State()
			changed = true
		}
		if e.Snapshot() != nil {
			if err := d.compact(e); err != nil {
				return err
			}
			pending, changed = nil, false
		}
		pending = append(pending, e.Entries()...)
	}
	if !changed && len(pending) == 0 {
		return nil
	}
	return d.appendRecord(pending)
}

// appendRecord writes the hard state and entries as one record and syncs the segment.
func (d *Disk) appendRecord(entries []*raft.Entry) error {
	payload, err := encodeRecord(d.state, entries)
	if err != nil {
		return err
	}
	n, err := d.segment.Write(encodeFrame(payload, d.segmentEnd))
	if err != nil {
		return Error.Wrap(err)
	}
	d.segmentEnd += int64(n)
	return Error.Wrap(d.segment.Sync())
}

func encodeRecord(s raft.HardState, entries []*raft.Entry) ([]byte, error) {
	state := codec.FromReplicaState(s)
	payload, err := json.Marshal(message.ReplicaRecord{
		State: &state,
		// Not compressed, so that an earlier build can read the folder.
		Entries: codec.FromReplicaEntries(entries, false),
	})
	return payload, Error.Wrap(err)
}

// compact writes a snapshot and a new segment that names it, and then removes the files that these replace.
func (d *Disk) compact(e *raft.Effects) error {
	data, err := encodeRecordFile(codec.FromReplicaSnapshot(e.Snapshot()))
	if err != nil {
		return err
	}
	name := snapshotName(e.Snapshot().Index())
	if err := replaceFile(d.path(name), data); err != nil {
		return err
	}
	old := d.segment
	if err := d.startSegment(d.segmentNumber+1, e.Snapshot(), e.Retained()); err != nil {
		return err
	}
	_ = old.Close()
	return d.removeObsolete(name)
}

// startSegment writes a segment with the hard state and the retained entries, and makes it the current one. It takes effect when the file gets its name.
func (d *Disk) startSegment(number int, s *raft.Snapshot, retained []*raft.Entry) error {
	head := message.ReplicaSegment{Number: number}
	if s != nil {
		head.Snapshot = int(s.Index())
	}
	data, err := encodeRecordFile(head)
	if err != nil {
		return err
	}
	payload, err := encodeRecord(d.state, retained)
	if err != nil {
		return err
	}
	data = append(data, encodeFrame(payload, int64(len(data)))...)
	path := d.path(segmentName(number))
	if err := replaceFile(path, data); err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return Error.Wrap(err)
	}
	d.segment, d.segmentNumber, d.segmentEnd = f, number, int64(len(data))
	return nil
}

// removeObsolete removes all segments and snapshots but the current segment and the named snapshot.
func (d *Disk) removeObsolete(snapshot string) error {
	for _, pattern := range []string{segmentPrefix + "*", snapshotPrefix + "*"} {
		paths, err := filepath.Glob(d.path(pattern))
		if err != nil {
			return Error.Wrap(err)
		}
		for _, p := range paths {
			if name := filepath.Base(p); name == snapshot || name == segmentName(d.segmentNumber) {
				continue
			}
			if err := os.Remove(p); err != nil {
				return Error.Wrap(err)
			}
		}
	}
	return syncFolder(d.config.Folder)
}

// Close closes the segment and releases the folder's lock.
func (d *Disk) Close() error {
	var err error
	if d.segment != nil {
		err = d.segment.Close()
	}
	return Error.Wrap(errors.Join(err, d.lock.Close()))
}

func (d *Disk) path(name string) string { return filepath.Join(d.config.Folder, name) }
