package batch

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/fault"
)

// acceptor is a store's part as a replica: it promises shards to owners, accepts their
// operations and returns its copies. It decides by the pure rules of claim.go
// (answerClaim, isFenced, raisePromise, applyOp), which the model checker runs too.
//
// All of it runs on the event loop; nothing is answered before what it says is durable.
type acceptor struct {
	cfg         *Config
	shards      *shardTable
	log         *shardLog
	replication *replicator
}

// localReplica gives the shard that a call addressed to a member means.
func (a *acceptor) localReplica(member string, shardN int) (*shard, error) {
	if member != a.cfg.Member {
		return nil, fault.New(fault.Unknown, "member", "this node holds another member", "read the membership again")
	}
	return a.shards.get(shardN)
}

// handleClaim promises a shard to a new owner and lists the copies here.
func (a *acceptor) handleClaim(ctx context.Context, in *claimRequest) (*claimResponse, error) {
	return callLoop(ctx, a.cfg.Loop, func(reply func(*claimResponse, error)) {
		s, err := a.localReplica(in.Member, in.Shard)
		if err != nil {
			reply(nil, err)
			return
		}
		if err := a.log.writeError(); err != nil {
			reply(nil, err)
			return
		}
		out, step := s.answerClaim(in)
		switch step {
		case nothingToWrite:
			reply(out, nil)
		case writesUnderWay:
			a.log.barrier(func() { reply(out, nil) })
		case newPromise:
			a.promise(s, in.Term)
			a.log.persist(&record{Shard: s.number, Promise: &in.Term}, func() { reply(out, nil) })
		}
	})
}

// promise raises the promised term; an owner here under a lower one is out.
func (a *acceptor) promise(s *shard, term Term) {
	if s.raisePromise(term) {
		a.replication.stepDown(s, "fenced by "+term.Owner)
	}
}

func (a *acceptor) handleFetch(ctx context.Context, in *fetchRequest) (*Job, error) {
	return callLoop(ctx, a.cfg.Loop, func(reply func(*Job, error)) {
		s, err := a.localReplica(in.Member, in.Shard)
		if err != nil {
			reply(nil, err)
			return
		}
		job := s.jobs[in.JobID]
		if job == nil {
			reply(nil, fault.New(fault.Unknown, in.JobID, "no copy here", "ask another replica"))
			return
		}
		reply(job.snapshot(), nil)
	})
}

// handleAppend accepts an owner's operations and answers once they are on disk.
func (a *acceptor) handleAppend(ctx context.Context, in *appendRequest) (*appendResponse, error) {
	return callLoop(ctx, a.cfg.Loop, func(reply func(*appendResponse, error)) {
		s, err := a.localReplica(in.Member, in.Shard)
		if err != nil {
			reply(nil, err)
			return
		}
		if s.isFenced(in.Term) {
			reply(&appendResponse{Promised: s.promised}, nil)
			return
		}
		if err := a.log.writeError(); err != nil {
			reply(nil, err)
			return
		}
		rec := &record{Shard: s.number}
		if s.promised.Less(in.Term) {
			a.promise(s, in.Term)
			rec.Promise = &in.Term
		}
		out := &appendResponse{OK: true, Promised: in.Term, NoCapacity: a.log.space.full()}
		if err := a.applyOps(s, in.Ops, rec, out); err != nil {
			reply(nil, err)
			return
		}
		if len(rec.Ops) == 0 && rec.Promise == nil {
			reply(out, nil)
			return
		}
		a.log.persist(rec, func() { reply(out, nil) })
	})
}

// applyOps applies an owner's operations up to the first that fits no copy here, and
// collects them, as they came, for the disk.
func (a *acceptor) applyOps(s *shard, ops []msgpack.RawMessage, rec *record, out *appendResponse) error {
	for _, raw := range ops {
		o := op{}
		if err := msgpack.Unmarshal(raw, &o); err != nil {
			return fault.New(fault.Invalid, "ops", err.Error(), "run the same version on all nodes")
		}
		o.raw = raw
		if !s.applyOp(&o) {
			out.OK, out.Gap = false, true
			return nil
		}
		if o.Kind == opNone {
			a.log.persistClock(s, o.Term, o.ClockUs)
			continue
		}
		rec.Ops = append(rec.Ops, op{raw: raw})
		s.clock.saved(o.ClockUs)
	}
	return nil
}

// handleClock gives the newest value of a shard's clock that is known here. A claim
// asks after it has the promise: then no earlier owner can record any more.
func (a *acceptor) handleClock(ctx context.Context, in *clockRequest) (*clockValue, error) {
	return callLoop(ctx, a.cfg.Loop, func(reply func(*clockValue, error)) {
		s, err := a.localReplica(in.Member, in.Shard)
		if err != nil {
			reply(nil, err)
			return
		}
		value := s.clock.value(clock.Now())
		reply(&value, nil)
	})
}

// fetchClock reads a shard's clock at a replica; one of the previous version has none.
func (a *acceptor) fetchClock(ctx context.Context, addr string, in *clockRequest) (clockValue, error) {
	if in.Member == a.cfg.Member {
		here, err := a.handleClock(ctx, in)
		if err != nil {
			return clockValue{}, err
		}
		return *here, nil
	}
	out := clockValue{}
	err := a.cfg.Transport.Call(ctx, addr, kindClock, in, &out)
	var faultValue *fault.Fault
	if errors.As(err, &faultValue) && faultValue.Kind == fault.Refused && faultValue.Field == kindClock {
		return clockValue{}, nil
	}
	return out, err
}
