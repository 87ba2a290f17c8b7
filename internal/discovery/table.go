package discovery

import (
	"sync/atomic"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/logging"
)

const (
	// maxWorkers bounds the records of a table; further workers are ignored.
	maxWorkers = 20_000
	// leaseHeartbeats and leaseSlack make up the lease (design 5.3): a worker may
	// miss two heartbeats, and the last one may have been on its way for
	// heartbeatFlushPeriod and renewPeriod.
	leaseHeartbeats = 3
	leaseSlack      = 700 * clock.Millisecond
	// tombstoneTTL is how long a worker that is gone is remembered, so that no update
	// that was delayed lists it again. Departures can be read for as long (design 5.4).
	tombstoneTTL = 60 * clock.Second
	// silentTTL is how long the record of a silent worker is kept, far beyond its
	// lease: late updates are still ordered by its sequence number, and it can be traced.
	silentTTL = 5 * tombstoneTTL
	// maxUpdatesPublished is how many updates publish the directory at once in one
	// publishPeriod.
	maxUpdatesPublished = 4
	// restoredTTL is how long the journal's workers are used after a restart, the time
	// in which a node gets in touch with the others (design 5.5).
	restoredTTL = 2_400 * clock.Millisecond
)

// workerTable merges what is known of workers and publishes the directory. It does no
// I/O but logging. All but directory belongs to the event loop.
type workerTable struct {
	log        *logging.Log
	started    clock.Instant
	lease      clock.Micros
	records    map[string]*record // by worker ID
	services   map[string]*serviceRecords
	departures *departureLog
	// lastSync is when this node last was up to date. Leases end against it and not
	// against the present: a node that is cut off ends none (design 5.3).
	lastSync clock.Instant

	signature uint64 // of the published directory
	updates   int    // since the last periodic publish, how often an update published
	// onDeparture is called before a directory is published that lacks workers which
	// departed, by reportedSeq of the departure log; nil without a journal.
	onDeparture func(now clock.Instant)
	reportedSeq uint64
	directory   atomic.Pointer[Directory]
}

func newWorkerTable(log *logging.Log, heartbeatInterval clock.Micros, started clock.Instant) *workerTable {
	wt := &workerTable{log: log, started: started, lease: leaseHeartbeats*heartbeatInterval + leaseSlack,
		records: map[string]*record{}, services: map[string]*serviceRecords{}, departures: newDepartureLog()}
	wt.directory.Store(newDirectory(0))
	return wt
}

// inUse tells whether requests may be sent to the worker: it is up and has its lease.
func (wt *workerTable) inUse(r *record) bool { return r.Up() && wt.leased(r) }

func (wt *workerTable) leased(r *record) bool { return wt.lastSync.Sub(r.lastHeartbeat) < wt.lease }

// mergeAll merges records and publishes the directory if one of them changed: at once if
// a worker departed or few updates came lately, else with the next publishPeriod. When
// thousands of workers register at a time, the directory is not built anew for each of
// them (design 5.6).
func (wt *workerTable) mergeAll(workers []Worker, now clock.Instant) (changed bool) {
	departed := false
	for _, w := range workers {
		if wt.merge(w, now) {
			changed = true
			departed = departed || !w.Up()
		}
	}
	if changed {
		wt.updates++
	}
	if departed || changed && wt.updates <= maxUpdatesPublished {
		wt.publish(now)
	}
	return changed
}

// merge applies one record and tells whether that changed what is known of the worker
// (design 5.1): gone is final, else the higher sequence number wins.
func (wt *workerTable) merge(w Worker, now clock.Instant) (changed bool) {
	r := wt.records[w.ID]
	if w.Restored && (r != nil || now.Sub(wt.started) > restoredTTL) {
		return false
	}
	lastHeartbeat := now.Add(-w.Age)
	if r == nil {
		return wt.insert(w, lastHeartbeat, now)
	}
	r.lastHeartbeat = max(r.lastHeartbeat, lastHeartbeat)
	if r.Gone {
		return false
	}
	if w.Gone {
		gone := r.Worker
		gone.Gone = true
		wt.replace(r, gone, now)
		r.tombstone = now
		wt.logDeparture(r, now)
		return true
	}
	if w.Seq < r.Seq || w.Seq == r.Seq && !r.Restored {
		return false
	}
	wasUp := r.Up()
	changed = wt.replace(r, w, now)
	if wasUp && !w.Up() {
		wt.logDeparture(r, now)
	}
	return changed
}

