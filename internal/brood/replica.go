package brood

import (
	"context"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/cell"
	"rowanshunt/internal/codec"
	"rowanshunt/internal/pollen"
	"rowanshunt/internal/swarm"
	"rowanshunt/internal/waggle"
	"rowanshunt/internal/wax"
)

// Shards is how many queue shards there are; a host's lots are all in one, so
// that the quota of its bindings is the shard owner's to keep (design 8.1).
const Shards = 8

// record is what a store writes to disk.
type record struct {
	Shard   int
	Promise *Stamp
	Ops     []op
}

// rawRecord is a record whose ops are encoded already; on disk both are the
// same bytes.
type rawRecord struct {
	Shard   int
	Promise *Stamp
	Ops     []msgpack.RawMessage
}

// shard is one shard's copy here, and the owner's part if this node has it.
type shard struct {
	n        int
	promised Stamp
	lots     map[string]*Lot
	owner    *owner
	claiming bool
	tryUs    int64
	seenMax  uint64
	fetched  map[string]*Lot // by a claim that did not come to its end
	// nextOffset is where the next lot's run begins in the shard's log.
	nextOffset int64
	clock      shardClock
}

// LogName is the file that holds a store's records and its identity.
const LogName = "brood.cell"

func decodeRecord(raw []byte) (*record, error) {
	r := &record{}
	if err := pollen.Unmarshal(raw, r); err != nil {
		return nil, err
	}
	if r.Shard < 0 || r.Shard >= Shards {
		return nil, wax.New(wax.Damaged, "shard", "is out of bounds", "")
	}
	return r, nil
}

// openReplica reads all shards from disk.
func (b *Brood) openReplica(dir string) error {
	for n := range b.shards {
		b.shards[n] = &shard{n: n, lots: map[string]*Lot{}}
	}
	misfits := 0
	c, damage, err := cell.Open(dir, LogName, func(raw []byte) error {
		r, err := decodeRecord(raw)
		if err != nil {
			return err
		}
		s := b.shards[r.Shard]
		if r.Promise != nil && s.promised.Less(*r.Promise) {
			s.promised = *r.Promise
		}
		for i := range r.Ops {
			if !apply(s.lots, &r.Ops[i]) {
				misfits++
			}
			if s.promised.Less(r.Ops[i].Stamp) {
				s.promised = r.Ops[i].Stamp
			}
			s.clock.record(r.Ops[i].Stamp, r.Ops[i].ClockUs)
			s.clock.saved(r.Ops[i].ClockUs)
		}
		return nil
	}, append([]cell.Option{cell.Hold()}, b.cellOptions...)...)
	if err != nil {
		return err
	}
	if damage != nil {
		b.cfg.Log.Warn("cell_tail_cut", "cell", "brood", "at", damage.AtByte, "bytes", damage.CutBytes, "why", damage.Why)
	}
	if misfits > 0 {
		// An op that continues no copy: the file lacks what came before it.
		b.cfg.Log.Warn("cell_misfits", "cell", "brood", "ops", misfits)
	}
	b.misfits = misfits
	b.cell = c
	b.countSpace(waggle.NowUs())
	return nil
}

// persist writes a record and then answers. Memory runs ahead of the file here,
// so a record that the disk refuses is held and tried again in its turn; until
// it is written nothing that follows is answered (design 10.4).
func (b *Brood) persist(r *record, then func()) {
	wire := rawRecord{Shard: r.Shard, Promise: r.Promise}
	for i := range r.Ops {
		wire.Ops = append(wire.Ops, r.Ops[i].encoded())
	}
	raw, err := codec.Marshal(&wire)
	if err != nil {
		b.cfg.Fatal(err)
		return
	}
	b.append(then, raw)
	b.maybeRewrite(waggle.NowUs())
}

// append writes records; without any it is a barrier behind all earlier ones.
func (b *Brood) append(then func(), raw ...[]byte) {
	b.cell.Append(func(err error) {
		if err != nil && b.ctx.Err() != nil {
			return // closed: whoever waits is told by the end of its call
		}
		if err != nil {
			b.cfg.Fatal(err)
			return
		}
		then()
	}, raw...)
}

// maxWaitingBytes bounds what waits in memory for a disk that refuses or stalls.
const maxWaitingBytes = 16 << 20

// refused is the fault of a store whose disk takes nothing: nothing is promised.
func (b *Brood) refused() error {
	if err := b.cell.Refused(); err != nil {
		return wax.New(wax.Declined, "disk", err.Error(), "ask another store; make room on the disk")
	}
	return b.behind()
}

