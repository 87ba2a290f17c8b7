package wal

import (
	"os"

	"github.com/go-faster/errors"
)

// Open reads the file to its end, makes it where there is none, hands each good
// record to each and cuts a torn tail. Recover must have run before: a file with
// Lost damage is a fault. The log's goroutine runs until Close.
func Open(dir, name string, each func(record []byte) error, options ...Option) (*Log, *Damage, error) {
	path, err := prepareDir(dir, name)
	if err != nil {
		return nil, nil, err
	}
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		if _, err := create(dir, name); err != nil {
			return nil, nil, err
		}
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open log")
	}
	w := &writer{dir: dir, name: name, file: f, before: func(Step) error { return nil }, queue: newQueue(), status: &status{}}
	for _, option := range options {
		option(w)
	}
	damage, err := w.load(each)
	if err != nil {
		_ = f.Close()
		return nil, nil, err
	}
	return start(w), damage, nil
}

// OpenDisposable opens a file on which nothing depends: one with Lost damage is
// made anew.
func OpenDisposable(dir, name string, each func(record []byte) error) (*Log, *Damage, error) {
	id, err := newID()
	if err != nil {
		return nil, nil, err
	}
	found, err := Recover(dir, name, id)
	if err != nil {
		return nil, nil, err
	}
	l, _, err := Open(dir, name, each)
	return l, found.Damage, err
}

// load replays the file and makes what it read durable: its owner may soon answer
// from memory what a process that died had written and not synced.
func (w *writer) load(each func([]byte) error) (*Damage, error) {
	h, ok, err := readFileHeader(w.file)
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, errNotRecovered(w.file.Name(), "no header")
	}
	result, err := scan(w.file, h, each)
	if err != nil {
		return nil, err
	}
	if result.damage != nil && result.damage.Lost {
		return nil, errNotRecovered(w.file.Name(), result.damage.Reason)
	}
	if result.damage != nil {
		if err := cutTail(w.file, result.goodBytes); err != nil {
			return nil, err
		}
	}
	w.id, w.syncedBytes, w.headerBytes = h.id, result.goodBytes, h.durableBytes()
	w.status.opened(result.goodBytes)
	if result.damage != nil || result.goodBytes > h.snapshotBytes {
		err = syncFile(w.file) // a snapshot was synced before it got its name
	}
	return result.damage, wrapped(errors.Join(err, syncDir(w.dir)), "sync")
}
