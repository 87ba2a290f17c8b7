// Package dispatch is the dispatcher: it takes prompts from the shards'
// owners, runs them in the room that live work leaves, goes on with
// Last-Event-Id after a break, and acks once the result is durable (design 9).
package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"rowanshunt/internal/balancer"
	"rowanshunt/internal/config"
	"rowanshunt/internal/discovery"
	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/forward"
	"rowanshunt/internal/logging"
	"rowanshunt/internal/lotstore"
	"rowanshunt/internal/quota"
	"rowanshunt/internal/rpc"
)

// Times of the dispatcher (design 9.2).
const (
	leaveUs    = 1_800_000 // how long a confirmed take lets items be sent
	takeUs     = 900_000   // how long a take may be held
	takeOverUs = 600_000   // how much longer its answer is waited for
	placeUs    = 400_000   // how long an item may look for its first worker
	settleUs   = 5_000_000 // how long an ack or a nack is sent again
	maxBreaks  = 8
)

// Dispatcher runs items on one node.
type Dispatcher struct {
	Transport     rpc.Transport
	Client        *lotstore.Client
	Sender        *forward.Sender
	Configuration func() *config.Configuration
	Log           *logging.Log
	Name          string
	MaxHeld       int
	// Dispatches tells whether this node takes items now (design 9.1).
	Dispatches func() bool
	// Gate keeps items to their tenants' fair shares (design 17.4).
	Gate *quota.Gate

	mu      sync.Mutex
	held    map[item]*inHand
	leave   [lotstore.Shards]int64 // until when items of a shard may be sent
	stores  map[string]bool
	closing bool
	ctx     context.Context
	// all counts the takers and the items in hand. A taker adds the items that it is
	// given while it counts itself, so Close misses none.
	all sync.WaitGroup
}

// item names what is in hand, whatever its lease.
type item struct {
	shard int
	lot   string
	item  int
}

type inHand struct {
	lease  uint64
	cancel context.CancelFunc
	placed bool // a worker was found for it
}

// Start joins the node's call mux.
func (n *Dispatcher) Start(ctx context.Context, mux *rpc.Mux) {
	n.ctx = ctx
	n.held = map[item]*inHand{}
	n.stores = map[string]bool{}
	rpc.On(mux, "nurse.stop", func(_ context.Context, in *lotstore.StopCall) (*rpc.Nothing, error) {
		n.stopLot(in.Lot)
		return &rpc.Nothing{}, nil
	})
}

func (n *Dispatcher) stopLot(lot string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for k, h := range n.held {
		if k.lot == lot {
			h.cancel()
		}
	}
}

// Tick starts a taker for every store in sight; to be run every 300 ms.
func (n *Dispatcher) Tick() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closing || !n.Dispatches() && len(n.held) == 0 {
		return
	}
	for _, s := range n.Client.Stores() {
		if !n.stores[s.Name] {
			n.stores[s.Name] = true
			n.all.Go(func() { n.takeFrom(s.Name) })
		}
	}
}

// Close stops taking and waits, until ctx ends, for the takes under way and for what
// is in hand; the rest is given back.
func (n *Dispatcher) Close(ctx context.Context) {
	n.mu.Lock()
	n.closing = true
	n.mu.Unlock()
	done := make(chan struct{})
	go func() { n.all.Wait(); close(done) }()
	select {
	case <-done:
		return
	case <-ctx.Done():
	}
	n.mu.Lock()
	for _, h := range n.held {
		h.cancel()
	}
	n.mu.Unlock()
}

