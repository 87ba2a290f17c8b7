package consensus

import (
	"context"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/logging"
	"rowanshunt/internal/rpc"
	"rowanshunt/internal/wal"
)

// Config is what a register is made of.
type Config struct {
	Loop        *eventloop.Loop // owns the state of the register's maintenance
	Mux         *rpc.Mux        // answers other nodes
	Transport   rpc.Transport   // calls other nodes
	Gossip      *gossip.Gossip  // what this node knows of the others
	Log         *logging.Log
	Self        gossip.Peer // this node's own record
	DiskDir     string      // "" for nodes without a vote
	DiskOptions []wal.Option
	Seeds       []string
	Bootstrap   bool
	// BootstrapLog is opened by New where it is nil; a node that makes its identity itself
	// opens it before.
	BootstrapLog *BootstrapLog
	MaxFailures  int          // machines that may be lost at once
	OnState      func(*State) // receives committed states, on the loop
	ProposerID   string       // unique to this incarnation of the node
}

// Register is one node's part in the register. It composes the types that do the
// work: the acceptor, if the node has a disk, the proposer, the learner of the newest
// state, the exchange of committed states with peers, and the maintenance of the
// membership. Its methods may be called from any goroutine, except ObserveRevision.
type Register struct {
	acceptor    *Acceptor // nil for nodes without a disk
	learner     *learner
	proposer    *Proposer
	broadcaster *broadcaster
	fetcher     *stateFetcher
	contacts    *contactPoll
	maintenance *maintenance // nil for nodes without a disk
	maxFailures int
}

// New opens the node's acceptor and registers its calls and its maintenance. The
// register ends with ctx.
func New(ctx context.Context, cfg Config) (*Register, error) {
	started := clock.Now()
	re := &Register{maxFailures: cfg.MaxFailures}
	if cfg.DiskDir != "" {
		acceptor, err := OpenAcceptor(cfg.Self.MemberID(), cfg.DiskDir, cfg.Log, cfg.DiskOptions...)
		if err != nil {
			return nil, err
		}
		context.AfterFunc(ctx, acceptor.Close)
		re.acceptor = acceptor
		if cfg.BootstrapLog == nil {
			firstStart := cfg.Bootstrap && re.accepted() == nil
			if cfg.BootstrapLog, err = OpenBootstrapLog(cfg.DiskDir, firstStart, cfg.Seeds, cfg.Log); err != nil {
				return nil, err
			}
		}
		if cfg.BootstrapLog != nil {
			context.AfterFunc(ctx, cfg.BootstrapLog.log.Close)
		}
	}
	re.learner = newLearner(re.accepted(), func(s *State) { re.announce(ctx, &cfg, s) })
	caller := newGossipCaller(cfg.Transport, cfg.Gossip)
	re.proposer = NewProposer(cfg.ProposerID, cfg.Transport, caller.addrOf, re.learner.latest, re.learner.observe)
	re.broadcaster = &broadcaster{ctx: ctx, transport: cfg.Transport, gossip: cfg.Gossip, self: cfg.Self.Name}
	re.fetcher = newStateFetcher(ctx, cfg.Loop, cfg.Transport, re.learner)
	re.contacts = &contactPoll{caller: caller, gossip: cfg.Gossip, self: cfg.Self.MemberID(), started: started}
	if re.acceptor != nil {
		re.maintenance = re.newMaintenance(ctx, &cfg, caller, started)
	}
	re.handleCalls(&cfg)
	if re.maintenance != nil {
		cfg.Loop.Every(maintenancePeriod, re.maintenance.tick)
	}
	return re, nil
}

func (re *Register) handleCalls(cfg *Config) {
	handleRounds(cfg.Mux, re.acceptor, registerRounds)
	handleBootstrap(cfg)
	re.contacts.handle(cfg.Mux)
	rpc.Handle(cfg.Mux, kindCommitted, func(_ context.Context, in *State) (*rpc.Empty, error) {
		re.learner.observe(in)
		return &rpc.Empty{}, nil
	})
	rpc.Handle(cfg.Mux, kindLatest, func(context.Context, *rpc.Empty) (*State, error) {
		s := re.Committed()
		if s == nil {
			return nil, errNoCommitted
		}
		return s, nil
	})
}