// behind is the fault of a store that holds too much for its disk to write.
func (b *Brood) behind() error {
	if b.cell.WaitingBytes() > maxWaitingBytes {
		return wax.New(wax.Declined, "disk", "is far behind", "ask again later")
	}
	return nil
}

// diskTick warns when the disk begins or ends to refuse writes.
func (b *Brood) diskTick() {
	err := b.cell.Refused()
	if (err != nil) == b.diskRefuses {
		return
	}
	b.diskRefuses = err != nil
	if err != nil {
		b.cfg.Log.Warn("disk_refuses", "cell", "brood", "err", err, "remedy", "make room on the disk, or replace it")
	} else {
		b.cfg.Log.Info("disk_takes_writes", "cell", "brood")
	}
	b.tellSlow()
}

// tellSlow tells the others whether this store should own shards.
func (b *Brood) tellSlow() {
	slow := b.slowness.slow || b.diskRefuses
	b.cfg.Swarm.Tell(func(p *swarm.Partner) { p.Slow = slow })
}

// rewrite makes the file anew out of what the shards hold now; the lots are
// encoded one by one while the floor goes on (design 10.3).
func (b *Brood) rewrite() {
	type kept struct {
		shard    int
		promised Stamp
		clock    clockValue
		lots     []*Lot
	}
	var all []kept
	var total int64
	for _, s := range b.shards {
		k := kept{shard: s.n, promised: s.promised, clock: s.clock.value(waggle.NowUs())}
		s.clock.saved(k.clock.Us)
		for _, l := range s.lots {
			k.lots = append(k.lots, l.share())
			total += int64(l.cost())
		}
		all = append(all, k)
	}
	b.rewriting = true
	b.cell.Rewrite(func(err error) {
		if err != nil {
			// The file goes on as it is; later, with more room, it is tried again.
			b.cfg.Log.Warn("cell_rewrite_failed", "cell", "brood", "err", err)
		}
		_ = b.cfg.Floor.Do(b.ctx, func() {
			b.rewriting, b.longBytes = false, b.nextLong()
			if err != nil {
				b.rewriteAfterUs = waggle.NowUs() + rewritePauseUs
			}
		})
	}, func(write func([]byte) error) error {
		for i := range all {
			if err := writeRecord(write, &record{Shard: all[i].shard, Promise: &all[i].promised, Ops: []op{{Kind: opNone, Stamp: all[i].clock.Stamp, ClockUs: all[i].clock.Us}}}); err != nil {
				return err
			}
			for at, l := range all[i].lots {
				all[i].lots[at] = nil
				if err := writeRecord(write, &record{Shard: all[i].shard, Ops: []op{{Kind: opPut, Lot: l.ID, Stamp: l.Stamp, Rev: l.Rev, Whole: l}}}); err != nil {
					return err
				}
			}
		}
		return nil
	})
	b.cfg.Log.Info("cell_rewritten", "cell", "brood", "bytes", total)
}

func writeRecord(write func([]byte) error, r *record) error {
	raw, err := codec.Marshal(r)
	if err != nil {
		return err
	}
	return write(raw)
}

type claimCall struct {
	Seat  string
	Shard int
	Stamp Stamp
	Look  bool // do not promise anew: tell what is there for this owner
}

type copyOf struct {
	Lot    string
	Stamp  Stamp
	Rev    uint64
	Listed int
}

type claimAnswer struct {
	OK       bool
	Promised Stamp
	Copies   []copyOf
}

type fetchCall struct {
	Seat  string
	Shard int
	Lot   string
}

type writeCall struct {
	Seat  string
	Shard int
	Stamp Stamp
	Ops   []msgpack.RawMessage // of op: written to disk as they came
}

func rawOps(ops []op) []msgpack.RawMessage {
	out := make([]msgpack.RawMessage, len(ops))
	for i := range ops {
		out[i] = ops[i].encoded()
	}
	return out
}

type writeAnswer struct {
	OK       bool
	Promised Stamp
	Misfit   bool // a copy here does not fit: compare and mend
	Full     bool // taken, but this store wants no new lots (design 10.5)
}

// DecodeMsgpack reads answers of earlier versions too.
func (a *writeAnswer) DecodeMsgpack(d *msgpack.Decoder) error {
	return pollen.Fields(d, &a.OK, &a.Promised, &a.Misfit, &a.Full)
}

func (b *Brood) mine(seat string, shardN int) (*shard, error) {
	if seat != b.cfg.Seat {
		return nil, wax.New(wax.Unknown, "seat", "this node holds another seat", "read the roster again")
	}
	if shardN < 0 || shardN >= Shards {
		return nil, wax.New(wax.Invalid, "shard", "is out of bounds", "run the same version on all nodes")
	}
	return b.shards[shardN], nil
}

