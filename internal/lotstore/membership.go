package lotstore

import (
	"context"
	"slices"
	"sort"
	"time"

	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/register"
)

// Times of the stores' membership (design 8.6).
const (
	foundStableUs  = 1_200_000
	foundAfterUs   = 1_500_000
	joinAfterUs    = 400_000
	judgeUs        = 1_300_000
	changeTimeout  = 3 * time.Second
	ownedTimeout   = 400 * time.Millisecond
	dropSlackUs    = 1_000_000
	unreachedUs    = 3_000_000
	defaultSyncUs  = 5_000_000
	mendPacedShare = 4 // a repair is paced for the first quarter of SyncUs only
)

// membershipNeed is a change of the membership that is due, and since when this store
// has known it.
type membershipNeed struct {
	membershipVer uint64
	sinceUs       int64
}

// membershipTick brings this store into the membership; the members take turns to
// settle changes, empty what retires or leaves and drop what is long gone
// (design 8.6).
func (b *Store) membershipTick() {
	st := b.cfg.State()
	if st == nil || b.changingMembership {
		return
	}
	v := b.cfg.Gossip.Look()
	nowUs := eventloop.NowUs()
	names := ""
	for _, n := range v.Names(func(s *gossip.NodeState) bool { return s.Alive && s.Role == b.cfg.Self.Role }) {
		names += n + " "
	}
	if names != b.lastNames {
		b.lastNames, b.stableUs = names, nowUs
	}
	self := register.MemberOf(&b.cfg.Self)
	switch {
	case len(st.Stores.Cur) == 0:
		if nowUs-b.stableUs > foundStableUs && nowUs-b.startUs > foundAfterUs {
			b.foundMembership(v)
		}
	case !st.Stores.Has(self.ID):
		if !st.Stores.Joint() && !retiring(st, self.ID) && !v.Self.Leaving && nowUs-b.startUs > joinAfterUs {
			b.joinMembership(st, self, v)
		}
	default:
		b.keepMembership(st, v, nowUs)
	}
}

// foundMembership proposes the first membership.
func (b *Store) foundMembership(v *gossip.View) {
	b.changeMembership("stores_founded", nil, func(now *register.State, _ map[string]bool) (*register.State, error) {
		if len(now.Stores.Cur) > 0 {
			return nil, nil
		}
		var first []register.Member
		for _, p := range v.All {
			if p.Alive && p.Role == b.cfg.Self.Role && p.Disk != "" {
				first = append(first, register.MemberOf(&p.Peer))
			}
		}
		sort.Slice(first, func(i, j int) bool { return first[i].ID < first[j].ID })
		now.Stores = register.Membership{Ver: now.Stores.Ver + 1, Cur: first}
		return now, nil
	})
}

// joinMembership proposes the membership that takes this store in.
func (b *Store) joinMembership(st *register.State, self register.Member, v *gossip.View) {
	var unmet []register.Member
	if eventloop.NowUs()-b.startUs >= judgeUs {
		unmet = register.Unmet(&st.Stores, v)
	}
	b.changeMembership("store_joining", &suspicion{members: st.Stores.Cur, suspects: unmet}, func(now *register.State, lost map[string]bool) (*register.State, error) {
		if now.Stores.Joint() || now.Stores.Has(self.ID) || retiring(now, self.ID) {
			return nil, nil
		}
		next := register.NextMembers(&now.Stores, self, b.cfg.Gossip.Look(), eventloop.NowUs()-b.startUs, maxStores, lost)
		if next == nil {
			return nil, nil
		}
		now.Stores = now.Stores.Begin(next)
		return now, nil
	})
}

