package wal

import (
	"bufio"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
)

// snapshotGroupBytes is the payload at which a snapshot's record group is closed.
const snapshotGroupBytes = 64 << 10

// Source hands records to write, one by one.
type Source func(write func(record []byte) error) error

// Records is a source of records that are in memory.
func Records(records ...[]byte) Source {
	return func(write func([]byte) error) error {
		for _, r := range records {
			if err := write(r); err != nil {
				return err
			}
		}
		return nil
	}
}

// create makes an empty file with a new id; it has its name once it is complete.
// The folder is synced by Open, before anything is written to the file.
func create(dir, name string) (id string, err error) {
	id, err = newID()
	if err != nil {
		return "", err
	}
	f, _, err := writeSnapshot(dir, name, id, Records())
	if err != nil {
		return "", errors.Wrap(err, "make log")
	}
	return id, f.Close()
}

// writeSnapshot writes a complete file under another name, syncs it and gives it
// its name; the folder is not synced yet.
func writeSnapshot(dir, name, id string, source Source) (f *os.File, sizeBytes int64, err error) {
	f, err = replaceFile(filepath.Join(dir, name), func(f *os.File) (err error) {
		sizeBytes, err = fillSnapshot(f, name, id, source)
		return err
	})
	return f, sizeBytes, err
}

// fillSnapshot writes the records, then the header that vouches for them, and
// syncs both at once.
func fillSnapshot(f *os.File, name, id string, source Source) (sizeBytes int64, err error) {
	out := bufio.NewWriterSize(f, snapshotGroupBytes)
	if _, err := out.Write(make([]byte, fileHeaderBytes)); err != nil {
		return 0, errors.Wrap(err, "write header")
	}
	groups := &groupWriter{name: name, id: id, offset: fileHeaderBytes, fullBytes: snapshotGroupBytes, emit: func(b []byte) error {
		_, err := out.Write(b)
		return err
	}}
	if err := source(groups.add); err != nil {
		return 0, errors.Wrap(err, "write records")
	}
	if err := groups.flush(); err != nil {
		return 0, errors.Wrap(err, "write records")
	}
	if err := out.Flush(); err != nil {
		return 0, errors.Wrap(err, "write records")
	}
	if _, err := f.WriteAt(encodeFileHeader(fileHeader{id: id, snapshotBytes: groups.offset}), 0); err != nil {
		return 0, errors.Wrap(err, "write header")
	}
	return groups.offset, wrapped(syncFile(f), "sync")
}
