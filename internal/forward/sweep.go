package forward

import (
	"time"

	"rowanshunt/internal/clock"
)

// suspectTimeout is how long a worker that could not be reached lately may be silent
// on a request that may be retried before another one is tried (design 6.5).
const suspectTimeout = 500 * clock.Millisecond

// minHeaderTimeout is the least time without a header after which a request that may
// be retried is taken from a worker that has capacity: a busy worker may well take
// longer than the service's usual.
const minHeaderTimeout = 600 * clock.Millisecond

// A worker may be silent between two events for so many of the pauses at which the
// stream is still in time, within bounds, before that counts as a failure (design
// 7.4).
const (
	silentGaps        = 4
	minSilenceTimeout = 1 * clock.Second
	maxSilenceTimeout = 2 * clock.Second
)

// silenceTimeoutFor is that time for a route's longest pause in milliseconds, 0 if
// it names none.
func silenceTimeoutFor(eventGapMs int64) clock.Micros {
	if eventGapMs <= 0 {
		return maxSilenceTimeout
	}
	return min(max(silentGaps*clock.Micros(eventGapMs)*clock.Millisecond, minSilenceTimeout), maxSilenceTimeout)
}

// Sweep looks over all requests at workers. It finds those that hang: at a worker that
// cannot be reached, or at one that fell silent amid its responses; what follows is up to
// who made the attempt. It counts a failure for each worker that is late.
func (s *Sender) Sweep() {
	now := clock.Now()
	lastProgress := s.lastProgressByWorker()
	var late []string
	s.Attempts.Each(func(attempt *Attempt) {
		if attempt.aborted.Load() || attempt.ctx.Err() != nil {
			return
		}
		if attempt.isLate(now) && !attempt.failureRecorded.Swap(true) {
			late = append(late, attempt.worker)
		}
		if attempt.onHang != nil && s.hangs(attempt, now, lastProgress[attempt.worker]) {
			s.recordHang(attempt)
			attempt.onHang(attempt)
		}
	})
	for _, worker := range late {
		s.Balancer.RecordWorkerOutcome(worker, false)
	}
}

// recordHang notes once that the attempt's worker does not respond.
func (s *Sender) recordHang(attempt *Attempt) {
	if !attempt.hung.Swap(true) {
		s.Balancer.RecordUnreachable(attempt.worker)
	}
}

// recordResumed notes that the attempt's worker responds again, if it had hung.
func (s *Sender) recordResumed(attempt *Attempt) {
	if attempt.hung.Swap(false) {
		s.Balancer.RecordReachable(attempt.worker)
	}
}

// lastProgressByWorker is when this node last received anything behind a header from
// each worker.
func (s *Sender) lastProgressByWorker() map[string]clock.Instant {
	last := map[string]clock.Instant{}
	s.Attempts.Each(func(attempt *Attempt) {
		if attempt.gotHeader.Load() {
			last[attempt.worker] = max(last[attempt.worker], clock.Instant(attempt.lastProgress.Load()))
		}
	})
	return last
}

// hangs tells whether the request had better be tried elsewhere.
func (s *Sender) hangs(attempt *Attempt, now, workerProgress clock.Instant) bool {
	silence := attempt.silence(now)
	if silence > suspectTimeout && s.Balancer.Suspect(attempt.worker) {
		return true
	}
	if attempt.gotHeader.Load() {
		// One response may pause while its worker continues others; a live worker
		// continues some.
		return silence > attempt.silenceTimeout && now.Sub(workerProgress) > attempt.silenceTimeout
	}
	// Without a header for so long the request hangs, unless the worker's load
	// explains it.
	return silence > max(attempt.headerTimeout, minHeaderTimeout) && s.Balancer.Idle(attempt.worker)
}

// abort makes reads and writes on the attempt's connection fail, unless the connection
// was given back.
func (a *Attempt) abort() {
	a.connMu.Lock()
	defer a.connMu.Unlock()
	if a.ended {
		return
	}
	a.aborted.Store(true)
	_ = a.conn.conn.SetDeadline(time.Unix(1, 0)) // long past
}

// end keeps abort from the connection, which is given back next.
func (a *Attempt) end() {
	a.stopWatch()
	a.connMu.Lock()
	defer a.connMu.Unlock()
	a.ended = true
}
