package batch

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/codec"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/rpc"
	"rowanshunt/internal/wal"
)

// LogName is the file that holds a store's records and its identity. The name stays
// as it is on the disks of running stores.
const LogName = "brood.cell"

// maxWaitingBytes bounds what waits in memory for a disk that rejects writes or stalls.
const maxWaitingBytes = 16 << 20

// maxOpBytesPerRecord bounds the ops of one record: half of what the log can hold in one,
// which leaves space for what stands around them.
const maxOpBytesPerRecord = wal.MaxRecord / 2

// compactionPause is the least time from a compaction that failed to the next.
const compactionPause = 5 * clock.Second

// record is what a store writes to disk.
type record struct {
	Shard   int
	Promise *Term
	Ops     []op
}

// rawRecord is a record whose ops are encoded already; on disk both are the
// same bytes.
type rawRecord struct {
	Shard   int
	Promise *Term
	Ops     []msgpack.RawMessage
}

// split encodes a record's ops, in order, and distributes them over as many records as keep
// each at most maxOpBytes of ops long; an op that is longer has a record for itself. The
// first record has the promise.
func (r *record) split(maxOpBytes int) []rawRecord {
	parts := []rawRecord{{Shard: r.Shard, Promise: r.Promise}}
	opBytes := 0 // of the last part
	for i := range r.Ops {
		raw := r.Ops[i].encoded()
		last := &parts[len(parts)-1]
		if len(last.Ops) > 0 && opBytes+len(raw) > maxOpBytes {
			parts = append(parts, rawRecord{Shard: r.Shard})
			last, opBytes = &parts[len(parts)-1], 0
		}
		last.Ops = append(last.Ops, raw)
		opBytes += len(raw)
	}
	return parts
}

func decodeRecord(raw []byte) (*record, error) {
	r := &record{}
	if err := rpc.Unmarshal(raw, r); err != nil {
		return nil, err
	}
	if r.Shard < 0 || r.Shard >= Shards {
		return nil, fault.New(fault.Damaged, "shard", "is out of bounds", "")
	}
	return r, nil
}

// shardLog is the store's log of all shards: its replay, its writes and its
// compaction (design 8.3, 10.3, 10.4).
//
// Everything here belongs to the event loop, except the callbacks of wal, which run on
// the log's goroutine and only answer calls or post to the loop. Records reach the disk
// in the order of persist; a callback means that its record, and all before it, are
// durable, that of barrier that all before it are.
type shardLog struct {
	cfg    *Config
	ctx    context.Context
	shards *shardTable
	space  *spaceAccount
	wal    *wal.Log // nil until open

	options             []wal.Option // of tests
	compactionThreshold int64        // length from which the file is compacted
	compacting          bool
	compactAfter        clock.Instant // no compaction before: the last one failed
	gaps                int           // ops of the file that continued no copy, when it was read
	diskRejecting       bool
	onWriteStateChanged func() // the disk began or ended to reject writes
}

func newShardLog(ctx context.Context, cfg *Config, shards *shardTable) *shardLog {
	space := &spaceAccount{cfg: cfg, shards: shards, minCompactionThreshold: max(cfg.DiskBytes/4, minCompactionBytes)}
	return &shardLog{cfg: cfg, ctx: ctx, shards: shards, space: space}
}

// open replays the file into the shards. The node had the file checked and cut before
// (wal.Recover).
func (sl *shardLog) open(dir string) error {
	log, damage, err := wal.Open(dir, LogName, sl.replay, append([]wal.Option{wal.WithRetry()}, sl.options...)...)
	if err != nil {
		return err
	}
	if damage != nil {
		sl.cfg.Log.Warn("wal_tail_cut", "wal", "lots", "at", damage.Offset, "bytes", damage.CutBytes, "why", damage.Reason)
	}
	if sl.gaps > 0 {
		sl.cfg.Log.Warn("wal_gaps", "wal", "lots", "ops", sl.gaps)
	}
	sl.wal, sl.space.file = log, log
	sl.space.count(clock.Now())
	sl.compactionThreshold = sl.space.nextCompactionThreshold()
	return nil
}

// replay applies a record of the file to the shards. An op that continues no copy is
// a gap: the file lacks what came before it.
func (sl *shardLog) replay(raw []byte) error {
	r, err := decodeRecord(raw)
	if err != nil {
		return err
	}
	s := sl.shards[r.Shard]
	if r.Promise != nil && s.promised.Less(*r.Promise) {
		s.promised = *r.Promise
	}
	for i := range r.Ops {
		if !apply(s.jobs, &r.Ops[i]) {
			sl.gaps++
		}
		if s.promised.Less(r.Ops[i].Term) {
			s.promised = r.Ops[i].Term
		}
		s.clock.record(r.Ops[i].Term, r.Ops[i].ClockUs)
		s.clock.saved(r.Ops[i].ClockUs)
	}
	return nil
}

// persist writes a record and calls then once it is durable. Memory runs ahead of the file,
// so a record that the disk refuses is held and tried again in its turn; until
// it is written nothing that follows is answered (design 10.4).
//
// More ops than fit into one record go into several: the jobs that an owner adopts with a
// shard may be larger than a record can be. A crash may leave the first of them without
// the rest, as with ops that were persisted one after the other: each op stands for
// itself, and nothing was answered.
func (sl *shardLog) persist(r *record, then func()) {
	var encoded [][]byte
	for _, part := range r.split(maxOpBytesPerRecord) {
		raw, err := codec.Marshal(&part)
		if err != nil {
			sl.cfg.Fatal(err)
			return
		}
		encoded = append(encoded, raw)
	}
	sl.append(then, encoded...)
	sl.maybeCompact(clock.Now())
}

