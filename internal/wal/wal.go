// Package wal keeps a write-ahead log: an append-only file of checksummed record
// groups that is compacted when it gets long (design 10).
//
// A record whose callback got no error is on disk, and every later Open reads it back,
// or what a rewrite put in its place, in the order of the appends.
// Damage of what had been synced is never taken for a torn tail: Recover then gives
// the file another identity.
package wal

// Log is one file. Append and Rewrite may be called from any goroutine; what one
// goroutine appends stays in its order. The file belongs to the writer, whose
// goroutine Open starts and Close ends.
type Log struct {
	name, id string
	queue    *queue
	status   *status
	done     chan struct{} // closed when the writer has ended
}

// start runs a writer that has loaded its file.
func start(w *writer) *Log {
	l := &Log{name: w.name, id: w.id, queue: w.queue, status: w.status, done: make(chan struct{})}
	go func() {
		defer close(l.done)
		w.run()
	}()
	return l
}

// ID is the identity that the file carries.
func (l *Log) ID() string { return l.id }

// Append writes the records and calls done once they are on disk, or with the
// error that kept them off it. done runs on the writer's goroutine and must not
// wait for the log. Without records it is a barrier: done is called when all that
// was appended before is on disk.
func (l *Log) Append(done func(error), records ...[]byte) {
	for _, r := range records {
		if err := checkRecord(l.name, r); err != nil {
			done(err)
			return
		}
	}
	l.push(request{records: records, done: done})
}

// Rewrite replaces all that is in the file by the records that source writes, which
// must say all that the earlier appends said. source runs on the writer's
// goroutine, record by record, so that a long file is never in memory as a whole.
// If it fails, done gets the error and the file goes on as it was, with all appends.
func (l *Log) Rewrite(done func(error), source Source) { l.push(request{source: source, done: done}) }

// Write appends and waits.
func (l *Log) Write(records ...[]byte) error {
	written := make(chan error, 1)
	l.Append(func(err error) { written <- err }, records...)
	return <-written
}

func (l *Log) push(r request) {
	if !l.queue.push(r) {
		r.done(errClosed(l.name))
	}
}

// Stats returns what the log did so far.
func (l *Log) Stats() Stats { return l.status.counted() }

// SizeBytes is the synced length of the file, without what is queued.
func (l *Log) SizeBytes() int64 { return l.status.size() }

// PendingBytes is how much of the records is in memory and neither on disk nor
// refused.
func (l *Log) PendingBytes() int64 { return l.queue.pending() }

// WriteError is the error with which the disk refused the last attempt, nil once
// one succeeds.
func (l *Log) WriteError() error { return l.status.lastError() }

// Close writes what is queued and closes the file.
func (l *Log) Close() {
	l.queue.close()
	<-l.done
}
