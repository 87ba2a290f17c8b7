package batch

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/consensus"
	"rowanshunt/internal/fault"
)

// Times of replication; the figures are our own.
const (
	// appendTimeout bounds a call with ops: a replica that is slower is probed.
	appendTimeout = 1500 * time.Millisecond
	// repairPause is between two attempts to repair a replica.
	repairPause = 200 * clock.Millisecond
	// groupCommitDelay is for how long polls and acks are grouped in one write (design 8.7).
	groupCommitDelay = 5 * clock.Millisecond
)

// replicator brings the ops of the shards that this node owns to its own disk and to
// the replicas, in order, and calls back what a majority has (design 8.3, 8.5).
//
// All state belongs to the event loop. Calls to replicas run on goroutines of their
// own, one per replica at a time (replicaProgress.inFlight), which post their results to the
// loop; each is bounded by its time-out and by ctx.
type replicator struct {
	cfg    *Config
	ctx    context.Context
	shards *shardTable
	log    *shardLog

	onStepDown func() // a shard has no owner here any more
}

// ownedShard gives the shard if this node may serve it.
func (r *replicator) ownedShard(shardN int) (*shard, error) {
	s, err := r.shards.get(shardN)
	if err != nil {
		return nil, err
	}
	if s.owner == nil {
		node := ownerName(s.promised.Owner)
		if node == r.cfg.Self.Name {
			node = ""
		}
		return nil, fault.New(fault.NotOwner, node, "this store does not own the shard", "ask the owner")
	}
	if !s.owner.ready {
		return nil, fault.New(fault.Refused, "shard", "is being taken over", "ask again")
	}
	return s, r.log.backlogError()
}

// propose applies an op here at once, at the replicas in order; done is called once a
// majority has it on disk, or with Unsure if the shard is lost before.
func (r *replicator) propose(s *shard, p op, done func(error)) {
	o := s.owner
	o.seq++
	p.Term = o.term
	o.clockRecorded = clock.Now()
	p.ClockUs = s.clock.now(o.clockRecorded)
	o.pending = append(o.pending, pendingOp{o.seq, clock.Now(), done})
	if p.Kind != opNone {
		apply(s.jobs, &p)
		o.diskIssued = o.seq
		p.raw = nil
		_ = p.encoded()
		o.unsaved = append(o.unsaved, p)
		s.clock.saved(p.ClockUs)
	} else {
		r.log.persistClock(s, o.term, p.ClockUs)
	}
	r.enqueue(s, p)
	if p.Kind != opDeliveries && p.Kind != opResults {
		r.groupCommit(s, o)
		return
	}
	// Polls and acks share a group commit: it is filled for a short while, and
	// longer while the disk is at work (design 8.7).
	if !o.groupCommitDue {
		o.groupCommitDue = true
		time.AfterFunc(groupCommitDelay.Duration(), func() {
			_ = r.cfg.Loop.Post(r.ctx, func() { r.groupCommit(s, o) })
		})
	}
}

// enqueue queues the last op for the replicas.
func (r *replicator) enqueue(s *shard, p op) {
	bytes := p.cost()
	for _, progress := range s.owner.progress {
		if progress.state != progressProbe && !progress.enqueue(p, s.owner.seq, bytes) {
			r.cfg.Log.Info("replica_behind", "shard", s.number, "replica", progress.member.Name, "queued", progress.queuedBytes)
			progress.becomeProbe()
		}
	}
}

// groupCommit sends the ops since the last one to the disk and to the
// replicas.
func (r *replicator) groupCommit(s *shard, o *owner) {
	o.groupCommitDue = false
	if s.owner != o {
		return
	}
	if len(o.unsaved) > 0 {
		rec := &record{Shard: s.number, Ops: o.unsaved}
		o.unsaved = nil
		r.persistOwn(s, o, rec, o.diskIssued)
	}
	if s.owner != o {
		return
	}
	for _, progress := range o.progress {
		r.sendNext(s, progress)
	}
	r.advance(s, o)
}

// persistOwn writes the owner's own copy.
func (r *replicator) persistOwn(s *shard, o *owner, rec *record, seq uint64) {
	done := func() {
		o.diskDone = max(o.diskDone, seq)
		r.advance(s, o)
	}
	if len(rec.Ops) == 0 {
		done()
		return
	}
	r.log.persist(rec, func() { _ = r.cfg.Loop.Post(r.ctx, done) })
}

// confirm calls back once a majority has answered this owner in calls that began at
// most age ago: until then it had promised no other one.
func (r *replicator) confirm(s *shard, age clock.Micros, done func(error)) {
	if clock.Since(s.owner.quorumContact(r.cfg.Member)) <= age {
		done(nil)
		return
	}
	r.propose(s, op{Kind: opNone}, done)
}

