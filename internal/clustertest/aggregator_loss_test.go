package clustertest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rowanshunt/internal/discovery"
)

// Many workers register at a time, more than an aggregator sends in one answer.
const (
	registeringWorkers = 900
	registrationTime   = time.Second
	workerHeartbeat    = 1200 * time.Millisecond
	// workerLease is three heartbeats and the slack of design 5.3.
	workerLease = 3*workerHeartbeat + 700*time.Millisecond
)

// registrations are workers that begin to send heartbeats one after the other, each to any
// node that accepts it.
type registrations struct {
	cl      *cluster
	senders sync.WaitGroup

	mu       sync.Mutex
	accepted map[string]time.Time // by worker, when the first heartbeat was
}

func startRegistrations(ctx context.Context, cl *cluster) *registrations {
	r := &registrations{cl: cl, accepted: map[string]time.Time{}}
	for i := range registeringWorkers {
		r.senders.Go(func() {
			time.Sleep(registrationTime * time.Duration(i) / registeringWorkers)
			w := discovery.Worker{ID: fmt.Sprint("many-", i), Svc: "app", Addr: fmt.Sprintf("10.9.%d.%d:80", i/200, i%200), Az: zones[i%len(zones)], Slots: 4, Phase: "up"}
			for ctx.Err() == nil {
				r.send(ctx, &w)
				time.Sleep(workerHeartbeat)
			}
		})
	}
	return r
}

// send sends one heartbeat to one node after the other until one accepts it.
func (r *registrations) send(ctx context.Context, w *discovery.Worker) {
	for ctx.Err() == nil {
		edges := r.cl.runningEdges()
		w.Seq++
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		_, err := edges[rand.IntN(len(edges))].Discovery.Heartbeat(callCtx, *w)
		cancel()
		if err == nil {
			r.mu.Lock()
			defer r.mu.Unlock()
			if _, known := r.accepted[w.ID]; !known {
				r.accepted[w.ID] = time.Now()
			}
			return
		}
	}
}

// missing counts the workers that a directory has lacked for longer than the lease, since
// their first heartbeat was accepted or since they were last in it.
func (r *registrations) missing(directory *discovery.Directory, lastListed map[string]time.Time) (count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, accepted := range r.accepted {
		if directory.ByID[id] != nil {
			lastListed[id] = time.Now()
			continue
		}
		since, listed := lastListed[id]
		if !listed {
			since = accepted
		}
		if time.Since(since) > workerLease {
			count++
		}
	}
	return count
}

// The aggregator of a zone dies, stands still or is cut off while many workers register:
// none is missing at a node in contact for longer than a lease (design 5.2, 5.6).
func TestAggregatorIsLostWhileManyWorkersRegister(t *testing.T) {
	for _, tc := range []struct {
		how  string
		lose func(cl *cluster, name string)
	}{
		{"killed", func(cl *cluster, name string) { cl.kill(name) }},
		{"suspended", func(cl *cluster, name string) { cl.suspend(name) }},
		{"cut off", func(cl *cluster, name string) { cl.cutOff(name, true) }},
	} {
		t.Run(tc.how, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 31, 9, 0)
				cl.startServingEdges("app")
				lost := cl.machines["edge-8"].edge.Discovery.AggregatorFor("app")
				if lost == "edge-8" {
					lost = "edge-5" // of the same zone
				}
				ctx, stop := context.WithCancel(t.Context())
				workers := startRegistrations(ctx, cl)
				time.Sleep(registrationTime / 2)
				cl.excluded.Store(lost)
				tc.lose(cl, lost)
				lastListed := map[string]map[string]time.Time{}
				const watched = registrationTime + 3*workerLease
				for began := time.Now(); time.Since(began) < watched; time.Sleep(200 * time.Millisecond) {
					for _, e := range cl.runningEdges() {
						name := e.Gossip.Snapshot().Self.Name
						if name == lost {
							continue
						}
						if lastListed[name] == nil {
							lastListed[name] = map[string]time.Time{}
						}
						if missing := workers.missing(e.Discovery.Snapshot(), lastListed[name]); missing > 0 {
							t.Fatalf("%v after %s was %s, %s has lacked %d workers for longer than a lease", time.Since(began), lost, tc.how, name, missing)
						}
					}
				}
				if len(workers.accepted) != registeringWorkers {
					t.Errorf("%d of %d workers registered", len(workers.accepted), registeringWorkers)
				}
				if tc.how == "suspended" {
					cl.resume(lost)
				}
				stop()
				workers.senders.Wait()
			})
		})
	}
}
