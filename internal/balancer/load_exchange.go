package balancer

import (
	"rowanshunt/internal/clock"
	"rowanshunt/internal/discovery"
)

// Nodes exchange what they know of workers along the paths of discovery (design 7.1).
const (
	// maxReportedLoads bounds what one node reports at a time.
	maxReportedLoads = 256
	// reportOverlap: a load that is newer by less brings nothing.
	reportOverlap = 50 * clock.Millisecond
	// noLoad is the age of a load that is not known.
	noLoad = -1
)

// Loads lists the fresh loads for peers: those that workers reported to this node
// itself, or all it knows.
func (b *Balancer) Loads(all bool) []discovery.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	var loads []discovery.Load
	for id, state := range b.workers {
		load := discovery.Load{ID: id, Running: state.running, Waiting: state.waiting, Slots: state.slots, Age: now.Sub(state.reported)}
		load.Succeeded, load.Failed = state.outcomesForPeers(all, now)
		fresh := state.reported > 0 && state.hasFreshLoad(now) && (all || state.reportedHere)
		if !fresh {
			load.Age = noLoad
		}
		if (fresh || load.Failed > 0) && len(loads) < maxReportedLoads {
			loads = append(loads, load)
		}
	}
	return loads
}

// MergeLoads takes what a peer knows, where it is newer. from names the peer, "" the
// sum of the zone.
func (b *Balancer) MergeLoads(from string, loads []discovery.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	for i := range loads {
		load := &loads[i]
		state := b.workers[load.ID]
		if state == nil {
			continue
		}
		b.workers.acceptPeerReport(from, load, state, now)
		reported := now.Add(-load.Age)
		if load.Age < 0 || reported <= state.reported.Add(reportOverlap) {
			continue
		}
		state.running, state.waiting = load.Running, load.Waiting
		state.reported, state.reportedHere, state.sentSinceReport = reported, false, 0
		if load.Slots > 0 {
			state.slots = load.Slots
		}
	}
}
