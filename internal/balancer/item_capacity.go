package balancer

import (
	"math"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/discovery"
)

// liveReserve is how many times the root of a worker's slots stays free for live
// requests. They come by chance, so the slots that they need beside their mean grow
// with the root of the worker's size (design 7.3).
const liveReserve = 1.2

// slotsForItems is how far batch items may fill a worker: at least half of it.
func (w *workerState) slotsForItems() float64 {
	slots := float64(w.slots)
	return max(slots-float64(liveReserve*math.Sqrt(slots)), slots/2)
}

// Of the time that items take.
const (
	itemTimeSmoothing = 0.05 // weight of one item in the mean
	// minItemLoadTTL: no load is older by the time that it has come by way of an
	// aggregator, twice a second (design 5.2).
	minItemLoadTTL = 500 * clock.Millisecond
)

// ObserveItemTime notes how long an item ran at a worker of a service.
func (b *Balancer) ObserveItemTime(service string, took clock.Micros) {
	b.mu.Lock()
	defer b.mu.Unlock()
	mean := b.itemTimes[service]
	if mean == nil {
		mean = &meanTime{}
		b.itemTimes[service] = mean
	}
	mean.observe(took, itemTimeSmoothing)
}

// itemLoadTTL is how long a reported load keeps items away: what ran then has ended
// after the time that an item takes, and newer requests bring a newer report. Without
// this a worker that fell idle counted as busy for loadTTL, since nobody reports that.
// The caller holds b.mu.
func (b *Balancer) itemLoadTTL(service string) clock.Micros {
	mean := b.itemTimes[service]
	if mean == nil {
		return loadTTL
	}
	return min(max(clock.Micros(mean.us), minItemLoadTTL), loadTTL)
}

// loadForItems estimates what runs and waits at the worker, without reports of loads
// that are older than ttl.
func (w *workerState) loadForItems(now clock.Instant, ttl clock.Micros) float64 {
	if now.Sub(w.reported) >= ttl {
		return float64(w.inFlight)
	}
	return w.estimatedLoad(now)
}

// acceptsItems tells whether a worker is healthy and has capacity for one more item
// of this node. The caller holds b.mu.
func (b *Balancer) acceptsItems(w *workerState, service string, now clock.Instant) bool {
	if w.isLeftOut(now) || w.onProbation(now) || now < w.fullUntil {
		return false
	}
	ttl := b.itemLoadTTL(service)
	if w.loadForItems(now, ttl)+1 > w.slotsForItems() {
		return false
	}
	if now.Sub(w.reported) < ttl && w.waiting > 0 {
		return false
	}
	return w.itemsInFlight < w.itemShare(b.dispatchers)
}

// itemShare is one dispatcher's part of the slots for items.
func (w *workerState) itemShare(dispatchers int64) int64 {
	return int64(w.slotsForItems())/dispatchers + 1
}

// ItemCapacity is how many more batch items this node may send to a service's
// workers.
func (b *Balancer) ItemCapacity(directory *discovery.Directory, service string) int {
	out := b.upgrades.Load().Out
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	capacity := 0
	for _, worker := range directory.ByService[service] {
		state := b.workers.stateOf(worker)
		if out[worker.ID] || !b.acceptsItems(state, service, now) {
			continue
		}
		free := state.slotsForItems() - state.loadForItems(now, b.itemLoadTTL(service))
		capacity += int(min(int64(free), state.itemShare(b.dispatchers)-state.itemsInFlight))
	}
	return capacity
}
