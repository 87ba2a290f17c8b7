package batch

import (
	"context"
	"slices"
	"time"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/rpc"
)

// submissionService accepts jobs, or rejects them where the backlog or the stores' space
// is full, and cancels them for their clients (design 8.4, 8.9). It has no state of its
// own and runs on the event loop.
type submissionService struct {
	cfg         *Config
	ctx         context.Context
	replication *replicator
	space       *spaceAccount
	deliveries  *deliveryService
	reads       *readService
}

// submission is one call to submit a job, with the shard it goes to.
type submission struct {
	in    *submitRequest
	s     *shard
	old   *Job // what is there under its id, nil if nothing
	reply func(*submitResponse, error)
}

// handleSubmit accepts a job: on disk at a majority before the answer (design 8.4).
func (ss *submissionService) handleSubmit(ctx context.Context, in *submitRequest) (*submitResponse, error) {
	started := clock.Now()
	return callLoop(ctx, ss.cfg.Loop, func(reply func(*submitResponse, error)) {
		s, err := ss.replication.ownedShard(in.Shard)
		if err != nil {
			reply(nil, err)
			return
		}
		if in.Job == nil || in.Job.ID == "" || len(in.Job.Items) == 0 && !in.Offer {
			reply(nil, fault.New(fault.Invalid, "lot", "is empty", "submit at least one item"))
			return
		}
		sub := &submission{in: in, s: s, old: s.jobs[in.Job.ID], reply: reply}
		if ss.answerKnown(sub) {
			return
		}
		if in.LeftUs > 0 && clock.Since(started) > clock.Micros(in.LeftUs) {
			reply(nil, fault.New(fault.Refused, "lot", "its caller no longer waits", "submit it again"))
			return
		}
		ss.decide(sub)
	})
}

// answerKnown answers for a job that was accepted, or an attempt that was rejected,
// before: the same answer again, by what is committed or in flight alone (design 8.4).
func (ss *submissionService) answerKnown(sub *submission) bool {
	old, in := sub.old, sub.in
	switch {
	case old == nil:
		return false
	case !old.refused():
		// It keeps the offset it has.
		ss.replication.propose(sub.s, op{Kind: opNone}, func(err error) {
			sub.reply(&submitResponse{Accepted: true, First: old.First, Conflict: old.Digest != in.Job.Digest && old.Digest != [2]uint64{}}, err)
		})
		return true
	case slices.Contains(old.Refused, in.SubmissionID):
		ss.replication.propose(sub.s, op{Kind: opNone}, func(err error) { sub.reply(&submitResponse{RetryAfterMs: maxRetryAfterMs}, err) })
		return true
	}
	return false
}

// decide accepts or rejects a job that is not known, or reserves backlog for an offer.
func (ss *submissionService) decide(sub *submission) {
	in, s, job := sub.in, sub.s, sub.in.Job
	job.Deliveries, job.Refused = nil, nil
	job.index()
	if !ss.hasCapacity(s, job) {
		ss.reject(sub, &submitResponse{NoCapacity: true, RetryAfterMs: capacityRetryAfterMs})
		return
	}
	now := clock.Now()
	if over := s.overBacklog(in, now); over > 0 {
		ss.reject(sub, &submitResponse{RetryAfterMs: s.owner.completionRate.retryAfterMs(over, now)})
		return
	}
	// What a submission brings in these fields does not count: the owner sets them.
	job.Results, job.Ended, job.AcceptedUs = nil, false, s.clock.now(now)
	if in.Offer {
		s.owner.reservations.add(job.Route, job.ID, in.Tokens, now)
		sub.reply(&submitResponse{Reserved: true}, nil)
		return
	}
	ss.accept(sub)
}

// overBacklog is by how many tokens a job would exceed the backlog of its route.
func (s *shard) overBacklog(in *submitRequest, now clock.Instant) int64 {
	if in.Backlog <= 0 {
		return 0
	}
	open := s.owner.reservations.tokens(in.Job.Route, in.Job.ID, now)
	for _, other := range s.jobs {
		if other.Route == in.Job.Route {
			open += other.openTokens()
		}
	}
	return open + in.Tokens - in.Backlog
}

// hasCapacity reports whether a job may be accepted: it, its results, and all that was
// accepted before must fit here and at the replicas that answered lately. A file that
// can't be compacted now is left to what was accepted already. An offer has no items yet.
func (ss *submissionService) hasCapacity(s *shard, job *Job) bool {
	for _, progress := range s.owner.progress {
		if progress.noCapacity && progress.state != progressProbe {
			return false
		}
	}
	return ss.space.fits(ss.space.projectedBytes(job))
}