// room is how many more items this node could run now.
func (n *Dispatcher) room() int {
	bp := n.Configuration()
	if bp == nil {
		return 0
	}
	dir := n.Sender.Dir()
	svcs := map[string]bool{}
	for _, b := range bp.Routes {
		if b.Type == config.Bulk {
			for _, s := range b.Split {
				if s.Wt > 0 {
					svcs[s.Svc] = true
				}
			}
		}
	}
	room := 0
	for svc := range svcs {
		room += n.Sender.Balancer.ItemRoom(dir, svc)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	unplaced := 0
	for _, h := range n.held {
		if !h.placed {
			unplaced++
		}
	}
	return min(room-unplaced, n.MaxHeld-len(n.held))
}

// full lists the hosts whose items would not be admitted now; empty without
// quotas.
func (n *Dispatcher) full() []string {
	bp := n.Configuration()
	if bp == nil || n.Gate.Rules() == nil {
		return nil
	}
	bySvc := map[string][]string{}
	for _, b := range bp.Routes {
		if b.Type == config.Bulk {
			for _, s := range b.Split {
				if s.Wt > 0 {
					bySvc[s.Svc] = append(bySvc[s.Svc], b.Host)
				}
			}
		}
	}
	var out []string
	for svc, hosts := range bySvc {
		out = append(out, n.Gate.Full(svc, hosts)...)
	}
	return out
}

func (n *Dispatcher) takeFrom(store string) {
	defer func() {
		n.mu.Lock()
		delete(n.stores, store)
		n.mu.Unlock()
	}()
	for n.ctx.Err() == nil {
		addr := ""
		for _, s := range n.Client.Stores() {
			if s.Name == store {
				addr = s.Addr
			}
		}
		n.mu.Lock()
		closing := (n.closing || !n.Dispatches()) && len(n.held) == 0
		n.mu.Unlock()
		if addr == "" || closing {
			return
		}
		if !n.takeOnce(addr) {
			time.Sleep(time.Duration(100+rand.IntN(100)) * time.Millisecond)
		}
	}
}

func (n *Dispatcher) takeOnce(addr string) bool {
	room := n.room()
	n.mu.Lock()
	if n.closing || !n.Dispatches() {
		room = 0
	}
	held := make([]lotstore.Held, 0, len(n.held))
	for k, h := range n.held {
		held = append(held, lotstore.Held{Shard: k.shard, Lot: k.lot, Item: k.item, Lease: h.lease})
	}
	n.mu.Unlock()
	if room < 0 {
		room = 0
	}
	startUs := eventloop.NowUs()
	ctx, cancel := context.WithTimeout(n.ctx, (takeUs+takeOverUs)*time.Microsecond)
	defer cancel()
	out := &lotstore.TakeAnswer{}
	call := &lotstore.TakeCall{From: n.Name, Room: room, Held: held, WaitUs: takeUs, LeftUs: takeUs + takeOverUs, Full: n.full()}
	if len(call.Full) > 0 {
		call.WaitUs = takeUs / 4 // what is full now may have room soon
	}
	if len(held) > 0 {
		call.WaitUs = takeUs / 2
	}
	if err := n.Transport.Call(ctx, addr, "brood.take", call, out); err != nil {
		return false
	}
	n.mu.Lock()
	for _, s := range out.Shards {
		if s >= 0 && s < lotstore.Shards {
			n.leave[s] = max(n.leave[s], startUs+leaveUs)
		}
	}
	for _, k := range out.Stop {
		if h := n.held[item{k.Shard, k.Lot, k.Item}]; h != nil && h.lease == k.Lease {
			h.cancel()
		}
	}
	for _, g := range out.Given {
		k := item{g.Shard, g.Lot, g.Item}
		if g.Shard < 0 || g.Shard >= lotstore.Shards {
			continue
		}
		if h := n.held[k]; h != nil {
			h.lease = g.Lease // it runs here already: the run goes on under the new lease
			continue
		}
		itemCtx, cancelItem := context.WithCancel(n.ctx)
		n.held[k] = &inHand{lease: g.Lease, cancel: cancelItem}
		n.all.Add(1)
		go n.run(itemCtx, k, g, startUs)
	}
	n.mu.Unlock()
	return room > 0
}

func (n *Dispatcher) mayStart(k item) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.held[k] != nil && eventloop.NowUs() < n.leave[k.shard]
}

// run brings one item to its end here.
func (n *Dispatcher) run(ctx context.Context, k item, g lotstore.Given, takenUs int64) {
	defer n.all.Done()
	defer func() {
		n.mu.Lock()
		if h := n.held[k]; h != nil {
			h.cancel()
			delete(n.held, k)
		}
		n.mu.Unlock()
	}()
	endUs := takenUs + g.EndUs
	text := &forward.Text{}
	phase, failed, gaveBack := n.tryWorkers(ctx, k, &g, endUs, text)
	if ctx.Err() != nil && phase == "" {
		// Stopped, or the node leaves: the owner may give it to another.
		gaveBack, failed = true, false
	}
	if phase == "" {
		if gaveBack || failed {
			n.settle(eventloop.NowUs()+settleUs, g.Shard, "brood.give", func() any {
				return &lotstore.GiveCall{Shard: g.Shard, Lot: g.Lot, Item: g.Item, Lease: n.leaseOf(k), Failed: failed, AfterUs: 150_000}
			})
		}
		return
	}
	// The result stays in hand until it is durable, whoever owns the shard.
	enc, msg := lotstore.Pack(text.Msg)
	n.settle(endUs+settleUs, g.Shard, "brood.ack", func() any {
		return &lotstore.AckCall{Shard: g.Shard, Lot: g.Lot, Item: g.Item, Phase: phase, Msg: msg, Enc: enc, RawBytes: len(text.Msg), Lease: n.leaseOf(k)}
	})
}

// settle sends an ack or a nack until its outcome is known: sent again under
// the same lease it gets the first answer, from a new owner too, so no outcome
// stays unknown (design 9.3).
func (n *Dispatcher) settle(untilUs int64, shardN int, kind string, call func() any) {
	for n.ctx.Err() == nil && eventloop.NowUs() < untilUs {
		callCtx, cancel := context.WithTimeout(n.ctx, 5*time.Second)
		err := n.Client.Call(callCtx, shardN, kind, call(), nil, 1500*time.Millisecond)
		cancel()
		if err == nil || fault.Is(err, fault.Unknown) || fault.Is(err, fault.Invalid) || fault.Is(err, fault.Stale) {
			return
		}
	}
}