// advance calls back for all ops that a majority has. A callback may end the term.
func (r *replicator) advance(s *shard, o *owner) {
	for s.owner == o && len(o.pending) > 0 {
		first := o.pending[0]
		if !o.committed(r.cfg.Member, first.seq) {
			return
		}
		o.pending = o.pending[1:]
		first.done(nil)
	}
}

// stepDown gives a shard up; pending ops end Unsure: they may or may not be committed.
func (r *replicator) stepDown(s *shard, why string) {
	o := s.owner
	s.owner = nil
	s.clock.stop(clock.Now())
	// What was done here is in the copy that this node keeps as a replica: the
	// disk must have it before anything that is built on it.
	if len(o.unsaved) > 0 {
		r.log.persist(&record{Shard: s.number, Ops: o.unsaved}, func() {})
		o.unsaved = nil
	}
	r.cfg.Log.Info("shard_released", "shard", s.number, "why", why)
	for _, job := range s.jobs {
		job.schedule = nil
	}
	lost := fault.New(fault.Unsure, "shard", "changed hands meanwhile", "ask again")
	for _, p := range o.pending {
		p.done(lost)
	}
	r.onStepDown()
}

// membershipCommitted drops the replicas that a committed change removed.
func (r *replicator) membershipCommitted(s *shard, membership consensus.Membership) {
	o := s.owner
	o.membership = membership
	for id := range o.progress {
		if !membership.Has(id) {
			delete(o.progress, id)
		}
	}
	r.advance(s, o)
}

// sendNext sends a replica what is queued for it, one call at a time.
func (r *replicator) sendNext(s *shard, progress *replicaProgress) {
	if progress.inFlight || progress.state == progressProbe || len(progress.queue) == 0 {
		return
	}
	o := s.owner
	ops, upTo := progress.dequeue()
	progress.inFlight = true
	sent := sentAppend{progress: progress, upTo: upTo, started: clock.Now()}
	call := &appendRequest{Member: progress.member.ID, Shard: s.number, Term: o.term, Ops: encodeOps(ops)}
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, appendTimeout)
		defer cancel()
		out := &appendResponse{}
		err := r.cfg.Transport.Call(ctx, r.cfg.addrOf(progress.member), kindAppend, call, out)
		_ = r.cfg.Loop.Post(r.ctx, func() {
			progress.inFlight = false
			if s.owner == o {
				r.appended(s, sent, out, err)
			}
		})
	}()
}

// sentAppend is a call with a replica's ops up to a number.
type sentAppend struct {
	progress *replicaProgress
	upTo     uint64
	started  clock.Instant
}

// appended handles a replica's answer to a call.
func (r *replicator) appended(s *shard, sent sentAppend, out *appendResponse, err error) {
	o, progress := s.owner, sent.progress
	switch {
	case err == nil && out.OK:
		progress.acked, progress.noCapacity = max(progress.acked, sent.upTo), out.NoCapacity
		o.observeContact(progress.member.ID, sent.started)
		r.advance(s, o)
		if s.owner == o {
			r.sendNext(s, progress)
		}
	case err == nil && o.term.Less(out.Promised):
		r.superseded(s, out.Promised)
	default:
		r.cfg.Log.Info("replica_behind", "shard", s.number, "replica", progress.member.Name, "gap", out.Gap, "waited_ms", clock.Since(sent.started).Milliseconds(), "queued", progress.queuedBytes, "err", err)
		progress.becomeProbe()
		progress.lastAttempt = clock.Now()
	}
}

// superseded ends a term that a replica refused for a higher one.
func (r *replicator) superseded(s *shard, promised Term) {
	s.highestNumber = max(s.highestNumber, promised.Number)
	r.stepDown(s, "a replica promised "+promised.Owner)
}

// repairLagging begins the repair of replicas that are to be probed.
func (r *replicator) repairLagging(s *shard, now clock.Instant) {
	for _, progress := range s.owner.progress {
		if progress.state == progressProbe && !progress.inFlight && now.Sub(progress.lastAttempt) > repairPause {
			progress.lastAttempt = now
			r.repair(s, progress)
		}
	}
}

// recordClocks records the clocks of the shards that had nothing else to record
// lately, so that a takeover loses little of them.
func (r *replicator) recordClocks(now clock.Instant) {
	for _, s := range r.shards {
		if s.owner == nil || !s.owner.ready || len(s.jobs) == 0 {
			continue
		}
		if now.Sub(s.owner.clockRecorded) >= s.clockInterval() {
			r.propose(s, op{Kind: opNone}, func(error) {})
		}
	}
}

func encodeOps(ops []op) []msgpack.RawMessage {
	out := make([]msgpack.RawMessage, len(ops))
	for i := range ops {
		out[i] = ops[i].encoded()
	}
	return out
}
