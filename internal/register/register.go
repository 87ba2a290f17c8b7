package register

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/rpc"
	"rowanshunt/internal/shared"
	"rowanshunt/internal/wal"
)

// Times of the membership's upkeep (design 4.4).
const (
	tickUs       = 250_000
	stableUs     = 900_000
	foundAfterUs = 1_500_000
	judgeUs      = 1_300_000
	// besideUs is the age at which a newcomer that misses members which others
	// still hear joins beside them.
	besideUs    = 2_600_000
	joinAfterUs = 400_000
	// turnUs is how much later each further member takes a due change up.
	turnUs = 1_500_000
	// GoneForDropUs is how long a member is silent before a membership drops it.
	GoneForDropUs = 6_000_000
	neverSeenUs   = 3_000_000
	maxMembers    = 7
)

// Config is what a register is made of.
type Config struct {
	shared.Runtime
	DiskDir  string // "" for nodes without a vote
	Disk     []wal.Option
	Seeds    []string
	Boot     bool
	Spared   int // machines that may be lost at once
	OnState  func(*State)
	Proposer string
}

// Register is one node's part in the register: its member if it has a disk, its
// proposer, and the newest committed state it knows.
type Register struct {
	cfg      Config
	ctx      context.Context
	member   *Acceptor
	founding *Acceptor
	proposer *Proposer
	founder  *Proposer // of the founding register

	mu        sync.Mutex
	known     *State
	committed bool

	startUs  int64
	stableAt int64
	lastSet  string
	busy     bool
	lag      lag // of the acceptor behind what is committed
	untold   lag // of what is committed behind the acceptor
	// confirmAfterUs is how long this member lets an untold state wait; it changes
	// with the membership only.
	confirmAfterUs int64
	pulling        map[string]bool
	need           membershipNeed
}

// New opens the node's member and joins the register.
func New(ctx context.Context, cfg Config) (*Register, error) {
	n := &Register{cfg: cfg, ctx: ctx, startUs: eventloop.NowUs(), pulling: map[string]bool{}, confirmAfterUs: confirmAfterUs}
	if cfg.DiskDir != "" {
		member, err := OpenAcceptor(cfg.Self.MemberID(), cfg.DiskDir, cfg.Log, cfg.Disk...)
		if err != nil {
			return nil, err
		}
		n.member = member
		context.AfterFunc(ctx, member.Close)
		// What the member accepted may not be committed, but its membership is the
		// right one to ask (design 4.4).
		n.known = member.State()
	}
	n.proposer = NewProposer(cfg.Proposer, cfg.Transport, n.addrOf, n.Known, n.Learn)
	n.founder = newFounder(&n.cfg)
	if cfg.Boot && n.known == nil && slices.Contains(cfg.Seeds, cfg.Self.Addr) {
		n.founding = NewFoundingAcceptor("founding@" + cfg.Self.Addr)
	}
	n.serve()
	cfg.Loop.Every(tickUs, n.tick)
	return n, nil
}

func noMember() error {
	return fault.New(fault.Unknown, "member", "this node has no such member", "read the membership again")
}

// serveAcceptor answers the two rounds of a register; there may be no acceptor here.
func serveAcceptor(mux *rpc.Mux, a *Acceptor, prepare, accept string) {
	rpc.On(mux, prepare, func(ctx context.Context, in *prepareCall) (*prepareAnswer, error) {
		if a == nil {
			return nil, noMember()
		}
		return a.Prepare(ctx, in)
	})
	rpc.On(mux, accept, func(ctx context.Context, in *acceptCall) (*acceptAnswer, error) {
		if a == nil {
			return nil, noMember()
		}
		return a.Accept(ctx, in)
	})
}

func (n *Register) serve() {
	d := n.cfg.Mux
	serveAcceptor(d, n.member, "nest.prepare", "nest.accept")
	serveAcceptor(d, n.founding, "nest.found.prepare", "nest.found.accept")
	rpc.On(d, "nest.learn", func(_ context.Context, in *State) (*rpc.Nothing, error) {
		n.Learn(in)
		return &rpc.Nothing{}, nil
	})
	n.serveContact()
	rpc.On(d, "nest.get", func(_ context.Context, _ *rpc.Nothing) (*State, error) {
		s, ok := n.Known()
		if s == nil || !ok {
			return nil, fault.New(fault.Unknown, "register", "no committed state known here", "ask another node")
		}
		return s, nil
	})
}

func (n *Register) addrOf(s Member) string {
	if p := n.cfg.Gossip.Look().Get(s.Name); p != nil {
		return p.Addr
	}
	return s.Addr
}

