package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"rowanshunt/internal/batch"
	"rowanshunt/internal/clock"
)

// Times of polls (design 9.2).
const (
	// deliveryTTL is how long after the start of an answered poll items may be sent. It
	// is below the time after which an item of an ended job must not run (cancel_ms), so
	// that a node that froze, or lost contact with the owner, sends nothing of it.
	deliveryTTL = 1_800 * clock.Millisecond
	// maxPollWait is how long an owner may hold a poll until it has items: twice in
	// deliveryTTL, so that one lost poll does not stop the runs.
	maxPollWait = 900 * clock.Millisecond
	// pollGrace is how much longer the answer is waited for.
	pollGrace = 600 * clock.Millisecond
	// A poll that failed, or had no capacity to offer, is followed by a pause between
	// one and two of these, drawn at random so that nodes spread.
	pollPause = 100 * time.Millisecond
)

// poll asks a store for items until it leaves the membership or nothing is left to do.
func (d *Dispatcher) poll(store string) {
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.pollers, store)
	}()
	for d.lifetime.Err() == nil {
		addr := d.addrOf(store)
		if addr == "" || d.isIdle() {
			return
		}
		if !d.pollOnce(addr) {
			clock.Sleep(d.lifetime, pollPause+rand.N(pollPause))
		}
	}
}

// addrOf is a live store's address, "" if it is none.
func (d *Dispatcher) addrOf(store string) string {
	for _, live := range d.Client.Stores() {
		if live.Name == store {
			return live.Addr
		}
	}
	return ""
}

// isIdle tells whether nothing is to be polled for: a node that closes, or dispatches no
// more, still polls for the items that it runs, to keep their leases.
func (d *Dispatcher) isIdle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isIdleLocked()
}

// pollOnce makes one poll and starts the runs of what it brings. It tells whether the
// next one may follow at once.
func (d *Dispatcher) pollOnce(addr string) (again bool) {
	request := d.pollRequest()
	start := clock.Now()
	ctx, cancel := context.WithTimeout(d.lifetime, (maxPollWait + pollGrace).Duration())
	defer cancel()
	response := &batch.PollResponse{}
	if err := d.Transport.Call(ctx, addr, batch.KindPoll, request, response); err != nil {
		return false
	}
	d.inFlight.permit(response.Shards, start.Add(deliveryTTL))
	for _, item := range response.Stop {
		d.inFlight.cancelLease(itemKey{item.Shard, item.Job, item.Item}, item.Lease)
	}
	for i := range response.Deliveries {
		d.startRun(&response.Deliveries[i], start)
	}
	return request.Capacity > 0
}

// pollRequest names the capacity of this node and what it runs, which renews the
// leases.
func (d *Dispatcher) pollRequest() *batch.PollRequest {
	capacity := max(d.capacity(), 0)
	if !d.acceptsItems() {
		capacity = 0
	}
	request := &batch.PollRequest{
		From:         d.Name,
		Capacity:     capacity,
		InFlight:     d.inFlight.list(),
		WaitUs:       int64(maxPollWait),
		LeftUs:       int64(maxPollWait + pollGrace),
		HostsAtLimit: d.hostsAtLimit(),
	}
	if len(request.HostsAtLimit) > 0 {
		request.WaitUs = int64(maxPollWait / 4) // a host at its limit may have capacity soon
	}
	if len(request.InFlight) > 0 {
		request.WaitUs = int64(maxPollWait / 2) // leases are renewed in good time
	}
	return request
}

// startRun starts the run of a delivered item, unless it runs here already.
func (d *Dispatcher) startRun(delivery *batch.DeliveredItem, polled clock.Instant) {
	if !isShard(delivery.Shard) {
		return
	}
	key := itemKey{delivery.Shard, delivery.Job, delivery.Index}
	ctx, start := d.inFlight.deliver(d.lifetime, key, delivery.Lease)
	if !start {
		return
	}
	run := newRun(d, key, delivery, polled.Add(clock.Micros(delivery.RetainLeftUs)))
	d.goroutines.Go(func() { run.execute(ctx) })
}
