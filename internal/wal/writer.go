package wal

import (
	"os"

	"github.com/go-faster/errors"

	"rowanshunt/internal/clock"
)

// Waits of the writer.
const (
	// writeSyncedOffsetAfter is how long a file is idle before its synced offset is
	// written, and syncSyncedOffsetAfter how long it stays idle from then before
	// that is synced: a file that is written to all the time pays no fsync for it,
	// and one that is idle has it on disk after one second.
	writeSyncedOffsetAfter = 100 * clock.Millisecond
	syncSyncedOffsetAfter  = 900 * clock.Millisecond
	// Backoff between the attempts at a disk that refuses, doubled from the first to
	// the last: short beside the seconds after which a store's shards move away.
	minBackoff = 50 * clock.Millisecond
	maxBackoff = 500 * clock.Millisecond
)

// writer is the only one that writes to the file, one record group and one fsync
// at a time, so that only the last group can ever be torn. All its fields belong
// to the goroutine of run, which starts when load is through and ends with the
// queue; queue and status have locks of their own for everybody else.
type writer struct {
	dir, name, id string
	retry         bool
	before        func(Step) error

	queue  *queue
	status *status

	file *os.File
	// syncedBytes is the length of the file that is known to be durable. Nothing
	// behind it was acknowledged.
	syncedBytes int64
	unknownTail bool // a write or sync failed: what lies behind syncedBytes is unknown
	dirDirty    bool // the file was renamed, and its folder is not synced yet

	headerBytes    int64 // what the file's header vouches for
	offsetUnsynced bool  // the synced offset is written and not synced yet
}

// run commits what is queued until the queue is closed and empty. Log.Close waits
// for it.
func (w *writer) run() {
	for {
		requests, closed := w.queue.drain()
		if len(requests) > 0 {
			w.commit(requests)
			continue
		}
		if closed {
			_ = w.file.Close()
			return
		}
		w.idle()
	}
}

// idle waits for requests, and brings the synced offset to the disk meanwhile.
func (w *writer) idle() {
	switch {
	case w.unknownTail || w.dirDirty:
		w.queue.wait()
	case w.headerBytes < w.syncedBytes:
		if w.queue.waitAtMost(writeSyncedOffsetAfter) {
			w.writeSyncedOffset()
		}
	case w.offsetUnsynced:
		if w.queue.waitAtMost(syncSyncedOffsetAfter) {
			w.syncSyncedOffset()
		}
	default:
		w.queue.wait()
	}
}

// writeSyncedOffset notes in the header how much is synced, so that damage of the
// last record group and a file cut short can be told from a torn tail. The offset
// is true whenever it is there, synced or not.
func (w *writer) writeSyncedOffset() {
	w.headerBytes = w.syncedBytes
	_, err := w.file.WriteAt(encodeSyncedOffset(w.id, w.syncedBytes), identityBytes)
	w.offsetUnsynced = err == nil
}

// syncSyncedOffset syncs the offset, so that a loss of power does not take it. No
// request waits for that; where it fails, the file is as good as without.
func (w *writer) syncSyncedOffset() {
	w.offsetUnsynced = false
	_ = w.step(StepSync, func() error { return syncFile(w.file) })
}

// commit makes requests durable with one write and one fsync and calls them back. A
// rewrite among them starts a new file, which holds the records of the appends
// behind it too. A rewrite that fails leaves the old file, which then takes all
// records of the requests.
func (w *writer) commit(requests []request) {
	last := lastRewrite(requests)
	var rewriteErr error
	if last >= 0 {
		rewriteErr = w.rewrite(requests[last:])
	}
	write := func() error { return w.appendGroup(requests) }
	if last >= 0 && rewriteErr == nil {
		write = w.makeConsistent // the records are in the new file; its folder is not synced yet
	}
	err := w.attempt(write)
	for backoff := minBackoff; err != nil && w.retry && w.queue.backOff(backoff); backoff = min(2*backoff, maxBackoff) {
		err = w.attempt(write)
	}
	w.queue.finish(requests)
	for _, r := range requests {
		if r.source != nil && rewriteErr != nil {
			r.done(rewriteErr)
			continue
		}
		r.done(err)
	}
}

// attempt tries to write and publishes whether the disk refused it.
func (w *writer) attempt(write func() error) error {
	err := write()
	w.status.attempted(err)
	return err
}

// step does one thing at the disk.
func (w *writer) step(step Step, do func() error) error {
	if err := w.before(step); err != nil {
		return err
	}
	return do()
}

// appendGroup appends the records of the requests behind what is known to be
// synced.
func (w *writer) appendGroup(requests []request) error {
	if err := w.makeConsistent(); err != nil {
		return err
	}
	buf, err := w.encode(requests)
	if err != nil || len(buf) == 0 {
		return err
	}
	w.unknownTail = true // until the sync is through
	if err := w.step(StepWrite, func() error { _, err := w.file.WriteAt(buf, w.syncedBytes); return err }); err != nil {
		return errors.Wrap(err, "write")
	}
	if err := w.step(StepSync, func() error { return syncFile(w.file) }); err != nil {
		return errors.Wrap(err, "sync")
	}
	w.unknownTail = false
	w.syncedBytes += int64(len(buf))
	w.status.appended(int64(len(buf)))
	return nil
}

// encode packs the records of the requests into one record group, or several where
// one would be too long.
func (w *writer) encode(requests []request) (buf []byte, err error) {
	groups := &groupWriter{name: w.name, id: w.id, offset: w.syncedBytes, syncedBytes: w.syncedBytes, fullBytes: maxPayload, emit: func(b []byte) error {
		buf = append(buf, b...)
		return nil
	}}
	if err := errors.Join(eachRecordOf(requests, groups.add), groups.flush()); err != nil {
		return nil, err
	}
	return buf, nil
}

// makeConsistent brings the file to a known state after a rename or a failure: it syncs
// the folder after a rename, and cuts an unknown tail, durably, at the length that
// was synced. Both work on a full disk. Nothing behind that length was
// acknowledged (design 10.4).
func (w *writer) makeConsistent() error {
	if w.dirDirty {
		if err := w.step(StepSyncFolder, func() error { return syncDir(w.dir) }); err != nil {
			return errors.Wrap(err, "sync folder")
		}
		w.dirDirty = false
	}
	if !w.unknownTail {
		return nil
	}
	if err := w.step(StepTruncate, func() error { return truncateTail(w.file, w.syncedBytes) }); err != nil {
		return err
	}
	w.unknownTail = false
	return nil
}
