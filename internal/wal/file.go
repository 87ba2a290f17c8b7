package wal

import (
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
)

// newSuffix is that of a file that is being written and has not taken its name
// yet. One that is found at a start is a leftover and is removed.
const newSuffix = ".new"

// syncFile is replaced by tests that make thousands of files: there power is lost
// only where the test itself simulates it.
var syncFile = (*os.File).Sync

// ReplaceFile replaces a small file at once: the content is written under another
// name, synced, renamed, and the folder synced.
func ReplaceFile(dir, name string, content []byte) error {
	f, err := replaceFile(filepath.Join(dir, name), func(f *os.File) error {
		if _, err := f.Write(content); err != nil {
			return errors.Wrap(err, "write")
		}
		return wrapped(syncFile(f), "sync")
	})
	if err != nil {
		return err
	}
	return wrapped(errors.Join(f.Close(), syncDir(dir)), "sync")
}

// replaceFile opens a file under another name, has fill write and sync it, and
// renames it to path. Until the rename nothing that was there is touched, and what
// was written is removed again after a failure. The folder is not synced yet.
func replaceFile(path string, fill func(*os.File) error) (*os.File, error) {
	f, err := os.OpenFile(path+newSuffix, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open new")
	}
	err = fill(f)
	if err == nil {
		err = wrapped(os.Rename(path+newSuffix, path), "rename")
	}
	if err != nil {
		_ = f.Close()
		_ = os.Remove(path + newSuffix)
		return nil, err
	}
	return f, nil
}

// prepareDir makes the folder of a log, removes what an interrupted rewrite left
// there and returns the path of the log.
func prepareDir(dir, name string) (path string, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", errors.Wrap(err, "make folder")
	}
	path = filepath.Join(dir, name)
	_ = os.Remove(path + newSuffix)
	return path, nil
}

func fileBytes(f *os.File) (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, errors.Wrap(err, "stat")
	}
	return info.Size(), nil
}

// cutTail cuts the file to its good bytes; it is not synced yet.
func cutTail(f *os.File, goodBytes int64) error {
	return wrapped(f.Truncate(goodBytes), "cut torn tail")
}

// truncateTail cuts the file to its good bytes, durably.
func truncateTail(f *os.File, goodBytes int64) error {
	if err := cutTail(f, goodBytes); err != nil {
		return err
	}
	return wrapped(syncFile(f), "cut torn tail")
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(syncFile(d), d.Close())
}
