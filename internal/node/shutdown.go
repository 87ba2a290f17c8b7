package node

import (
	"context"

	"github.com/sourcegraph/conc"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/gossip"
)

// Spans of a graceful shutdown. All lie within the platform's grace period, the time
// between SIGTERM and SIGKILL.
const (
	// leavingSpread is how long gossip takes to bring a node's leaving to all peers.
	leavingSpread = 600 * clock.Millisecond
	// removalPoll is how often a store checks whether it is still a member.
	removalPoll = 50 * clock.Millisecond
	// storeReserve and edgeReserve are kept of the grace period for the end of the process.
	storeReserve = 1_000 * clock.Millisecond
	edgeReserve  = 900 * clock.Millisecond
	// unreadyNotice is how long the platform may take to see that an edge node is not
	// ready any more; until then it still sends connections.
	unreadyNotice = 2_500 * clock.Millisecond
	// nackTravel is how long the nacks of a node's items take to reach the owners.
	nackTravel = 150 * clock.Millisecond
)

// announceLeaving lets the peers know that this node shuts down, so that others take its
// singleton roles over.
func (n *Node) announceLeaving(ctx context.Context) {
	n.env.Log.Info("shutdown_started")
	_ = n.Loop.Post(ctx, func() { n.Gossip.UpdateSelf(func(self *gossip.Peer) { self.Leaving = true }) })
}

// gracePeriod is the time between SIGTERM and SIGKILL.
func (n *Node) gracePeriod() clock.Micros { return clock.Micros(n.opts.Load().GraceUs()) }

// Drain shuts an edge node down gracefully (design 11.3): it is unready at once, still
// accepts connections until the platform has noticed, and then answers all that it has
// read. closeServers closes the servers and returns when their requests are answered.
func (e *EdgeNode) Drain(ctx context.Context, closeServers func(context.Context)) {
	e.Ingress.Draining.Store(true)
	e.announceLeaving(ctx)
	drainCtx, cancel := context.WithTimeout(ctx, (e.gracePeriod() - edgeReserve).Duration())
	defer cancel()
	var wg conc.WaitGroup
	wg.Go(func() { e.Dispatcher.Close(drainCtx) })
	clock.Sleep(drainCtx, unreadyNotice.Duration())
	wg.Go(func() { closeServers(drainCtx) })
	wg.Wait()
	clock.Sleep(ctx, nackTravel.Duration())
	e.env.Log.Info("shutdown_finished")
}

// Shutdown shuts a store down gracefully (design 8.6): it stays until it is a member of no
// shard any more, within the grace period.
func (sn *StoreNode) Shutdown(ctx context.Context) {
	sn.announceLeaving(ctx)
	deadline := clock.Now().Add(sn.gracePeriod() - storeReserve)
	clock.Sleep(ctx, leavingSpread.Duration())
	for ctx.Err() == nil && !sn.BatchStore.Removed() && clock.Now() < deadline {
		clock.Sleep(ctx, removalPoll.Duration())
	}
	sn.env.Log.Info("shutdown_finished", "removed", sn.BatchStore.Removed())
}
