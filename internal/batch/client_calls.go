package batch

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/zeebo/xxh3"
)

// Time-outs of one attempt of a call. An owner that is silent for longer is asked again,
// or its successor is.
const (
	callAttemptTimeout   = 700 * time.Millisecond
	submitAttemptTimeout = 1500 * time.Millisecond // with the bodies
)

// SubmitOutcome is what became of a submission.
type SubmitOutcome uint8

// What a submission may come to. Only an accepted job is kept.
const (
	SubmitOverBacklog SubmitOutcome = iota // the backlog of its route is full
	SubmitAccepted                         // now, or by an earlier attempt
	SubmitConflict                         // another job was accepted under the id
	SubmitNoCapacity                       // the stores have no space for more jobs
)

// SubmitResult is an owner's answer to a submission.
type SubmitResult struct {
	Outcome      SubmitOutcome
	RetryAfterMs int64 // when a job that was not accepted may fit
}

func (sr *submitResponse) result() *SubmitResult {
	result := &SubmitResult{RetryAfterMs: sr.RetryAfterMs}
	switch {
	case sr.Conflict:
		result.Outcome = SubmitConflict
	case sr.Accepted:
		result.Outcome = SubmitAccepted
	case sr.NoCapacity:
		result.Outcome = SubmitNoCapacity
	}
	return result
}

// Submit sends a job to the owner of its shard, until ctx ends. leftUs is how long the
// caller waits, host that of the request. The job is first offered without its items, as
// the bodies of one that does not fit would fill the owner's link when it is needed most.
func (c *Client) Submit(ctx context.Context, host string, job *Job, backlog, leftUs int64) (*SubmitResult, error) {
	job.Digest = digestOf(job.Items)
	call := &submitRequest{Shard: ShardOf(host), Job: job, Backlog: backlog, LeftUs: leftUs, SubmissionID: rand.Uint64()}
	for i := range job.Items {
		call.Tokens += job.Items[i].Toks
	}
	bare, offer := *job, *call
	bare.Items = nil
	offer.Job, offer.Offer = &bare, true
	out := &submitResponse{}
	if err := c.Call(ctx, call.Shard, kindSubmit, &offer, out, callAttemptTimeout); err != nil {
		return nil, err
	}
	if !out.Reserved {
		return out.result(), nil
	}
	*out = submitResponse{}
	if err := c.Call(ctx, call.Shard, kindSubmit, call, out, submitAttemptTimeout); err != nil {
		return nil, err
	}
	return out.result(), nil
}

// ReadPage is a part of a job's results.
type ReadPage struct {
	Total   int64 // items of the job
	NextAt  int64 // position to read on from
	Results []ReadResult
}

// Read lists results from a position on, after at most waitMs if there are none yet.
// Their texts come decompressed.
func (c *Client) Read(ctx context.Context, host, jobID string, startAt, waitMs, maxBytes int64) (*ReadPage, error) {
	shardN := ShardOf(host)
	out := &readResponse{}
	call := &readRequest{Shard: shardN, JobID: jobID, StartAt: startAt, WaitUs: waitMs * 1000, MaxBytes: maxBytes}
	if err := c.Call(ctx, shardN, kindRead, call, out, time.Duration(waitMs)*time.Millisecond+callAttemptTimeout); err != nil {
		return nil, err
	}
	for i := range out.Results {
		result := &out.Results[i]
		text, err := Unpack(result.Enc, result.Msg, result.RawBytes)
		if err != nil {
			return nil, err
		}
		result.Msg = text
	}
	return &ReadPage{Total: out.Total, NextAt: out.NextAt, Results: out.Results}, nil
}

// ItemBody returns the body of an item that has no result yet.
func (c *Client) ItemBody(ctx context.Context, host, jobID, itemID string) ([]byte, error) {
	shardN := ShardOf(host)
	out := &itemBodyResponse{}
	err := c.Call(ctx, shardN, kindItemBody, &itemBodyRequest{Shard: shardN, JobID: jobID, ItemID: itemID}, out, callAttemptTimeout)
	return out.Body, err
}

// Cancel ends a job.
func (c *Client) Cancel(ctx context.Context, host, jobID string) error {
	shardN := ShardOf(host)
	return c.Call(ctx, shardN, kindCancelJob, &cancelJobRequest{Shard: shardN, JobID: jobID}, nil, callAttemptTimeout)
}

// digestOf identifies a job by its items: the hashes of the items' ids, in order.
func digestOf(items []Item) [2]uint64 {
	var h xxh3.Hasher
	var b [16]byte
	for i := range items {
		id := xxh3.HashString128(items[i].ID)
		binary.LittleEndian.PutUint64(b[:8], id.Lo)
		binary.LittleEndian.PutUint64(b[8:], id.Hi)
		_, _ = h.Write(b[:])
	}
	sum := h.Sum128()
	return [2]uint64{sum.Lo, sum.Hi}
}