// replace sets the worker of a record that is in the table.
func (wt *workerTable) replace(r *record, w Worker, now clock.Instant) (changed bool) {
	if r.Svc != w.Svc {
		wt.removeFromService(r)
		changed = r.set(w, now)
		wt.addToService(r)
		return changed
	}
	before := r.print
	changed = r.set(w, now)
	wt.services[r.Svc].digest += r.print - before
	return changed
}

// keep puts a new record into the table.
func (wt *workerTable) keep(r *record) {
	wt.records[r.ID] = r
	wt.addToService(r)
}

func (wt *workerTable) addToService(r *record) {
	records := wt.services[r.Svc]
	if records == nil {
		records = &serviceRecords{}
		wt.services[r.Svc] = records
	}
	records.add(r)
}

func (wt *workerTable) removeFromService(r *record) {
	records := wt.services[r.Svc]
	records.remove(r)
	if len(records.ordered) == 0 {
		delete(wt.services, r.Svc)
	}
}

// recordsIn lists the records of a service in the order of the workers' IDs. The slice
// belongs to the table.
func (wt *workerTable) recordsIn(svc string) []*record {
	if records := wt.services[svc]; records != nil {
		return records.ordered
	}
	return nil
}

func (wt *workerTable) insert(w Worker, lastHeartbeat, now clock.Instant) bool {
	if len(wt.records) >= maxWorkers {
		return false
	}
	r := &record{lastHeartbeat: lastHeartbeat}
	r.set(w, now)
	wt.keep(r)
	if w.Gone {
		r.tombstone = now
	}
	if !w.Up() {
		wt.logDeparture(r, now)
	}
	wt.log.Debug("worker_discovered", "worker", w.ID, "svc", w.Svc, "addr", w.Addr, "phase", w.Phase)
	return true
}

func (wt *workerTable) logDeparture(r *record, now clock.Instant) {
	r.departureCommitted = false
	r.departureSeq = wt.departures.add(r.ID, now)
}

// publishPeriodically is publish for the timer of publishPeriod.
func (wt *workerTable) publishPeriodically(now clock.Instant) {
	wt.updates = 0
	wt.publish(now)
}

// commitDeparture records that a majority of the core holds this departure, unless the
// worker has moved on meanwhile.
func (wt *workerTable) commitDeparture(w *Worker) {
	if r := wt.records[w.ID]; r != nil && !r.Up() && r.Gone == w.Gone {
		r.departureCommitted = true
	}
}

// expire drops records that have outlived their use.
func (wt *workerTable) expire(now clock.Instant) {
	for id, r := range wt.records {
		unconfirmed := r.Restored && now.Sub(wt.started) > restoredTTL
		pastTombstone := r.Gone && now.Sub(r.tombstone) > tombstoneTTL
		if unconfirmed || pastTombstone || r.age(now) > silentTTL {
			delete(wt.records, id)
			wt.removeFromService(r)
		}
	}
}

// publish drops expired records and replaces the directory if it changed.
func (wt *workerTable) publish(now clock.Instant) {
	wt.expire(now)
	// The sum does not depend on the order of the map; the lowest bit is set so that
	// each worker counts. A departure counts also of a worker that was never published:
	// it must get into the journal.
	signature := wt.departures.lastSeq
	for _, r := range wt.records {
		if wt.inUse(r) {
			signature += r.print | 1
		}
	}
	if signature == wt.signature {
		return
	}
	wt.signature = signature
	if wt.onDeparture != nil && wt.departures.lastSeq != wt.reportedSeq {
		wt.reportedSeq = wt.departures.lastSeq
		wt.onDeparture(now)
	}
	wt.directory.Store(wt.buildDirectory())
}

