package batch

import (
	"context"
	"sync"
	"time"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/consensus"
	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/fault"
)

// The driver of a claim: its calls, its time-outs and its retries. claim.go decides. It is
// part of ownership and runs on one goroutine per shard (shard.claiming), which touches
// shards only by calls to the event loop.

// Times of a claim (design 8.2).
const (
	claimTimeout        = 600 * time.Millisecond  // of the call for a promise
	fetchTimeout        = 1200 * time.Millisecond // of one job fetched
	claimAttemptTimeout = 5 * time.Second         // the next attempt goes on with what was fetched
	// fetchesAtOnce bounds the jobs that a claim fetches at a time.
	fetchesAtOnce = 8
)

// claim takes a shard over: a promise from a majority, the best copy of every
// job, and those copies brought to a majority before anything is served.
func (ow *ownership) claim(s *shard, st *consensus.State) {
	s.claiming = true
	if s.owner != nil {
		ow.replication.stepDown(s, "new membership")
	}
	term := s.nextTerm(fencingVersion(&st.Stores), ow.cfg.Self.ProcessID())
	membership := ow.replicaSets(st)[s.number]
	go func() {
		ctx, cancel := context.WithTimeout(ow.ctx, claimAttemptTimeout)
		defer cancel()
		err := ow.runClaim(ctx, s, term, membership)
		_ = ow.cfg.Loop.Post(ow.ctx, func() {
			s.claiming = false
			if err != nil {
				ow.cfg.Log.Info("shard_claim_failed", "shard", s.number, "err", err)
			}
		})
	}()
}

// runClaim drives a claimCore, which decides.
func (ow *ownership) runClaim(ctx context.Context, s *shard, term Term, membership consensus.Membership) error {
	claim := newClaim(ow.cfg.Member, term, membership)
	ow.collectPromises(s.number, claim)
	if claim.higher != (Term{}) {
		ow.observePromise(ctx, s, claim.higher)
	}
	if !claim.granted() {
		return fault.New(fault.Refused, "shard", "no majority promised", "check which stores run")
	}
	// What an attempt before this one fetched counts, if it is still the best.
	if _, err := eventloop.Call(ctx, ow.cfg.Loop, func() bool {
		claim.reuse(s.fetched)
		return true
	}); err != nil {
		return err
	}
	if err := ow.fetchMissing(ctx, s.number, claim); err != nil {
		_ = ow.cfg.Loop.Post(ow.ctx, func() { s.fetched = claim.fetched })
		return err
	}
	_, err := eventloop.Call(ctx, ow.cfg.Loop, func() bool {
		s.fetched = nil
		if s.promised != term {
			return false
		}
		ow.becomeOwner(s, claim)
		return true
	})
	return err
}

// collectPromises sends the claim to all members until enough have promised or all
// have answered.
func (ow *ownership) collectPromises(shardN int, claim *claimCore) {
	type reply struct {
		member consensus.Member
		out    *claimResponse
		err    error
		clock  clockValue // of the shard at that replica, after its promise
	}
	members := claim.membership.All()
	replies := make(chan reply, len(members))
	for _, member := range members {
		go func() {
			callCtx, cancel := context.WithTimeout(ow.ctx, claimTimeout)
			defer cancel()
			out := &claimResponse{}
			call := &claimRequest{Member: member.ID, Shard: shardN, Term: claim.term}
			var err error
			if member.ID == ow.cfg.Member {
				out, err = ow.acceptor.handleClaim(callCtx, call)
			} else {
				err = ow.cfg.Transport.Call(callCtx, ow.cfg.addrOf(member), kindClaim, call, out)
			}
			clock := clockValue{}
			if err == nil && out.OK {
				clock, err = ow.acceptor.fetchClock(callCtx, ow.cfg.addrOf(member), &clockRequest{Member: member.ID, Shard: shardN})
			}
			replies <- reply{member, out, err, clock}
		}()
	}
	for range members {
		r := <-replies
		if r.err == nil && claim.handleResponse(r.member, r.out, r.clock) {
			return
		}
	}
}

// observePromise remembers a promise that refused a claim.
func (ow *ownership) observePromise(ctx context.Context, s *shard, higher Term) {
	_ = ow.cfg.Loop.Post(ctx, func() {
		s.highestNumber = max(s.highestNumber, higher.Number)
		if s.promised.Less(higher) {
			// lastClaim in the future: the next claim is two pauses off, in which its
			// holder may show that it lives (what it sends here raises the promise).
			// The promise itself is not ours to make.
			s.lastClaim = clock.Now().Add(claimPause)
		}
	})
}

// fetchMissing fetches the copies that the claim misses, a few at a time; on an
// error what came before it, and beside it, is kept in the claim.
func (ow *ownership) fetchMissing(ctx context.Context, shardN int, claim *claimCore) error {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	limit := make(chan struct{}, fetchesAtOnce)
	for _, m := range claim.missing() {
		wg.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			job, err := ow.fetchJob(ctx, shardN, m)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				err = claim.addFetched(m, job)
			}
			if err != nil {
				failed = err
			}
		})
	}
	wg.Wait()
	return failed
}

// fetchJob fetches one copy.
func (ow *ownership) fetchJob(ctx context.Context, shardN int, m remoteVersion) (*Job, error) {
	oneCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	job := &Job{}
	call := &fetchRequest{Member: m.holder.ID, Shard: shardN, JobID: m.version.JobID}
	if err := ow.cfg.Transport.Call(oneCtx, ow.cfg.addrOf(m.holder), kindFetch, call, job); err != nil {
		return nil, err
	}
	return job, nil
}

// becomeOwner makes this node the owner of what the claim found, the shard's clock
// among it.
func (ow *ownership) becomeOwner(s *shard, claim *claimCore) {
	term := claim.term
	now := clock.Now()
	s.clock.start(term, now, claim.clock)
	rec := &record{Shard: s.number, Ops: s.adoptJobs(term, claim.fetched, now)}
	for _, job := range s.jobs {
		job.committed, job.endCommitted, job.committedResults = false, false, 0
		job.schedule = &itemSchedule{items: make([]itemState, len(job.Items))}
		for i := range job.Deliveries {
			if job.Deliveries[i].Lease != 0 {
				job.schedule.items[i] = itemState{leasableAt: now.Add(ow.cfg.Options.leaseSpan(job.Deliveries[i].DeliveryCount)), lastSent: now}
			}
		}
		s.nextOffset = max(s.nextOffset, job.First+int64(job.itemCount()))
	}
	o := newOwner(term, claim.membership, ow.cfg.Member)
	s.owner = o
	o.pending = append(o.pending, pendingOp{1, clock.Now(), func(err error) {
		if err != nil {
			return
		}
		o.ready = true
		for _, job := range s.jobs {
			job.committed, job.endCommitted, job.committedResults = !job.refused(), job.Ended, len(job.Results)
		}
		ow.cfg.Log.Info("shard_owned", "shard", s.number, "term", term.Number, "membership", term.Membership, "jobs", len(s.jobs))
		ow.onOwned()
	}})
	if n := len(rec.Ops); n > 0 {
		rec.Ops[n-1].ClockUs = s.clock.now(now)
		s.clock.saved(rec.Ops[n-1].ClockUs)
	}
	ow.replication.persistOwn(s, o, rec, 1)
	for _, progress := range o.progress {
		ow.replication.repair(s, progress)
	}
}
