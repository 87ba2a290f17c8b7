package wal

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"hash/crc32"

	"github.com/go-faster/errors"

	"rowanshunt/internal/fault"
)

// Layout of a file (design 10.1). All integers are little-endian.
//
//	header: magic[8] id[32] snapshotBytes[8] crc[4] zero[4] | syncedBytes[8] crc[4] zero[4]
//	batch:  marker[4] payloadBytes[4] offset[8] syncedBytes[8] payloadCRC[4] headCRC[4] payload
//	payload: (recordBytes[4] record)...
//
// The first part of the header is written once, before the file takes its
// name. Its second part is the synced mark: overwritten in place once the file
// rests; a torn mark is ignored.
const (
	magic           = "RHWAL\x00\x02\n"
	idLen           = 32
	identityBytes   = 56
	markBytes       = 16
	headerBytes     = identityBytes + markBytes
	batchHeadBytes  = 32
	recordHeadBytes = 4
	batchMarker     = 0xB47CA7C4

	// MaxRecord bounds one record.
	MaxRecord = 32 << 20
	// maxPayload bounds one batch; a longer queue is written as several.
	maxPayload = MaxRecord + recordHeadBytes
)

var table = crc32.MakeTable(crc32.Castagnoli)

// header is what the fixed part of a file says.
type header struct {
	id            string
	snapshotBytes int64 // synced before the file took its name
	syncedBytes   int64 // of the mark, 0 if there is none
}

func newID() (string, error) {
	var b [idLen / 2]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", errors.Wrap(err, "draw id")
	}
	return hex.EncodeToString(b[:]), nil
}

// salt keeps batches of other files, and copies of files inside records, from
// being taken for batches of this one.
func salt(id string) uint32 { return crc32.Checksum([]byte(id), table) }

func encodeHeader(h header) []byte {
	buf := make([]byte, 0, headerBytes)
	buf = append(buf, magic...)
	buf = append(buf, h.id...)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(h.snapshotBytes))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(buf, table))
	buf = append(buf, 0, 0, 0, 0)
	return append(buf, encodeMark(h.id, h.syncedBytes)...)
}

func encodeMark(id string, syncedBytes int64) []byte {
	buf := make([]byte, 0, markBytes)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(syncedBytes))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Update(salt(id), table, buf))
	return append(buf, 0, 0, 0, 0)
}

// decodeHeader reads the header; not ok: it does not check.
func decodeHeader(buf []byte) (header, bool) {
	const crcAt = identityBytes - 8
	if len(buf) < headerBytes || string(buf[:len(magic)]) != magic ||
		crc32.Checksum(buf[:crcAt], table) != binary.LittleEndian.Uint32(buf[crcAt:]) {
		return header{}, false
	}
	h := header{
		id:            string(buf[len(magic) : len(magic)+idLen]),
		snapshotBytes: int64(binary.LittleEndian.Uint64(buf[len(magic)+idLen:])),
	}
	mark := buf[identityBytes:headerBytes]
	if crc32.Update(salt(h.id), table, mark[:8]) == binary.LittleEndian.Uint32(mark[8:]) {
		h.syncedBytes = int64(binary.LittleEndian.Uint64(mark))
	}
	return h, h.snapshotBytes >= headerBytes
}

// syncedAtLeast is the length that the header vouches for.
func (h *header) syncedAtLeast() int64 { return max(h.snapshotBytes, h.syncedBytes) }

// batchHead stands before each batch.
type batchHead struct {
	payloadBytes int64
	offset       int64 // of the head itself in the file
	syncedBytes  int64 // how much of the file was synced before the batch was written
	payloadCRC   uint32
}

func encodeBatchHead(id string, b batchHead) []byte {
	buf := make([]byte, 0, batchHeadBytes)
	buf = binary.LittleEndian.AppendUint32(buf, batchMarker)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(b.payloadBytes))
	buf = binary.LittleEndian.AppendUint64(buf, uint64(b.offset))
	buf = binary.LittleEndian.AppendUint64(buf, uint64(b.syncedBytes))
	buf = binary.LittleEndian.AppendUint32(buf, b.payloadCRC)
	return binary.LittleEndian.AppendUint32(buf, crc32.Update(salt(id), table, buf))
}

// decodeBatchHead reads the head that stands at the offset; not ok: there is
// none, or it does not check.
func decodeBatchHead(id string, buf []byte, offset int64) (batchHead, bool) {
	const crcAt = batchHeadBytes - 4
	if len(buf) < batchHeadBytes || binary.LittleEndian.Uint32(buf) != batchMarker {
		return batchHead{}, false
	}
	b := batchHead{
		payloadBytes: int64(binary.LittleEndian.Uint32(buf[4:])),
		offset:       int64(binary.LittleEndian.Uint64(buf[8:])),
		syncedBytes:  int64(binary.LittleEndian.Uint64(buf[16:])),
		payloadCRC:   binary.LittleEndian.Uint32(buf[24:]),
	}
	if b.offset != offset || b.payloadBytes == 0 || b.payloadBytes > maxPayload || b.syncedBytes > offset ||
		crc32.Update(salt(id), table, buf[:crcAt]) != binary.LittleEndian.Uint32(buf[crcAt:]) {
		return batchHead{}, false
	}
	return b, true
}

// appendRecord adds a record to a batch's payload.
func appendRecord(payload, record []byte) []byte {
	payload = binary.LittleEndian.AppendUint32(payload, uint32(len(record)))
	return append(payload, record...)
}

func checkRecord(name string, record []byte) error {
	if len(record) == 0 || len(record) > MaxRecord {
		return fault.New(fault.TooLarge, name, "a record is empty or too long", "bound what is stored")
	}
	return nil
}

// eachRecord cuts a payload that checked into its records.
func eachRecord(payload []byte, each func([]byte) error) error {
	for len(payload) > 0 {
		if len(payload) < recordHeadBytes {
			return errors.New("a batch ends inside a record's head")
		}
		n := int64(binary.LittleEndian.Uint32(payload))
		payload = payload[recordHeadBytes:]
		if n == 0 || n > int64(len(payload)) {
			return errors.New("a batch ends inside a record")
		}
		if err := each(payload[:n:n]); err != nil {
			return err
		}
		payload = payload[n:]
	}
	return nil
}