func (wt *workerTable) buildDirectory() *Directory {
	d := newDirectory(len(wt.records))
	for svc, records := range wt.services {
		workers := make([]*Worker, 0, len(records.ordered))
		for _, r := range records.ordered {
			if wt.inUse(r) {
				workers = append(workers, r.snapshot())
			}
		}
		d.add(svc, workers)
	}
	return d
}

// confirmLeases applies the ages that an aggregator sent for the services in which it has
// the same records as this node. A worker without an age of its own had a heartbeat
// within maxAge, which is all that is known of it.
func (wt *workerTable) confirmLeases(services []string, ages []workerAge, maxAge clock.Micros, now clock.Instant) {
	ageOf := make(map[string]clock.Micros, len(ages))
	for _, a := range ages {
		ageOf[a.ID] = a.Age
	}
	for _, svc := range services {
		for _, r := range wt.recordsIn(svc) {
			age, given := ageOf[r.ID]
			if !given {
				age = maxAge
			}
			if !r.Gone && age >= 0 { // not unknownAge
				r.Restored = false // the aggregator received a heartbeat
				r.lastHeartbeat = max(r.lastHeartbeat, now.Add(-age))
			}
		}
	}
}

// digest sums up the records of a service. Peers compare digests, so it must not
// depend on the order of records.
func (wt *workerTable) digest(svc string) uint64 {
	if records := wt.services[svc]; records != nil {
		return records.digest
	}
	return 0
}

// appendAged appends the workers of records with the age of their last heartbeats.
func appendAged(workers []Worker, records []*record, now clock.Instant) []Worker {
	for _, r := range records {
		workers = append(workers, r.aged(now))
	}
	return workers
}

// lateAges lists the ages above maxAge in a service, and the workers whose age is not
// known. Ages up to maxAge are usual and not listed, so that the size of a response
// follows the workers that are late and not all of them (design 5.2).
func (wt *workerTable) lateAges(svc string, maxAge clock.Micros, now clock.Instant) []workerAge {
	var late []workerAge
	for _, r := range wt.recordsIn(svc) {
		switch {
		case r.Gone:
		case r.Restored:
			late = append(late, workerAge{ID: r.ID, Age: unknownAge})
		case r.age(now) > maxAge:
			late = append(late, workerAge{ID: r.ID, Age: r.age(now)})
		}
	}
	return late
}

// departuresSince is one page of the departure log. A cursor of another epoch starts
// from the first departure that is kept. A worker that has departed again or come back
// up since is left out of the page of its earlier departure.
func (wt *workerTable) departuresSince(cursor departureCursor, now clock.Instant) *departurePage {
	read := cursor.Seq
	if cursor.Epoch != wt.departures.epoch {
		read = 0
	}
	page := &departurePage{Next: departureCursor{Epoch: wt.departures.epoch, Seq: read}}
	for _, d := range wt.departures.after(read) {
		page.Next.Seq = d.seq
		if r := wt.records[d.workerID]; r != nil && !r.Up() && r.departureSeq == d.seq {
			page.Workers = append(page.Workers, r.aged(now))
		}
	}
	page.More = page.Next.Seq < wt.departures.lastSeq
	return page
}

// trace copies the record of a worker with its present age, nil if there is none.
func (wt *workerTable) trace(id string, now clock.Instant) *Worker {
	r := wt.records[id]
	if r == nil {
		return nil
	}
	w := r.aged(now)
	return &w
}

// registered lists the workers that have their lease, draining ones included.
func (wt *workerTable) registered() []Worker {
	var workers []Worker
	for _, r := range wt.records {
		if !r.Gone && wt.leased(r) {
			workers = append(workers, r.Worker)
		}
	}
	return workers
}

// persistent lists the workers for the journal: those in use, without those that only
// an earlier journal knows, and those that departed: an acknowledged departure holds
// also when all nodes lose their memory.
func (wt *workerTable) persistent(now clock.Instant) []Worker {
	var workers []Worker
	for _, r := range wt.records {
		if !r.Restored && (wt.inUse(r) || !r.Up()) {
			workers = append(workers, r.aged(now))
		}
	}
	return workers
}
