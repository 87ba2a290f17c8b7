package wal

import (
	"time"

	"github.com/go-faster/errors"
)

// commitAll commits a batch with one write and one fsync and tells its callers;
// a rewrite in it starts a new file that takes the old one's name once it is
// whole. A rewrite that fails leaves the old file, which then takes all records
// of the batch.
func (c *Log) commitAll(batch []job) {
	last := lastRewrite(batch)
	var rewriteErr error
	if last >= 0 {
		rewriteErr = c.rewrite(batch[last:])
	}
	attempt := func() error { return c.commitRecords(batch) }
	if last >= 0 && rewriteErr == nil {
		attempt = c.repair // the records are in the new file; its folder is not synced yet
	}
	err := c.attempt(attempt)
	for pause := holdFirst; err != nil && c.hold && c.pause(pause); pause = min(2*pause, holdMost) {
		err = c.attempt(attempt)
	}
	c.noteDone(batch)
	for _, j := range batch {
		if j.source != nil && rewriteErr != nil {
			j.then(rewriteErr)
			continue
		}
		j.then(err)
	}
}

func (c *Log) noteDone(batch []job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range batch {
		c.waiting -= batch[i].bytes()
	}
}

func lastRewrite(batch []job) int {
	for i := len(batch) - 1; i >= 0; i-- {
		if batch[i].source != nil {
			return i
		}
	}
	return -1
}

// attempt does one step at the disk and notes whether the disk refused it.
func (c *Log) attempt(step func() error) error {
	err := step()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = err
	return err
}

// step does one thing at the disk.
func (c *Log) step(which Step, do func() error) error {
	if err := c.before(which); err != nil {
		return err
	}
	return do()
}

// pause waits before another attempt; false: the log file is closed.
func (c *Log) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-c.closing:
		return false
	case <-timer.C:
		return true
	}
}

// rewrite writes the new file and goes on with it. Its folder is synced by the
// repair that follows, before anything is told.
func (c *Log) rewrite(batch []job) error {
	if err := c.before(StepSnapshot); err != nil {
		return errors.Wrap(err, "rewrite")
	}
	f, sizeBytes, err := writeSnapshot(c.dir, c.name, c.id, func(write func([]byte) error) error {
		if err := batch[0].source(write); err != nil {
			return err
		}
		return eachOf(batch, write)
	})
	if err != nil {
		return errors.Wrap(err, "rewrite")
	}
	_ = c.file.Close()
	c.file = f
	c.unknownTail, c.folderDirty, c.markDirty = false, true, false
	c.markedBytes = sizeBytes
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sizeBytes = sizeBytes
	c.written.Syncs++
	c.written.Bytes += sizeBytes - headerBytes
	c.written.Rewrites++
	return nil
}

func eachOf(batch []job, write func([]byte) error) error {
	for _, j := range batch {
		for _, r := range j.records {
			if err := write(r); err != nil {
				return err
			}
		}
	}
	return nil
}

// commitRecords appends the records of the batch behind what is known to be
// synced.
func (c *Log) commitRecords(batch []job) error {
	if err := c.repair(); err != nil {
		return err
	}
	var buf []byte
	w := &batchWriter{name: c.name, id: c.id, atBytes: c.sizeBytes, syncedBytes: c.sizeBytes, longBytes: maxPayload, emit: func(b []byte) error {
		buf = append(buf, b...)
		return nil
	}}
	if err := errors.Join(eachOf(batch, w.add), w.flush()); err != nil {
		return err
	}
	if len(buf) == 0 {
		return nil
	}
	c.unknownTail = true // until the sync is through
	if err := c.step(StepWrite, func() error { _, err := c.file.WriteAt(buf, c.sizeBytes); return err }); err != nil {
		return errors.Wrap(err, "write")
	}
	if err := c.step(StepSync, func() error { return syncFile(c.file) }); err != nil {
		return errors.Wrap(err, "sync")
	}
	c.unknownTail = false
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sizeBytes += int64(len(buf))
	c.written.Syncs++
	c.written.Bytes += int64(len(buf))
	return nil
}

// repair brings the file back to a known state after a failure: the folder is
// synced after a rename, and an unknown tail is cut off, durably, at the length
// that was synced. Both work on a full disk. Nothing behind that length was
// acknowledged (design 10.4).
func (c *Log) repair() error {
	if c.folderDirty {
		if err := c.step(StepSyncFolder, func() error { return syncDir(c.dir) }); err != nil {
			return errors.Wrap(err, "sync folder")
		}
		c.folderDirty = false
	}
	if !c.unknownTail {
		return nil
	}
	if err := c.step(StepTruncate, func() error { return cutTail(c.file, c.sizeBytes) }); err != nil {
		return err
	}
	c.unknownTail = false
	return nil
}
