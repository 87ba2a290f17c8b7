package discovery

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rowanshunt/internal/clock"
)

// Records that come within the window go to each subscriber in one call, and whoever
// pushes waits for it.
func TestPushesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := &fakeTransport{updates: map[string]*updateRequest{}, hanging: map[string]bool{"slow": true}}
		a := newTestAggregator(clock.Now(), nil)
		a.loop = runLoop(t)
		a.client = &peerClient{lifetime: t.Context(), transport: transport}
		onLoop(t, a.loop, func() {
			for name, addr := range map[string]string{"n": "near", "m": "slow"} {
				a.subscribers.renew(name, addr, clock.Now())
			}
		})
		const workers = 2*maxPushBatch + 1
		began := time.Now()
		var pushes sync.WaitGroup
		for i := range workers {
			pushes.Go(func() { a.push(upWorker(fmt.Sprint(i), 1)) })
		}
		pushes.Wait()
		if took := time.Since(began); took != pushWindow+pushTimeout.Duration() {
			t.Errorf("the pushes took %v, want the window and the time-out of the slow subscriber", took)
		}
		if got := transport.calls(); got["near"] != 3 || got["slow"] != 3 || len(got) != 2 {
			t.Errorf("calls by subscriber: %v, want 3 each", got)
		}
		if got := transport.workers("near"); got != workers {
			t.Errorf("%d records arrived, want %d", got, workers)
		}
	})
}
