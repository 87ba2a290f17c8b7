package consensus

import (
	"context"

	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/rpc"
)

// stateFetcher fetches committed states from peers that announce a newer revision
// than the learner has. It lives on the event loop.
type stateFetcher struct {
	ctx       context.Context // ends with the node
	loop      *eventloop.Loop
	transport rpc.Transport
	learner   *learner
	fetching  map[string]bool // by the peer's name: one fetch from each at a time
}

func newStateFetcher(ctx context.Context, loop *eventloop.Loop, transport rpc.Transport, learner *learner) *stateFetcher {
	return &stateFetcher{ctx: ctx, loop: loop, transport: transport, learner: learner, fetching: map[string]bool{}}
}

// observeRevision starts a fetch from a peer with a newer revision. Fetches are not
// waited for: there is one per peer at most, and each ends after stateTransferTimeout
// or with the node.
func (sf *stateFetcher) observeRevision(p gossip.Peer) {
	if sf.fetching[p.Name] {
		return
	}
	sf.fetching[p.Name] = true
	go func() {
		sf.fetch(p.Addr)
		// The loop refuses commands only when the node ends.
		_ = sf.loop.Post(sf.ctx, func() { delete(sf.fetching, p.Name) })
	}()
}

// fetch gives the learner the newest committed state of one peer. A fetch that fails
// is not repeated here: the peer goes on announcing the revision.
func (sf *stateFetcher) fetch(addr string) {
	ctx, cancel := context.WithTimeout(sf.ctx, stateTransferTimeout.Duration())
	defer cancel()
	s := &State{}
	if err := sf.transport.Call(ctx, addr, kindLatest, &rpc.Empty{}, s); err == nil {
		sf.learner.observe(s)
	}
}
