package batch

import (
	"context"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/rpc"
)

// handleNack frees a lease; only a failed attempt charges the item's tries. It is
// answered once the row is committed, and again the same
// way if it is resent (design 8.7).
func (d *deliveryService) handleNack(ctx context.Context, in *NackRequest) (*rpc.Empty, error) {
	return callLoop(ctx, d.cfg.Loop, func(reply func(*rpc.Empty, error)) {
		item, err := d.findOwned(in.Shard, in.Job, in.Item)
		if err != nil {
			reply(nil, err)
			return
		}
		s, job := item.shard, item.job
		now := clock.Now()
		row := job.Deliveries[in.Item]
		done := func(err error) { reply(&rpc.Empty{}, err) }
		switch {
		case job.Ended, job.listed[in.Item] && job.resultLease(in.Item) == in.Lease, in.Lease != 0 && row.Freed == in.Lease:
			d.replication.propose(s, op{Kind: opNone}, done)
			return
		case job.listed[in.Item] || !job.leaseLive(in.Item, in.Lease, now):
			reply(nil, errLease(in.Job))
			return
		}
		if in.Failed && row.Fails+1 >= max(job.Tries, 1) {
			d.listResult(s, job, Result{Item: in.Item, Phase: PhaseDeadLettered, Lease: in.Lease, Why: WhyTries}, done)
			return
		}
		freed := Delivery{DeliveryCount: row.DeliveryCount, Fails: row.Fails, Freed: in.Lease}
		if in.Failed {
			freed.Fails++
		} else {
			freed.DeliveryCount--
		}
		item.state.leasableAt = now.Add(clock.Micros(max(in.AfterUs, 0)))
		d.replication.propose(s, op{Kind: opDeliveries, JobID: job.ID, Revision: job.Revision + 1, Deliveries: []DeliveryAt{{Item: in.Item, Delivery: freed}}}, done)
	})
}

// ownedItem is an item of a shard that this store owns.
type ownedItem struct {
	shard *shard
	job   *Job
	state *itemState
}

// findOwned finds an item that an ack or a nack names.
func (d *deliveryService) findOwned(shardN int, jobID string, item int) (ownedItem, error) {
	s, err := d.replication.ownedShard(shardN)
	if err != nil {
		return ownedItem{}, err
	}
	job := s.jobs[jobID]
	if job == nil || job.schedule == nil || item < 0 || item >= len(job.Items) {
		return ownedItem{}, fault.New(fault.Unknown, jobID, "no such item", "drop it")
	}
	return ownedItem{shard: s, job: job, state: &job.schedule.items[item]}, nil
}

func (d *deliveryService) handleAck(ctx context.Context, in *AckRequest) (*rpc.Empty, error) {
	return callLoop(ctx, d.cfg.Loop, func(reply func(*rpc.Empty, error)) {
		item, err := d.findOwned(in.Shard, in.Job, in.Item)
		if err != nil {
			reply(nil, err)
			return
		}
		s, job := item.shard, item.job
		if in.Phase != PhaseDone && in.Phase != PhaseDeadLettered {
			reply(nil, fault.New(fault.Invalid, "phase", "is neither done nor gave_up", "run the same version on all nodes"))
			return
		}
		done := func(err error) { reply(&rpc.Empty{}, err) }
		switch {
		case job.Ended:
			done(nil)
		case job.listed[in.Item] && job.resultLease(in.Item) == in.Lease:
			// Sent again: the first answer, once the first is safe. The lease
			// is kept beside the result, so a new owner knows it too.
			d.replication.propose(s, op{Kind: opNone}, done)
		case job.listed[in.Item] || !job.leaseLive(in.Item, in.Lease, clock.Now()):
			reply(nil, errLease(in.Job))
		default:
			r := Result{Item: in.Item, Phase: in.Phase, Msg: in.Msg, Lease: in.Lease, Enc: in.Enc, RawBytes: in.RawBytes}
			if in.Phase == PhaseDeadLettered {
				r.Why = WhyNever
			}
			d.listResult(s, job, r, done)
		}
	})
}

// listResult puts a result at the next position; readers see it once a majority has
// it.
func (d *deliveryService) listResult(s *shard, job *Job, r Result, then func(error)) {
	r.AckedUs = s.clock.now(clock.Now())
	id, at := job.ID, len(job.Results)+1
	s.owner.completionRate.add(job.Items[r.Item].Toks, clock.Now())
	d.replication.propose(s, op{Kind: opResults, JobID: id, Revision: job.Revision + 1, Results: []Result{r}}, func(err error) {
		if err == nil {
			if got := s.jobs[id]; got != nil {
				got.committedResults = max(got.committedResults, at)
				d.reads.wake(clock.Now())
			}
		}
		if then != nil {
			then(err)
		}
	})
}
