package wal

import (
	"bufio"
	"hash/crc32"
	"io"
	"os"

	"github.com/go-faster/errors"
)

// scanWindowBytes is how much of a file is read at once.
const scanWindowBytes = 256 << 10

// scanResult is what scanning a file found.
type scanResult struct {
	totalBytes int64
	goodBytes  int64 // up to the first gap
	damage     *Damage
}

// scan reads the record groups of a file whose header was read already, and hands
// each record of a valid group to each. Damage is Lost if the header or a group behind
// the damage shows that the file had been synced beyond its offset (design 10.2).
func scan(f *os.File, h fileHeader, each func([]byte) error) (scanResult, error) {
	totalBytes, err := fileBytes(f)
	if err != nil {
		return scanResult{}, err
	}
	goodBytes, err := scanGroups(f, h.id, totalBytes, each)
	var first *gap
	if err != nil && !errors.As(err, &first) {
		return scanResult{}, err
	}
	result := scanResult{totalBytes: totalBytes, goodBytes: goodBytes}
	if first == nil && goodBytes >= h.durableBytes() {
		return result, nil
	}
	if first == nil {
		first = &gap{goodBytes, "the file ends before its synced length"}
	}
	lost := h.durableBytes() > goodBytes
	if !lost {
		lost, err = syncedBeyond(f, h.id, goodBytes, totalBytes)
		if err != nil {
			return scanResult{}, err
		}
	}
	result.damage = first.damage(totalBytes, lost)
	return result, nil
}

// scanGroups reads record groups up to the end of the file or the first gap, which
// it returns as its error.
func scanGroups(f *os.File, id string, totalBytes int64, each func([]byte) error) (goodBytes int64, err error) {
	r := newGroupReader(f, id, totalBytes)
	for r.offset < totalBytes {
		start := r.offset
		payload, err := r.next()
		if err != nil {
			return start, err
		}
		if err := eachRecord(payload, each); err != nil {
			return start, errForeignRecord(f.Name(), err)
		}
	}
	return r.offset, nil
}

// groupReader reads one record group after the other.
type groupReader struct {
	in         *bufio.Reader
	id         string
	offset     int64 // of the next group
	totalBytes int64
	header     [groupHeaderBytes]byte
	payload    []byte // of the last group, reused
}

func newGroupReader(f *os.File, id string, totalBytes int64) *groupReader {
	section := io.NewSectionReader(f, fileHeaderBytes, totalBytes-fileHeaderBytes)
	return &groupReader{in: bufio.NewReaderSize(section, scanWindowBytes), id: id, offset: fileHeaderBytes, totalBytes: totalBytes}
}

// next returns the payload of the group at the offset, valid until the next call,
// or a gap.
func (gr *groupReader) next() ([]byte, error) {
	if gr.totalBytes-gr.offset < groupHeaderBytes {
		return nil, &gap{gr.offset, "short header"}
	}
	if _, err := io.ReadFull(gr.in, gr.header[:]); err != nil {
		return nil, errors.Wrap(err, "read header")
	}
	g, ok := decodeGroupHeader(gr.id, gr.header[:], gr.offset)
	if !ok {
		return nil, &gap{gr.offset, "header does not check"}
	}
	if gr.offset+groupHeaderBytes+g.payloadBytes > gr.totalBytes {
		return nil, &gap{gr.offset, "short record group"}
	}
	if int64(cap(gr.payload)) < g.payloadBytes {
		gr.payload = make([]byte, g.payloadBytes)
	}
	gr.payload = gr.payload[:g.payloadBytes]
	if _, err := io.ReadFull(gr.in, gr.payload); err != nil {
		return nil, errors.Wrap(err, "read record group")
	}
	if crc32.Checksum(gr.payload, castagnoli) != g.payloadCRC {
		return nil, &gap{gr.offset, "checksum"}
	}
	gr.offset += groupHeaderBytes + g.payloadBytes
	return gr.payload, nil
}

// syncedBeyond looks behind a gap for the header of a group that was written after
// more than its offset had been synced.
func syncedBeyond(f *os.File, id string, offset, totalBytes int64) (bool, error) {
	buf := make([]byte, scanWindowBytes)
	// Windows overlap, so that no header is cut by the border of two.
	for from := offset + 1; from+groupHeaderBytes <= totalBytes; from += scanWindowBytes - groupHeaderBytes + 1 {
		n, err := f.ReadAt(buf, from)
		if err != nil && !errors.Is(err, io.EOF) {
			return false, errors.Wrap(err, "read behind the damage")
		}
		for i := 0; i+groupHeaderBytes <= n; i++ {
			if g, ok := decodeGroupHeader(id, buf[i:n], from+int64(i)); ok && g.syncedBytes > offset {
				return true, nil
			}
		}
	}
	return false, nil
}
