package batch

import (
	"context"
	"sort"
	"time"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/fault"
)

// Times of a repair (design 8.5, 8.6).
const (
	repairTimeout      = 60 * time.Second // of one repair; the next one compares anew
	defaultSyncSpan    = 5 * clock.Second
	repairPacedShare   = 4 // a repair is paced for the first quarter of SyncSpan only
	repairBatchTimeout = 2 * appendTimeout
)

// repair is one comparison of a replica's copies with the owner's, and the transfer of
// what differs; later ops wait behind it (design 8.5).
//
// run is its goroutine, bounded by repairTimeout. Everything of the shard, the owner
// and the progress is touched on the event loop; the fields below batches belong to the
// goroutine once prepare has returned.
type repair struct {
	r        *replicator
	s        *shard
	o        *owner
	progress *replicaProgress

	started clock.Instant
	batches [][]op // what the replica lacks
	upTo    uint64 // the owner's last op when they were listed
}

// repair begins the repair of a replica, whose progress is given.
func (r *replicator) repair(s *shard, progress *replicaProgress) {
	progress.inFlight = true
	rp := &repair{r: r, s: s, o: s.owner, progress: progress}
	go rp.run()
}

func (rp *repair) run() {
	ctx, cancel := context.WithTimeout(rp.r.ctx, repairTimeout)
	defer cancel()
	rp.started = clock.Now()
	versions, err := rp.compare(ctx)
	if err != nil {
		return
	}
	if !rp.prepare(ctx, versions) {
		return
	}
	err = rp.transfer(ctx)
	rp.post(func() { rp.finish(err) })
}

func (rp *repair) post(fn func()) { _ = rp.r.cfg.Loop.Post(rp.r.ctx, fn) }

// compare asks the replica for its copies' versions. It promises the shard to this
// owner's term by that; a replica that promised a higher one ends the term.
func (rp *repair) compare(ctx context.Context) ([]jobVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	out := &claimResponse{}
	call := &claimRequest{Member: rp.progress.member.ID, Shard: rp.s.number, Term: rp.o.term}
	err := rp.r.cfg.Transport.Call(ctx, rp.r.cfg.addrOf(rp.progress.member), kindClaim, call, out)
	if err == nil && out.OK {
		return out.Versions, nil
	}
	superseded := err == nil && rp.o.term.Less(out.Promised)
	rp.post(func() {
		rp.progress.inFlight = false
		if rp.s.owner == rp.o && superseded {
			rp.r.superseded(rp.s, out.Promised)
		}
	})
	return nil, fault.New(fault.Refused, "replica", "was not compared", "compare it again")
}

// prepare lists what the replica lacks; from then on ops are queued for it. False if
// the owner is gone, or the event loop did not come to it in time: it may still list
// the differences after this goroutine gave up, and none of them was sent.
func (rp *repair) prepare(ctx context.Context, versions []jobVersion) bool {
	ok, err := eventloop.Call(ctx, rp.r.cfg.Loop, func() bool {
		if rp.s.owner != rp.o {
			return false
		}
		rp.batches, rp.upTo = differences(rp.s, rp.o.term, versions), rp.o.seq
		rp.progress.becomeRepair(rp.o.seq)
		return true
	})
	if err == nil && ok {
		return true
	}
	rp.post(func() {
		rp.progress.inFlight = false
		rp.progress.becomeProbe()
	})
	return false
}

// transfer sends the differences. Half of the link's time is left to what is in use,
// unless the replica would be back too late for the next loss (design 8.6).
func (rp *repair) transfer(ctx context.Context) error {
	for i, batch := range rp.batches {
		rp.batches[i] = nil // so that the batch is freed once it is sent
		sent := clock.Now()
		if err := rp.send(ctx, batch); err != nil {
			return err
		}
		if i+1 < len(rp.batches) && clock.Since(rp.started) < rp.r.repairTarget()/repairPacedShare {
			clock.Sleep(ctx, clock.Since(sent).Duration())
		}
	}
	return nil
}

func (rp *repair) send(ctx context.Context, batch []op) error {
	ctx, cancel := context.WithTimeout(ctx, repairBatchTimeout)
	defer cancel()
	out := &appendResponse{}
	call := &appendRequest{Member: rp.progress.member.ID, Shard: rp.s.number, Term: rp.o.term, Ops: encodeOps(batch)}
	if err := rp.r.cfg.Transport.Call(ctx, rp.r.cfg.addrOf(rp.progress.member), kindAppend, call, out); err != nil {
		return err
	}
	if !out.OK {
		return fault.New(fault.Stale, "replica", "changed while it was repaired", "")
	}
	return nil
}

// finish handles the outcome of the transfer, on the event loop.
func (rp *repair) finish(err error) {
	progress, o := rp.progress, rp.o
	progress.inFlight = false
	if rp.s.owner != o {
		return
	}
	log := rp.r.cfg.Log
	if err != nil {
		log.Info("replica_repair_failed", "shard", rp.s.number, "replica", progress.member.Name, "batches", len(rp.batches), "err", err)
		progress.becomeProbe()
		progress.lastAttempt = clock.Now()
		return
	}
	progress.finishRepair(rp.upTo)
	if len(rp.batches) > 0 {
		log.Info("replica_repaired", "shard", rp.s.number, "replica", progress.member.Name, "batches", len(rp.batches), "took_ms", clock.Since(rp.started).Milliseconds())
	}
	o.observeContact(progress.member.ID, rp.started)
	rp.r.advance(rp.s, o)
	if rp.s.owner == o {
		rp.r.sendNext(rp.s, progress)
	}
}

// repairTarget is how soon a replica that is back must hold all copies again.
func (r *replicator) repairTarget() clock.Micros {
	if r.cfg.SyncSpan > 0 {
		return r.cfg.SyncSpan
	}
	return defaultSyncSpan
}

// differences lists what a replica lacks, in batches. A job that it has and the owner
// has not is dropped there: it was never accepted (a claim finds what a majority
// holds), or it was purged meanwhile.
func differences(s *shard, term Term, versions []jobVersion) [][]op {
	there := map[string]jobVersion{}
	for _, v := range versions {
		there[v.JobID] = v
	}
	var out [][]op
	var batch []op
	bytes := 0
	add := func(p op) {
		batch = append(batch, p)
		bytes += p.cost()
		if bytes > maxAppendBytes {
			out, batch, bytes = append(out, batch), nil, 0
		}
	}
	ids := make([]string, 0, len(s.jobs))
	for id := range s.jobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		version, have := there[id]
		if p := difference(s.jobs[id], term, version, have); p != nil {
			add(*p)
		}
	}
	for id := range there {
		if s.jobs[id] == nil {
			add(op{Kind: opDrop, JobID: id, Term: term})
		}
	}
	if len(batch) > 0 {
		out = append(out, batch)
	}
	return out
}

// difference is the least op that brings a replica's copy to the owner's, nil if it is
// there already.
func difference(job *Job, term Term, there jobVersion, have bool) *op {
	switch {
	case have && there.Term == job.Term && there.Revision == job.Revision:
		return nil
	case have && there.Term == job.source.Term && there.Revision == job.source.Revision && job.Revision == job.source.Revision && !job.ageRestarted:
		return &op{Kind: opRaiseTerm, JobID: job.ID, Term: term, Revision: job.Revision, Source: there.Term}
	}
	if have {
		if delta := job.changesSince(term, there); delta != nil {
			return delta
		}
	}
	return &op{Kind: opPut, JobID: job.ID, Term: term, Revision: job.Revision, Job: job.snapshot()}
}