// keepMembership drives what the membership needs when it is this store's turn.
func (b *Store) keepMembership(st *register.State, v *gossip.View, nowUs int64) {
	leaver, asked := b.leaver(st, v, nowUs-b.startUs)
	if !st.Stores.Joint() && leaver == "" {
		b.need = membershipNeed{}
		return
	}
	if b.need.sinceUs == 0 || b.need.membershipVer != st.Stores.Ver {
		b.need = membershipNeed{membershipVer: st.Stores.Ver, sinceUs: nowUs}
	}
	if nowUs-b.need.sinceUs < register.TurnUs(st.Stores.Cur, b.cfg.Member, v) {
		return
	}
	if st.Stores.Joint() {
		b.settleMembership(st)
		return
	}
	b.changeMembership("store_leaving", asked, func(now *register.State, lost map[string]bool) (*register.State, error) {
		if now.Stores.Ver != st.Stores.Ver || now.Stores.Joint() || asked != nil && !lost[leaver] {
			return nil, nil
		}
		now.Stores = now.Stores.Begin(slices.DeleteFunc(slices.Clone(now.Stores.Cur), func(t register.Member) bool { return t.ID == leaver }))
		return now, nil
	})
}

// suspicion is what a majority of the members must confirm before a change.
type suspicion struct {
	members  []register.Member
	suspects []register.Member
	forUs    int64
}

// leaver is a member that is to leave, "" if none is. One that retires, or that
// says it leaves, needs no confirmation; silence does.
func (b *Store) leaver(st *register.State, v *gossip.View, upUs int64) (id string, asked *suspicion) {
	members := st.Stores.Cur
	if len(members) <= 2*b.cfg.Spared+1 {
		return "", nil
	}
	for _, s := range members {
		p := v.Get(s.Name)
		if retiring(st, s.ID) || p != nil && p.Alive && p.Leaving && p.MemberID() == s.ID {
			return s.ID, nil
		}
	}
	for _, s := range members {
		if register.LongSilent(s, v, upUs) {
			return s.ID, &suspicion{members: members, suspects: []register.Member{s}, forUs: register.GoneForDropUs - dropSlackUs}
		}
	}
	return "", nil
}

// changeMembership commits a change beside the event loop, once it was asked what a
// majority has lost.
func (b *Store) changeMembership(event string, asked *suspicion, change func(now *register.State, lost map[string]bool) (*register.State, error)) {
	b.changingMembership = true
	go func() {
		ctx, cancel := context.WithTimeout(b.ctx, changeTimeout)
		defer cancel()
		defer func() { _ = b.cfg.Loop.Do(b.ctx, func() { b.changingMembership = false }) }()
		var lost map[string]bool
		if asked != nil {
			lost = b.cfg.Lost(ctx, asked.members, asked.suspects, asked.forUs)
		}
		// Nothing is asked of the core for what would change nothing.
		now := *b.cfg.State()
		if next, err := change(&now, lost); next == nil || err != nil {
			return
		}
		begun := false
		st, err := b.cfg.Change(ctx, func(now *register.State) (*register.State, error) {
			next, err := change(now, lost)
			begun = next != nil
			return next, err
		})
		if err != nil {
			b.cfg.Log.Debug(event+"_waits", "err", err)
		} else if begun {
			b.cfg.Log.Info(event, "membership", st.Stores.Ver, "members", len(st.Stores.Cur), "joint", st.Stores.Joint())
		}
	}()
}

type ownedCall struct {
	Membership uint64
}

type ownedAnswer struct {
	Shards []int
}

// onOwned lists the shards that this store owns under a membership and whose
// copies are at all members of its current set that count.
func (b *Store) onOwned(ctx context.Context, in *ownedCall) (*ownedAnswer, error) {
	return eventloop.Ask(ctx, b.cfg.Loop, func() *ownedAnswer {
		out := &ownedAnswer{}
		st := b.cfg.State()
		if st == nil || st.Stores.Ver != in.Membership {
			return out
		}
		takesAway := onlyTakesAway(&st.Stores)
		for _, s := range b.shards {
			if s.owner != nil && s.owner.ready && s.owner.membership.Ver == in.Membership && b.whole(s.owner, takesAway) {
				out.Shards = append(out.Shards, s.n)
			}
		}
		return out
	})
}

