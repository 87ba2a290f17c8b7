package gossip

import (
	"context"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/fault"
)

// exchangeKind is the kind of the exchange call. The value is that of the first version:
// nodes of several versions run together during an upgrade.
const exchangeKind = "swarm.shuffle"

const (
	// exchangeInterval is the time between two rounds. Failure detection counts in
	// rounds, and the processor that gossip costs grows as the interval shrinks.
	exchangeInterval = 200 * clock.Millisecond
	// exchangeTimeout bounds an exchange with both of its calls: three rounds, less
	// than contactTimeout.
	exchangeTimeout = 600 * clock.Millisecond
	// maxDigests bounds the digests, and the requested records, of one message.
	maxDigests = 64
	// maxReceived bounds what is read of one message, whatever its sender put in.
	maxReceived = 4 * maxDigests
	// minLivingPeers is the number of living peers below which every round goes to a seed.
	minLivingPeers = 3
	// seedRounds is the least mean number of rounds between two exchanges with a seed once
	// enough peers are known: every 5 s.
	seedRounds = 25
	// silentRounds is the mean number of rounds between two attempts at a silent peer: every 2 s.
	silentRounds = 10
)

// exchangeMessage is one direction of a push/pull exchange. It travels as a msgpack
// array: the order of the fields is the format.
type exchangeMessage struct {
	From    Peer
	Digests []byte   // of some of the sender's peers, see encodeDigests
	Want    []uint64 // keys whose records the sender requests
	Records []Peer   // that the receiver requested or must refute
	Ping    bool     // only the answer matters
}

// handleExchange answers an exchange. A first call is answered with digests and the keys
// that are unknown here, a second one or a ping without them.
func (g *Gossip) handleExchange(ctx context.Context, in *exchangeMessage) (*exchangeMessage, error) {
	return eventloop.Call(ctx, g.cfg.Loop, func() *exchangeMessage {
		now := clock.Now()
		unknown := g.table.merge(in, now)
		records := append(g.table.records(in.Want), g.table.newerThanSender(&in.From)...)
		out := &exchangeMessage{From: g.table.self, Records: records}
		if first := len(in.Records) == 0 && len(in.Want) == 0; first && !in.Ping {
			out.Digests, out.Want = encodeDigests(g.table.digests(now, g.rng)), unknown
		}
		return out
	})
}

// round starts this round's exchanges and pings.
func (g *Gossip) round(ctx context.Context) {
	g.table.self.Heartbeat++
	g.introduction.rounds++
	g.publish()
	v := g.Snapshot()
	addrs, pings := g.exchangeAddrs(v), g.directAddrs(v)
	digests := encodeDigests(g.table.digests(clock.Now(), g.rng))
	for addr := range addrs {
		delete(pings, addr)
		g.exchange(ctx, addr, &exchangeMessage{From: g.table.self, Digests: digests})
	}
	for addr := range pings {
		g.exchange(ctx, addr, &exchangeMessage{From: g.table.self, Ping: true})
	}
}

// exchangeAddrs draws the peers to exchange digests with in this round: a living one, a
// seed in the first rounds, and now and then a seed and a silent one, so that the sides of a
// partition find each other again (design 3.3).
func (g *Gossip) exchangeAddrs(v *View) map[string]bool {
	addrs := map[string]bool{}
	living := v.Names(func(s *NodeState) bool { return s.Alive && s.Name != v.Self.Name })
	if len(living) > 0 {
		addrs[v.Get(living[g.rng.IntN(len(living))]).Addr] = true
	}
	if seeds := g.seedsDue(len(living)); len(seeds) > 0 {
		addrs[seeds[g.rng.IntN(len(seeds))]] = true
	}
	if g.rng.IntN(silentRounds) == 0 {
		if silent := v.Names(func(s *NodeState) bool { return !s.Alive }); len(silent) > 0 {
			addrs[v.Get(silent[g.rng.IntN(len(silent))]).Addr] = true
		}
	}
	return addrs
}

// seedsDue lists the seeds of which this round's exchange takes one, none if it goes to no
// seed: first those that have not answered yet, then now and then any.
func (g *Gossip) seedsDue(living int) []string {
	if pending := g.introduction.pending(g.cfg.Seeds, g.table.self.Addr); len(pending) > 0 {
		return pending
	}
	if g.rng.IntN(roundsBetweenSeeds(living)) == 0 {
		return g.cfg.Seeds
	}
	return nil
}

// directAddrs are the addresses of the peers that this node must be in contact with.
func (g *Gossip) directAddrs(v *View) map[string]bool {
	addrs := map[string]bool{}
	if g.cfg.DirectPeers == nil {
		return addrs
	}
	for _, name := range g.cfg.DirectPeers(v) {
		if s := v.Get(name); s != nil && name != v.Self.Name {
			addrs[s.Addr] = true
		}
	}
	return addrs
}

// roundsBetweenSeeds is the mean number of rounds between two exchanges with a seed. All
// nodes have the same seeds, so it grows with the peers: the load on a seed must not
// grow with the system (design 3.3).
func roundsBetweenSeeds(living int) int {
	if living < minLivingPeers {
		return 1
	}
	return max(seedRounds, living)
}

// exchange runs one exchange in a goroutine of its own; a second call carries the records
// that either side requested. Nothing waits for the goroutine: it lives for no longer
// than exchangeTimeout and its two commands to the event loop, which end with ctx.
func (g *Gossip) exchange(ctx context.Context, addr string, msg *exchangeMessage) {
	if addr == g.table.self.Addr {
		return
	}
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout.Duration())
		defer cancel()
		var answer exchangeMessage
		err := g.cfg.Transport.Call(callCtx, addr, exchangeKind, msg, &answer)
		second, loopErr := eventloop.Call(ctx, g.cfg.Loop, func() *exchangeMessage {
			unknown := g.observeAnswer(addr, &answer, err)
			if len(unknown) == 0 && len(answer.Want) == 0 {
				return nil
			}
			return &exchangeMessage{From: g.table.self, Want: unknown, Records: g.table.records(answer.Want)}
		})
		if loopErr != nil || second == nil {
			return
		}
		var last exchangeMessage
		err = g.cfg.Transport.Call(callCtx, addr, exchangeKind, second, &last)
		_ = g.cfg.Loop.Post(ctx, func() { g.observeAnswer(addr, &last, err) })
	}()
}

// observeAnswer merges the answer of a call, or takes note of its failure, and lists the
// keys that are unknown here. An address that refuses connections has no process
// behind it, so contact with it is lost at once; after other failures the time-out
// decides.
func (g *Gossip) observeAnswer(addr string, answer *exchangeMessage, err error) (unknown []uint64) {
	if fault.Is(err, fault.Unreached) {
		g.table.contactLost(addr)
	}
	if err != nil {
		return nil
	}
	g.introduction.answer(addr)
	now := clock.Now()
	unknown = g.table.merge(answer, now)
	g.table.contactMade(answer.From.Name, now)
	return unknown
}
