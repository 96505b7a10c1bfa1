package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/zeebo/xxh3"
)

const (
	magic       = "figlog01" // the first bytes of every file
	headerBytes = 16         // of a record, before its payload
	sectorBytes = 512        // the smallest unit that a disk writes
)

// DamagedError reports a file of the data folder that is missing or fails its checks.
type DamagedError struct {
	file   string
	offset int64
	detail string
}

// File returns the path of the file.
func (e *DamagedError) File() string { return e.file }

// Offset returns the position of the fault in bytes from the start of the file.
func (e *DamagedError) Offset() int64 { return e.offset }

// Error implements error.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s; nothing was changed: move the data folder away and start again, and the instance rejoins as a new member", e.file, e.offset, e.detail)
}

// encodeFrame returns a record for a file at an offset: payload length (4 bytes), its checksum (4), checksum of the payload (8), payload. The offset seeds both checksums, so that a record is valid only where it was written.
func encodeFrame(payload []byte, offset int64) []byte {
	b := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(b, uint32(len(payload)))
	binary.LittleEndian.PutUint32(b[4:], lengthChecksum(b[:4], offset))
	binary.LittleEndian.PutUint64(b[8:], xxh3.HashSeed(payload, uint64(offset)))
	return append(b, payload...)
}

func lengthChecksum(length []byte, offset int64) uint32 {
	return uint32(xxh3.HashSeed(length, uint64(offset)))
}

// record is a payload with its place in a file.
type record struct {
	offset  int64
	payload []byte
}

// recordReader reads the records of a file one after the other, so that a large file takes no more memory than its largest record.
type recordReader struct {
	name string
	file io.ReaderAt
	size int64
	// end is the offset at which the last complete record ends.
	end int64
}

// newRecordReader returns a reader of a file's records. It fails with a DamagedError if the file does not begin as one of the format.
func newRecordReader(name string, file io.ReaderAt, size int64) (*recordReader, error) {
	r := &recordReader{name: name, file: file, size: size, end: int64(len(magic))}
	if size >= r.end {
		start, err := r.read(0, r.end)
		if err != nil {
			return nil, err
		}
		if string(start) == magic {
			return r, nil
		}
	}
	return nil, &DamagedError{file: name, detail: "the file does not start with the format's signature"}
}

// next returns the next complete record, or false if there is none. It fails with a DamagedError for a record that a crash can't have
// left incomplete.
func (r *recordReader) next() (next record, ok bool, err error) {
	if r.end >= r.size {
		return record{}, false, nil
	}
	length, err := r.frameLength()
	if err != nil {
		return record{}, false, err
	}
	frame, err := r.read(r.end, length)
	if err != nil {
		return record{}, false, err
	}
	payload, torn, fault := readFrame(frame, r.end)
	if (torn || fault != "") && r.end+length < r.size {
		// Whether a crash left the record incomplete depends on all that follows.
		if frame, err = r.read(r.end, r.size-r.end); err != nil {
			return record{}, false, err
		}
		payload, torn, fault = readFrame(frame, r.end)
	}
	if fault != "" {
		return record{}, false, &DamagedError{file: r.name, offset: r.end, detail: fault}
	}
	if torn {
		return record{}, false, nil
	}
	next = record{offset: r.end, payload: payload}
	r.end += int64(headerBytes + len(payload))
	return next, true, nil
}

// frameLength returns the length of the next record with its header, or of the header alone if that is not valid; it is at most the rest
// of the file.
func (r *recordReader) frameLength() (int64, error) {
	rest := r.size - r.end
	if rest <= headerBytes {
		return rest, nil
	}
	header, err := r.read(r.end, headerBytes)
	if err != nil {
		return 0, err
	}
	if binary.LittleEndian.Uint32(header[4:]) != lengthChecksum(header[:4], r.end) {
		return headerBytes, nil
	}
	return min(headerBytes+int64(binary.LittleEndian.Uint32(header)), rest), nil
}

func (r *recordReader) read(offset, length int64) ([]byte, error) {
	data := make([]byte, length)
	if _, err := r.file.ReadAt(data, offset); err != nil && !errors.Is(err, io.EOF) {
		return nil, Error.Wrap(err)
	}
	return data, nil
}

// readFrame reads the record at the start of the rest of a file. It returns torn for a record that a crash left incomplete, and a fault for a damaged one.
func readFrame(rest []byte, offset int64) (payload []byte, torn bool, fault string) {
	if len(rest) < headerBytes {
		return nil, true, ""
	}
	if binary.LittleEndian.Uint32(rest[4:]) != lengthChecksum(rest[:4], offset) {
		if len(trimZeros(rest)) < headerBytes {
			return nil, true, ""
		}
		return nil, false, "the length of a record fails its checksum"
	}
	length := int(binary.LittleEndian.Uint32(rest))
	if length > len(rest)-headerBytes {
		return nil, true, ""
	}
	payload = rest[headerBytes : headerBytes+length]
	if binary.LittleEndian.Uint64(rest[8:]) == xxh3.HashSeed(payload, uint64(offset)) {
		return payload, false, ""
	}
	last := length == len(rest)-headerBytes
	if last && hasUnwrittenSector(rest, offset) {
		return nil, true, ""
	}
	return nil, false, "a record fails its checksum"
}

// trimZeros returns b without its trailing zero bytes.
func trimZeros(b []byte) []byte {
	for len(b) > 0 && b[len(b)-1] == 0 {
		b = b[:len(b)-1]
	}
	return b
}

// hasUnwrittenSector reports whether a sector of a record is all zeros. JSON has no zero bytes, so such a sector was never written.
func hasUnwrittenSector(b []byte, offset int64) bool {
	start := int((sectorBytes - offset%sectorBytes) % sectorBytes)
	for at := start; at < len(b); at += sectorBytes {
		if len(trimZeros(b[at:min(at+sectorBytes, len(b))])) == 0 {
			return true
		}
	}
	return false
}
