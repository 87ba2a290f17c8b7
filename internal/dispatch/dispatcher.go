package dispatch

import (
	"context"
	"sync"

	"rowanshunt/internal/batch"
	"rowanshunt/internal/config"
	"rowanshunt/internal/forward"
	"rowanshunt/internal/logging"
	"rowanshunt/internal/quota"
	"rowanshunt/internal/rpc"
)

// Dispatcher runs batch items on one node. Its exported fields are set before Start.
type Dispatcher struct {
	Transport     rpc.Transport
	Client        *batch.Client
	Sender        *forward.Sender
	Configuration func() *config.Configuration
	Log           *logging.Log
	Name          string // of this node, as owners know it
	// MaxInFlight bounds the items that run here at a time.
	MaxInFlight int
	// Dispatches tells whether this node polls for items now (design 9.1).
	Dispatches func() bool
	// Gate keeps items to their tenants' quota shares (design 17.4).
	Gate *quota.Gate

	lifetime context.Context // ends with the process
	inFlight *inFlight
	// goroutines counts the pollers and the runs. A poller adds the runs of the items
	// that it gets while it counts itself, so Close misses none.
	goroutines sync.WaitGroup

	mu      sync.Mutex
	pollers map[string]bool // by store
	closing bool
}

// Start registers the calls of owners. Items are polled once Tick is called.
func (d *Dispatcher) Start(ctx context.Context, mux *rpc.Mux) {
	d.lifetime = ctx
	d.inFlight = newInFlight()
	d.pollers = map[string]bool{}
	rpc.Handle(mux, batch.KindStopRuns, func(_ context.Context, in *batch.StopRunsRequest) (*rpc.Empty, error) {
		d.inFlight.cancelJob(in.Job)
		return &rpc.Empty{}, nil
	})
}

// Tick starts a poller for every live store that has none; to be called periodically.
func (d *Dispatcher) Tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isIdleLocked() {
		return
	}
	for _, store := range d.Client.Stores() {
		if !d.pollers[store.Name] {
			d.pollers[store.Name] = true
			d.goroutines.Go(func() { d.poll(store.Name) })
		}
	}
}

// isIdleLocked is isIdle for a caller that holds the lock.
func (d *Dispatcher) isIdleLocked() bool {
	items, _ := d.inFlight.counts()
	return (d.closing || !d.Dispatches()) && items == 0
}

// acceptsItems tells whether new items may be polled for.
func (d *Dispatcher) acceptsItems() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.closing && d.Dispatches()
}

// Close stops polling and waits, until ctx ends, for the polls and runs under way; runs
// that take longer are ended and their items nacked.
func (d *Dispatcher) Close(ctx context.Context) {
	d.mu.Lock()
	d.closing = true
	d.mu.Unlock()
	done := make(chan struct{})
	go func() { // ends with the last poller and run
		d.goroutines.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		d.inFlight.cancelAll()
	}
}

// InFlight counts the items of a job that run on this node.
func (d *Dispatcher) InFlight(job string) int { return d.inFlight.countJob(job) }
