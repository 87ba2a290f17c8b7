package consensus

import (
	"cmp"
	"context"
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/codec"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/logging"
)

const (
	// bootstrapDelay is the age at which a node may bootstrap: time for the nodes
	// that start together to see each other.
	bootstrapDelay = 1500 * clock.Millisecond
	// stableViewSpan is how long the nodes with a disk must have stayed the same ones.
	stableViewSpan = 900 * clock.Millisecond
	// bootstrapRevision is the revision of the state with the first membership.
	bootstrapRevision = 1
)

// bootstrapper chooses the first membership, in a second register whose acceptors
// are the seeds (design 4.3).
type bootstrapper struct {
	proposer *Proposer
	gossip   *gossip.Gossip
	log      *logging.Log
	role     string // of the nodes that may become members
	started  clock.Instant
	onChosen func(*State)
	begun    *BootstrapLog // nil: this node takes no part in the bootstrap

	// The event loop owns what follows.
	view  viewStability
	ended bool // the bootstrap is over, or this node takes no part in it
}

// newBootstrapper makes the bootstrapper of a node. The bootstrap register has one
// proposer in an incarnation: a second one would use the ballots of the first again,
// perhaps with another value (design 4.3).
func newBootstrapper(cfg *Config, started clock.Instant, onChosen func(*State)) *bootstrapper {
	var seeds []Member
	begun, addresses := cfg.BootstrapLog, cfg.Seeds
	if begun != nil {
		addresses = begun.seeds // the acceptors stay those of the first start
	}
	for _, addr := range addresses {
		seeds = append(seeds, Member{ID: bootstrapMemberPrefix + addr, Addr: addr})
	}
	empty := &State{Core: Membership{Current: seeds}}
	latest := func() (*State, bool) { return empty, true }
	addrOf := func(m Member) string { return m.Addr }
	proposer := NewProposer(cfg.ProposerID, cfg.Transport, addrOf, latest, func(*State) {})
	proposer.rounds = bootstrapRounds
	return &bootstrapper{
		proposer: proposer,
		gossip:   cfg.Gossip,
		log:      cfg.Log,
		role:     cfg.Self.Role,
		started:  started,
		onChosen: onChosen,
		begun:    begun,
		ended:    !begun.InProgress(),
	}
}

// handleBootstrap answers the calls of the bootstrap register, with an acceptor if this
// node is a seed. Its votes are on its disk. Without a disk it votes in its first
// incarnation only: one that restarted has forgotten its promises (design 4.3).
func handleBootstrap(cfg *Config) {
	var acceptor *Acceptor
	switch {
	case cfg.BootstrapLog != nil:
		acceptor = cfg.BootstrapLog.acceptor(cfg.Self.Addr)
	case cfg.DiskDir == "" && cfg.Bootstrap && slices.Contains(cfg.Seeds, cfg.Self.Addr):
		acceptor = NewBootstrapAcceptor(bootstrapMemberPrefix + cfg.Self.Addr)
	}
	handleRounds(cfg.Mux, acceptor, bootstrapRounds)
}

// isDue tells whether this node takes part and the view has been stable for long enough.
func (b *bootstrapper) isDue(now clock.Instant) bool {
	return !b.ended && b.view.stableFor(now) > stableViewSpan && now.Sub(b.started) > bootstrapDelay
}

// run chooses the first membership: the nodes with a disk in view, or what another
// bootstrapper chose before.
func (b *bootstrapper) run(ctx context.Context) {
	document, err := codec.Marshal(&State{Revision: bootstrapRevision, Core: Membership{Version: 1, Current: b.candidates()}})
	if err != nil {
		b.log.Warn("bootstrap_failed", "err", err)
		return
	}
	chosen, err := b.proposer.Change(ctx, bootstrapChange(document))
	if err != nil {
		b.log.Warn("bootstrap_no_majority", "err", err, "remedy", "start the seeds with their disks; where two of them have none and ended before the first configuration, stop all nodes, empty all disks and start them with bootstrap = true")
		return
	}
	s := &State{}
	if err := msgpack.Unmarshal(chosen.Document, s); err != nil {
		b.log.Warn("bootstrap_state_unreadable", "err", err)
		return
	}
	b.log.Info("bootstrapped", "members", len(s.Core.Current))
	b.onChosen(s)
}

// observe ends the bootstrap once a change after the first membership is committed: a
// majority of the members has it on disk. The first membership alone may be known to
// processes that keep it in memory only.
func (b *bootstrapper) observe(committed *State) {
	if b.ended || committed.Revision <= bootstrapRevision {
		return
	}
	b.ended = true
	go func() {
		if err := b.begun.end(); err != nil {
			b.log.Warn("bootstrap_end_not_saved", "err", err, "remedy", "none needed: the next start asks the seeds once more")
		}
	}()
}

// candidates are the first maxMembers of the nodes that may become members.
func (b *bootstrapper) candidates() []Member {
	var candidates []Member
	for _, p := range b.gossip.Snapshot().Nodes {
		if p.Alive && p.Bootstrap && p.Disk != "" && p.Role == b.role {
			candidates = append(candidates, MemberOf(&p.Peer))
		}
	}
	slices.SortFunc(candidates, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return candidates[:min(len(candidates), maxMembers)]
}

// bootstrapChange is the change that puts a first value into the bootstrap
// register. One that is there already stays.
func bootstrapChange(document []byte) Change {
	return func(current *State) (*State, error) {
		if len(current.Document) > 0 {
			return nil, nil
		}
		current.Document = document
		return current, nil
	}
}

// viewStability measures since when the set of live nodes with a disk has not
// changed. It lives on the event loop.
type viewStability struct {
	names string
	since clock.Instant
}

func (vs *viewStability) observe(v *gossip.View, now clock.Instant) {
	names := strings.Join(v.Names(func(s *gossip.NodeState) bool { return s.Alive && s.Disk != "" }), " ")
	if names != vs.names {
		vs.names, vs.since = names, now
	}
}

func (vs *viewStability) stableFor(now clock.Instant) clock.Micros { return now.Sub(vs.since) }
