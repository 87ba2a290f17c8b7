package batch

import (
	"context"
	"time"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/consensus"
	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/gossip"
)

// Times of the stores' membership (design 8.6).
const (
	bootstrapStable = 1200 * clock.Millisecond // for so long the set of living stores must not have changed
	joinAfter       = 400 * clock.Millisecond
	suspectAfter    = 1300 * clock.Millisecond // after the start: by then a living member was in contact
	changeTimeout   = 3 * time.Second
	ownedTimeout    = 400 * time.Millisecond
	removalSlack    = clock.Second
	contactTimeout  = 3 * clock.Second
)

// membershipKeeper keeps the stores' membership: who joins, leaves or is replaced, and
// when a change commits (design 8.6). The members take turns (consensus.TakeoverDelay).
//
// Its fields belong to the event loop. A change runs on a goroutine of its own, one at a
// time (changing), bounded by changeTimeout.
type membershipKeeper struct {
	cfg     *Config
	ctx     context.Context
	shards  *shardTable
	started clock.Instant

	changing    bool
	lastPeers   string        // names of the living stores
	stableSince clock.Instant // since when they are the same
	dueChange   dueChange
	// retiredSince is since when this store has known that it is retired, 0 if it is not.
	retiredSince clock.Instant
}

// dueChange is a change of the membership that is due, and since when this store
// has known it.
type dueChange struct {
	membershipVer uint64
	since         clock.Instant
}

// tick brings this store into the membership; the members take turns to
// settle changes, empty what retires or leaves and drop what is long gone
// (design 8.6).
func (mk *membershipKeeper) tick() {
	st := mk.cfg.State()
	if st == nil || mk.changing {
		return
	}
	v := mk.cfg.Gossip.Snapshot()
	now := clock.Now()
	names := ""
	for _, n := range v.Names(func(s *gossip.NodeState) bool { return s.Alive && s.Role == mk.cfg.Self.Role }) {
		names += n + " "
	}
	if names != mk.lastPeers {
		mk.lastPeers, mk.stableSince = names, now
	}
	self := consensus.MemberOf(&mk.cfg.Self)
	switch {
	case len(st.Stores.Current) == 0:
		rules := mk.rules(v)
		first := rules.firstMembers(mk.cfg.Self.Role)
		if now.Sub(mk.stableSince) > bootstrapStable && rules.mayBootstrap(first) {
			mk.bootstrap(first)
		}
	case !st.Stores.Has(self.ID):
		mk.noteRetired(st, self, now)
		if !v.Self.Leaving && now.Sub(mk.started) > joinAfter && mayJoin(st, self, mk.retiredFor(now)) {
			mk.join(st, self, v)
		}
	default:
		mk.drive(st, v, now)
	}
}

// bootstrap proposes the first membership.
func (mk *membershipKeeper) bootstrap(first []consensus.Member) {
	mk.change("stores_bootstrapped", nil, func(now *consensus.State, _ map[string]bool) (*consensus.State, error) {
		if len(now.Stores.Current) > 0 {
			return nil, nil
		}
		now.Stores = consensus.Membership{Version: now.Stores.Version + 1, Current: first}
		return now, nil
	})
}

// noteRetired notes since when this store has known that the member that it was with
// another disk is retired.
func (mk *membershipKeeper) noteRetired(st *consensus.State, self consensus.Member, now clock.Instant) {
	if earlierRetireOrder(st, self) != retireOrderDone {
		mk.retiredSince = 0
	} else if mk.retiredSince == 0 {
		mk.retiredSince = now
	}
}

func (mk *membershipKeeper) retiredFor(now clock.Instant) clock.Micros {
	if mk.retiredSince == 0 {
		return 0
	}
	return now.Sub(mk.retiredSince)
}

// join proposes the membership that includes this store.
func (mk *membershipKeeper) join(st *consensus.State, self consensus.Member, v *gossip.View) {
	var unmet []consensus.Member
	retiredFor := mk.retiredFor(clock.Now())
	if clock.Since(mk.started) >= suspectAfter {
		unmet = consensus.OutOfContact(&st.Stores, v)
	}
	mk.change("store_joining", &suspicion{members: st.Stores.Current, suspects: unmet}, func(now *consensus.State, lost map[string]bool) (*consensus.State, error) {
		join := consensus.Join{Member: self, Uptime: clock.Since(mk.started), Lost: lost, MaxMembers: maxStores}
		return mk.rules(mk.cfg.Gossip.Snapshot()).beginJoin(now, &join, retiredFor), nil
	})
}

// drive commits a change, or removes a store, when it is this store's turn.
func (mk *membershipKeeper) drive(st *consensus.State, v *gossip.View, now clock.Instant) {
	leaver, asked := mk.rules(v).memberToRemove(st)
	if !st.Stores.Joint() && leaver == "" {
		mk.dueChange = dueChange{}
		return
	}
	if mk.dueChange.since == 0 || mk.dueChange.membershipVer != st.Stores.Version {
		mk.dueChange = dueChange{membershipVer: st.Stores.Version, since: now}
	}
	if now.Sub(mk.dueChange.since) < consensus.TakeoverDelay(st.Stores.Current, mk.cfg.Member, v) {
		return
	}
	if st.Stores.Joint() {
		mk.commit(st)
		return
	}
	mk.change("store_leaving", asked, func(now *consensus.State, lost map[string]bool) (*consensus.State, error) {
		if asked != nil && !lost[leaver] {
			return nil, nil
		}
		return beginRemoval(now, st.Stores.Version, leaver), nil
	})
}