// accept gives the job its offsets and commits it.
func (ss *submissionService) accept(sub *submission) {
	s, job := sub.s, sub.in.Job
	delete(s.owner.reservations, job.ID)
	ss.space.usage.addedBytes += ss.space.projectedBytes(job)
	job.First = s.nextOffset
	s.nextOffset += int64(len(job.Items))
	stored := *job
	ss.replication.propose(s, op{Kind: opPut, JobID: job.ID, Revision: sub.nextRevision(), Job: &stored}, func(err error) {
		if err == nil {
			if got := s.jobs[job.ID]; got != nil {
				got.committed = true
			}
			ss.deliveries.sweepJobs()
		}
		sub.reply(&submitResponse{Accepted: true, First: job.First}, err)
	})
	// propose has applied the op here already; its callback runs once a majority holds it.
	// The copy in s.jobs took over the fields of a record of refused submissions under
	// the same id (applyPut): they begin anew.
	got := s.jobs[job.ID]
	got.committed, got.endCommitted, got.committedResults = false, false, 0
	got.schedule = &itemSchedule{items: make([]itemState, len(got.Items))}
}

// reject answers a submission that does not fit. Where an earlier attempt of it
// got no answer, some replica may hold a copy that a later owner would find:
// the rejection is then an op of its own, on disk at a majority before it is
// answered, and outranks that copy for good (design 8.4).
func (ss *submissionService) reject(sub *submission, out *submitResponse) {
	if !sub.in.Unsure {
		sub.reply(out, nil)
		return
	}
	s, asked := sub.s, sub.in.Job
	job := &Job{ID: asked.ID, Host: asked.Host, Route: asked.Route, SentUs: asked.SentUs, RetainMs: asked.RetainMs, Ended: true, AcceptedUs: s.clock.now(clock.Now())}
	if sub.old != nil {
		job.Refused = slices.Clone(sub.old.Refused)
	}
	job.Refused = append(job.Refused, sub.in.SubmissionID)
	ss.replication.propose(s, op{Kind: opPut, JobID: job.ID, Revision: sub.nextRevision(), Job: job}, func(err error) { sub.reply(out, err) })
}

// nextRevision is that of the op which decides the submission.
func (sub *submission) nextRevision() uint64 {
	if sub.old != nil {
		return sub.old.Revision + 1
	}
	return 1
}

// handleCancel ends a job for its client; dispatchers that run items of it are asked
// to stop.
func (ss *submissionService) handleCancel(ctx context.Context, in *cancelJobRequest) (*rpc.Empty, error) {
	return callLoop(ctx, ss.cfg.Loop, func(reply func(*rpc.Empty, error)) {
		s, err := ss.replication.ownedShard(in.Shard)
		if err != nil {
			reply(nil, err)
			return
		}
		job := s.jobs[in.JobID]
		if job == nil || job.Ended {
			ss.replication.propose(s, op{Kind: opNone}, func(err error) {
				if err == nil && (job == nil || job.refused()) {
					err = fault.New(fault.Unknown, in.JobID, "no such lot", "check the id")
				}
				reply(&rpc.Empty{}, err)
			})
			return
		}
		ss.stopHolders(job)
		ss.replication.propose(s, op{Kind: opEnd, JobID: job.ID, Revision: job.Revision + 1}, func(err error) {
			if err == nil {
				if got := s.jobs[in.JobID]; got != nil {
					got.endCommitted = true
				}
				ss.reads.wake(clock.Now())
			}
			reply(&rpc.Empty{}, err)
		})
	})
}

// stopHolders asks the dispatchers that hold leases of a job to stop it, each once. One
// that the call does not reach learns of it with its next poll.
func (ss *submissionService) stopHolders(job *Job) {
	if job.schedule == nil {
		return
	}
	asked := map[string]bool{}
	for i := range job.Deliveries {
		holder := job.Deliveries[i].Holder
		if job.Deliveries[i].Lease == 0 || job.listed[i] || asked[holder] {
			continue
		}
		asked[holder] = true
		if p := ss.cfg.Gossip.Snapshot().Get(holder); p != nil {
			go ss.stopRuns(p.Addr, job.ID)
		}
	}
}

// stopRuns bounds its goroutine by a second.
func (ss *submissionService) stopRuns(addr, jobID string) {
	ctx, cancel := context.WithTimeout(ss.ctx, time.Second)
	defer cancel()
	_ = ss.cfg.Transport.Call(ctx, addr, KindStopRuns, &StopRunsRequest{Job: jobID}, nil)
}
