package eventloop

import (
	"context"
	"time"
)

// RunEvery runs fn once each period, the first time after one period, in the caller's
// goroutine until ctx ends. It is for work that may block and therefore may not run on a
// Loop.
func RunEvery(ctx context.Context, period time.Duration, fn func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fn()
		}
	}
}