// change commits a change on a goroutine of its own, once the members were asked which
// of the suspects a majority of them has lost.
func (mk *membershipKeeper) change(event string, asked *suspicion, change func(now *consensus.State, lost map[string]bool) (*consensus.State, error)) {
	mk.changing = true
	go func() {
		ctx, cancel := context.WithTimeout(mk.ctx, changeTimeout)
		defer cancel()
		defer func() { _ = mk.cfg.Loop.Post(mk.ctx, func() { mk.changing = false }) }()
		var lost map[string]bool
		if asked != nil {
			lost = mk.cfg.LostMembers(ctx, asked.members, asked.suspects, asked.silentFor)
		}
		// Nothing is asked of the core for what would change nothing.
		now := *mk.cfg.State()
		if next, err := change(&now, lost); next == nil || err != nil {
			return
		}
		begun := false
		st, err := mk.cfg.Change(ctx, func(now *consensus.State) (*consensus.State, error) {
			next, err := change(now, lost)
			begun = next != nil
			return next, err
		})
		if err != nil {
			mk.cfg.Log.Debug(event+"_deferred", "err", err)
		} else if begun {
			mk.cfg.Log.Info(event, "membership", st.Stores.Version, "members", len(st.Stores.Current), "joint", st.Stores.Joint())
		}
	}()
}

// handleOwnedShards lists the shards that this store owns under a membership and whose
// copies are at all members of its current set that count.
func (mk *membershipKeeper) handleOwnedShards(ctx context.Context, in *ownedShardsRequest) (*ownedShardsResponse, error) {
	return eventloop.Call(ctx, mk.cfg.Loop, func() *ownedShardsResponse {
		out := &ownedShardsResponse{}
		st := mk.cfg.State()
		if st == nil || st.Stores.Version != in.Membership {
			return out
		}
		onlyRemoves := st.Stores.OnlyRemoves()
		for _, s := range mk.shards {
			if s.owner != nil && s.owner.ready && s.owner.membership.Version == in.Membership && mk.replicasComplete(s.owner, onlyRemoves) {
				out.Shards = append(out.Shards, s.number)
			}
		}
		return out
	})
}

// replicasComplete reports whether all members of the shard's current set that count have all
// copies.
func (mk *membershipKeeper) replicasComplete(o *owner, onlyRemoves bool) bool {
	rules := mk.rules(mk.cfg.Gossip.Snapshot())
	for _, progress := range o.progress {
		complete := progress.state == progressReplicate || !o.membership.Has(progress.member.ID)
		if !complete && rules.delaysCommit(progress.member, onlyRemoves) {
			return false
		}
	}
	return true
}

// rules decide by what this store sees now.
func (mk *membershipKeeper) rules(v *gossip.View) *membershipRules {
	return &membershipRules{maxFailures: mk.cfg.MaxFailures, view: v, uptime: clock.Since(mk.started)}
}

// commit ends a change once every shard is owned under it.
func (mk *membershipKeeper) commit(st *consensus.State) {
	mk.changing = true
	go func() {
		ctx, cancel := context.WithTimeout(mk.ctx, changeTimeout)
		defer cancel()
		defer func() { _ = mk.cfg.Loop.Post(mk.ctx, func() { mk.changing = false }) }()
		if !mk.allOwned(ctx, st) {
			return
		}
		_, err := mk.cfg.Change(ctx, func(now *consensus.State) (*consensus.State, error) {
			return commitChange(now, st.Stores.Version), nil
		})
		if err == nil {
			mk.cfg.Log.Info("stores_committed", "membership", st.Stores.Version+1, "members", len(st.Stores.Current))
		}
	}()
}

// allOwned asks the stores which shards they own under this membership, all at once:
// some of them may be silent.
func (mk *membershipKeeper) allOwned(ctx context.Context, st *consensus.State) bool {
	answers := make(chan []int, len(st.Stores.Current))
	for _, member := range st.Stores.Current {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, ownedTimeout)
			defer cancel()
			out, call := &ownedShardsResponse{}, &ownedShardsRequest{Membership: st.Stores.Version}
			var err error
			if member.ID == mk.cfg.Member {
				out, err = mk.handleOwnedShards(callCtx, call)
			} else {
				err = mk.cfg.Transport.Call(callCtx, mk.cfg.addrOf(member), kindOwnedShards, call, out)
			}
			if err != nil {
				out = &ownedShardsResponse{}
			}
			answers <- out.Shards
		}()
	}
	owned := map[int]bool{}
	for range st.Stores.Current {
		for _, n := range <-answers {
			owned[n] = true
		}
		if len(owned) == Shards {
			return true
		}
	}
	return false
}

// removed reports whether this store may end.
func (mk *membershipKeeper) removed() bool {
	return mayEnd(mk.cfg.State(), mk.cfg.Member, mk.cfg.MaxFailures)
}
