package balancer

import (
	"sync"

	"rowanshunt/internal/clock"
)

// What is too long a wait for a response's header (design 7.4).
const (
	slowFactor         = 8.0 // times the service's usual wait
	minSlowFirstByte   = 400 * clock.Millisecond
	maxSlowFirstByte   = 2 * clock.Second
	firstByteSmoothing = 0.02 // weight of one response in the mean
)

// FirstByteTimes knows, by service, the usual wait for a response's header: an
// exponentially weighted mean.
type FirstByteTimes struct {
	mu    sync.Mutex
	usual map[string]*meanTime
}

func newFirstByteTimes() *FirstByteTimes { return &FirstByteTimes{usual: map[string]*meanTime{}} }

// Observe notes how long a worker took to the header of a response.
func (f *FirstByteTimes) Observe(service string, wait clock.Micros) {
	f.mu.Lock()
	defer f.mu.Unlock()
	mean := f.usual[service]
	if mean == nil {
		mean = &meanTime{}
		f.usual[service] = mean
	}
	mean.observe(wait, firstByteSmoothing)
}

// Slow is how long a worker of the service may take before that counts as a failure.
func (f *FirstByteTimes) Slow(service string) clock.Micros {
	f.mu.Lock()
	defer f.mu.Unlock()
	usual := 0.0
	if mean := f.usual[service]; mean != nil {
		usual = mean.us
	}
	return min(max(clock.Micros(slowFactor*usual), minSlowFirstByte), maxSlowFirstByte)
}
