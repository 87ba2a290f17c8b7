package balancer

import (
	"math"

	"rowanshunt/internal/clock"
)

// An observation counts up to outlierMultiple times the mean and outlierMargin: a late
// one says little of what is usual.
const (
	outlierMultiple = 4
	outlierMargin   = 1 * clock.Millisecond
)

// meanTime is an exponentially weighted mean of times. Its owner guards it.
type meanTime struct {
	us       float64 // microseconds
	observed bool
}

// observe takes one time into the mean, with a weight from 0 to 1.
func (m *meanTime) observe(time clock.Micros, weight float64) {
	if !m.observed {
		m.us, m.observed = float64(time), true
		return
	}
	bounded := math.Min(float64(time), float64(outlierMultiple*m.us)+float64(outlierMargin))
	m.us += float64(weight * (bounded - m.us))
}
