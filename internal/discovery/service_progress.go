package discovery

import (
	"slices"
	"strings"

	"rowanshunt/internal/clock"
)

// What an aggregator sends a subscriber whose digest differs (design 5.6): the records that
// changed since the answer before, or, where that cannot help, a snapshot of all records,
// a page with each answer.
const (
	// maxRecordsSent bounds the records of a service in one answer, some 60 KB: the
	// subscribers of a zone ask at the same time, and what does not come within
	// subscribeTimeout over the aggregator's link is asked for again.
	maxRecordsSent = 400
	// changesOverlap is how much earlier changes are sent again, as the answer before
	// may have been lost: the time between two renewals, with some to spare.
	changesOverlap = 600 * clock.Millisecond
	// A subscriber whose digests differ all the time gets a snapshot after
	// maxDifference, and differencePerRecord for each record: while many workers
	// register, they differ without any being lost.
	maxDifference       = 2 * clock.Second
	differencePerRecord = 2 * clock.Millisecond
)

// serviceProgress is how far a subscriber is with the records of a service. It does no
// I/O and belongs to the event loop.
type serviceProgress struct {
	// answeredAt is up to when changes were sent, 0 for a new subscriber.
	answeredAt clock.Instant
	// differsSince is since when digests differ, or when a snapshot ended since; 0 while
	// they are the same.
	differsSince clock.Instant
	// changesAt is when changes were first sent for changesDigest, 0 if none were.
	changesAt     clock.Instant
	changesDigest uint64

	// Of a snapshot under way: it began at snapshotAt, 0 if there is none, and records up
	// to the worker ID lastSent were sent.
	snapshotAt clock.Instant
	lastSent   string
}

// same notes that the subscriber has all records.
func (sp *serviceProgress) same(now clock.Instant) { *sp = serviceProgress{answeredAt: now} }

// next chooses what to send of the service's records, which are ordered by ID, to a
// subscriber with another digest.
func (sp *serviceProgress) next(records []*record, digest uint64, now clock.Instant) []*record {
	if sp.differsSince == 0 {
		sp.differsSince = now
	}
	if sp.needsSnapshot(len(records), digest, now) {
		sp.beginSnapshot(now)
	}
	if sp.snapshotAt > 0 {
		return sp.nextPage(records, now)
	}
	since := sp.answeredAt.Add(-changesOverlap)
	changed := changedSince(records, since)
	if len(changed) > maxRecordsSent {
		sp.beginSnapshot(now)
		return sp.nextPage(records, now)
	}
	if sp.changesAt == 0 || digest != sp.changesDigest {
		sp.changesAt, sp.changesDigest = now, digest
	}
	sp.answeredAt = now
	return changed
}

// needsSnapshot tells whether a snapshot is to begin: for a subscriber that is new or has
// no records, and where changes did not help.
func (sp *serviceProgress) needsSnapshot(records int, digest uint64, now clock.Instant) bool {
	if sp.answeredAt == 0 || digest == 0 {
		return true
	}
	if sp.snapshotAt > 0 {
		return false
	}
	stuck := sp.changesAt > 0 && digest == sp.changesDigest && now.Sub(sp.changesAt) >= renewPeriod
	return stuck || now.Sub(sp.differsSince) >= maxDifference+clock.Micros(records)*differencePerRecord
}

func (sp *serviceProgress) beginSnapshot(now clock.Instant) {
	sp.snapshotAt, sp.lastSent = now, ""
	sp.answeredAt = now // what changes from here on follows the snapshot
}

// nextPage is the next page of the snapshot under way.
func (sp *serviceProgress) nextPage(records []*record, now clock.Instant) []*record {
	from, found := slices.BinarySearchFunc(records, sp.lastSent, func(r *record, id string) int { return strings.Compare(r.ID, id) })
	if found {
		from++
	}
	to := min(from+maxRecordsSent, len(records))
	if to == len(records) {
		sp.snapshotAt, sp.changesAt, sp.differsSince = 0, 0, now
	} else {
		sp.lastSent = records[to-1].ID
	}
	return records[from:to]
}

func changedSince(records []*record, since clock.Instant) []*record {
	var changed []*record
	for _, r := range records {
		if r.changed >= since {
			changed = append(changed, r)
		}
	}
	return changed
}
