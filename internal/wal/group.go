package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/go-faster/errors"
)

// A payload whose checksum is right but that can't be cut into its records was
// written by a faulty writer.
var (
	errShortRecordHeader = errors.New("a record group ends inside a record's header")
	errShortRecord       = errors.New("a record group ends inside a record")
)

// groupHeader stands before each record group.
type groupHeader struct {
	payloadBytes int64
	offset       int64 // of the header itself in the file
	syncedBytes  int64 // how much of the file was synced before the group was written
	payloadCRC   uint32
}

func encodeGroupHeader(id string, g groupHeader) []byte {
	buf := make([]byte, 0, groupHeaderBytes)
	buf = binary.LittleEndian.AppendUint32(buf, groupMarker)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(g.payloadBytes))
	buf = binary.LittleEndian.AppendUint64(buf, uint64(g.offset))
	buf = binary.LittleEndian.AppendUint64(buf, uint64(g.syncedBytes))
	buf = binary.LittleEndian.AppendUint32(buf, g.payloadCRC)
	return binary.LittleEndian.AppendUint32(buf, crc32.Update(salt(id), castagnoli, buf))
}

// decodeGroupHeader reports false if buf does not begin with a valid header of the
// group at the offset.
func decodeGroupHeader(id string, buf []byte, offset int64) (groupHeader, bool) {
	const crcAt = groupHeaderBytes - 4
	if len(buf) < groupHeaderBytes || binary.LittleEndian.Uint32(buf) != groupMarker {
		return groupHeader{}, false
	}
	g := groupHeader{
		payloadBytes: int64(binary.LittleEndian.Uint32(buf[4:])),
		offset:       int64(binary.LittleEndian.Uint64(buf[8:])),
		syncedBytes:  int64(binary.LittleEndian.Uint64(buf[16:])),
		payloadCRC:   binary.LittleEndian.Uint32(buf[24:]),
	}
	if g.offset != offset || g.payloadBytes == 0 || g.payloadBytes > maxPayload || g.syncedBytes > offset ||
		crc32.Update(salt(id), castagnoli, buf[:crcAt]) != binary.LittleEndian.Uint32(buf[crcAt:]) {
		return groupHeader{}, false
	}
	return g, true
}

// appendRecord adds a record to a group's payload.
func appendRecord(payload, record []byte) []byte {
	payload = binary.LittleEndian.AppendUint32(payload, uint32(len(record)))
	return append(payload, record...)
}

// eachRecord cuts a payload into its records.
func eachRecord(payload []byte, each func([]byte) error) error {
	for len(payload) > 0 {
		if len(payload) < recordHeaderBytes {
			return errShortRecordHeader
		}
		n := int64(binary.LittleEndian.Uint32(payload))
		payload = payload[recordHeaderBytes:]
		if n == 0 || n > int64(len(payload)) {
			return errShortRecord
		}
		if err := each(payload[:n:n]); err != nil {
			return err
		}
		payload = payload[n:]
	}
	return nil
}

// groupWriter packs records into groups, each at its offset, and hands their
// bytes to emit in the file's order.
type groupWriter struct {
	name        string // of the file, for errors
	id          string
	offset      int64 // where the next group begins
	syncedBytes int64 // what the groups' headers say
	fullBytes   int   // payload at which a group is closed
	payload     []byte
	emit        func([]byte) error
}

func (gw *groupWriter) add(record []byte) error {
	if err := checkRecord(gw.name, record); err != nil {
		return err
	}
	if len(gw.payload) > 0 && len(gw.payload)+recordHeaderBytes+len(record) > maxPayload {
		if err := gw.flush(); err != nil {
			return err
		}
	}
	gw.payload = appendRecord(gw.payload, record)
	if len(gw.payload) < gw.fullBytes {
		return nil
	}
	return gw.flush()
}

func (gw *groupWriter) flush() error {
	if len(gw.payload) == 0 {
		return nil
	}
	header := encodeGroupHeader(gw.id, groupHeader{
		payloadBytes: int64(len(gw.payload)),
		offset:       gw.offset,
		syncedBytes:  gw.syncedBytes,
		payloadCRC:   crc32.Checksum(gw.payload, castagnoli),
	})
	if err := gw.emit(header); err != nil {
		return err
	}
	if err := gw.emit(gw.payload); err != nil {
		return err
	}
	gw.offset += int64(len(header) + len(gw.payload))
	gw.payload = gw.payload[:0]
	return nil
}
