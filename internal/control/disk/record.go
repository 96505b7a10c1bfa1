package disk

import (
	"encoding/binary"
	"fmt"

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

// scanRecords returns the complete records of a file and the offset at which the last one ends.
func scanRecords(file string, data []byte) (records []record, end int64, err error) {
	if len(data) < len(magic) || string(data[:len(magic)]) != magic {
		return nil, 0, &DamagedError{file: file, detail: "the file does not start with the format's signature"}
	}
	end = int64(len(magic))
	for end < int64(len(data)) {
		payload, torn, fault := readFrame(data[end:], end)
		if fault != "" {
			return nil, 0, &DamagedError{file: file, offset: end, detail: fault}
		}
		if torn {
			return records, end, nil
		}
		records = append(records, record{offset: end, payload: payload})
		end += int64(headerBytes + len(payload))
	}
	return records, end, nil
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
