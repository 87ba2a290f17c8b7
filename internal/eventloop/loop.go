// Package eventloop runs the commands and timers of one owner one after the other, in one
// goroutine (design 1.5).
package eventloop

import (
	"context"
	"time"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/fault"
)

const (
	// maxTimerWait is the longest time between two looks at the timers.
	maxTimerWait = clock.Second
	// minTimerWait keeps timers that are late from taking the loop from the commands.
	minTimerWait = clock.Millisecond
)

// Loop is the single goroutine that owns some state tables. Only functions that run on the
// loop, as a command or by a timer, may touch these tables, so they need no lock; other
// goroutines read immutable snapshots that such functions publish.
//
// A command must not block, and must not wait for another command of its own loop.
type Loop struct {
	commands chan func()
	timers   []timer // fixed once Run starts, then owned by its goroutine
}

type timer struct {
	period clock.Micros
	next   clock.Instant // the zero value is due at once
	fn     func()
}

// NewLoop makes an event loop whose queue holds at most depth commands.
func NewLoop(depth int) *Loop { return &Loop{commands: make(chan func(), depth)} }

// Every runs fn on the loop at its start and then once each period. It must be called
// before Run.
func (l *Loop) Every(period clock.Micros, fn func()) {
	l.timers = append(l.timers, timer{period: period, fn: fn})
}

// TryPost queues a command without waiting and reports false if the queue is full.
func (l *Loop) TryPost(fn func()) bool {
	select {
	case l.commands <- fn:
		return true
	default:
		return false
	}
}

// Post queues a command; while the queue is full it waits, until ctx ends. It does not
// wait for the command to run; a command that was queued when the loop ended never runs.
// The error is a fault.Refused: the command will not run.
func (l *Loop) Post(ctx context.Context, fn func()) error {
	select {
	case l.commands <- fn:
		return nil
	case <-ctx.Done():
		return fault.New(fault.Refused, "", "the queue of commands is full or closed", "try again later")
	}
}

// Call runs fn on the loop and returns its result. With a fault.Refused fn will not run;
// with a fault.Unsure ctx ended first, and fn may run yet.
func Call[T any](ctx context.Context, l *Loop, fn func() T) (T, error) {
	result := make(chan T, 1) // buffered: the loop never waits for a caller that gave up
	var zero T
	if err := l.Post(ctx, func() { result <- fn() }); err != nil {
		return zero, err
	}
	select {
	case v := <-result:
		return v, nil
	case <-ctx.Done():
		return zero, fault.New(fault.Unsure, "", "no answer from the event loop in time", "try again")
	}
}

// Run executes commands and timers until ctx ends. The caller's goroutine becomes the owner
// of the tables; Run must be called once.
func (l *Loop) Run(ctx context.Context) {
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case fn := <-l.commands:
			fn()
		case <-wake.C:
			next := l.runTimers(clock.Now())
			wake.Reset(max(next.Sub(clock.Now()), minTimerWait).Duration())
		}
	}
}

// runTimers runs the timers that are due and returns when to look at them again. A period
// counts from the start of the pass, and periods that were missed are not made up for.
func (l *Loop) runTimers(now clock.Instant) (next clock.Instant) {
	next = now.Add(maxTimerWait)
	for i := range l.timers {
		t := &l.timers[i]
		if now >= t.next {
			t.fn()
			t.next = now.Add(t.period)
		}
		next = min(next, t.next)
	}
	return next
}
