package batch

import "rowanshunt/internal/fault"
import "rowanshunt/internal/clock"

// Bounds of what is dropped at a time, and of how much longer than promised it is kept.
const (
	maxDropsPerFill  = 16
	retentionMargin  = 5 * clock.Second // calls under way
	defaultRetention = 2 * clock.Minute // where poll_s is not set
)

// retention is the age to which a job's results are kept: poll_s, for which they are
// promised from the time at which the job was sent, and a margin for calls under way.
// Ages run late, never early (design 8.12).
func (c *Config) retention() clock.Micros {
	if c.PollSpan > 0 {
		return c.PollSpan + retentionMargin
	}
	return defaultRetention + retentionMargin
}

// expireClosed drops a closed job's results when they are promised no longer, and
// later of the job. drops counts how many jobs lost their results in this fill.
func (d *deliveryService) expireClosed(s *shard, job *Job, age clock.Micros, drops *int) {
	retention := d.cfg.retention()
	switch {
	case age > max(d.cfg.Options.PurgeAge, retention) && age > 2*millis(job.RetainMs):
		d.replication.propose(s, op{Kind: opDrop, JobID: job.ID}, func(error) {})
	case age > retention && len(job.Items) > 0 && *drops < maxDropsPerFill:
		*drops++
		d.dropResults(s, job)
	}
}

// dropResults drops a closed job's items and results; what tells that its id was
// used, and by which items, stays (design 8.4).
func (d *deliveryService) dropResults(s *shard, job *Job) {
	d.replication.propose(s, op{Kind: opPut, JobID: job.ID, Revision: job.Revision + 1, Job: job.tombstone()}, func(error) {})
	if got := s.jobs[job.ID]; got != nil && got.schedule != nil {
		got.schedule = &itemSchedule{}
	}
}

// itemCount is how many items the job has, or had before they were dropped.
func (j *Job) itemCount() int { return max(len(j.Items), j.DroppedItems) }

// resultsDropped reports whether the job's results were dropped.
func (j *Job) resultsDropped() bool { return j.DroppedItems > 0 }

// errResultsDropped is the answer to readers of a job whose results are kept no longer.
func errResultsDropped(jobID string) error {
	return fault.New(fault.Unknown, jobID, "its results are kept no longer", "read a lot within poll_s")
}
