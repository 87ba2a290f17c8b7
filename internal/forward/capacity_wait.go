package forward

import (
	"context"
	"time"

	"rowanshunt/internal/clock"
)

// A request whose tenant is within its guaranteed quota waits for the capacity that
// other tenants borrowed, at most until its latency target (design 17.4).
const (
	// capacityPollPeriod is short beside the least latency target, 0.1 s.
	capacityPollPeriod = 20 * time.Millisecond
	// maxCapacityWait bounds the wait where the target is longer, or there is none.
	maxCapacityWait = 500 * clock.Millisecond
)

// waitOrFail waits for capacity where the request has not run and may wait, and
// fails it otherwise. It tells whether the exchange has ended.
func (e *exchange) waitOrFail(ctx context.Context, retryAfterMs int64) (ended bool) {
	if !e.mayHaveRun && e.waitForCapacity(ctx) {
		return false
	}
	return e.fail(failure{retryAfterMs: retryAfterMs})
}

// waitForCapacity waits one period and resets the attempts, false if the request
// may not wait, or no longer.
func (e *exchange) waitForCapacity(ctx context.Context) bool {
	maxWait := maxCapacityWait
	if e.route.GoalMs > 0 {
		maxWait = min(clock.Micros(e.route.GoalMs)*clock.Millisecond, maxCapacityWait)
	}
	if clock.Since(e.start) >= maxWait || !e.forwarder.Gate.Entitled(e.requirements.Service, e.client.Host) {
		return false
	}
	if !e.shortageRecorded {
		e.shortageRecorded = true
		e.forwarder.Gate.RecordShortage(e.requirements.Service, e.client.Host)
	}
	clock.Sleep(ctx, capacityPollPeriod)
	// The route's tries bound how often a request may run. No attempt so far has run it
	// (waitOrFail), so none needs to be counted any more.
	e.attempts, e.requirements.Exclude = 0, nil
	return true
}
