package codec

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// pack encodes a message in MessagePack, with structs as arrays without field names. It is for messages that are sent with
// every request and so must be short. Both ends must agree on the order of the fields.
func pack(m any) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(&b)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	if err := e.Encode(m); err != nil {
		return nil, Error.Wrap(err)
	}
	return b.Bytes(), nil
}

// unpack decodes a message that pack encoded, and fails if bytes follow it.
func unpack(data []byte, m any) error {
	r := bytes.NewReader(data)
	d := msgpack.GetDecoder()
	defer msgpack.PutDecoder(d)
	d.Reset(r)
	d.DisallowUnknownFields(true)
	if err := d.Decode(m); err != nil {
		return Error.Wrap(err)
	}
	if r.Len() > 0 {
		return Error.New("%d bytes behind a packed message", r.Len())
	}
	return nil
}
