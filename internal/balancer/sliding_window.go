package balancer

import "rowanshunt/internal/clock"

// slidingWindow counts in two buckets, the one that runs and the one before: what it
// holds is one to two bucket widths old, without a record of each event.
type slidingWindow[T any] struct {
	start             clock.Instant // of the current bucket
	current, previous T
}

// advance moves to the bucket of a moment; to be called before the counts are used.
func (s *slidingWindow[T]) advance(now clock.Instant, width clock.Micros) {
	var zero T
	switch age := now.Sub(s.start); {
	case age >= 2*width:
		s.previous, s.current, s.start = zero, zero, now
	case age >= width:
		s.previous, s.current, s.start = s.current, zero, s.start.Add(width)
	}
}
