package discovery

import (
	"sync"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/codec"
	"rowanshunt/internal/logging"
	"rowanshunt/internal/rpc"
	"rowanshunt/internal/wal"
)

const (
	// journalPeriod is that of writing the directory (design 5.5).
	journalPeriod = 1 * clock.Second
	// compactionThreshold is the size in bytes from which the file is rewritten with
	// its last record only.
	compactionThreshold = 256 << 10
)

// journal lets a node that restarts use the workers it knew, for restoredTTL: each must
// send a heartbeat or be reported by a peer by then, or it is dropped (design 5.5).
// Departures hold as before the restart; nothing else depends on a complete journal.
// A record counts whatever its age, as no clock of the node ran while it was down.
// A journal is safe for concurrent use.
type journal struct {
	wal *wal.Log
	log *logging.Log

	mu      sync.Mutex
	writing bool
	next    []byte // the newest record that came while another was being written
}

// openJournal opens the journal and gives the workers of its last record.
func openJournal(dir string, log *logging.Log) (*journal, []Worker, error) {
	var last journalRecord
	file, damage, err := wal.OpenDisposable(dir, journalFile, func(raw []byte) error {
		var record journalRecord
		if err := rpc.Unmarshal(raw, &record); err != nil {
			return err
		}
		last = record
		return nil
	})
	if err != nil {
		return nil, nil, err
	}
	if damage != nil {
		log.Warn("wal_tail_cut", "wal", "workers", "at", damage.Offset, "bytes", damage.CutBytes, "why", damage.Reason)
	}
	for i := range last.Workers {
		last.Workers[i].Restored = true
		last.Workers[i].Age = 0
	}
	return &journal{wal: file, log: log}, last.Workers, nil
}

// write adds a record without waiting for it. While one is being written only the
// newest other one is kept.
func (j *journal) write(workers []Worker) {
	raw, err := codec.Marshal(&journalRecord{Workers: workers})
	if err != nil {
		return // does not happen: a record is plain data
	}
	if j.begin(raw) {
		j.append(raw) // not under the lock: a closed file calls back at once
	}
}

// begin tells whether the record is to be written now.
func (j *journal) begin(raw []byte) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.writing {
		j.next = raw
		return false
	}
	j.writing = true
	return true
}

func (j *journal) append(raw []byte) {
	if j.wal.SizeBytes() > compactionThreshold {
		j.wal.Rewrite(j.written, wal.Records(raw))
	} else {
		j.wal.Append(j.written, raw)
	}
}

// written is called when a record has been written; it goes on with the next one.
func (j *journal) written(err error) {
	if err != nil {
		j.log.Warn("journal_not_written", "err", err)
	}
	if raw := j.end(err); raw != nil {
		j.append(raw)
	}
}

// end returns the record to write next. After an error there is none: the next period
// tries again.
func (j *journal) end(err error) []byte {
	j.mu.Lock()
	defer j.mu.Unlock()
	raw := j.next
	j.next = nil
	if err != nil {
		raw = nil
	}
	j.writing = raw != nil
	return raw
}
