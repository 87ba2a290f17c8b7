package discovery

import (
	"context"
	"maps"
	"sync"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/consensus"
	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/rpc"
)

const (
	// heartbeatFlushPeriod is that of forwarding heartbeats without changes: calls
	// follow aggregators, not heartbeats (design 5.2).
	heartbeatFlushPeriod = 200 * clock.Millisecond
	// acknowledgeTimeout bounds the answer to a heartbeat that brings a change: a
	// worker waits for one second.
	acknowledgeTimeout = 750 * clock.Millisecond
)

// updates brings what this node learns from workers to the other nodes.
type updates struct {
	localNode
	aggregator *aggregator

	unsent map[string]bool // workers with heartbeats to forward; event loop
}

// handleUpdate answers kindUpdate.
func (u *updates) handleUpdate(ctx context.Context, in *updateRequest) (*rpc.Empty, error) {
	_, err := eventloop.Call(ctx, u.loop, func() bool { return u.table.mergeAll(in.Workers, clock.Now()) })
	if err == nil && in.Relay {
		u.aggregator.push(in.Workers...)
	}
	return &rpc.Empty{}, err
}

// queueHeartbeat has the worker's record forwarded with the next flush.
func (u *updates) queueHeartbeat(id string) { u.unsent[id] = true }

// flushHeartbeats forwards the queued heartbeats to the aggregators, one call for each.
func (u *updates) flushHeartbeats() {
	if len(u.unsent) == 0 {
		return
	}
	for name, workers := range u.heartbeatsByAggregator(clock.Now()) {
		// Ends after updateTimeout. A flush that fails is made good by the worker's
		// next heartbeat.
		go func() { _ = u.client.updateNode(name, &updateRequest{Workers: workers}) }()
	}
	clear(u.unsent)
}

func (u *updates) heartbeatsByAggregator(now clock.Instant) map[string][]Worker {
	view := u.view()
	byService := map[string]map[string]string{}
	byAggregator := map[string][]Worker{}
	for id := range u.unsent {
		r := u.table.records[id]
		if r == nil {
			continue
		}
		if byService[r.Svc] == nil {
			byService[r.Svc] = u.placement.aggregators(r.Svc, view)
		}
		for _, name := range byService[r.Svc] {
			if name != u.self.Name {
				byAggregator[name] = append(byAggregator[name], r.aged(now))
			}
		}
	}
	return byAggregator
}

// acceptances collects the names of the nodes that accepted an update.
type acceptances struct {
	mu    sync.Mutex
	names map[string]bool
}

func (a *acceptances) add(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.names[name] = true
}

func (a *acceptances) snapshot() map[string]bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.names)
}

// broadcast sends a worker's record to the core members given and to the aggregator of
// each zone, which pushes it to its subscribers. It returns who accepted it within
// acknowledgeTimeout, this node included.
//
// What is slower goes on without the caller: a zone takes at most twice updateTimeout,
// that of its aggregator and that of its nodes.
func (u *updates) broadcast(ctx context.Context, w Worker, aggregators map[string]string, core []consensus.Member) map[string]bool {
	ctx, cancel := context.WithTimeout(ctx, acknowledgeTimeout.Duration())
	defer cancel()
	accepted := &acceptances{names: map[string]bool{u.self.Name: true}}
	var calls sync.WaitGroup
	for _, m := range core {
		if m.Name == u.self.Name {
			continue
		}
		// Not relayed, even if the member is an aggregator too: its answer would wait
		// for the slowest of its subscribers.
		calls.Go(func() {
			if u.client.updateMember(m, &updateRequest{Workers: []Worker{w}}) == nil {
				accepted.add(m.Name)
			}
		})
	}
	for az, name := range aggregators {
		calls.Go(func() { u.sendToZone(az, name, w, accepted) })
	}
	done := make(chan struct{})
	go func() { calls.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
	}
	return accepted.snapshot()
}

// sendToZone brings a record to a zone by way of its aggregator, the node with that name,
// or, where that does not answer, to each node of the zone that serves requests.
func (u *updates) sendToZone(az, name string, w Worker, accepted *acceptances) {
	if name == u.self.Name {
		u.aggregator.push(w)
		return
	}
	if u.client.updateNode(name, &updateRequest{Relay: true, Workers: []Worker{w}}) == nil {
		accepted.add(name)
		return
	}
	others := u.view().Names(func(n *gossip.NodeState) bool {
		return n.Az == az && n.Role == u.self.Role && n.Alive && n.Name != u.self.Name && n.Name != name
	})
	var calls sync.WaitGroup
	for _, other := range others {
		calls.Go(func() {
			if u.client.updateNode(other, &updateRequest{Workers: []Worker{w}}) == nil {
				accepted.add(other)
			}
		})
	}
	calls.Wait()
}
