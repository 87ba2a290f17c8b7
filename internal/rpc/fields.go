package rpc

import "github.com/vmihailenco/msgpack/v5"

// DecodeFields decodes an array into the fields of the struct that it encodes, in
// order; call it from the struct's DecodeMsgpack. An array that is shorter, as an
// earlier version wrote it, leaves the rest as they are; what a later version added
// is skipped. Records on disk are read this way (design 10.1).
func DecodeFields(d *msgpack.Decoder, fields ...any) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	for i := range n {
		if i < len(fields) {
			err = d.Decode(fields[i])
		} else {
			err = d.Skip()
		}
		if err != nil {
			return err
		}
	}
	return nil
}
