package discovery

import "rowanshunt/internal/clock"

// record is what the table has of a worker.
type record struct {
	Worker
	print         uint64        // its fingerprint, kept since tables compare it all the time
	published     *Worker       // the copy that directories share, nil once Worker has changed
	changed       clock.Instant // when print last changed
	lastHeartbeat clock.Instant
	tombstone     clock.Instant // when this node learned that the worker is gone
	// departureCommitted: a majority of the core holds that the worker drains or, if
	// Gone is set, that it is gone (design 5.4).
	departureCommitted bool
	departureSeq       uint64 // number of its newest entry in the departure log
}

func (r *record) age(now clock.Instant) clock.Micros { return now.Sub(r.lastHeartbeat) }

// aged copies the worker with the age of its last heartbeat.
func (r *record) aged(now clock.Instant) Worker {
	w := r.Worker
	w.Age = r.age(now)
	return w
}

// set replaces the worker of a record, and tells whether the fingerprint changed.
func (r *record) set(w Worker, now clock.Instant) (changed bool) {
	before := r.print
	r.Worker, r.print, r.published = w, w.fingerprint(), nil
	if r.print != before {
		r.changed = now
	}
	return r.print != before
}

// snapshot is the worker as directories share it.
func (r *record) snapshot() *Worker {
	if r.published == nil {
		w := r.Worker
		r.published = &w
	}
	return r.published
}