// whole tells whether all members of the shard's current set that count have all
// copies. A silent one counts while the change only takes a member away, until it
// has been silent for long: what leaves may hold the copy that the silent one
// lacks, so it stays until then (design 8.6).
func (b *Store) whole(o *owner, takesAway bool) bool {
	v := b.cfg.Gossip.Look()
	for _, f := range o.feeds {
		if !o.membership.Has(f.member.ID) || f.synced && !f.cold {
			continue
		}
		// A machine that came back with another disk is not that member: it joins
		// anew once this change is settled.
		if b.reaches(v, f.member) || takesAway && !register.Gone(f.member, v, register.GoneForDropUs, eventloop.NowUs()-b.startUs) {
			return false
		}
	}
	return true
}

// onlyTakesAway tells whether a change brings no store in. Its shards' sets may
// well bring in stores that are new to a shard.
func onlyTakesAway(r *register.Membership) bool {
	return r.Joint() && !slices.ContainsFunc(r.Cur, func(t register.Member) bool { return !hasMember(r.Prev, t.ID) })
}

// reaches tells whether a member's holder lives and has answered this store within
// the last while: a store whose link to one other is cut does not hold a change
// up for ever.
func (b *Store) reaches(v *gossip.View, member register.Member) bool {
	p := v.Get(member.Name)
	return p != nil && p.Alive && p.MemberID() == member.ID && eventloop.NowUs()-max(p.MetUs, p.SinceUs) < unreachedUs
}

func hasMember(members []register.Member, id string) bool {
	return slices.ContainsFunc(members, func(s register.Member) bool { return s.ID == id })
}

// settleMembership ends a change once every shard is owned under it.
func (b *Store) settleMembership(st *register.State) {
	b.changingMembership = true
	go func() {
		ctx, cancel := context.WithTimeout(b.ctx, changeTimeout)
		defer cancel()
		defer func() { _ = b.cfg.Loop.Do(b.ctx, func() { b.changingMembership = false }) }()
		if !b.allOwned(ctx, st) {
			return
		}
		_, err := b.cfg.Change(ctx, func(now *register.State) (*register.State, error) {
			if now.Stores.Ver != st.Stores.Ver || !now.Stores.Joint() {
				return nil, nil
			}
			now.Stores = now.Stores.Settle()
			return now, nil
		})
		if err == nil {
			b.cfg.Log.Info("stores_settled", "membership", st.Stores.Ver+1, "members", len(st.Stores.Cur))
		}
	}()
}

// allOwned asks the stores which shards they own under this membership, all at once:
// some of them may be silent.
func (b *Store) allOwned(ctx context.Context, st *register.State) bool {
	answers := make(chan []int, len(st.Stores.Cur))
	for _, member := range st.Stores.Cur {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, ownedTimeout)
			defer cancel()
			out, call := &ownedAnswer{}, &ownedCall{Membership: st.Stores.Ver}
			var err error
			if member.ID == b.cfg.Member {
				out, err = b.onOwned(callCtx, call)
			} else {
				err = b.cfg.Transport.Call(callCtx, b.addrOf(member), "brood.owned", call, out)
			}
			if err != nil {
				out = &ownedAnswer{}
			}
			answers <- out.Shards
		}()
	}
	owned := map[int]bool{}
	for range st.Stores.Cur {
		for _, n := range <-answers {
			owned[n] = true
		}
		if len(owned) == Shards {
			return true
		}
	}
	return false
}

// Departed tells whether this store may end: no set of the newest membership counts
// on it, or too few would be left for it to be let go.
func (b *Store) Departed() bool {
	st := b.cfg.State()
	if st == nil || !hasMember(st.Stores.All(), b.cfg.Member) {
		return true
	}
	return !st.Stores.Joint() && len(st.Stores.Cur) <= 2*b.cfg.Spared+1
}