func (n *Dispatcher) tryWorkers(ctx context.Context, k item, g *lotstore.Given, endUs int64, text *forward.Text) (phase string, failed, gaveBack bool) {
	var exclude []string
	breaks := 0
	startUs := eventloop.NowUs()
	header := http.Header{}
	for i := 0; i+1 < len(g.Prompt.Hdrs); i += 2 {
		header.Set(g.Prompt.Hdrs[i], g.Prompt.Hdrs[i+1])
	}
	parts := balancer.ParseParts(header.Get(forward.HeadPrefix))
	for ctx.Err() == nil && eventloop.NowUs() < endUs {
		bp := n.Configuration()
		var b *config.Route
		if bp != nil {
			b = bp.Find(g.Host, g.Prompt.Path)
		}
		if b == nil {
			return "", false, true
		}
		dir := n.Sender.Dir()
		svc := b.Pick(rand.Uint64())
		ticket, admitted := n.Gate.AdmitItem(svc, g.Host, g.Prompt.Toks, func() { n.preempt(k) })
		if !admitted {
			return "", false, true
		}
		w := n.Sender.Balancer.Pick(dir, &balancer.Need{Svc: svc, Parts: parts, Exclude: exclude, Item: true, Version: text.Version})
		if w == nil {
			ticket.Release()
			exclude = nil
			if text.Any && text.Version > 0 && !n.Sender.Balancer.HasVersion(dir, b, text.Version) {
				// No worker has the weights it began with: from the start,
				// for a text is of one version (design 13.5).
				text.Restart()
				continue
			}
			if !text.Any && eventloop.NowUs()-startUs > placeUs {
				return "", false, true
			}
			eventloop.Pause(ctx, 60*time.Millisecond)
			continue
		}
		n.placed(k)
		outcome := n.runAt(ctx, k, g, w, bp, header, endUs, text)
		ticket.Release()
		switch outcome {
		case forward.Whole:
			return lotstore.PhaseDone, false, false
		case forward.Never:
			text.Msg = nil
			return lotstore.PhaseGaveUp, false, false
		case forward.Failed:
			return "", true, false
		case forward.Broken:
			breaks++
			if breaks >= maxBreaks {
				return "", false, true
			}
			eventloop.Pause(ctx, 20*time.Millisecond)
		case forward.NotSent:
			if !n.mayStart(k) {
				if !text.Any {
					return "", false, true
				}
				eventloop.Pause(ctx, 100*time.Millisecond) // a take renews the leave
			} else {
				eventloop.Pause(ctx, 15*time.Millisecond)
			}
		}
		exclude = append(exclude, w.ID)
	}
	return "", false, true
}

func (n *Dispatcher) runAt(ctx context.Context, k item, g *lotstore.Given, w *discovery.Worker, bp *config.Configuration, header http.Header, endUs int64, text *forward.Text) forward.Outcome {
	defer n.Sender.Balancer.Done(w.ID, true)
	leftMs := func() int64 { return (endUs - eventloop.NowUs()) / 1000 }
	p := &forward.Request{Method: http.MethodPost, Target: g.Prompt.Path, Host: g.Host, Header: header.Clone(), Body: g.Prompt.Body, ID: g.Prompt.ID, Repeatable: true,
		LeftMs: leftMs, Until: time.Now().Add(time.Duration(leftMs()) * time.Millisecond),
		Fence: func() bool {
			// The route may have moved since the worker was picked.
			now := n.Configuration()
			return n.mayStart(k) && (now == bp || now.Find(g.Host, g.Prompt.Path) != nil && now.Find(g.Host, g.Prompt.Path).Takes(w.Svc))
		}}
	outcome, err := n.Sender.RunItem(ctx, w, p, text)
	if err != nil {
		n.Log.Debug("item_try_ended", "lot", g.Lot, "item", g.Prompt.ID, "worker", w.ID, "err", err)
	}
	return outcome
}

// preempt ends a run whose tenant borrowed the room: the item goes back under its
// lease and no try is charged (design 17.4).
func (n *Dispatcher) preempt(k item) {
	go func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if h := n.held[k]; h != nil {
			h.cancel()
		}
	}()
}

func (n *Dispatcher) leaseOf(k item) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h := n.held[k]; h != nil {
		return h.lease
	}
	return 0
}

func (n *Dispatcher) placed(k item) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h := n.held[k]; h != nil {
		h.placed = true
	}
}

// InHand counts the items of a lot that this node has in hand.
func (n *Dispatcher) InHand(lot string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for k := range n.held {
		if k.lot == lot {
			count++
		}
	}
	return count
}
