// Package gossip is the membership of the nodes: every node exchanges digests of the
// records it knows with random peers, and detects failed nodes by records that stand
// still (design 3).
//
// The state table (table.go) is a state machine without I/O; the exchange (exchange.go)
// moves its records between nodes.
package gossip

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"github.com/zeebo/xxh3"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/logging"
	"rowanshunt/internal/rpc"
)

// Config is what the gossip of a node needs of the node.
type Config struct {
	Loop      *eventloop.Loop
	Mux       *rpc.Mux
	Transport rpc.Transport
	Log       *logging.Log
	Self      Peer     // this node's first record
	Seeds     []string // peer addresses to start from
	// DirectPeers names the peers that this node must be in contact with: they are
	// called in each round. It runs on the event loop; nil means none.
	DirectPeers func(*View) []string
}

// Gossip owns the state table of one node. Everything but Snapshot must run on the node's
// event loop.
type Gossip struct {
	// OnNewerRevision is notified on the event loop of a peer that knows a newer
	// revision of the register. It must be set before the event loop runs.
	OnNewerRevision func(p Peer)

	cfg          Config // SetSeeds replaces the seeds
	table        *table
	introduction *introduction
	rng          *rand.Rand
	view         atomic.Pointer[View] // latest snapshot, never nil
}

// New makes the gossip of one node, registers its call and starts its rounds, which end
// with ctx. It must be called before the event loop runs.
func New(ctx context.Context, cfg Config) *Gossip {
	seed := xxh3.HashString(cfg.Self.ProcessID())
	g := &Gossip{cfg: cfg, rng: rand.New(rand.NewPCG(seed, uint64(len(cfg.Self.Name)+1))), introduction: newIntroduction()}
	g.table = newTable(cfg.Self, g)
	g.publish()
	rpc.Handle(cfg.Mux, exchangeKind, g.handleExchange)
	cfg.Loop.Every(exchangeInterval, func() { g.round(ctx) })
	return g
}

// Snapshot returns the latest view. Any goroutine may call it.
func (g *Gossip) Snapshot() *View { return g.view.Load() }

// UpdateSelf changes this node's record.
func (g *Gossip) UpdateSelf(change func(p *Peer)) {
	change(&g.table.self)
	g.table.self.Heartbeat++
	g.publish()
}

// SetSeeds replaces the seeds, after the settings changed.
func (g *Gossip) SetSeeds(seeds []string) { g.cfg.Seeds = seeds }

// publish brings the liveness of the peers up to date and makes a new snapshot.
func (g *Gossip) publish() {
	now := clock.Now()
	g.table.updateLiveness(now)
	g.view.Store(g.table.view(now))
}

func (g *Gossip) peerJoined(p *Peer) {
	g.cfg.Log.Debug("peer_joined", "peer", p.Name, "addr", p.Addr)
}

func (g *Gossip) livenessChanged(s *NodeState) {
	if !s.Alive {
		g.cfg.Log.Info("peer_silent", "peer", s.Name, "addr", s.Addr)
		return
	}
	g.cfg.Log.Info("peer_alive", "peer", s.Name, "addr", s.Addr, "role", s.Role)
}

func (g *Gossip) newerRevision(p Peer) {
	if g.OnNewerRevision != nil {
		g.OnNewerRevision(p)
	}
}

// incarnationRaised publishes at once: others may hold the refuted record already.
func (g *Gossip) incarnationRaised(refuted Incarnation) {
	g.publish()
	g.cfg.Log.Info("incarnation_raised", "starts", g.table.self.Incarnation.starts(), "held", int64(refuted))
}
