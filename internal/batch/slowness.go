package batch

import "rowanshunt/internal/clock"

// slowness judges whether a store's own event loop runs late: an owner that does leaves
// its shards while others are quicker (design 8.2). Nothing but the choice
// of an owner depends on it.
type slowness struct {
	last     clock.Instant
	meanLate float64 // microseconds that heartbeats are late: an exponential moving average
	slow     bool
	times    int64         // in a row
	until    clock.Instant // slow at least until then
}

// Figures of the judgement; our own.
const (
	slowLag    = 150 * clock.Millisecond // as late as this in the mean: slow
	wellLag    = 50 * clock.Millisecond  // and well again below this
	slowWeight = 0.2                     // of the newest heartbeat
	slowHold   = 10 * clock.Second       // doubled each time, so that shards do not move to and fro
	slowForget = clock.Minute
)

// heartbeat records a heartbeat that is due every period; true if the
// judgement changed.
func (s *slowness) heartbeat(now clock.Instant, period clock.Micros) bool {
	if s.last == 0 {
		s.last = now
		return false
	}
	late := float64(max(now.Sub(s.last)-period, 0))
	s.last = now
	s.meanLate += float64(slowWeight * (late - s.meanLate))
	switch {
	case !s.slow && s.meanLate > float64(slowLag):
		if now.Sub(s.until) > slowForget {
			s.times = 0
		}
		s.slow, s.until = true, now.Add(slowHold<<min(s.times, 3))
		s.times++
		return true
	case s.slow && now > s.until && s.meanLate < float64(wellLag):
		s.slow = false
		return true
	}
	return false
}
