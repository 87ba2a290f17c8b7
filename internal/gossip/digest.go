package gossip

import "encoding/binary"

// digest is the short form of a record: what changes with each round, and the key
// that stands for all the rest. A receiver that does not know the key requests the
// record (design 3.1).
type digest struct {
	key       uint64
	heartbeat uint64
	revision  uint64
}

// digestBytes is the usual size of an encoded digest, to size the buffer.
const digestBytes = 13

func encodeDigests(digests []digest) []byte {
	out := make([]byte, 0, digestBytes*len(digests))
	for _, d := range digests {
		out = binary.LittleEndian.AppendUint64(out, d.key)
		out = binary.AppendUvarint(out, d.heartbeat)
		out = binary.AppendUvarint(out, d.revision)
	}
	return out
}

// decodeDigests reads at most maxReceived digests and drops a truncated last one.
func decodeDigests(raw []byte) []digest {
	var out []digest
	for len(raw) > 8 && len(out) < maxReceived {
		d := digest{key: binary.LittleEndian.Uint64(raw)}
		raw = raw[8:]
		for _, field := range []*uint64{&d.heartbeat, &d.revision} {
			value, n := binary.Uvarint(raw)
			if n <= 0 {
				return out
			}
			*field, raw = value, raw[n:]
		}
		out = append(out, d)
	}
	return out
}
