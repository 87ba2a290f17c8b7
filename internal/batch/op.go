package batch

import (
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/codec"
	"rowanshunt/internal/rpc"
)

// The ops of a shard and the rule by which they change its jobs. Nothing here has I/O, a
// clock or a lock.

// opKind is what an op does to a job.
type opKind uint8

const (
	opPut        opKind = iota + 1 // the complete job
	opResults                      // results at the end of the list
	opEnd                          // cancelled by its client (handleCancel)
	opRaiseTerm                    // the copy at Source belongs to this owner's term now
	opDrop                         // purged
	opNone                         // nothing: a confirmation
	opDeliveries                   // changed delivery rows
	opDelta                        // what a copy lacks since (Source, FromRevision)
)

// op is one change of a job, as it goes to the replicas and to disk.
type op struct {
	Kind         opKind
	JobID        string
	Term         Term
	Revision     uint64 // after the op
	Source       Term
	Job          *Job
	Results      []Result
	Deliveries   []DeliveryAt
	FromRevision uint64 // of a delta: the copy's revision under Source
	Listed       int    // of a delta: how many results the copy has listed
	Ended        bool
	ClockUs      int64 // the shard's clock when the op was made (design 8.12)

	raw msgpack.RawMessage // as it goes to disk and to replicas, once it was made
}

// DecodeMsgpack reads ops of earlier versions too.
func (o *op) DecodeMsgpack(d *msgpack.Decoder) error {
	return rpc.DecodeFields(d, &o.Kind, &o.JobID, &o.Term, &o.Revision, &o.Source, &o.Job, &o.Results, &o.Deliveries, &o.FromRevision, &o.Listed, &o.Ended, &o.ClockUs)
}

// encoded is the op as it goes to disk and to every replica: made once.
func (o *op) encoded() msgpack.RawMessage {
	if o.raw == nil {
		raw, err := codec.Marshal(o)
		if err != nil {
			panic(err) // plain data: cannot fail
		}
		o.raw = raw
	}
	return o.raw
}

// cost estimates the op's bytes in memory and on the wire.
func (o *op) cost() int {
	n := 64
	for i := range o.Results {
		n += len(o.Results[i].Msg) + 32
	}
	n += 48 * len(o.Deliveries)
	if o.Job != nil {
		n += o.Job.cost()
	}
	return n
}

// apply changes a shard's jobs by an op, false if the copy here does not fit it and the
// complete job is needed. It is the one rule for memory, replicas and the recovery of the
// file (design 8.3): an op that was applied before changes nothing.
func apply(jobs map[string]*Job, o *op) bool {
	job := jobs[o.JobID]
	switch {
	case o.Kind == opNone:
		return true
	case o.Kind == opPut:
		return applyPut(jobs, job, o)
	case o.Kind == opDrop:
		if job != nil && !o.Term.Less(job.Term) {
			delete(jobs, o.JobID)
		}
		return true
	case job == nil:
		return false
	case o.Kind == opRaiseTerm:
		return job.raiseTerm(o)
	case o.Kind == opDelta:
		return job.applyDelta(o)
	}
	return job.applyNext(o)
}

// applyPut replaces a copy that is older; what the owner keeps of it here stays.
func applyPut(jobs map[string]*Job, former *Job, o *op) bool {
	if o.Job == nil {
		return false
	}
	if former != nil && !former.olderThan(o.Term, o.Revision) {
		return true
	}
	job := *o.Job.snapshot()
	job.Term, job.Revision = o.Term, o.Revision
	job.index()
	if former != nil {
		job.committedResults = min(former.committedResults, len(job.Results))
		job.committed, job.endCommitted, job.schedule = former.committed, former.endCommitted, former.schedule
	}
	jobs[o.JobID] = &job
	return true
}

// raiseTerm makes a copy that a former owner left the new owner's.
func (j *Job) raiseTerm(o *op) bool {
	if j.Term == o.Term && j.Revision >= o.Revision {
		return true
	}
	if j.Term != o.Source || j.Revision != o.Revision {
		return false
	}
	j.Term = o.Term
	return true
}

// applyNext applies the op that follows the copy's revision under its term.
func (j *Job) applyNext(o *op) bool {
	if j.Term != o.Term {
		return false
	}
	if j.Revision >= o.Revision {
		return true
	}
	if j.Revision+1 != o.Revision {
		return false
	}
	j.Revision = o.Revision
	switch o.Kind {
	case opResults:
		j.listResults(o.Results)
	case opDeliveries:
		j.setDeliveries(o.Deliveries)
	case opEnd:
		j.end()
	}
	return true
}

// applyDelta brings a copy that stopped at an earlier revision to the owner's: the
// ops under one term follow each other, so a copy at (Source, FromRevision) is a prefix
// of the owner's.
func (j *Job) applyDelta(o *op) bool {
	if j.Term == o.Term && j.Revision >= o.Revision {
		return true
	}
	if j.Term != o.Source || j.Revision != o.FromRevision || len(j.Results) != o.Listed {
		return false
	}
	j.listResults(o.Results)
	j.setDeliveries(o.Deliveries)
	if o.Ended && !j.Ended {
		j.end()
	}
	j.Term, j.Revision = o.Term, o.Revision
	return true
}

// changesSince is what a copy lacks, nil if it is no prefix of this one.
func (j *Job) changesSince(term Term, c jobVersion) *op {
	same := c.Term == j.Term && c.Revision <= j.Revision
	former := c.Term == j.source.Term && c.Revision <= j.source.Revision
	if !same && !former || c.Listed > len(j.Results) || j.refused() || j.ageRestarted || j.resultsDropped() {
		return nil
	}
	o := &op{Kind: opDelta, JobID: j.ID, Term: term, Revision: j.Revision, Source: c.Term, FromRevision: c.Revision, Listed: c.Listed, Ended: j.Ended,
		Results: slices.Clip(j.Results[c.Listed:])}
	for i := range j.Deliveries {
		if !j.listed[i] {
			o.Deliveries = append(o.Deliveries, DeliveryAt{Item: i, Delivery: j.Deliveries[i]})
		}
	}
	return o
}
