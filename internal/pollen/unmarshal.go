package pollen

import (
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/wax"
)

// Unmarshal decodes a message that came from another node. The library makes room
// for as many elements as an array says it has before it reads the first one, so
// the lengths are checked against the bytes that are there (design 2.2).
func Unmarshal(raw []byte, out any) error {
	if !lengthsFit(raw) {
		return wax.New(wax.Invalid, "message", "a length is beyond its end", "drop the circuit")
	}
	return msgpack.Unmarshal(raw, out)
}

// MessagePack's type bytes.
const (
	mpNil      = 0xc0
	mpUnused   = 0xc1
	mpBin8     = 0xc4
	mpExt8     = 0xc7
	mpFloat32  = 0xca
	mpUint8    = 0xcc
	mpInt8     = 0xd0
	mpFixExt1  = 0xd4
	mpStr8     = 0xd9
	mpArray16  = 0xdc
	mpMap16    = 0xde
	mpNegative = 0xe0
)

// lengthsFit tells whether the first value of raw is whole, and no array or map in
// it has more elements than there are bytes behind its length.
func lengthsFit(raw []byte) bool {
	for pending := uint64(1); pending > 0; {
		pending--
		values, size, ok := header(raw)
		if !ok || size > uint64(len(raw)) {
			return false
		}
		raw = raw[size:]
		pending += values
		if pending > uint64(len(raw)) { // each takes a byte at least
			return false
		}
	}
	return true
}

// header reads the type byte and the length of a value: how many values follow as
// its elements, and how many bytes it takes without them.
func header(raw []byte) (values, size uint64, ok bool) {
	if len(raw) == 0 {
		return 0, 0, false
	}
	kind := raw[0]
	switch {
	case kind < 0x80 || kind >= mpNegative:
		return 0, 1, true
	case kind < 0x90: // a short map
		return 2 * uint64(kind&0x0f), 1, true
	case kind < 0xa0: // a short array
		return uint64(kind & 0x0f), 1, true
	case kind < mpNil: // a short string
		return 0, 1 + uint64(kind&0x1f), true
	case kind == mpUnused:
		return 0, 0, false
	case kind < mpBin8: // nil, false, true
		return 0, 1, true
	case kind < mpExt8:
		return lengthOf(raw, 1<<(kind-mpBin8), 0)
	case kind < mpFloat32:
		return lengthOf(raw, 1<<(kind-mpExt8), 1)
	case kind < mpUint8:
		return 0, 1 + 4<<(kind-mpFloat32), true
	case kind < mpInt8:
		return 0, 1 + 1<<(kind-mpUint8), true
	case kind < mpFixExt1:
		return 0, 1 + 1<<(kind-mpInt8), true
	case kind < mpStr8:
		return 0, 2 + 1<<(kind-mpFixExt1), true
	case kind < mpArray16:
		return lengthOf(raw, 1<<(kind-mpStr8), 0)
	case kind < mpMap16:
		return elementsOf(raw, 2<<(kind-mpArray16), 1)
	default:
		return elementsOf(raw, 2<<(kind-mpMap16), 2)
	}
}

// lengthOf reads a length of width bytes behind the type byte; that many bytes
// follow it, and extra ones.
func lengthOf(raw []byte, width int, extra uint64) (values, size uint64, ok bool) {
	n, ok := number(raw, width)
	return 0, 1 + uint64(width) + extra + n, ok
}

// elementsOf reads how many elements follow, of so many values each.
func elementsOf(raw []byte, width int, each uint64) (values, size uint64, ok bool) {
	n, ok := number(raw, width)
	return each * n, 1 + uint64(width), ok
}

func number(raw []byte, width int) (uint64, bool) {
	if len(raw) < 1+width {
		return 0, false
	}
	switch width {
	case 1:
		return uint64(raw[1]), true
	case 2:
		return uint64(binary.BigEndian.Uint16(raw[1:])), true
	}
	return uint64(binary.BigEndian.Uint32(raw[1:])), true
}
