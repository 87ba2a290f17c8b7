package lotstore

import (
	"context"
	"slices"
	"strconv"
	"sync"

	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/register"
	"rowanshunt/internal/rendezvous"
)

// claimTick looks which shards this node should own (design 8.2): the one that
// holds the highest promise keeps a shard while it lives; else it falls to the
// first of the rank.
func (b *Store) claimTick() {
	st := b.cfg.State()
	if st == nil || !st.Stores.Has(b.cfg.Member) {
		for _, s := range b.shards {
			if s.owner != nil && st != nil && st.Stores.Ver > s.owner.membership.Ver {
				b.depose(s, "no longer in the membership")
			}
		}
		return
	}
	nowUs := eventloop.NowUs()
	v := b.cfg.Gossip.Look()
	reach, fit := map[string]bool{}, map[string]bool{}
	for _, member := range st.Stores.All() {
		if p := v.Get(member.Name); p != nil && v.Met(member.Name) && p.MemberID() == member.ID {
			reach[member.ID] = true
			fit[member.ID] = !p.Leaving && !retiring(st, member.ID)
		}
	}
	for n, s := range b.shards {
		set := &b.sets(st)[n]
		if !set.Has(b.cfg.Member) {
			if s.owner != nil && fenceOf(&s.owner.membership) < fenceOf(&st.Stores) {
				b.depose(s, "its replicas are elsewhere now")
			}
			continue
		}
		var names []string
		for _, member := range set.Cur {
			if fit[member.ID] {
				names = append(names, member.Name)
			}
		}
		// One whose event loop runs late owns nothing while a quicker one can.
		if quick := slices.DeleteFunc(slices.Clone(names), v.Slow); len(quick) > 0 {
			names = quick
		}
		if set.Joint() {
			// One that is new to the shard has yet to be brought all its lots.
			if old := slices.DeleteFunc(slices.Clone(names), func(name string) bool {
				return !slices.ContainsFunc(set.Prev, func(t register.Member) bool { return t.Name == name && set.Has(t.ID) })
			}); len(old) > 0 {
				names = old
			}
		}
		if s.owner != nil && fenceOf(&s.owner.membership) == fenceOf(&st.Stores) {
			if s.owner.membership.Ver < st.Stores.Ver {
				b.settled(s, *set)
			}
			if s.owner != nil {
				b.feedTick(s, nowUs)
			}
			if o := s.owner; o != nil && len(o.waits) > 0 && nowUs-o.waits[0].sinceUs > stuckUs && !set.Quorum(reach) {
				b.depose(s, "no majority answers")
			}
			continue
		}
		if s.claiming || nowUs-s.tryUs < claimPauseUs {
			continue
		}
		// A node that starts listens first, unless all replicas have answered it.
		if nowUs-b.startUs < claimAfterUs && slices.ContainsFunc(set.All(), func(t register.Member) bool { return !reach[t.ID] }) {
			continue
		}
		// Without a majority in reach a claim would only raise the fence against
		// the owner that the others have.
		if set.Quorum(reach) && b.shouldOwn(s, st, v, names) {
			s.tryUs = nowUs
			b.claim(s, st)
		}
	}
}

// fenceOf is the membership number that stamps carry. A change and its settling
// share one: the settled set's majorities meet those of the change, so owners
// need no new claim when a change settles (design 8.6).
func fenceOf(r *register.Membership) uint64 {
	if r.Joint() {
		return r.Ver
	}
	return r.Ver - 1
}

// settled drops the members that a change has let go.
func (b *Store) settled(s *shard, r register.Membership) {
	o := s.owner
	o.membership = r
	for id := range o.feeds {
		if !r.Has(id) {
			delete(o.feeds, id)
		}
	}
	b.advance(s, o)
}

func retiring(st *register.State, id string) bool {
	for _, r := range st.Retiring {
		if r == id {
			return true
		}
	}
	return false
}

func (b *Store) shouldOwn(s *shard, st *register.State, v *gossip.View, names []string) bool {
	node := ownerName(s.promised.By)
	holder := rendezvous.Holder("shard/"+strconv.Itoa(s.n), names)
	if s.promised.By == b.cfg.Self.Life() && !b.cfg.Self.Leaving && !retiring(st, b.cfg.Member) && (!b.slowness.slow && !b.diskRefuses || slices.Contains(names, b.cfg.Self.Name)) {
		return true
	}
	if node != "" && node != b.cfg.Self.Name {
		p := v.Get(node)
		alive := p != nil && v.Met(node) && p.Signed(s.promised.By) && !p.Leaving
		stays := false
		for _, n := range names {
			stays = stays || n == node
		}
		if alive && stays {
			// It lives and knows, or will learn, the membership: leave it to it
			// for a while.
			if s.promised.Membership == fenceOf(&st.Stores) {
				return false
			}
			if eventloop.NowUs()-b.membershipUs < claimAfterUs {
				return false
			}
		}
	}
	return holder == b.cfg.Self.Name
}

// claim takes a shard over: a promise from a majority, the best copy of every
// lot, and those copies brought to a majority before anything is served.
func (b *Store) claim(s *shard, st *register.State) {
	s.claiming = true
	if s.owner != nil {
		b.depose(s, "new membership")
	}
	term := s.nextTerm(fenceOf(&st.Stores), b.cfg.Self.Life())
	membership := b.sets(st)[s.n]
	go func() {
		ctx, cancel := context.WithTimeout(b.ctx, fetchTimeout)
		defer cancel()
		err := b.runClaim(ctx, s, term, membership)
		_ = b.cfg.Loop.Do(b.ctx, func() {
			s.claiming = false
			if err != nil {
				b.cfg.Log.Info("shard_claim_failed", "shard", s.n, "err", err)
			}
		})
	}()
}

