// Package codec encodes what nodes send each other and keep on disk: msgpack,
// with structs as arrays of their exported fields in order (design 2.1). Field
// names are not part of the format, their order is.
package codec

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// Marshal encodes a value. Nothing else in the program encodes msgpack, so that
// no struct is sent or stored with its field names by accident.
func Marshal(value any) ([]byte, error) {
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	var buffer bytes.Buffer
	encoder.Reset(&buffer)
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(value); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// EncodeWithNames encodes a struct as a map by its fields' names, for the few
// types whose first released version was encoded so. Call it from their
// EncodeMsgpack.
func EncodeWithNames(encoder *msgpack.Encoder, value any) error {
	encoder.UseArrayEncodedStructs(false)
	defer encoder.UseArrayEncodedStructs(true)
	return encoder.Encode(value)
}
