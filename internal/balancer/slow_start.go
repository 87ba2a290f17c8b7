package balancer

import (
	"rowanshunt/internal/clock"
	"rowanshunt/internal/discovery"
)

// Warming is a slow start: workers at a version get more requests the longer this
// node has known them.
type Warming struct {
	Ver    int64 // of the weights
	OverUs int64 // until it takes all, in microseconds
}

// isWarming tells whether a worker that came back has all the requests that it may
// have for now.
func (s *selection) isWarming(worker *discovery.Worker, state *workerState) bool {
	warming, ok := s.upgrades.Warm[worker.Svc]
	if !ok || warming.OverUs <= 0 || !hasVersion(worker, warming.Ver) {
		return false
	}
	over := clock.Micros(warming.OverUs)
	age := s.now.Sub(state.firstSeen)
	if age >= over {
		return false
	}
	allowed := 1 + int64(float64(state.slots)*float64(age)/float64(over))/s.edges
	return state.inFlight >= allowed
}
