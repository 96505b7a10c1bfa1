package disk

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/message"
)

const (
	identityFile   = "identity"
	lockFile       = "lock"
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	newSuffix      = ".new"
	fileMode       = 0o600
	folderMode     = 0o700
)

// ForeignFolderError reports a data folder that belongs to another control instance.
type ForeignFolderError struct {
	folder string
	owner  figpier.InstanceID
}

// Owner returns the control instance that the folder belongs to.
func (e *ForeignFolderError) Owner() figpier.InstanceID { return e.owner }

// Error implements error.
func (e *ForeignFolderError) Error() string {
	return fmt.Sprintf("data folder %s belongs to control instance %q: correct the settings", e.folder, string(e.owner))
}

// LockedFolderError reports a data folder that another process has locked.
type LockedFolderError struct {
	folder string
}

// Error implements error.
func (e *LockedFolderError) Error() string {
	return fmt.Sprintf("data folder %s is in use by another process", e.folder)
}

// lockFolder locks the folder for this process until the returned file is closed.
func lockFolder(folder string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(folder, lockFile), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, &LockedFolderError{folder: folder}
	}
	return f, nil
}

// makeFolder creates the folder if it is missing and syncs its parent.
func makeFolder(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return Error.Wrap(err)
	}
	return syncFolder(filepath.Dir(filepath.Clean(folder)))
}

func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(errors.Join(f.Sync(), f.Close()))
}

// replaceFile writes a file under a temporary name and renames it, so that a crash leaves either the old file or the new one.
func replaceFile(path string, data []byte) error {
	f, err := os.OpenFile(path+newSuffix, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = f.Write(data)
	if err := errors.Join(err, f.Sync(), f.Close()); err != nil {
		return Error.Wrap(err)
	}
	if err := os.Rename(path+newSuffix, path); err != nil {
		return Error.Wrap(err)
	}
	return syncFolder(filepath.Dir(path))
}

// encodeRecordFile returns the content of a file with one record.
func encodeRecordFile(v any) ([]byte, error) {
	payload, err := json.Marshal(v)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return append([]byte(magic), encodeFrame(payload, int64(len(magic)))...), nil
}

// readRecordFile reads a file with one record. An incomplete record is damage here, as the file got its name after it was written.
func readRecordFile(path string, v any) error {
	r, closeFile, err := openRecords(path)
	if err != nil {
		return err
	}
	defer closeFile()
	only, ok, err := r.next()
	if err != nil {
		return err
	}
	if !ok || r.end != r.size {
		return &DamagedError{file: path, offset: r.end, detail: "the file does not end with its record"}
	}
	if err := json.Unmarshal(only.payload, v); err != nil {
		return &DamagedError{file: path, offset: only.offset, detail: err.Error()}
	}
	return nil
}

// openRecords opens a file for reading its records until closeFile is called.
func openRecords(path string) (r *recordReader, closeFile func(), err error) {
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil, &DamagedError{file: path, detail: "the file is missing"}
	}
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	closeFile = func() { _ = f.Close() }
	info, err := f.Stat()
	if err == nil {
		r, err = newRecordReader(path, f, info.Size())
	}
	if err != nil {
		closeFile()
		return nil, nil, err
	}
	return r, closeFile, nil
}

// folderContents lists the files of a data folder by their names.
type folderContents struct {
	identity bool
	// segments are the names of the segment files.
	segments []string
	// snapshots is the number of snapshot files.
	snapshots int
}

func listFolder(folder string) (folderContents, error) {
	names, err := os.ReadDir(folder)
	if err != nil {
		return folderContents{}, Error.Wrap(err)
	}
	var c folderContents
	for _, e := range names {
		switch name := e.Name(); {
		case strings.HasSuffix(name, newSuffix):
		case name == identityFile:
			c.identity = true
		case strings.HasPrefix(name, segmentPrefix):
			c.segments = append(c.segments, name)
		case strings.HasPrefix(name, snapshotPrefix):
			c.snapshots++
		}
	}
	return c, nil
}

func segmentName(number int) string { return fmt.Sprintf("%s%016d", segmentPrefix, number) }

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016d", snapshotPrefix, index) }

// readIdentity returns the identity of the folder's member, or a ForeignFolderError if the folder belongs to another instance.
func readIdentity(folder string, i figpier.InstanceID) (m message.ReplicaIdentity, err error) {
	if err := readRecordFile(filepath.Join(folder, identityFile), &m); err != nil {
		return m, err
	}
	if m.Instance != string(i) {
		return m, &ForeignFolderError{folder: folder, owner: figpier.InstanceID(m.Instance)}
	}
	return m, nil
}