// runClaim drives a claimCore, which decides.
func (b *Store) runClaim(ctx context.Context, s *shard, term Term, membership register.Membership) error {
	claim := newClaim(b.cfg.Member, term, membership)
	b.askPromises(s.n, claim)
	if claim.higher != (Term{}) {
		b.noteHigher(ctx, s, claim.higher)
	}
	if !claim.granted() {
		return fault.New(fault.Refused, "shard", "no majority promised", "look which stores run")
	}
	// What an attempt before this one fetched counts, if it is still the best.
	if _, err := eventloop.Ask(ctx, b.cfg.Loop, func() bool {
		claim.reuse(s.fetched)
		return true
	}); err != nil {
		return err
	}
	if err := b.fetchCopies(ctx, s.n, claim); err != nil {
		_ = b.cfg.Loop.Do(b.ctx, func() { s.fetched = claim.fetched })
		return err
	}
	_, err := eventloop.Ask(ctx, b.cfg.Loop, func() bool {
		s.fetched = nil
		if s.promised != term {
			return false
		}
		b.install(s, claim)
		return true
	})
	return err
}

// askPromises sends the claim to all members until enough have promised or all
// have answered.
func (b *Store) askPromises(shardN int, claim *claimCore) {
	type reply struct {
		member register.Member
		out    *claimAnswer
		err    error
		clock  clockValue // of the shard at that replica, after its promise
	}
	members := claim.membership.All()
	replies := make(chan reply, len(members))
	for _, member := range members {
		go func() {
			callCtx, cancel := context.WithTimeout(b.ctx, claimTimeout)
			defer cancel()
			out := &claimAnswer{}
			call := &claimCall{Member: member.ID, Shard: shardN, Term: claim.term}
			var err error
			if member.ID == b.cfg.Member {
				out, err = b.onClaim(callCtx, call)
			} else {
				err = b.cfg.Transport.Call(callCtx, b.addrOf(member), "brood.claim", call, out)
			}
			clock := clockValue{}
			if err == nil && out.OK {
				clock, err = b.askClock(callCtx, b.addrOf(member), &clockCall{Member: member.ID, Shard: shardN})
			}
			replies <- reply{member, out, err, clock}
		}()
	}
	for range members {
		r := <-replies
		if r.err == nil && claim.answered(r.member, r.out, r.clock) {
			return
		}
	}
}

// noteHigher remembers a promise that refused a claim.
func (b *Store) noteHigher(ctx context.Context, s *shard, higher Term) {
	_ = b.cfg.Loop.Do(ctx, func() {
		s.seenMax = max(s.seenMax, higher.N)
		if s.promised.Less(higher) {
			// Remembered so that its holder is left alone; the promise
			// itself is not ours to make.
			s.tryUs = eventloop.NowUs() + claimPauseUs
		}
	})
}

// fetchCopies fetches the copies that the claim misses, a few at a time; on an
// error what came before it, and beside it, is kept in the claim.
func (b *Store) fetchCopies(ctx context.Context, shardN int, claim *claimCore) error {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	room := make(chan struct{}, fetchesAtOnce)
	for _, m := range claim.missing() {
		wg.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			lot, err := b.fetchCopy(ctx, shardN, m)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				err = claim.took(m, lot)
			}
			if err != nil {
				failed = err
			}
		})
	}
	wg.Wait()
	return failed
}

// fetchCopy fetches one copy.
func (b *Store) fetchCopy(ctx context.Context, shardN int, m remoteCopy) (*Lot, error) {
	oneCtx, cancel := context.WithTimeout(ctx, oneTimeout)
	defer cancel()
	lot := &Lot{}
	call := &fetchCall{Member: m.holder.ID, Shard: shardN, Lot: m.copy.Lot}
	if err := b.cfg.Transport.Call(oneCtx, b.addrOf(m.holder), "brood.fetch", call, lot); err != nil {
		return nil, err
	}
	return lot, nil
}

// install makes this node the owner of what the claim found, the shard's clock
// among it.
func (b *Store) install(s *shard, claim *claimCore) {
	term := claim.term
	nowUs := eventloop.NowUs()
	s.clock.start(term, nowUs, claim.clock)
	rec := &record{Shard: s.n, Ops: s.takeOver(term, claim.fetched, nowUs)}
	for _, l := range s.lots {
		l.taken, l.endSeen, l.seenLen = false, false, 0
		l.live = &live{at: make([]promptState, len(l.Prompts))}
		for i := range l.Rows {
			if l.Rows[i].Lease != 0 {
				l.live.at[i] = promptState{nextUs: nowUs + b.leaseUs(l.Rows[i].Epoch), sentUs: nowUs}
			}
		}
		s.nextOffset = max(s.nextOffset, l.First+int64(l.items()))
	}
	o := newOwner(term, claim.membership, b.cfg.Member)
	s.owner = o
	o.waits = append(o.waits, wait{1, eventloop.NowUs(), func(err error) {
		if err != nil {
			return
		}
		o.ready = true
		for _, l := range s.lots {
			l.taken, l.endSeen, l.seenLen = !l.refused(), l.Ended, len(l.List)
		}
		b.cfg.Log.Info("shard_owned", "shard", s.n, "stamp", term.N, "membership", term.Membership, "lots", len(s.lots))
		b.poll()
	}})
	if n := len(rec.Ops); n > 0 {
		rec.Ops[n-1].ClockUs = s.clock.now(nowUs)
		s.clock.saved(rec.Ops[n-1].ClockUs)
	}
	b.toDisk(s, o, rec, 1)
	for _, f := range o.feeds {
		b.mend(s, f)
	}
}
