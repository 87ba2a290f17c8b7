// Package clock is a process's steady clock in whole microseconds. It has one type
// for a moment and one for a span, so that the two cannot be mixed up (design 1.6).
package clock

import (
	"context"
	"time"
)

// Instant is a moment on this process's steady clock, in microseconds. It means
// nothing to another process. The zero value lies far before any start.
type Instant int64

// Micros is a span in whole microseconds.
type Micros int64

// Units of spans, for constants such as 600 * Millisecond.
const (
	Microsecond Micros = 1
	Millisecond        = 1_000 * Microsecond
	Second             = 1_000 * Millisecond
	Minute             = 60 * Second
)

// start keeps instants far above 0, so that the zero Instant is long ago.
const start = Instant(1) << 50

var began = time.Now()

// Now reads the steady clock.
func Now() Instant { return start + Instant(time.Since(began).Microseconds()) }

// Add is the instant a span later.
func (i Instant) Add(span Micros) Instant { return i + Instant(span) }

// Sub is the span from another instant to this one.
func (i Instant) Sub(other Instant) Micros { return Micros(i - other) }

// Since is the span from an instant until now.
func Since(i Instant) Micros { return Now().Sub(i) }

// FromDuration rounds a duration down to whole microseconds.
func FromDuration(duration time.Duration) Micros { return Micros(duration.Microseconds()) }

// Duration is the span as the standard library has it.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Milliseconds is the span in whole milliseconds, rounded down.
func (m Micros) Milliseconds() int64 { return int64(m / Millisecond) }

// Sleep waits for a duration, or until ctx ends.
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
