package wal

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"hash/crc32"
	"io"
	"os"

	"github.com/go-faster/errors"
)

// fileHeader is what stands before the first record group.
type fileHeader struct {
	id            string
	snapshotBytes int64 // length of the file when it took its name; synced before that
	syncedOffset  int64 // the synced offset, 0 if there is no valid one
}

// durableBytes is the length that the header vouches for: whatever is missing
// below it had been synced.
func (fh *fileHeader) durableBytes() int64 { return max(fh.snapshotBytes, fh.syncedOffset) }

func newID() (string, error) {
	var b [idBytes / 2]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", errors.Wrap(err, "draw id")
	}
	return hex.EncodeToString(b[:]), nil
}

func encodeFileHeader(h fileHeader) []byte {
	buf := make([]byte, 0, fileHeaderBytes)
	buf = append(buf, magic...)
	buf = append(buf, h.id...)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(h.snapshotBytes))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(buf, castagnoli))
	buf = append(buf, 0, 0, 0, 0)
	return append(buf, encodeSyncedOffset(h.id, h.syncedOffset)...)
}

func encodeSyncedOffset(id string, syncedBytes int64) []byte {
	buf := make([]byte, 0, syncedOffsetBytes)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(syncedBytes))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Update(salt(id), castagnoli, buf))
	return append(buf, 0, 0, 0, 0)
}

// decodeFileHeader reports false for an invalid header.
func decodeFileHeader(buf []byte) (fileHeader, bool) {
	const crcAt = identityBytes - 8
	if len(buf) < fileHeaderBytes || string(buf[:len(magic)]) != magic ||
		crc32.Checksum(buf[:crcAt], castagnoli) != binary.LittleEndian.Uint32(buf[crcAt:]) {
		return fileHeader{}, false
	}
	h := fileHeader{
		id:            string(buf[len(magic) : len(magic)+idBytes]),
		snapshotBytes: int64(binary.LittleEndian.Uint64(buf[len(magic)+idBytes:])),
	}
	h.syncedOffset = decodeSyncedOffset(h.id, buf[identityBytes:fileHeaderBytes])
	return h, h.snapshotBytes >= fileHeaderBytes
}

// decodeSyncedOffset is 0 for an offset that was never written or is torn.
func decodeSyncedOffset(id string, buf []byte) int64 {
	if crc32.Update(salt(id), castagnoli, buf[:8]) != binary.LittleEndian.Uint32(buf[8:]) {
		return 0
	}
	return int64(binary.LittleEndian.Uint64(buf))
}

// readFileHeader reports false for a file whose header is short or invalid.
func readFileHeader(f *os.File) (fileHeader, bool, error) {
	buf := make([]byte, fileHeaderBytes)
	n, err := f.ReadAt(buf, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return fileHeader{}, false, errors.Wrap(err, "read header")
	}
	h, ok := decodeFileHeader(buf[:n])
	return h, ok, nil
}
