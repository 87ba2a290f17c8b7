package ingress

import "sync"

// maxAcknowledgements bounds memory; a trace is asked for soon after its change.
const maxAcknowledgements = 32

// acknowledgements are the last versions of the configuration that this node acknowledged
// to operators, for traces. The zero value is ready; it is safe for concurrent use.
type acknowledgements struct {
	mu   sync.Mutex
	last []acknowledgement // guarded by mu, oldest first
}

type acknowledgement struct{ version, wallUs int64 }

// add records that a version was acknowledged, and forgets the oldest over the bound.
func (a *acknowledgements) add(version, wallUs int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.last) >= maxAcknowledgements {
		a.last = a.last[1:]
	}
	a.last = append(a.last, acknowledgement{version, wallUs})
}

// at is the wall time at which a version was first acknowledged, 0 if it was not.
func (a *acknowledgements) at(version int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, one := range a.last {
		if one.version == version {
			return one.wallUs
		}
	}
	return 0
}
