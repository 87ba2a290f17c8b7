package soak

import (
	"context"
	"math"
	"sync"

	"rowanshunt/internal/clock"
)

// lossPatience is for how long the loss of a disk waits for others to be over.
const lossPatience = 10 * clock.Second

// lossCount counts the machines that are lost by the operators' page: of those that count in
// a quorum, the ones that are down or frozen, and those that returned, or whose successor
// started, less than sync_s ago. Any number of goroutines may use it.
//
// Disks are lost only while fewer than max other machines are. Processes end and freeze
// beside that as they are drawn: service may rest then, and nothing may be lost.
type lossCount struct {
	max int

	mu    sync.Mutex
	until map[string]clock.Instant // by the machine's name
}

func newLossCount(most int) *lossCount {
	return &lossCount{max: most, until: map[string]clock.Instant{}}
}

// down counts a machine as lost from now on.
func (lc *lossCount) down(name string) { lc.set(name, math.MaxInt64) }

// back tells that a machine returned, or that its successor started.
func (lc *lossCount) back(name string) { lc.set(name, clock.Now().Add(syncBound)) }

func (lc *lossCount) set(name string, until clock.Instant) {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	lc.until[name] = until
}

// tryLose counts a machine as lost, false if as many as may be are lost already.
func (lc *lossCount) tryLose(name string) bool {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	lost := 0
	for other, until := range lc.until {
		if other != name && until > clock.Now() {
			lost++
		}
	}
	if lost >= lc.max {
		return false
	}
	lc.until[name] = math.MaxInt64
	return true
}

// awaitLoss waits until a machine may be lost, false if that takes too long.
func (lc *lossCount) awaitLoss(ctx context.Context, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, lossPatience.Duration())
	defer cancel()
	for ctx.Err() == nil {
		if lc.tryLose(name) {
			return true
		}
		clock.Sleep(ctx, (10 * clock.Millisecond).Duration())
	}
	return false
}
