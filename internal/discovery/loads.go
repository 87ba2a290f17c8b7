package discovery

import "rowanshunt/internal/clock"

// Load is a worker's load as a node last received it, with the recent outcomes of its
// requests. The order of the fields is a format: Load is sent to peers.
type Load struct {
	ID        string
	Running   int64
	Waiting   int64
	Slots     int64
	Age       clock.Micros // of the load; below 0 only the outcomes count
	Succeeded int64        // recent requests that succeeded, where some failed
	Failed    int64
}

// loadHooks pass loads between the calls of this package and their owner, the
// balancer. Either function may be nil.
type loadHooks struct {
	localLoads func(all bool) []Load
	onLoads    func(from string, loads []Load)
}

// local lists the loads that this node received from workers itself, or all it knows.
func (l *loadHooks) local(all bool) []Load {
	if l.localLoads == nil {
		return nil
	}
	return l.localLoads(all)
}

// merge hands over the loads that a node sent, "" for the node's own aggregator.
func (l *loadHooks) merge(from string, loads []Load) {
	if l.onLoads != nil {
		l.onLoads(from, loads)
	}
}
