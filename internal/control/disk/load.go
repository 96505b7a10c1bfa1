package disk

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/figpier/figpier/internal/policy/raft"
	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

// load reads the newest segment and the snapshot that it names, and removes older files.
func (d *Disk) load(c folderContents) error {
	if len(c.segments) == 0 {
		return &DamagedError{file: d.path(segmentPrefix + "*"), detail: "the folder has an identity but no log"}
	}
	path := d.path(slices.Max(c.segments))
	end, err := d.replaySegment(path)
	if err != nil {
		return err
	}
	if err := d.openSegment(path, end); err != nil {
		return err
	}
	return d.removeObsolete(snapshotName(d.firstIndex() - 1))
}

// replaySegment reads a segment, and the snapshot that it names, and returns the offset at which its last complete record ends.
func (d *Disk) replaySegment(path string) (end int64, err error) {
	r, closeFile, err := openRecords(path)
	if err != nil {
		return 0, err
	}
	defer closeFile()
	count := 0
	for ; ; count++ {
		next, ok, err := r.next()
		if err != nil {
			return 0, err
		}
		if !ok {
			break
		}
		replay := d.replayRecord
		if count == 0 {
			replay = d.readSegmentHeader
		}
		if err := replay(path, next); err != nil {
			return 0, err
		}
	}
	if count < 2 {
		return 0, &DamagedError{file: path, offset: r.end, detail: "the file ends early"}
	}
	d.droppedBytes = r.size - r.end
	return r.end, nil
}

// readSegmentHeader reads the first record of a segment and the snapshot that it names.
func (d *Disk) readSegmentHeader(path string, r record) error {
	var head message.ReplicaSegment
	if err := json.Unmarshal(r.payload, &head); err != nil {
		return &DamagedError{file: path, offset: r.offset, detail: err.Error()}
	}
	if filepath.Base(path) != segmentName(head.Number) {
		return &DamagedError{file: path, offset: r.offset, detail: fmt.Sprintf("the file was written as segment %d", head.Number)}
	}
	d.segmentNumber = head.Number
	if head.Snapshot == 0 {
		return nil
	}
	var m message.ReplicaSnapshot
	file := d.path(snapshotName(uint64(head.Snapshot)))
	if err := readRecordFile(file, &m); err != nil {
		return err
	}
	s, err := codec.ToReplicaSnapshot(m)
	if err != nil {
		return &DamagedError{file: file, offset: int64(len(magic)), detail: err.Error()}
	}
	d.snapshot = s
	return nil
}

// replayRecord applies the hard state and entries of one write.
func (d *Disk) replayRecord(path string, r record) error {
	var m message.ReplicaRecord
	if err := json.Unmarshal(r.payload, &m); err != nil {
		return &DamagedError{file: path, offset: r.offset, detail: err.Error()}
	}
	if m.State != nil {
		d.state = codec.ToReplicaState(*m.State)
	}
	for _, w := range m.Entries {
		e, err := codec.ToReplicaEntry(w)
		if err != nil {
			return &DamagedError{file: path, offset: r.offset, detail: err.Error()}
		}
		if !d.addEntry(e) {
			return &DamagedError{file: path, offset: r.offset, detail: fmt.Sprintf("entry %d does not follow the entries before it", e.Index())}
		}
	}
	return nil
}

// addEntry adds an entry, which replaces all from its index on. It returns false if the index leaves a gap or is in the snapshot.
func (d *Disk) addEntry(e *raft.Entry) bool {
	first := d.firstIndex()
	if e.Index() < first || e.Index() > first+uint64(len(d.entries)) {
		return false
	}
	d.entries = append(d.entries[:e.Index()-first], e)
	return true
}

// firstIndex returns the index of the first entry after the snapshot.
func (d *Disk) firstIndex() uint64 {
	if d.snapshot == nil {
		return 1
	}
	return d.snapshot.Index() + 1
}

// openSegment opens a segment for appending and truncates it after its last complete record.
func (d *Disk) openSegment(path string, end int64) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return Error.Wrap(err)
	}
	d.segment, d.segmentEnd = f, end
	if d.droppedBytes == 0 {
		return nil
	}
	if err := f.Truncate(end); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(f.Sync())
}
