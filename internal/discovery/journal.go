package discovery

import (
	"sync"

	"rowanshunt/internal/codec"
	"rowanshunt/internal/logging"
	"rowanshunt/internal/rpc"
	"rowanshunt/internal/wal"
)

// The journal lets a node that starts again use the workers it knew before, for
// as long as it is not yet in touch: each must beat anew or be told of by a
// peer, or it is dropped (design 5.5). Nothing depends on it being whole. How
// long the node was down is not known, for no clock of its own ran meanwhile: a
// page counts for oldUs whatever its age.
const (
	journalUs = 1_000_000
	oldUs     = 2_400_000
	longBytes = 256 << 10
)

type journal struct {
	wal *wal.Log
	log *logging.Log

	mu   sync.Mutex
	busy bool
	next []byte // the newest page that came while one was on its way
}

type page struct {
	AtUs    int64 // 0; the version before wrote the time of day and left out pages of another time
	Workers []Worker
}

func openJournal(dir string, log *logging.Log) (*journal, []Worker, error) {
	var last page
	c, damage, err := wal.OpenDisposable(dir, "flora.cell", func(raw []byte) error {
		var p page
		if err := rpc.Unmarshal(raw, &p); err != nil {
			return err
		}
		last = p
		return nil
	})
	if err != nil {
		return nil, nil, err
	}
	if damage != nil {
		log.Warn("wal_tail_cut", "wal", "workers", "at", damage.AtByte, "bytes", damage.CutBytes, "why", damage.Why)
	}
	d := &journal{wal: c, log: log}
	for i := range last.Workers {
		last.Workers[i].Old = true
		last.Workers[i].AgeUs = 0
	}
	return d, last.Workers, nil
}

// write adds a page; while one is on its way only the newest one waits.
func (d *journal) write(ws []Worker) {
	raw, err := codec.Marshal(&page{Workers: ws})
	if err != nil {
		return
	}
	d.mu.Lock()
	if d.busy {
		d.next = raw
		d.mu.Unlock()
		return
	}
	d.busy = true
	d.mu.Unlock()
	d.put(raw) // not under the lock: a closed log file answers at once
}

func (d *journal) put(raw []byte) {
	if d.wal.SizeBytes() > longBytes {
		d.wal.Rewrite(d.written, wal.Records(raw))
	} else {
		d.wal.Append(d.written, raw)
	}
}

func (d *journal) written(err error) {
	if err != nil {
		d.log.Warn("journal_not_written", "err", err)
	}
	d.mu.Lock()
	raw := d.next
	d.next = nil
	d.busy = raw != nil && err == nil
	again := d.busy
	d.mu.Unlock()
	if again {
		d.put(raw)
	}
}
