package balancer

import (
	"sync"

	"rowanshunt/internal/clock"
)

// outcomeWidth is the width of one of the two buckets in which a service's responses,
// and the requests of prefix groups, are counted: long enough for a service of a few
// requests a second.
const outcomeWidth = 5 * clock.Second

// ServiceOutcomes are counts of a service's responses.
type ServiceOutcomes struct{ Responses, Late, Failed int64 }

// Outcomes counts how the responses of each service ended, for rolling upgrades that
// pause when a service gets worse.
type Outcomes struct {
	mu        sync.Mutex
	byService map[string]*slidingWindow[ServiceOutcomes]
}

func newOutcomes() *Outcomes {
	return &Outcomes{byService: map[string]*slidingWindow[ServiceOutcomes]{}}
}

// Record counts one response.
func (o *Outcomes) Record(service string, late, failed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := clock.Now()
	window := o.byService[service]
	if window == nil {
		window = &slidingWindow[ServiceOutcomes]{start: now}
		o.byService[service] = window
	}
	window.advance(now, outcomeWidth)
	window.current.Responses++
	if late {
		window.current.Late++
	}
	if failed {
		window.current.Failed++
	}
}

// Recent adds up the last one to two buckets.
func (o *Outcomes) Recent(service string) ServiceOutcomes {
	o.mu.Lock()
	defer o.mu.Unlock()
	window := o.byService[service]
	if window == nil {
		return ServiceOutcomes{}
	}
	window.advance(clock.Now(), outcomeWidth)
	return ServiceOutcomes{
		Responses: window.current.Responses + window.previous.Responses,
		Late:      window.current.Late + window.previous.Late,
		Failed:    window.current.Failed + window.previous.Failed,
	}
}
