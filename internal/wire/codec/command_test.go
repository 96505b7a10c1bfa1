package codec

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestCommandsOfAnySizeComeThrough(t *testing.T) {
	for _, size := range []int{0, 1, minCompressedBytes - 1, minCompressedBytes, 1 << 20} {
		command := []byte(strings.Repeat("route ", size/6+1))[:size]
		for _, compress := range []bool{false, true} {
			text := FromCommand(command, compress)
			assert.Equal(t, strings.HasPrefix(text, compressedMark), compress && size >= minCompressedBytes)
			got, err := ToCommand(text)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, command))
		}
	}
}

// TestBuildsWithoutCompressionRefuseCompressedCommands guards against a member of an earlier build that stores an entry without its command.
func TestBuildsWithoutCompressionRefuseCompressedCommands(t *testing.T) {
	_, err := base64.StdEncoding.DecodeString(FromCommand(make([]byte, minCompressedBytes), true))
	assert.Assert(t, err != nil)
}

func TestBrokenCommandsAreRefused(t *testing.T) {
	text := FromCommand([]byte(strings.Repeat("route ", minCompressedBytes)), true)
	for _, broken := range []string{"-", compressedMark + "-", compressedMark, text[:len(text)/8*4+1], compressedMark + "/////w=="} {
		_, err := ToCommand(broken)
		assert.Assert(t, err != nil, "%.20s", broken)
	}
}

// TestShortMessageCannotAskForAnEndlessCommand guards against a message whose few bytes decompress to more than the memory.
func TestShortMessageCannotAskForAnEndlessCommand(t *testing.T) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	assert.NilError(t, err)
	zeros := make([]byte, 1<<20)
	for range maxCommandBytes>>20 + 1 {
		_, err = w.Write(zeros)
		assert.NilError(t, err)
	}
	assert.NilError(t, w.Close())
	_, err = ToCommand(compressedMark + base64.StdEncoding.EncodeToString(b.Bytes()))
	assert.ErrorContains(t, err, "more than")
}
