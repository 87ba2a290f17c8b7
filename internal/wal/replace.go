package wal

import (
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
)

// ReplaceFile puts a small file in place whole: written under another name, synced,
// renamed, and the folder synced.
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

// replaceFile has a file written under another name, and synced, by fill, and gives
// it its name. Until the rename nothing that was there is touched, and what was
// written is removed again after a failure.
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
