package batch

import "rowanshunt/internal/clock"

// clockValue is a value of a shard's clock, in microseconds of the time in which the shard
// had an owner, and the owner that it is of. It is neither an instant of any process nor
// a span, and travels as it is.
type clockValue struct {
	Term Term
	Us   int64
}

// newer returns the value of the higher term, of one term the higher value. A
// value of an owner that was cut off and ran on is thereby out, however high it
// is, once a majority has one of a later owner.
func (c clockValue) newer(w clockValue) clockValue {
	if c.Term.Less(w.Term) || c.Term == w.Term && c.Us < w.Us {
		return w
	}
	return c
}

// shardClock counts the time during which a shard had an owner: the ages of its
// jobs are read from it (design 8.12). It runs on the owner's steady clock and
// goes on, at the next owner or after a restart, from the newest value recorded
// at the replicas that answered the claim. So it never runs faster than time: what
// may not happen before a time happens late rather than early.
type shardClock struct {
	recorded clockValue    // newest value known here, by a record or as the owner
	onDisk   int64         // value on this disk
	started  clock.Instant // when this node started it as the owner; 0: it is stopped
}

// How often the clock is recorded at least, while the owner has nothing else to
// record.
const (
	clockRecordInterval     = 250 * clock.Millisecond // at the replicas, while a job is open
	clockIdleRecordInterval = 5 * clock.Second        // the same, while all jobs are closed
	clockSaveInterval       = clock.Second            // on their disks
)

// now reads the clock; it stands still where this node is not the owner.
func (s *shardClock) now(now clock.Instant) int64 {
	if s.started == 0 {
		return s.recorded.Us
	}
	return s.recorded.Us + int64(now.Sub(s.started))
}

// value is the clock's value with its owner.
func (s *shardClock) value(now clock.Instant) clockValue {
	return clockValue{Term: s.recorded.Term, Us: s.now(now)}
}

// record adopts a value that an owner recorded; an op of the previous version has
// none. This node's own clock does not follow it while it runs.
func (s *shardClock) record(term Term, clockUs int64) {
	if s.started == 0 && clockUs > 0 {
		s.recorded = s.recorded.newer(clockValue{Term: term, Us: clockUs})
	}
}

// saved notes that this value goes to the disk with a record.
func (s *shardClock) saved(clockUs int64) {
	if clockUs > 0 {
		s.onDisk = clockUs
	}
}

// start lets the clock run on under a new owner from the newest value found. It
// begins at 1: a job whose AcceptedUs is 0 has no time on it yet.
func (s *shardClock) start(term Term, now clock.Instant, newest clockValue) {
	s.stop(now)
	s.recorded = clockValue{Term: term, Us: max(s.recorded.newer(newest).Us, 1)}
	s.started = now
}

// stop keeps the value that the clock has reached.
func (s *shardClock) stop(now clock.Instant) { s.recorded, s.started = s.value(now), 0 }

// age is how long the job has waited while its shard had an owner.
func (s *shard) age(job *Job, now clock.Instant) clock.Micros {
	return clock.Micros(s.clock.now(now) - job.AcceptedUs)
}

// restartAge lets the age of a job begin now, true if it has none that
// counts: it was accepted by an owner of the previous version, or by one that was cut
// off and whose clock ran on. It counts as accepted now, so that nothing of it comes
// too early. Such a job is to be written in full.
func (s *shard) restartAge(job *Job, now clock.Instant) bool {
	shardNow := s.clock.now(now)
	if job.AcceptedUs != 0 && job.AcceptedUs <= shardNow {
		return false
	}
	job.AcceptedUs = shardNow
	return true
}

// clockInterval is how often the clock is recorded at least.
func (s *shard) clockInterval() clock.Micros {
	for _, job := range s.jobs {
		if !job.closed() {
			return clockRecordInterval
		}
	}
	return clockIdleRecordInterval
}
