package lotstore

import (
	"context"

	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/rpc"
)

// GiveCall hands a prompt back under its lease: unplaced, or after a failed
// attempt.
type GiveCall struct {
	Shard   int
	Lot     string
	Item    int
	Lease   uint64
	Failed  bool // a worker answered 500
	AfterUs int64
}

// onGive frees a lease; only a failed attempt charges the item's tries. It is
// answered once the checkpoint with the row is committed, and again the same
// way if it is resent (design 8.7).
func (b *Store) onGive(ctx context.Context, in *GiveCall) (*rpc.Nothing, error) {
	return answered(ctx, b.cfg.Loop, func(reply func(*rpc.Nothing, error)) {
		s, l, p, err := b.prompt(in.Shard, in.Lot, in.Item)
		if err != nil {
			reply(nil, err)
			return
		}
		nowUs := eventloop.NowUs()
		row := l.Rows[in.Item]
		done := func(err error) { reply(&rpc.Nothing{}, err) }
		switch {
		case l.Ended, l.listed[in.Item] && l.leaseOf(in.Item) == in.Lease, in.Lease != 0 && row.Freed == in.Lease:
			b.issue(s, op{Kind: opNone}, done)
			return
		case l.listed[in.Item] || !l.leased(in.Item, in.Lease, nowUs):
			reply(nil, errLease(in.Lot))
			return
		}
		if in.Failed && row.Fails+1 >= max(l.Tries, 1) {
			b.list(s, l, Result{Item: in.Item, Phase: PhaseGaveUp, Lease: in.Lease, Why: WhyTries}, done)
			return
		}
		freed := Cursor{Epoch: row.Epoch, Fails: row.Fails, Freed: in.Lease}
		if in.Failed {
			freed.Fails++
		} else {
			freed.Epoch--
		}
		p.nextUs = nowUs + max(in.AfterUs, 0)
		b.issue(s, op{Kind: opCursor, Lot: l.ID, Rev: l.Rev + 1, Rows: []CursorAt{{Item: in.Item, Row: freed}}}, done)
	})
}

func (b *Store) prompt(shardN int, lot string, item int) (*shard, *Lot, *promptState, error) {
	s, err := b.own(shardN)
	if err != nil {
		return nil, nil, nil, err
	}
	l := s.lots[lot]
	if l == nil || l.live == nil || item < 0 || item >= len(l.Prompts) {
		return nil, nil, nil, fault.New(fault.Unknown, lot, "no such item", "drop it")
	}
	return s, l, &l.live.at[item], nil
}

// AckCall brings a result under the lease it was run under. Only once a
// majority has it on disk is it acked; then the prompt is never sent again.
type AckCall struct {
	Shard    int
	Lot      string
	Item     int
	Phase    string
	Msg      []byte // as Pack made it
	Lease    uint64
	Enc      uint8
	RawBytes int
}

func (b *Store) onAck(ctx context.Context, in *AckCall) (*rpc.Nothing, error) {
	return answered(ctx, b.cfg.Loop, func(reply func(*rpc.Nothing, error)) {
		s, l, _, err := b.prompt(in.Shard, in.Lot, in.Item)
		if err != nil {
			reply(nil, err)
			return
		}
		if in.Phase != PhaseDone && in.Phase != PhaseGaveUp {
			reply(nil, fault.New(fault.Invalid, "phase", "is neither done nor gave_up", "run the same version on all nodes"))
			return
		}
		done := func(err error) { reply(&rpc.Nothing{}, err) }
		switch {
		case l.Ended:
			done(nil)
		case l.listed[in.Item] && l.leaseOf(in.Item) == in.Lease:
			// Sent again: the first answer, once the first is safe. The lease
			// stands beside the result, so a new owner knows it too.
			b.issue(s, op{Kind: opNone}, done)
		case l.listed[in.Item] || !l.leased(in.Item, in.Lease, eventloop.NowUs()):
			reply(nil, errLease(in.Lot))
		default:
			r := Result{Item: in.Item, Phase: in.Phase, Msg: in.Msg, Lease: in.Lease, Enc: in.Enc, RawBytes: in.RawBytes}
			if in.Phase == PhaseGaveUp {
				r.Why = WhyNever
			}
			b.list(s, l, r, done)
		}
	})
}

// list puts a result at the next position; readers see it once a majority has
// it.
func (b *Store) list(s *shard, l *Lot, r Result, then func(error)) {
	r.AckedUs = s.clock.now(eventloop.NowUs())
	id, at := l.ID, len(l.List)+1
	s.owner.pace.done(l.Prompts[r.Item].Toks, eventloop.NowUs())
	b.issue(s, op{Kind: opAppend, Lot: id, Rev: l.Rev + 1, Results: []Result{r}}, func(err error) {
		if err == nil {
			if got := s.lots[id]; got != nil {
				got.seenLen = max(got.seenLen, at)
				b.wakeReaders(eventloop.NowUs())
			}
		}
		if then != nil {
			then(err)
		}
	})
}
