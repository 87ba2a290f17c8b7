package consensus

import (
	"context"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/rpc"
)

// stateTransferTimeout bounds the push or fetch of a state. Whoever misses it gets
// the state by the revisions that gossip carries.
const stateTransferTimeout = 1 * clock.Second

// broadcaster pushes committed states to the other nodes. It may be used from any
// goroutine.
type broadcaster struct {
	ctx       context.Context // ends with the node
	transport rpc.Transport
	gossip    *gossip.Gossip
	self      string
}

// broadcast pushes a committed state to every live peer that has not announced the
// revision yet; gossip brings it to the rest. The pushes are not waited for: there is
// one per peer, and each ends after stateTransferTimeout or with the node.
func (b *broadcaster) broadcast(s *State) {
	for _, p := range b.gossip.Snapshot().Nodes {
		if p.Name != b.self && p.Alive && p.Revision < s.Revision {
			go b.push(p.Addr, s)
		}
	}
}

func (b *broadcaster) push(addr string, s *State) {
	ctx, cancel := context.WithTimeout(b.ctx, stateTransferTimeout.Duration())
	defer cancel()
	// A failed push is made up for by the stateFetcher of that peer.
	_ = b.transport.Call(ctx, addr, kindCommitted, s, nil)
}
