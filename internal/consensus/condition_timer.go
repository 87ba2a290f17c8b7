package consensus

import "rowanshunt/internal/clock"

// conditionTimer tells whether a condition has held for a span: before that, what is
// already in progress may end it.
type conditionTimer struct {
	since clock.Instant // 0 while the condition does not hold
}

// fires is given the condition as it is now. It is true when the condition has held
// for longer than the span, and starts the timer anew then: it is true again each span
// while the condition holds on.
func (ct *conditionTimer) fires(holds bool, after clock.Micros, now clock.Instant) bool {
	switch {
	case !holds:
		ct.since = 0
	case ct.since == 0:
		ct.since = now
	case now.Sub(ct.since) > after:
		ct.since = now // again later, if what is done about it fails
		return true
	}
	return false
}