func (re *Register) newMaintenance(ctx context.Context, cfg *Config, caller *memberCaller, started clock.Instant) *maintenance {
	onBootstrapped := func(s *State) {
		re.learner.observe(s)
		re.broadcaster.broadcast(s)
	}
	return &maintenance{
		acceptor:        re.acceptor,
		learner:         re.learner,
		gossip:          cfg.Gossip,
		acceptorCatchUp: &acceptorCatchUp{acceptor: re.acceptor, learner: re.learner, caller: caller, change: re.Change, log: cfg.Log},
		confirmation:    &confirmation{acceptor: re.acceptor, read: re.Read, broadcast: re.broadcaster.broadcast, log: cfg.Log, delay: confirmAfter},
		bootstrap:       newBootstrapper(cfg, started, onBootstrapped),
		keeper: &membershipKeeper{
			changer:     &membershipChanger{change: re.Change, caller: caller, gossip: cfg.Gossip, maxFailures: cfg.MaxFailures},
			contacts:    re.contacts,
			learner:     re.learner,
			gossip:      cfg.Gossip,
			log:         cfg.Log,
			self:        MemberOf(&cfg.Self),
			maxFailures: cfg.MaxFailures,
			started:     started,
		},
		task: taskRunner{ctx: ctx, loop: cfg.Loop},
	}
}

// announce posts to the loop: the revision goes out by gossip, and OnState gets the
// newest committed state, which may be newer than s. The loop refuses commands only
// when the node ends.
func (re *Register) announce(ctx context.Context, cfg *Config, s *State) {
	_ = cfg.Loop.Post(ctx, func() {
		cfg.Gossip.UpdateSelf(func(p *gossip.Peer) { p.Revision = max(p.Revision, s.Revision) })
		committed := re.Committed()
		if re.maintenance != nil {
			re.maintenance.onCommit(committed)
		}
		if cfg.OnState != nil {
			cfg.OnState(committed)
		}
	})
}

// accepted is what this node's acceptor last accepted, nil if nothing.
func (re *Register) accepted() *State {
	if re.acceptor == nil {
		return nil
	}
	return re.acceptor.State()
}

// Latest is the newest state this node knows and whether it is committed.
func (re *Register) Latest() (*State, bool) { return re.learner.latest() }

// Committed is the newest committed state known here, nil if none.
func (re *Register) Committed() *State { return re.learner.latestCommitted() }

// Read is a linearizable read of the register.
func (re *Register) Read(ctx context.Context) (*State, error) { return re.proposer.Read(ctx) }

// QuorumRead is a linearizable read where the members agree; it competes with no
// proposer.
func (re *Register) QuorumRead(ctx context.Context) (*State, error) {
	return re.proposer.QuorumRead(ctx)
}

// Change commits a change and broadcasts the new state.
func (re *Register) Change(ctx context.Context, change Change) (*State, error) {
	before := re.Committed()
	s, err := re.proposer.Change(ctx, change)
	if s != nil && (before == nil || s.Revision > before.Revision) {
		re.broadcaster.broadcast(s)
	}
	return s, err
}

// Put commits an operator's document on top of its base, the version it builds on. The
// document must have been checked.
func (re *Register) Put(ctx context.Context, document []byte, version, base int64) (*State, error) {
	return re.Change(ctx, PutChange(document, version, base))
}

// Retire marks a store to be emptied.
func (re *Register) Retire(ctx context.Context, request RequestID, name string) error {
	_, err := re.Change(ctx, request.Once(RetireChange(name, re.maxFailures)))
	return err
}

// IsRetired tells whether nothing is left on that store that others lack.
func (re *Register) IsRetired(ctx context.Context, name string) (done bool, err error) {
	s, err := re.Read(ctx)
	if err != nil {
		return false, err
	}
	return retiredIn(s, name)
}

// ObserveRevision is called on the event loop for a peer that announces a newer
// revision; the state is fetched from it.
func (re *Register) ObserveRevision(p gossip.Peer) { re.fetcher.observeRevision(p) }

// LostMembers lists those of the suspects with which a majority of the members, asked
// now, has been out of contact for the span (design 4.4).
func (re *Register) LostMembers(ctx context.Context, members, suspects []Member, silentFor clock.Micros) map[string]bool {
	return re.contacts.lostByMajority(ctx, members, suspects, silentFor)
}

// Votes tells whether this node's acceptor is a member of the core, in the newest state
// this node knows.
func (re *Register) Votes() bool {
	if re.acceptor == nil {
		return false
	}
	latest, _ := re.Latest()
	return latest != nil && latest.Core.Has(re.acceptor.ID())
}

// AcceptedVersion is the version that this node's acceptor accepted, and whether
// there is one that votes.
func (re *Register) AcceptedVersion() (version int64, votes bool) {
	if re.acceptor == nil {
		return 0, false
	}
	votes = re.Votes()
	if s := re.accepted(); s != nil {
		version = s.Version
	}
	return version, votes
}
