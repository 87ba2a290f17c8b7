package rpc

import (
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/fault"
)

// maxDepth bounds how deep values may be nested; those of the protocol are far from it.
const maxDepth = 64

var errFalseLength = fault.New(fault.Invalid, "message", "a value is longer than the message, or nested too deep", "run the same version on all nodes")

// Unmarshal decodes a message or a record on disk once its lengths are known to
// be true: the decoder allocates as many elements as a list says it has.
func Unmarshal(raw []byte, v any) error {
	if err := checkLengths(raw); err != nil {
		return err
	}
	return msgpack.Unmarshal(raw, v)
}

// checkLengths walks over the first value in raw. Each element takes a byte at
// least, so a list of more elements than there are bytes left has a false length.
func checkLengths(raw []byte) error {
	var left [maxDepth]uint64 // elements that are still to come in each list around
	depth, offset := 0, 0
	left[0] = 1
	for depth >= 0 {
		if left[depth] == 0 {
			depth--
			continue
		}
		left[depth]--
		size, elements, err := valueHeader(raw[offset:])
		if err != nil {
			return err
		}
		offset += size
		if elements == 0 {
			continue
		}
		if elements > uint64(len(raw)-offset) || depth+1 == maxDepth {
			return errFalseLength
		}
		depth++
		left[depth] = elements
	}
	return nil
}

// valueHeader is how many bytes the value at the start of raw takes, without its
// elements, and how many elements follow it.
func valueHeader(raw []byte) (size int, elements uint64, err error) {
	if len(raw) == 0 {
		return 0, 0, errFalseLength
	}
	code := raw[0]
	switch {
	case code <= 0x7f || code >= 0xe0: // small numbers
		return 1, 0, nil
	case code <= 0x8f: // short maps
		return 1, 2 * uint64(code&0x0f), nil
	case code <= 0x9f: // short arrays
		return 1, uint64(code & 0x0f), nil
	case code <= 0xbf: // short strings
		return withinMessage(raw, 1+uint64(code&0x1f))
	}
	return wideHeader(raw)
}

// Codes of msgpack: the first in the table below, and the one that is never used.
const (
	firstWideCode = 0xc0
	unusedCode    = 0xc1
)

// wideHeaders says, for the codes from 0xc0 to 0xdf, how many bytes a length takes
// behind the code, and what follows it.
var wideHeaders = [0x20]struct {
	lengthBytes int
	fixedBytes  uint64 // that follow the length, without what it counts
	perElement  uint64 // elements for each that it counts; 0: it counts bytes
}{
	0x04: {lengthBytes: 1}, 0x05: {lengthBytes: 2}, 0x06: {lengthBytes: 4}, // binary
	0x07: {lengthBytes: 1, fixedBytes: 1}, 0x08: {lengthBytes: 2, fixedBytes: 1}, 0x09: {lengthBytes: 4, fixedBytes: 1}, // extensions
	0x0a: {fixedBytes: 4}, 0x0b: {fixedBytes: 8}, // floats
	0x0c: {fixedBytes: 1}, 0x0d: {fixedBytes: 2}, 0x0e: {fixedBytes: 4}, 0x0f: {fixedBytes: 8}, // unsigned
	0x10: {fixedBytes: 1}, 0x11: {fixedBytes: 2}, 0x12: {fixedBytes: 4}, 0x13: {fixedBytes: 8}, // signed
	0x14: {fixedBytes: 2}, 0x15: {fixedBytes: 3}, 0x16: {fixedBytes: 5}, 0x17: {fixedBytes: 9}, 0x18: {fixedBytes: 17}, // extensions
	0x19: {lengthBytes: 1}, 0x1a: {lengthBytes: 2}, 0x1b: {lengthBytes: 4}, // strings
	0x1c: {lengthBytes: 2, perElement: 1}, 0x1d: {lengthBytes: 4, perElement: 1}, // arrays
	0x1e: {lengthBytes: 2, perElement: 2}, 0x1f: {lengthBytes: 4, perElement: 2}, // maps
}

// wideHeader is valueHeader for the codes from firstWideCode to 0xdf.
func wideHeader(raw []byte) (size int, elements uint64, err error) {
	if raw[0] == unusedCode {
		return 0, 0, errFalseLength
	}
	header := wideHeaders[raw[0]-firstWideCode]
	if len(raw) < 1+header.lengthBytes {
		return 0, 0, errFalseLength
	}
	var count uint64
	switch header.lengthBytes {
	case 1:
		count = uint64(raw[1])
	case 2:
		count = uint64(binary.BigEndian.Uint16(raw[1:]))
	case 4:
		count = uint64(binary.BigEndian.Uint32(raw[1:]))
	}
	if header.perElement > 0 {
		return 1 + header.lengthBytes, count * header.perElement, nil
	}
	return withinMessage(raw, 1+uint64(header.lengthBytes)+header.fixedBytes+count)
}

// withinMessage refuses a value without elements that is longer than the message.
func withinMessage(raw []byte, size uint64) (int, uint64, error) {
	if size > uint64(len(raw)) {
		return 0, 0, errFalseLength
	}
	return int(size), 0, nil
}
