package node

import (
	"context"
	"math/rand/v2"
	"time"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/eventloop"
)

// Times of the initial read: a node that starts reads the register before it serves
// (design 4.5).
const (
	initialReadPause = 150 * time.Millisecond
	// initialReadPausePerPeer keeps the attempts of all nodes together at the same rate,
	// however many they are.
	initialReadPausePerPeer = 4 * time.Millisecond
	// initialReadTimeout is of one attempt: far above a round trip to a majority.
	initialReadTimeout = time.Second
	// ownProposalEvery is how many attempts a node without a vote leaves to the members
	// before it makes a proposal itself to end their disagreement.
	ownProposalEvery = 16
)

// awaitInitialRead reads the register at a majority, as often as it takes, before the node
// serves anything: neither its own disk nor a peer knows what was committed since.
//
// Where the members disagree they end that themselves: hundreds of nodes that start at a
// time and each make a proposal would preempt each other without end.
func (n *Node) awaitInitialRead(ctx context.Context) {
	for attempt := 1; ctx.Err() == nil; attempt++ {
		if n.tryInitialRead(ctx, attempt) == nil {
			return
		}
		pause := initialReadPause + initialReadPausePerPeer*time.Duration(len(n.Gossip.Snapshot().Nodes))
		clock.Sleep(ctx, pause/2+rand.N(pause))
	}
}

// tryInitialRead makes one attempt at the initial read: it reads at a majority and applies
// what is committed.
func (n *Node) tryInitialRead(ctx context.Context, attempt int) error {
	read := n.Register.QuorumRead
	if n.Register.Votes() || attempt%ownProposalEvery == 0 {
		read = n.Register.Read
	}
	readCtx, cancel := context.WithTimeout(ctx, initialReadTimeout)
	_, err := read(readCtx)
	cancel()
	if err != nil {
		return err
	}
	_, err = eventloop.Call(ctx, n.Loop, func() bool {
		n.applyCommitted(n.Register.Committed())
		n.initialReadDone.Store(true)
		return true
	})
	return err
}
