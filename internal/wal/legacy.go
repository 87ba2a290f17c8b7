package wal

import (
	"encoding/binary"
	"hash/crc32"
	"io"
	"os"
	"syscall"

	"github.com/go-faster/errors"
)

// Files of the first version have no file header: each record has a header of its
// own (length, CRC-32C), and nothing shows which records were written together.
const legacyHeaderBytes = 8

// legacySearchBytes bounds the search behind damage in a file of the first
// version: each byte may begin the header of a record of any length.
const legacySearchBytes = 1 << 20

// recoverLegacy checks a file without a file header and converts it to the present
// version. One that is empty, has no good record or no id counts as lost: its name
// may have outlived its content.
func recoverLegacy(f *os.File, dir, name, legacyID string) (Recovered, error) {
	result, err := scanLegacy(f, func([]byte) error { return nil })
	if err != nil {
		return Recovered{}, err
	}
	out := Recovered{ID: legacyID, Damage: result.damage}
	switch {
	case result.goodBytes == 0:
		out.Damage = &Damage{CutBytes: result.totalBytes, Reason: "no header", Lost: true}
	case len(legacyID) != idBytes:
		out.Damage = &Damage{CutBytes: result.totalBytes, Reason: "its identity is gone", Lost: true}
	}
	if out.Damage != nil && out.Damage.Lost {
		return out, nil
	}
	converted, err := convertLegacy(f, dir, name, legacyID)
	if err != nil {
		return out, err
	}
	return out, errors.Join(converted.Close(), syncDir(dir))
}

// convertLegacy writes the file's good records to a new file in the present version
// that takes its name; the disk must have space for both. Without it the old file
// stays as it is.
func convertLegacy(f *os.File, dir, name, legacyID string) (*os.File, error) {
	var writeErr error // apart from the scan, which takes any error of a record for a foreign one
	converted, _, err := writeSnapshot(dir, name, legacyID, func(write func([]byte) error) error {
		_, err := scanLegacy(f, func(record []byte) error {
			writeErr = write(record)
			return writeErr
		})
		if writeErr != nil {
			return writeErr
		}
		return err
	})
	if err == nil {
		return converted, nil
	}
	if !errors.Is(err, syscall.ENOSPC) {
		return nil, errors.Wrap(err, "bring the file to this version")
	}
	totalBytes, _ := fileBytes(f) // for the remedy only
	return nil, errNoSpaceToConvert(f.Name(), totalBytes, err)
}

// scanLegacy reads a file of the first version. It cannot tell a write whose first part
// is torn from damage in what was synced; any valid record behind the damage makes it
// Lost, which is the safe reading (design 10.2).
func scanLegacy(f *os.File, each func([]byte) error) (scanResult, error) {
	totalBytes, err := fileBytes(f)
	if err != nil {
		return scanResult{}, err
	}
	offset := int64(0)
	for offset < totalBytes {
		record, err := readLegacyRecord(f, offset, totalBytes)
		var first *gap
		if errors.As(err, &first) {
			lost, err := legacyRecordBeyond(f, offset, totalBytes)
			if err != nil {
				return scanResult{}, err
			}
			return scanResult{totalBytes: totalBytes, goodBytes: offset, damage: first.damage(totalBytes, lost)}, nil
		}
		if err != nil {
			return scanResult{}, err
		}
		if err := each(record); err != nil {
			return scanResult{}, errForeignRecord(f.Name(), err)
		}
		offset += legacyHeaderBytes + int64(len(record))
	}
	return scanResult{totalBytes: totalBytes, goodBytes: offset}, nil
}

// readLegacyRecord returns the record at the offset, or a gap.
func readLegacyRecord(f *os.File, offset, totalBytes int64) ([]byte, error) {
	if totalBytes-offset < legacyHeaderBytes {
		return nil, &gap{offset, "short header"}
	}
	header := make([]byte, legacyHeaderBytes)
	if _, err := f.ReadAt(header, offset); err != nil {
		return nil, errors.Wrap(err, "read header")
	}
	recordBytes := int64(binary.LittleEndian.Uint32(header))
	if recordBytes == 0 || recordBytes > MaxRecord {
		return nil, &gap{offset, "impossible length"}
	}
	if offset+legacyHeaderBytes+recordBytes > totalBytes {
		return nil, &gap{offset, "short record"}
	}
	record := make([]byte, recordBytes)
	if _, err := f.ReadAt(record, offset+legacyHeaderBytes); err != nil {
		return nil, errors.Wrap(err, "read record")
	}
	if crc32.Checksum(record, castagnoli) != binary.LittleEndian.Uint32(header[4:]) {
		return nil, &gap{offset, "checksum"}
	}
	return record, nil
}

// legacyRecordBeyond looks for a valid record behind the gap at the offset.
// Where there is more to search than its bound, it answers yes, to be safe.
func legacyRecordBeyond(f *os.File, offset, totalBytes int64) (bool, error) {
	if totalBytes-offset > legacySearchBytes {
		return true, nil
	}
	buf := make([]byte, totalBytes-offset)
	if _, err := f.ReadAt(buf, offset); err != nil && !errors.Is(err, io.EOF) {
		return false, errors.Wrap(err, "read behind the damage")
	}
	for i := 1; i+legacyHeaderBytes < len(buf); i++ {
		n := int64(binary.LittleEndian.Uint32(buf[i:]))
		body := buf[i+legacyHeaderBytes:]
		if n == 0 || n > int64(len(body)) {
			continue
		}
		if crc32.Checksum(body[:n], castagnoli) == binary.LittleEndian.Uint32(buf[i+4:]) {
			return true, nil
		}
	}
	return false, nil
}
