package wal

import "github.com/go-faster/errors"

// rewrite compacts the log (design 10.3): it writes a new file with the records of
// the first request's source and of the appends behind it, gives it the log's name
// and goes on with it. Its folder is synced by the makeConsistent that follows, before any
// request is called back.
func (w *writer) rewrite(requests []request) error {
	if err := w.before(StepSnapshot); err != nil {
		return errors.Wrap(err, "rewrite")
	}
	f, sizeBytes, err := writeSnapshot(w.dir, w.name, w.id, func(write func([]byte) error) error {
		if err := requests[0].source(write); err != nil {
			return err
		}
		return eachRecordOf(requests, write)
	})
	if err != nil {
		return errors.Wrap(err, "rewrite")
	}
	_ = w.file.Close()
	w.file = f
	w.unknownTail, w.dirDirty, w.offsetUnsynced = false, true, false
	w.syncedBytes, w.headerBytes = sizeBytes, sizeBytes
	w.status.rewritten(sizeBytes)
	return nil
}
