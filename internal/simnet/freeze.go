package simnet

import (
	"context"
	"strings"

	"rowanshunt/internal/clock"
)

// holdPoll is how often traffic that is held looks whether it may go on.
const holdPoll = 5 * clock.Millisecond

// Freeze stops a machine's peer traffic, both ways, until it thaws. Nothing is lost:
// calls to it and replies for it arrive then, also those whose callers have gone.
func (n *Network) Freeze(addr string, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[addr] = frozen
}

// Stall holds the calls of kinds with a prefix that reach an address, as a disk
// does that does not respond; they are served once it ends.
func (n *Network) Stall(addr, kindPrefix string, stalled bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.stalled, addr)
	if stalled {
		n.stalled[addr] = kindPrefix
	}
}

// holds reports whether a machine is frozen, or the disk behind that kind of call
// stalled. Without a kind it asks about the machine alone.
func (n *Network) holds(addr, kind string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	prefix, stalled := n.stalled[addr]
	return n.frozen[addr] || stalled && kind != "" && strings.HasPrefix(kind, prefix)
}

// pass waits while traffic at an address is held; false if ctx ended first.
func (n *Network) pass(ctx context.Context, addr, kind string) bool {
	for n.holds(addr, kind) {
		if !wait(ctx, holdPoll.Duration()) {
			return false
		}
	}
	return true
}