// Known is the newest state this node knows and whether it was committed.
func (n *Register) Known() (*State, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.known, n.committed
}

// Committed is the newest committed state known here, nil if none.
func (n *Register) Committed() *State {
	if s, ok := n.Known(); ok {
		return s
	}
	return nil
}

// Learn takes a committed state; older ones are left aside, so a node never
// goes back (design 4.2).
func (n *Register) Learn(s *State) {
	n.mu.Lock()
	if s == nil || n.committed && s.Rev <= n.known.Rev {
		n.mu.Unlock()
		return
	}
	n.known, n.committed = s, true
	n.mu.Unlock()
	_ = n.cfg.Loop.Do(n.ctx, func() {
		n.cfg.Gossip.Tell(func(p *gossip.Peer) { p.Rev = max(p.Rev, s.Rev) })
		now := n.Committed()
		n.confirmAfterUs = n.confirmAfter(now)
		if n.cfg.OnState != nil {
			n.cfg.OnState(now)
		}
	})
}

// Read is a linearizable read of the register.
func (n *Register) Read(ctx context.Context) (*State, error) { return n.proposer.Read(ctx) }

// Peek is a linearizable read where the members agree; it bids against nobody.
func (n *Register) Peek(ctx context.Context) (*State, error) { return n.proposer.Peek(ctx) }

// Change commits a change and sends the news out.
func (n *Register) Change(ctx context.Context, change Change) (*State, error) {
	before := n.Committed()
	s, err := n.proposer.Change(ctx, change)
	if s != nil && (before == nil || s.Rev > before.Rev) {
		n.spread(s)
	}
	return s, err
}

// spread pushes a committed state to every peer in sight; shuffles bring it
// to the rest.
func (n *Register) spread(s *State) {
	for _, p := range n.cfg.Gossip.Look().All {
		if p.Name == n.cfg.Self.Name || !p.Alive || p.Rev >= s.Rev {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(n.ctx, time.Second)
			defer cancel()
			_ = n.cfg.Transport.Call(ctx, p.Addr, "nest.learn", s, nil)
		}()
	}
}

// Hear is told of a peer that knows more; the state is pulled from it.
func (n *Register) Hear(p gossip.Peer) {
	if n.pulling[p.Name] {
		return
	}
	n.pulling[p.Name] = true
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, time.Second)
		defer cancel()
		s := &State{}
		if err := n.cfg.Transport.Call(ctx, p.Addr, "nest.get", &rpc.Nothing{}, s); err == nil {
			n.Learn(s)
		}
		_ = n.cfg.Loop.Do(n.ctx, func() { delete(n.pulling, p.Name) })
	}()
}

// Once runs fn beside the event loop, at most one at a time.
func (n *Register) once(fn func(ctx context.Context)) {
	if n.busy {
		return
	}
	n.busy = true
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, 4*time.Second)
		fn(ctx)
		cancel()
		_ = n.cfg.Loop.Do(n.ctx, func() { n.busy = false })
	}()
}

func (n *Register) tick() {
	v := n.cfg.Gossip.Look()
	nowUs := eventloop.NowUs()
	set := strings.Join(v.Names(func(s *gossip.NodeState) bool { return s.Alive && s.Disk != "" }), " ")
	if set != n.lastSet {
		n.lastSet, n.stableAt = set, nowUs
	}
	stable := nowUs-n.stableAt > stableUs && nowUs-n.startUs > foundAfterUs
	known, committed := n.Known()
	if n.lag.due(n.behind(known, committed), catchUpAfterUs, nowUs) {
		n.once(n.catchUp)
	}
	if unconfirmed := n.unconfirmed(known, committed); n.untold.due(unconfirmed, n.confirmAfterUs, nowUs) {
		n.once(n.confirm)
	}
	switch {
	case known == nil:
		if n.cfg.Boot && n.member != nil && stable {
			n.once(n.found)
		}
	case n.member != nil && !known.Core.Has(n.member.ID()):
		if nowUs-n.startUs > joinAfterUs && !v.Self.Leaving {
			n.once(n.join)
		}
	case n.member != nil && committed:
		n.keepMembership(&known.Core, v, nowUs)
	}
}

// Held tells what this node's member accepted: its version, and whether there is
// a member that votes.
func (n *Register) Held() (ver int64, votes bool) {
	if n.member == nil {
		return 0, false
	}
	known, _ := n.Known()
	votes = known != nil && known.Core.Has(n.member.ID())
	if s := n.member.State(); s != nil {
		ver = s.Ver
	}
	return ver, votes
}
