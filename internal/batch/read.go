package batch

import (
	"context"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/fault"
)

// readMaxAge is how long ago a majority may have confirmed the owner for reads of a
// known job: well below settle_ms.
const readMaxAge = 250 * clock.Millisecond

// readService answers reads of results, at once or once there is something new (a long
// poll), and of items' bodies (design 8.8). It shows nothing that a majority does not
// hold. Its fields belong to the event loop.
type readService struct {
	cfg         *Config
	replication *replicator
	waiting     []*pendingRead
}

// pendingRead is a long poll: it is answered when its job has something new, or at its
// deadline.
type pendingRead struct {
	shard    *shard
	request  *readRequest
	deadline clock.Instant
	reply    func(*readResponse, error)
}

// handleRead lists results from a position on; nothing is shown that a majority
// does not hold. The owner was confirmed within readMaxAge; for an unknown job, after the call.
func (rs *readService) handleRead(ctx context.Context, in *readRequest) (*readResponse, error) {
	return callLoop(ctx, rs.cfg.Loop, func(reply func(*readResponse, error)) {
		s, err := rs.replication.ownedShard(in.Shard)
		if err != nil {
			reply(nil, err)
			return
		}
		job := s.jobs[in.JobID]
		if job != nil && job.committed && in.StartAt >= int64(job.committedResults) && in.WaitUs > 0 && !(job.closed() && job.committedResults == len(job.Results)) {
			rs.waiting = append(rs.waiting, &pendingRead{shard: s, request: in, deadline: clock.Now().Add(clock.Micros(in.WaitUs)), reply: reply})
			return
		}
		rs.confirmRead(s, in, reply)
	})
}

func (rs *readService) confirmRead(s *shard, in *readRequest, reply func(*readResponse, error)) {
	if s.owner == nil {
		reply(nil, fault.New(fault.Unsure, "shard", "changed hands meanwhile", "ask again"))
		return
	}
	age := readMaxAge
	if job := s.jobs[in.JobID]; job == nil || !job.committed {
		age = 0 // "no such job" must not come from an owner that lost its shard
	}
	rs.replication.confirm(s, age, func(err error) {
		if err != nil {
			reply(nil, err)
			return
		}
		job := s.jobs[in.JobID]
		if job == nil || !job.committed {
			reply(nil, fault.New(fault.Unknown, in.JobID, "no such lot", "check the id"))
			return
		}
		if job.resultsDropped() {
			reply(nil, errResultsDropped(in.JobID))
			return
		}
		reply(newReadResponse(job, in.StartAt, in.MaxBytes), nil)
	})
}

// newReadResponse gives the results from a position on that a majority holds, at least one
// if there is any, and no more than maxBytes of texts.
func newReadResponse(job *Job, startAt, maxBytes int64) *readResponse {
	out := &readResponse{Total: int64(len(job.Items)), NextAt: startAt}
	var bytes int64
	for at := startAt; at < int64(job.committedResults); at++ {
		r := &job.Results[at]
		cost := int64(max(r.RawBytes, len(r.Msg)))*11/10 + 128
		if len(out.Results) > 0 && bytes+cost > maxBytes {
			break
		}
		bytes += cost
		out.Results = append(out.Results, ReadResult{ID: job.Items[r.Item].ID, Phase: r.Phase, Msg: r.Msg, Enc: r.Enc, RawBytes: r.RawBytes})
		out.NextAt = at + 1
	}
	return out
}

// wake answers readers whose job has something new, or whose time is up.
func (rs *readService) wake(now clock.Instant) {
	var due []*pendingRead
	rs.waiting, due = removeDue(rs.waiting, func(r *pendingRead) bool {
		job := r.shard.jobs[r.request.JobID]
		return now >= r.deadline || r.shard.owner == nil || job == nil || r.request.StartAt < int64(job.committedResults) || job.endCommitted
	})
	for _, r := range due {
		rs.confirmRead(r.shard, r.request, r.reply)
	}
}

func (rs *readService) handleItemBody(ctx context.Context, in *itemBodyRequest) (*itemBodyResponse, error) {
	return callLoop(ctx, rs.cfg.Loop, func(reply func(*itemBodyResponse, error)) {
		s, err := rs.replication.ownedShard(in.Shard)
		if err != nil {
			reply(nil, err)
			return
		}
		rs.replication.propose(s, op{Kind: opNone}, func(err error) {
			job := s.jobs[in.JobID]
			at := -1
			if job != nil {
				at = job.itemIndex(in.ItemID)
			}
			switch {
			case err != nil:
				reply(nil, err)
			case job == nil || !job.committed || at < 0 || job.Ended || job.listed[at]:
				reply(nil, fault.New(fault.Unknown, in.ItemID, "no such item, or it is listed", "read the lot"))
			default:
				reply(&itemBodyResponse{Body: job.Items[at].Body}, nil)
			}
		})
	})
}
