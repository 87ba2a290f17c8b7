package discovery

import (
	"sync"
	"time"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/eventloop"
)

// pushWindow is how long the records that come one after the other are collected before
// they are pushed, each subscriber getting one call: with thousands of workers that
// register at a time, calls follow subscribers and not workers x subscribers. It is
// short beside the time in which an update is to be known (design 5.2).
const pushWindow = 20 * time.Millisecond

// maxPushBatch bounds the records of one push.
const maxPushBatch = 256

// pushBatch are the records that are pushed together.
type pushBatch struct {
	workers []Worker
	done    chan struct{} // closed once all subscribers have answered, or had the time to
}

// push sends records to all subscribers, together with those that come within pushWindow,
// and waits for them, at most pushWindow and pushTimeout. A subscriber that fails gets
// them with its next renewal.
func (a *aggregator) push(workers ...Worker) {
	<-a.join(workers).done
}

// join adds records to the batch that is being collected, or begins one.
func (a *aggregator) join(workers []Worker) *pushBatch {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending == nil || len(a.pending.workers) >= maxPushBatch {
		batch := &pushBatch{done: make(chan struct{})}
		a.pending = batch
		go a.pushAfterWindow(batch) // ends after pushWindow and pushTimeout
	}
	a.pending.workers = append(a.pending.workers, workers...)
	return a.pending
}

func (a *aggregator) pushAfterWindow(batch *pushBatch) {
	defer close(batch.done)
	clock.Sleep(a.client.lifetime, pushWindow)
	a.mu.Lock()
	if a.pending == batch {
		a.pending = nil
	}
	a.mu.Unlock()
	addrs, err := eventloop.Call(a.client.lifetime, a.loop, a.subscribers.addrs)
	if err != nil {
		return
	}
	var pushes sync.WaitGroup
	for _, addr := range addrs {
		pushes.Go(func() { _ = a.client.push(addr, &updateRequest{Workers: batch.workers}) })
	}
	pushes.Wait()
}