// answered waits for an answer that the floor gives later.
func answered[T any](ctx context.Context, f *waggle.Floor, run func(reply func(*T, error))) (*T, error) {
	type both struct {
		out *T
		err error
	}
	got := make(chan both, 1)
	if err := f.Do(ctx, func() { run(func(out *T, err error) { got <- both{out, err} }) }); err != nil {
		return nil, err
	}
	select {
	case v := <-got:
		return v.out, v.err
	case <-ctx.Done():
		return nil, wax.New(wax.Unsure, "", "no answer in time", "try again")
	}
}

// onClaim promises a shard to a new owner and tells what copies are here.
func (b *Brood) onClaim(ctx context.Context, in *claimCall) (*claimAnswer, error) {
	return answered(ctx, b.cfg.Floor, func(reply func(*claimAnswer, error)) {
		s, err := b.mine(in.Seat, in.Shard)
		if err != nil {
			reply(nil, err)
			return
		}
		if err := b.refused(); err != nil {
			reply(nil, err)
			return
		}
		if in.Stamp.Less(s.promised) || in.Look && in.Stamp != s.promised {
			reply(&claimAnswer{Promised: s.promised}, nil)
			return
		}
		out := &claimAnswer{OK: true, Promised: in.Stamp}
		for _, l := range s.lots {
			out.Copies = append(out.Copies, copyOf{Lot: l.ID, Stamp: l.Stamp, Rev: l.Rev, Listed: len(l.List)})
		}
		if s.promised == in.Stamp {
			// The promise and the copies may be on their way to the disk still.
			b.append(func() { reply(out, nil) })
			return
		}
		b.promise(s, in.Stamp)
		b.persist(&record{Shard: s.n, Promise: &in.Stamp}, func() { reply(out, nil) })
	})
}

// promise raises the fence; an owner here under a lower one is out.
func (b *Brood) promise(s *shard, st Stamp) {
	s.promised = st
	s.seenMax = max(s.seenMax, st.N)
	if s.owner != nil && s.owner.stamp != st {
		b.depose(s, "fenced by "+st.By)
	}
}

func (b *Brood) onFetch(ctx context.Context, in *fetchCall) (*Lot, error) {
	return answered(ctx, b.cfg.Floor, func(reply func(*Lot, error)) {
		s, err := b.mine(in.Seat, in.Shard)
		if err != nil {
			reply(nil, err)
			return
		}
		l := s.lots[in.Lot]
		if l == nil {
			reply(nil, wax.New(wax.Unknown, in.Lot, "no copy here", "ask another replica"))
			return
		}
		reply(l.share(), nil)
	})
}

// onWrite takes an owner's ops, on disk before the answer.
func (b *Brood) onWrite(ctx context.Context, in *writeCall) (*writeAnswer, error) {
	return answered(ctx, b.cfg.Floor, func(reply func(*writeAnswer, error)) {
		s, err := b.mine(in.Seat, in.Shard)
		if err != nil {
			reply(nil, err)
			return
		}
		if in.Stamp.Less(s.promised) {
			reply(&writeAnswer{Promised: s.promised}, nil)
			return
		}
		if err := b.refused(); err != nil {
			reply(nil, err)
			return
		}
		rec := &record{Shard: s.n}
		if s.promised.Less(in.Stamp) {
			b.promise(s, in.Stamp)
			rec.Promise = &in.Stamp
		}
		out := &writeAnswer{OK: true, Promised: in.Stamp, Full: b.full()}
		for _, raw := range in.Ops {
			o := op{}
			if err := msgpack.Unmarshal(raw, &o); err != nil {
				reply(nil, wax.New(wax.Invalid, "ops", err.Error(), "run the same version on all nodes"))
				return
			}
			o.raw = raw
			s.clock.record(o.Stamp, o.ClockUs)
			if !apply(s.lots, &o) {
				out.OK, out.Misfit = false, true
				break
			}
			if o.Kind != opNone {
				rec.Ops = append(rec.Ops, op{raw: raw})
				s.clock.saved(o.ClockUs)
			} else {
				b.saveClock(s, o.Stamp, o.ClockUs)
			}
		}
		if len(rec.Ops) == 0 && rec.Promise == nil {
			reply(out, nil)
			return
		}
		b.persist(rec, func() { reply(out, nil) })
	})
}

// ownerName is the node part of a stamp's By.
func ownerName(by string) string {
	node, _, _ := strings.Cut(by, "/")
	return node
}
