package disk

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// largestRead records the largest read of a file.
type largestRead struct {
	*bytes.Reader
	bytes int
}

func (r *largestRead) ReadAt(p []byte, offset int64) (int, error) {
	r.bytes = max(r.bytes, len(p))
	return r.Reader.ReadAt(p, offset)
}

// TestStartReadsALogRecordByRecord guards against a start that takes the memory of the whole log several times over.
func TestStartReadsALogRecordByRecord(t *testing.T) {
	const records, payloadBytes = 200, 4 << 10
	data := []byte(magic)
	for n := range records {
		data = append(data, encodeFrame(bytes.Repeat([]byte{byte(n + 1)}, payloadBytes), int64(len(data)))...)
	}
	f := &largestRead{Reader: bytes.NewReader(data)}
	r, err := newRecordReader("log", f, int64(len(data)))
	assert.NilError(t, err)
	for n := range records {
		next, ok, err := r.next()
		assert.NilError(t, err)
		assert.Assert(t, ok)
		assert.Equal(t, len(next.payload), payloadBytes)
		assert.Equal(t, next.payload[0], byte(n+1))
	}
	_, ok, err := r.next()
	assert.NilError(t, err)
	assert.Assert(t, !ok)
	assert.Equal(t, r.end, r.size)
	assert.Assert(t, f.bytes <= headerBytes+payloadBytes, "a read of %d bytes", f.bytes)
}

// TestDamageBeforeTheEndIsNotTakenForAnIncompleteRecord guards against a reader that sees only a part of the file, and takes a record with a
// sector of zeros in its middle for one that a crash left incomplete although others follow it.
func TestDamageBeforeTheEndIsNotTakenForAnIncompleteRecord(t *testing.T) {
	data := []byte(magic)
	var ends []int
	for range 3 {
		data = append(data, encodeFrame(bytes.Repeat([]byte{'x'}, 4*sectorBytes), int64(len(data)))...)
		ends = append(ends, len(data))
	}
	for n, end := range ends {
		damaged := bytes.Clone(data)
		clear(damaged[end-2*sectorBytes : end])
		r, err := newRecordReader("log", bytes.NewReader(damaged), int64(len(damaged)))
		assert.NilError(t, err)
		for range n {
			_, ok, err := r.next()
			assert.NilError(t, err)
			assert.Assert(t, ok)
		}
		_, ok, err := r.next()
		assert.Assert(t, !ok)
		assert.Equal(t, err == nil, n == len(ends)-1, "record %d: %v", n, err)
	}
}
