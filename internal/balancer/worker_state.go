package balancer

import (
	"rowanshunt/internal/clock"
	"rowanshunt/internal/discovery"
)

// Times of what is known of a worker's load.
const (
	// loadTTL is how long a reported load is gone by; workers report with each
	// response, and nodes exchange loads each half second.
	loadTTL = 1_500 * clock.Millisecond
	// fullPause is how long a worker that rejected a request for want of capacity is
	// thought full: a few of its steps.
	fullPause = 150 * clock.Millisecond
	// A worker that cannot be reached is left out, twice as long each time.
	baseUnreachable = 1 * clock.Second
	maxUnreachable  = 4 * clock.Second
	// suspectTTL is how long a failure makes a worker suspect.
	suspectTTL = 3 * clock.Second
	// maxBreaks is how many broken responses in a row count as unreachable.
	maxBreaks = 3
	// maxDoublings bounds the growth of pauses that double.
	maxDoublings = 3
)

// workerState is what this node knows of one worker. Balancer.mu guards it.
type workerState struct {
	slots int64

	// The load as it was last reported, by the worker to this node or by way of
	// another node.
	running      int64
	waiting      int64
	reported     clock.Instant
	reportedHere bool
	// sentSinceReport are this node's own requests begun less those ended since then.
	sentSinceReport int64

	// What this node has there.
	inFlight      int64
	itemsInFlight int64
	prefillTokens int64 // of prompts whose first event is not here yet

	unreachableUntil clock.Instant
	failures         int64 // in a row, to reach it
	lastFailure      clock.Instant
	fullUntil        clock.Instant
	firstSeen        clock.Instant
	outlierState
}

// workerStates are the states by worker id. Balancer.mu guards them: who calls a method
// holds it.
type workerStates map[string]*workerState

// stateOf is the state of a worker, made at the first call.
func (w workerStates) stateOf(worker *discovery.Worker) *workerState {
	state := w[worker.ID]
	if state == nil {
		state = &workerState{slots: max(worker.Slots, 1), firstSeen: clock.Now(), outlierState: outlierState{service: worker.Svc}}
		w[worker.ID] = state
	}
	return state
}

// withState runs f on the state of a worker, under the lock. It does nothing if the worker
// is unknown. f must not call methods of the balancer that take the lock.
func (b *Balancer) withState(id string, f func(*workerState)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state := b.workers[id]; state != nil {
		f(state)
	}
}

// isLeftOut tells whether the worker is left out, because it cannot be reached or for
// its failures.
func (w *workerState) isLeftOut(now clock.Instant) bool {
	return now < w.unreachableUntil || now < w.ejectedUntil
}

// hasFreshLoad tells whether the reported load is still gone by.
func (w *workerState) hasFreshLoad(now clock.Instant) bool { return now.Sub(w.reported) < loadTTL }

// estimatedLoad estimates what runs and waits at the worker now.
func (w *workerState) estimatedLoad(now clock.Instant) float64 {
	if !w.hasFreshLoad(now) {
		return float64(w.inFlight)
	}
	return max(float64(w.running+w.waiting+w.sentSinceReport), float64(w.inFlight))
}

// Done ends what Pick counted.
func (b *Balancer) Done(id string, item bool) {
	b.withState(id, func(state *workerState) {
		state.inFlight--
		state.sentSinceReport--
		if item {
			state.itemsInFlight--
		}
	})
}

// AddPrefill notes that the worker has tokens of a prompt to read or, below 0, that
// it has read them.
func (b *Balancer) AddPrefill(id string, tokens int64) {
	b.withState(id, func(state *workerState) {
		state.prefillTokens = max(state.prefillTokens+tokens, 0)
	})
}

// ObserveLoad takes the load that a worker reported with its response. The worker is
// reachable, then.
func (b *Balancer) ObserveLoad(id string, running, waiting, slots int64) {
	b.withState(id, func(state *workerState) {
		state.running, state.waiting = running, waiting
		state.reported, state.reportedHere, state.sentSinceReport = clock.Now(), true, 0
		if slots > 0 {
			state.slots = slots
		}
		state.markReachable()
	})
}

// RecordReachable notes that something came from the worker.
func (b *Balancer) RecordReachable(id string) {
	b.withState(id, (*workerState).markReachable)
}

func (w *workerState) markReachable() { w.failures, w.unreachableUntil = 0, 0 }

// MarkFull notes that the worker rejected a request for want of capacity.
func (b *Balancer) MarkFull(id string) {
	b.withState(id, func(state *workerState) { state.fullUntil = clock.Now().Add(fullPause) })
}

// RecordUnreachable notes that the worker could not be reached, or hung until the attempt
// was aborted. It is left out for a growing time.
func (b *Balancer) RecordUnreachable(id string) {
	b.withState(id, func(state *workerState) {
		now := clock.Now()
		state.countFailure(now)
		state.markUnreachable(now)
	})
}

// RecordBreak notes that the worker broke a response off. After maxBreaks in a row it is
// left out like one that cannot be reached.
func (b *Balancer) RecordBreak(id string) {
	b.withState(id, func(state *workerState) {
		now := clock.Now()
		state.countFailure(now)
		if state.failures >= maxBreaks {
			state.markUnreachable(now)
		}
	})
}

func (w *workerState) countFailure(now clock.Instant) {
	w.failures++
	w.lastFailure = now
}

// markUnreachable leaves the worker out for a time that doubles with its failures in a row.
func (w *workerState) markUnreachable(now clock.Instant) {
	w.unreachableUntil = now.Add(min(baseUnreachable<<min(w.failures-1, maxDoublings), maxUnreachable))
}

// Suspect tells whether the worker could lately not be reached, or is ejected.
func (b *Balancer) Suspect(id string) (suspect bool) {
	b.withState(id, func(state *workerState) {
		now := clock.Now()
		suspect = state.failures > 0 && now.Sub(state.lastFailure) < suspectTTL || now < state.ejectedUntil
	})
	return suspect
}

// Idle tells whether the worker reported lately that nothing waits there and that it
// has free slots: its load is no reason to be late.
func (b *Balancer) Idle(id string) (idle bool) {
	b.withState(id, func(state *workerState) {
		now := clock.Now()
		idle = state.hasFreshLoad(now) && state.waiting == 0 && state.estimatedLoad(now) < float64(state.slots)
	})
	return idle
}

// Utilization is the least part of the slots in use at any worker of the service, -1
// without workers.
func (b *Balancer) Utilization(directory *discovery.Directory, service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	least := -1.0
	for _, worker := range directory.ByService[service] {
		state := b.workers.stateOf(worker)
		if now < state.unreachableUntil {
			continue
		}
		if used := state.estimatedLoad(now) / float64(state.slots); least < 0 || used < least {
			least = used
		}
	}
	return least
}
