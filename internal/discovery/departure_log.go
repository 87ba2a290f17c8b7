package discovery

import (
	"math/rand/v2"

	"rowanshunt/internal/clock"
)

const (
	// departureTTL is how long a departure can be read (design 5.4): as long as its
	// worker's tombstone is kept.
	departureTTL = tombstoneTTL
	// maxPageDepartures bounds the log entries of one page, and with it the size of a
	// response.
	maxPageDepartures = 256
)

// departure is one entry of the log: a worker that began to drain or is gone.
type departure struct {
	seq      uint64
	at       clock.Instant
	workerID string
}

// departureLog lists recent departures in the order in which this node learned of
// them. Its sequence numbers hold within one process of the node, which the epoch
// identifies. It does no I/O and belongs to the event loop.
type departureLog struct {
	epoch   uint64 // never 0, the epoch of a cursor that has read nothing
	lastSeq uint64
	entries []departure
}

func newDepartureLog() *departureLog { return &departureLog{epoch: rand.Uint64() | 1} }

// add appends a departure, drops those that are expired or too many, and returns the
// sequence number of the new one.
func (d *departureLog) add(workerID string, now clock.Instant) uint64 {
	expired := 0
	for expired < len(d.entries) && (now.Sub(d.entries[expired].at) > departureTTL || len(d.entries)-expired >= maxWorkers) {
		expired++
	}
	d.entries = d.entries[expired:]
	d.lastSeq++
	d.entries = append(d.entries, departure{seq: d.lastSeq, at: now, workerID: workerID})
	return d.lastSeq
}

// after lists one page of the departures that follow a sequence number.
func (d *departureLog) after(seq uint64) []departure {
	at := len(d.entries)
	for at > 0 && d.entries[at-1].seq > seq {
		at--
	}
	return d.entries[at:min(len(d.entries), at+maxPageDepartures)]
}
