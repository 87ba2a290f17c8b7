package soak

import (
	"context"

	"rowanshunt/internal/clock"
)

const (
	hostTick = 20 * clock.Millisecond
	// hostLag is how late a tick is when the machine counts as slowed: a packet that waits
	// for so long counts as such by the rules.
	hostLag = 500 * clock.Millisecond
)

// watchHost records when this process did not get the processor for hostLag, until ctx ends.
func watchHost(ctx context.Context, record *Record) {
	for last := clock.Now(); ctx.Err() == nil; {
		clock.Sleep(ctx, hostTick.Duration())
		now := clock.Now()
		if now.Sub(last) > hostTick+hostLag {
			record.addNode("", HostSlowed, "")
		}
		last = now
	}
}
