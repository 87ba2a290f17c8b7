package dispatch

import (
	"context"
	"sync"

	"rowanshunt/internal/batch"
	"rowanshunt/internal/clock"
)

// itemKey names an item, whatever its lease.
type itemKey struct {
	shard int
	job   string
	index int
}

// inFlightItem is an item that this node runs.
type inFlightItem struct {
	lease    uint64
	cancel   context.CancelFunc // ends its run
	assigned bool               // a worker was picked for its first attempt; stays set
}

// inFlight is the table of the items that this node runs. Its lock guards all of it;
// pollers, runs and the calls of owners use it.
type inFlight struct {
	mu    sync.Mutex
	items map[itemKey]*inFlightItem
	// sendUntil is, by shard, until when items may be sent to workers. Invariant: it is
	// at most deliveryTTL after the start of a poll that the shard's owner answered.
	sendUntil [batch.Shards]clock.Instant
}

func newInFlight() *inFlight { return &inFlight{items: map[itemKey]*inFlightItem{}} }

// deliver puts a delivered item into the table. If the item runs already, its run
// continues under the new lease, and start is false.
func (i *inFlight) deliver(ctx context.Context, key itemKey, lease uint64) (runCtx context.Context, start bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if running := i.items[key]; running != nil {
		running.lease = lease
		return nil, false
	}
	runCtx, cancel := context.WithCancel(ctx)
	i.items[key] = &inFlightItem{lease: lease, cancel: cancel}
	return runCtx, true
}

// remove removes a run's item from the table.
func (i *inFlight) remove(key itemKey) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if item := i.items[key]; item != nil {
		item.cancel()
		delete(i.items, key)
	}
}

// permit allows the items of shards to be sent until a moment.
func (i *inFlight) permit(shards []int, until clock.Instant) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, shard := range shards {
		if isShard(shard) {
			i.sendUntil[shard] = max(i.sendUntil[shard], until)
		}
	}
}

// maySend tells whether the item may be sent to a worker now.
func (i *inFlight) maySend(key itemKey) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.items[key] != nil && clock.Now() < i.sendUntil[key.shard]
}

// isShard tells whether a number that came in a call names a shard.
func isShard(n int) bool { return n >= 0 && n < batch.Shards }

// cancelLease ends the run of an item if it still runs under that lease.
func (i *inFlight) cancelLease(key itemKey, lease uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if item := i.items[key]; item != nil && item.lease == lease {
		item.cancel()
	}
}

// cancel ends the run of an item.
func (i *inFlight) cancel(key itemKey) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if item := i.items[key]; item != nil {
		item.cancel()
	}
}

// cancelJob ends the runs of a job's items.
func (i *inFlight) cancelJob(job string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for key, item := range i.items {
		if key.job == job {
			item.cancel()
		}
	}
}

// cancelAll ends all runs.
func (i *inFlight) cancelAll() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, item := range i.items {
		item.cancel()
	}
}

// leaseOf is the lease of an item, 0 if it does not run here.
func (i *inFlight) leaseOf(key itemKey) uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	if item := i.items[key]; item != nil {
		return item.lease
	}
	return 0
}

// markAssigned notes that a worker was picked for an item.
func (i *inFlight) markAssigned(key itemKey) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if item := i.items[key]; item != nil {
		item.assigned = true
	}
}

// counts are the items in the table, and those of them without a worker so far.
func (i *inFlight) counts() (items, unassigned int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, item := range i.items {
		if !item.assigned {
			unassigned++
		}
	}
	return len(i.items), unassigned
}

// countJob counts the items of a job.
func (i *inFlight) countJob(job string) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	count := 0
	for key := range i.items {
		if key.job == job {
			count++
		}
	}
	return count
}

// list names all items with their leases, as polls report them to owners.
func (i *inFlight) list() []batch.InFlightItem {
	i.mu.Lock()
	defer i.mu.Unlock()
	items := make([]batch.InFlightItem, 0, len(i.items))
	for key, item := range i.items {
		items = append(items, batch.InFlightItem{Shard: key.shard, Job: key.job, Item: key.index, Lease: item.lease})
	}
	return items
}
