package codec

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"io"
	"strings"
)

const (
	// compressedMark begins a compressed command. It is no character of base64, so that builds that can't read the command refuse it.
	compressedMark = "~"
	// minCompressedBytes is the size from which on a command is worth compressing.
	minCompressedBytes = 4 << 10
	// maxCommandBytes bounds a decompressed command, so that a short message can't ask for an endless one.
	maxCommandBytes = 128 << 20
)

// FromCommand returns the wire form of a command of the replicated log, compressed if the reader can read that and it is worth it.
func FromCommand(command []byte, compress bool) string {
	if !compress || len(command) < minCompressedBytes {
		return base64.StdEncoding.EncodeToString(command)
	}
	var b bytes.Buffer
	// A buffer takes all writes, and the level is valid.
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	_, _ = w.Write(command)
	_ = w.Close()
	return compressedMark + base64.StdEncoding.EncodeToString(b.Bytes())
}

// ToCommand converts a command of the replicated log from its wire form. It fails for invalid base64, and for compressed bytes that are
// incomplete or decompress to more than 128 MB.
func ToCommand(text string) ([]byte, error) {
	text, compressed := strings.CutPrefix(text, compressedMark)
	data, err := base64.StdEncoding.DecodeString(text)
	if err != nil || !compressed {
		return data, Error.Wrap(err)
	}
	command, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxCommandBytes+1))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(command) > maxCommandBytes {
		return nil, Error.New("a command of more than %d bytes", maxCommandBytes)
	}
	return command, nil
}