// barrier calls then once all earlier records are durable.
func (sl *shardLog) barrier(then func()) { sl.append(then) }

// append writes records.
func (sl *shardLog) append(then func(), raw ...[]byte) {
	sl.wal.Append(func(err error) {
		if err != nil && sl.ctx.Err() != nil {
			return // closed: the context of whoever waits has ended too
		}
		if err != nil {
			sl.cfg.Fatal(err)
			return
		}
		then()
	}, raw...)
}

// writeError is the fault of a store whose disk rejects writes: it promises nothing.
func (sl *shardLog) writeError() error {
	if err := sl.wal.WriteError(); err != nil {
		return fault.New(fault.Refused, "disk", err.Error(), "ask another store; free space on the disk")
	}
	return sl.backlogError()
}

// backlogError is the fault of a store that holds too much for its disk to write.
func (sl *shardLog) backlogError() error {
	if sl.wal.PendingBytes() > maxWaitingBytes {
		return fault.New(fault.Refused, "disk", "is far behind", "ask again later")
	}
	return nil
}

// checkDisk warns when the disk begins or ends to refuse writes.
func (sl *shardLog) checkDisk() {
	err := sl.wal.WriteError()
	if (err != nil) == sl.diskRejecting {
		return
	}
	sl.diskRejecting = err != nil
	if err != nil {
		sl.cfg.Log.Warn("disk_rejects_writes", "wal", "lots", "err", err, "remedy", "free space on the disk, or replace it")
	} else {
		sl.cfg.Log.Info("disk_accepts_writes", "wal", "lots")
	}
	sl.onWriteStateChanged()
}

// persistClock writes the clock to this disk if that has not been done lately, as
// an op that changes no job.
func (sl *shardLog) persistClock(s *shard, term Term, clockUs int64) {
	if unsaved := clockUs - s.clock.onDisk; unsaved >= 0 && clock.Micros(unsaved) < clockSaveInterval {
		return
	}
	s.clock.saved(clockUs)
	sl.persist(&record{Shard: s.number, Ops: []op{{Kind: opNone, Term: term, ClockUs: clockUs}}}, func() {})
}

// checkSpace counts anew, once a second, and compacts the file where that is due and fits.
func (sl *shardLog) checkSpace(now clock.Instant) {
	if now.Sub(sl.space.usage.counted) < countInterval {
		return
	}
	defer sl.maybeCompact(now)
	wasFull := sl.space.full()
	sl.space.count(now)
	if !sl.compacting {
		sl.compactionThreshold = sl.space.nextCompactionThreshold()
	}
	if full := sl.space.full(); full != wasFull {
		sl.cfg.Log.Info("store_space", "full", full, "compacted", sl.space.usage.compactedBytes, "reserved", sl.space.usage.reservedBytes, "file", sl.wal.SizeBytes())
	}
}

// maybeCompact begins a compaction that is due and fits.
func (sl *shardLog) maybeCompact(now clock.Instant) {
	if !sl.compacting && sl.wal.SizeBytes() > sl.compactionThreshold && now >= sl.compactAfter && sl.space.compactionFits() {
		sl.compact()
	}
}

// shardSnapshot is a shard as a compaction writes it.
type shardSnapshot struct {
	shard    int
	promised Term
	clock    clockValue
	jobs     []*Job
}

// compact rewrites the file out of what the shards hold now; the jobs are encoded one
// by one on the log's goroutine while the event loop goes on (design 10.3).
func (sl *shardLog) compact() {
	snapshots, total := sl.snapshot()
	sl.compacting = true
	sl.wal.Rewrite(func(err error) {
		if err != nil {
			// The file goes on as it is; later, with more space, it is tried again.
			sl.cfg.Log.Warn("wal_compaction_failed", "wal", "lots", "err", err)
		}
		_ = sl.cfg.Loop.Post(sl.ctx, func() { sl.compacted(err) })
	}, func(write func([]byte) error) error { return writeSnapshots(write, snapshots) })
	sl.cfg.Log.Info("wal_compacted", "wal", "lots", "bytes", total)
}

func (sl *shardLog) compacted(err error) {
	sl.compacting, sl.compactionThreshold = false, sl.space.nextCompactionThreshold()
	if err != nil {
		sl.compactAfter = clock.Now().Add(compactionPause)
	}
}

// snapshot gives what the shards hold, to be read elsewhere, and about its bytes.
func (sl *shardLog) snapshot() (all []shardSnapshot, total int64) {
	for _, s := range sl.shards {
		one := shardSnapshot{shard: s.number, promised: s.promised, clock: s.clock.value(clock.Now())}
		s.clock.saved(one.clock.Us)
		for _, job := range s.jobs {
			one.jobs = append(one.jobs, job.snapshot())
			total += int64(job.cost())
		}
		all = append(all, one)
	}
	return all, total
}

// writeSnapshots writes the shards, and drops its reference to each job once it is written.
func writeSnapshots(write func([]byte) error, all []shardSnapshot) error {
	for i := range all {
		one := &all[i]
		mark := op{Kind: opNone, Term: one.clock.Term, ClockUs: one.clock.Us}
		if err := writeRecord(write, &record{Shard: one.shard, Promise: &one.promised, Ops: []op{mark}}); err != nil {
			return err
		}
		for at, job := range one.jobs {
			one.jobs[at] = nil
			put := op{Kind: opPut, JobID: job.ID, Term: job.Term, Revision: job.Revision, Job: job}
			if err := writeRecord(write, &record{Shard: one.shard, Ops: []op{put}}); err != nil {
				return err
			}
		}
	}
	return nil
}

func writeRecord(write func([]byte) error, r *record) error {
	raw, err := codec.Marshal(r)
	if err != nil {
		return err
	}
	return write(raw)
}
