package lotstore

import (
	"context"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"

	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/register"
	"rowanshunt/internal/rendezvous"
)

// Times of ownership (design 8.2).
const (
	tickUs       = 100_000
	claimPauseUs = 250_000
	claimAfterUs = 900_000 // a node that starts listens first
	claimTimeout = 600 * time.Millisecond
	oneTimeout   = 1200 * time.Millisecond // of one lot fetched
	fetchTimeout = 5 * time.Second         // of an attempt; the next goes on with what was fetched
	writeTimeout = 1500 * time.Millisecond
	mendPauseUs  = 200_000
	checkpointUs = 5_000
	offerUs      = 1_000_000 // how long room is kept for an offered lot
	leadUs       = 400_000   // how long ago a majority may have been heard for pops to be served
	readAgeUs    = 250_000   // the same for reads: well below settle_ms
	stuckUs      = 1_500_000
	maxBatch     = 1 << 20   // what one answer to a dispatcher holds
	feedBatch    = 256 << 10 // small, for pings and ops go over the same link
	mendTimeout  = 60 * time.Second
	maxFeedBytes = 24 << 20
	// fetchesAtOnce bounds the lots that a claim fetches at a time.
	fetchesAtOnce = 8
)

// owner is what the node that owns a shard keeps of it.
type owner struct {
	term       Term
	membership register.Membership
	seq        uint64 // of the last op
	waits      []wait
	feeds      map[string]*feed
	ready      bool // a majority holds all that the claim found
	pace       pace
	// unsaved are the ops of the checkpoint that is being filled.
	unsaved    []op
	saving     bool // a checkpoint is due
	confirming bool
	// clockSentUs is when the shard's clock last went to the replicas.
	clockSentUs int64

	diskIssued, diskDone uint64 // own disk: last op written, last op safe

	offers map[string]offer // by lot: room kept for lots that were offered

	heardUs map[string]int64 // by member: start of the newest call it answered under this stamp
}

// offer is room kept for a lot whose body is on its way.
type offer struct {
	route   string
	toks    int64
	untilUs int64
}

func (o *owner) keepRoom(route, lot string, toks, nowUs int64) {
	if o.offers == nil {
		o.offers = map[string]offer{}
	}
	o.offers[lot] = offer{route, toks, nowUs + offerUs}
}

// keptRoom sums the room kept for other lots of a route.
func (o *owner) keptRoom(route, lot string, nowUs int64) int64 {
	var sum int64
	for id, f := range o.offers {
		switch {
		case nowUs > f.untilUs:
			delete(o.offers, id)
		case id != lot && f.route == route:
			sum += f.toks
		}
	}
	return sum
}

// quorumUs is the moment up to which a majority has confirmed this owner: no
// other can have been let in before it (design 8.8).
func (o *owner) quorumUs(self string) int64 {
	nowUs := eventloop.NowUs()
	times := []int64{}
	for _, t := range o.heardUs {
		times = append(times, t)
	}
	sort.Slice(times, func(i, j int) bool { return times[i] > times[j] })
	agreed := map[string]bool{self: true}
	if o.membership.Quorum(agreed) {
		return nowUs
	}
	for _, t := range times {
		for id, at := range o.heardUs {
			if at >= t {
				agreed[id] = true
			}
		}
		if o.membership.Quorum(agreed) {
			return t
		}
	}
	return 0
}

func (o *owner) heard(member string, startUs int64) {
	if o.heardUs == nil {
		o.heardUs = map[string]int64{}
	}
	o.heardUs[member] = max(o.heardUs[member], startUs)
}

type wait struct {
	seq     uint64
	sinceUs int64
	then    func(error)
}

// feed brings one replica what the owner did, in order.
type feed struct {
	member register.Member
	acked  uint64
	cold   bool // must be compared and mended before ops fit
	busy   bool
	queue  []op
	lastQ  uint64 // seq of the last op queued
	bytes  int
	tryUs  int64
	synced bool
	full   bool // the replica wants no new lots
}

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
	s.seenMax = max(s.seenMax, s.promised.N) + 1
	term := Term{Membership: fenceOf(&st.Stores), N: s.seenMax, By: b.cfg.Self.Life()}
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

func (b *Store) runClaim(ctx context.Context, s *shard, term Term, membership register.Membership) error {
	members := membership.All()
	type reply struct {
		member register.Member
		out    *claimAnswer
		err    error
		clock  clockValue // of the shard at that replica, after its promise
	}
	replies := make(chan reply, len(members))
	for _, member := range members {
		go func() {
			callCtx, cancel := context.WithTimeout(b.ctx, claimTimeout)
			defer cancel()
			out := &claimAnswer{}
			call := &claimCall{Member: member.ID, Shard: s.n, Term: term}
			var err error
			if member.ID == b.cfg.Member {
				out, err = b.onClaim(callCtx, call)
			} else {
				err = b.cfg.Transport.Call(callCtx, b.addrOf(member), "brood.claim", call, out)
			}
			clock := clockValue{}
			if err == nil && out.OK {
				clock, err = b.askClock(callCtx, b.addrOf(member), &clockCall{Member: member.ID, Shard: s.n})
			}
			replies <- reply{member, out, err, clock}
		}()
	}
	agreed := map[string]bool{}
	best := map[string]copyOf{}
	holders := map[string]register.Member{}
	var higher *Term
	clock := clockValue{}
	for range members {
		r := <-replies
		if r.err != nil {
			continue
		}
		if !r.out.OK {
			if higher == nil || higher.Less(r.out.Promised) {
				p := r.out.Promised
				higher = &p
			}
			continue
		}
		agreed[r.member.ID] = true
		clock = clock.newer(r.clock)
		for _, c := range r.out.Copies {
			old, have := best[c.Lot]
			if !have || old.Term.Less(c.Term) || old.Term == c.Term && old.Rev < c.Rev {
				best[c.Lot], holders[c.Lot] = c, r.member
			} else if old.Term == c.Term && old.Rev == c.Rev && r.member.ID == b.cfg.Member {
				holders[c.Lot] = r.member
			}
		}
		if agreed[b.cfg.Member] && membership.Quorum(agreed) {
			break
		}
	}
	if higher != nil {
		_ = b.cfg.Loop.Do(ctx, func() {
			s.seenMax = max(s.seenMax, higher.N)
			if s.promised.Less(*higher) {
				// Remembered so that its holder is left alone; the promise
				// itself is not ours to make.
				s.tryUs = eventloop.NowUs() + claimPauseUs
			}
		})
	}
	if !agreed[b.cfg.Member] || !membership.Quorum(agreed) {
		return fault.New(fault.Refused, "shard", "no majority promised", "look which stores run")
	}
	// What an attempt before this one fetched counts, if it is still the best.
	fetched := map[string]*Lot{}
	if _, err := eventloop.Ask(ctx, b.cfg.Loop, func() bool {
		for id, l := range s.fetched {
			if c, ok := best[id]; ok && l.Term == c.Term && l.Rev == c.Rev {
				fetched[id] = l
			}
		}
		return true
	}); err != nil {
		return err
	}
	missing := missingCopies(best, holders, fetched, b.cfg.Member)
	failed := b.fetchCopies(ctx, s.n, missing, fetched)
	if failed != nil {
		_ = b.cfg.Loop.Do(b.ctx, func() { s.fetched = fetched })
		return failed
	}
	_, err := eventloop.Ask(ctx, b.cfg.Loop, func() bool {
		s.fetched = nil
		if s.promised != term {
			return false
		}
		b.install(s, term, membership, fetched, clock)
		return true
	})
	return err
}

// remoteCopy is the best copy of a lot where another replica has it.
type remoteCopy struct {
	copy   copyOf
	holder register.Member
}

// missingCopies lists the best copies that are neither here nor fetched yet. It
// is complete before the first fetch starts, for fetches write to the map that
// it reads.
func missingCopies(best map[string]copyOf, holders map[string]register.Member, fetched map[string]*Lot, self string) []remoteCopy {
	var missing []remoteCopy
	for id, c := range best {
		if holders[id].ID != self && fetched[id] == nil {
			missing = append(missing, remoteCopy{c, holders[id]})
		}
	}
	return missing
}

// fetchCopies fetches copies, a few at a time, into the map; on an error what
// came before it, and beside it, is there.
func (b *Store) fetchCopies(ctx context.Context, shardN int, missing []remoteCopy, fetched map[string]*Lot) error {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	room := make(chan struct{}, fetchesAtOnce)
	for _, m := range missing {
		wg.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			lot, err := b.fetchCopy(ctx, shardN, m)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
				return
			}
			fetched[m.copy.Lot] = lot
		})
	}
	wg.Wait()
	return failed
}

// fetchCopy fetches one copy; it must still be the one that was promised.
func (b *Store) fetchCopy(ctx context.Context, shardN int, m remoteCopy) (*Lot, error) {
	oneCtx, cancel := context.WithTimeout(ctx, oneTimeout)
	defer cancel()
	lot := &Lot{}
	call := &fetchCall{Member: m.holder.ID, Shard: shardN, Lot: m.copy.Lot}
	if err := b.cfg.Transport.Call(oneCtx, b.addrOf(m.holder), "brood.fetch", call, lot); err != nil {
		return nil, err
	}
	if lot.Term != m.copy.Term || lot.Rev != m.copy.Rev {
		return nil, fault.New(fault.Stale, m.copy.Lot, "the copy changed meanwhile", "claim again")
	}
	return lot, nil
}

// install makes this node the owner of what the claim found, the shard's clock
// among it.
func (b *Store) install(s *shard, term Term, membership register.Membership, fetched map[string]*Lot, clock clockValue) {
	o := &owner{term: term, membership: membership, feeds: map[string]*feed{}}
	rec := &record{Shard: s.n}
	nowUs := eventloop.NowUs()
	s.clock.start(term, nowUs, clock)
	for id, l := range fetched {
		placed := s.placeOnClock(l, nowUs)
		src := copyOf{Lot: id, Term: l.Term, Rev: l.Rev}
		whole := *l
		put := op{Kind: opPut, Lot: id, Term: term, Rev: l.Rev, Whole: &whole}
		apply(s.lots, &put)
		s.lots[id].src, s.lots[id].placed = src, placed
		rec.Ops = append(rec.Ops, put)
	}
	for id, l := range s.lots {
		if fetched[id] == nil {
			l.src = copyOf{Lot: id, Term: l.Term, Rev: l.Rev}
			st := op{Kind: opTerm, Lot: id, Term: term, Rev: l.Rev, Src: l.Term}
			apply(s.lots, &st)
			if l.placed = s.placeOnClock(l, nowUs); l.placed {
				st = op{Kind: opPut, Lot: id, Term: term, Rev: l.Rev, Whole: l.share()}
			}
			rec.Ops = append(rec.Ops, st)
		}
		l = s.lots[id]
		l.taken, l.endSeen, l.seenLen = false, false, 0
		l.live = &live{at: make([]promptState, len(l.Prompts))}
		for i := range l.Rows {
			if l.Rows[i].Lease != 0 {
				l.live.at[i] = promptState{nextUs: nowUs + b.leaseUs(l.Rows[i].Epoch), sentUs: nowUs}
			}
		}
		s.nextOffset = max(s.nextOffset, l.First+int64(l.items()))
	}
	o.seq = 1
	s.owner = o
	for _, member := range membership.All() {
		if member.ID != b.cfg.Member {
			o.feeds[member.ID] = &feed{member: member, cold: true}
		}
	}
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
	o.diskIssued = 1
	if n := len(rec.Ops); n > 0 {
		rec.Ops[n-1].ClockUs = s.clock.now(nowUs)
		s.clock.saved(rec.Ops[n-1].ClockUs)
	}
	b.toDisk(s, o, rec, 1)
	for _, f := range o.feeds {
		b.mend(s, f)
	}
}

// toDisk writes the owner's own copy.
func (b *Store) toDisk(s *shard, o *owner, rec *record, seq uint64) {
	done := func() {
		o.diskDone = max(o.diskDone, seq)
		b.advance(s, o)
	}
	if len(rec.Ops) == 0 {
		done()
		return
	}
	b.persist(rec, func() { _ = b.cfg.Loop.Do(b.ctx, done) })
}

// issue does an op: here at once, at the replicas in order; then is called
// once a majority has it on disk, or with Unsure if the shard is lost before.
func (b *Store) issue(s *shard, p op, then func(error)) {
	o := s.owner
	o.seq++
	seq := o.seq
	p.Term = o.term
	o.clockSentUs = eventloop.NowUs()
	p.ClockUs = s.clock.now(o.clockSentUs)
	o.waits = append(o.waits, wait{seq, eventloop.NowUs(), then})
	if p.Kind != opNone {
		apply(s.lots, &p)
		o.diskIssued = seq
		p.raw = nil
		_ = p.encoded()
		o.unsaved = append(o.unsaved, p)
		s.clock.saved(p.ClockUs)
	} else {
		b.saveClock(s, o.term, p.ClockUs)
	}
	cost := p.cost()
	for _, f := range o.feeds {
		if f.cold {
			continue
		}
		if f.bytes+cost > maxFeedBytes {
			b.cfg.Log.Info("replica_behind", "shard", s.n, "replica", f.member.Name, "queued", f.bytes)
			f.cold, f.queue, f.bytes = true, nil, 0
			continue
		}
		f.queue = append(f.queue, p)
		f.lastQ = seq
		f.bytes += cost
	}
	if p.Kind != opCursor && p.Kind != opAppend {
		b.checkpoint(s, o)
		return
	}
	// Pops and acks share a checkpoint: it is filled for a short while, and
	// longer while the disk is at work (design 8.7).
	if !o.saving {
		o.saving = true
		time.AfterFunc(checkpointUs*time.Microsecond, func() {
			_ = b.cfg.Loop.Do(b.ctx, func() { b.checkpoint(s, o) })
		})
	}
}

// checkpoint sends what was done since the last one to the disk and to the
// replicas.
func (b *Store) checkpoint(s *shard, o *owner) {
	o.saving = false
	if s.owner != o {
		return
	}
	if len(o.unsaved) > 0 {
		rec := &record{Shard: s.n, Ops: o.unsaved}
		o.unsaved = nil
		b.toDisk(s, o, rec, o.diskIssued)
	}
	if s.owner != o {
		return
	}
	for _, f := range o.feeds {
		b.pump(s, f)
	}
	b.advance(s, o)
}

// confirm calls back once a majority is known to have had no other owner at a
// moment at most ageUs ago.
func (b *Store) confirm(s *shard, ageUs int64, then func(error)) {
	if eventloop.NowUs()-s.owner.quorumUs(b.cfg.Member) <= ageUs {
		then(nil)
		return
	}
	b.issue(s, op{Kind: opNone}, then)
}

func (o *owner) selfAcked() uint64 {
	if o.diskDone == o.diskIssued {
		return o.seq
	}
	return o.diskDone
}

// advance calls back for all ops that a majority has.
func (b *Store) advance(s *shard, o *owner) {
	for s.owner == o && len(o.waits) > 0 {
		w := o.waits[0]
		agreed := map[string]bool{}
		if o.selfAcked() >= w.seq {
			agreed[b.cfg.Member] = true
		}
		for id, f := range o.feeds {
			if f.acked >= w.seq {
				agreed[id] = true
			}
		}
		if !o.membership.Quorum(agreed) {
			return
		}
		o.waits = o.waits[1:]
		w.then(nil)
	}
}

// depose gives a shard up; whoever waits is told that it may or may not stand.
func (b *Store) depose(s *shard, why string) {
	o := s.owner
	s.owner = nil
	s.clock.stop(eventloop.NowUs())
	// What was done here is in the copy that this node keeps as a replica: the
	// disk must have it before anything that is built on it.
	if len(o.unsaved) > 0 {
		b.persist(&record{Shard: s.n, Ops: o.unsaved}, func() {})
		o.unsaved = nil
	}
	b.cfg.Log.Info("shard_left", "shard", s.n, "why", why)
	for _, l := range s.lots {
		l.live = nil
	}
	fault := fault.New(fault.Unsure, "shard", "changed hands meanwhile", "ask again")
	for _, w := range o.waits {
		w.then(fault)
	}
	b.flushTakers()
}

// pump sends a replica what waits for it, one batch at a time.
func (b *Store) pump(s *shard, f *feed) {
	o := s.owner
	if f.busy || f.cold || len(f.queue) == 0 {
		return
	}
	n, bytes := 0, 0
	for n < len(f.queue) && (n == 0 || bytes < feedBatch) {
		bytes += f.queue[n].cost()
		n++
	}
	batch := f.queue[:n:n]
	f.queue = f.queue[n:]
	f.bytes -= bytes
	upTo := f.lastQ - uint64(len(f.queue))
	f.busy = true
	call := &writeCall{Member: f.member.ID, Shard: s.n, Term: o.term, Ops: rawOps(batch)}
	startUs := eventloop.NowUs()
	go func() {
		ctx, cancel := context.WithTimeout(b.ctx, writeTimeout)
		defer cancel()
		out := &writeAnswer{}
		err := b.cfg.Transport.Call(ctx, b.addrOf(f.member), "brood.write", call, out)
		_ = b.cfg.Loop.Do(b.ctx, func() {
			f.busy = false
			if s.owner != o {
				return
			}
			switch {
			case err == nil && out.OK:
				f.acked, f.full = max(f.acked, upTo), out.Full
				o.heard(f.member.ID, startUs)
				b.advance(s, o)
				if s.owner == o {
					b.pump(s, f)
				}
			case err == nil && o.term.Less(out.Promised):
				s.seenMax = max(s.seenMax, out.Promised.N)
				b.depose(s, "a replica promised "+out.Promised.By)
			default:
				b.cfg.Log.Info("replica_behind", "shard", s.n, "replica", f.member.Name, "misfit", out.Misfit, "waited_ms", (eventloop.NowUs()-startUs)/1000, "queued", f.bytes, "err", err)
				f.cold, f.queue, f.bytes, f.synced = true, nil, 0, false
				f.tryUs = eventloop.NowUs()
			}
		})
	}()
}

// feedTick mends cold feeds.
func (b *Store) feedTick(s *shard, nowUs int64) {
	for _, f := range s.owner.feeds {
		if f.cold && !f.busy && nowUs-f.tryUs > mendPauseUs {
			f.tryUs = nowUs
			b.mend(s, f)
		}
	}
}

// mend compares a replica's copies with the owner's and sends what differs;
// later ops wait behind it (design 8.5).
func (b *Store) mend(s *shard, f *feed) {
	o := s.owner
	f.busy = true
	go func() {
		ctx, cancel := context.WithTimeout(b.ctx, mendTimeout)
		defer cancel()
		callCtx, cancelCall := context.WithTimeout(ctx, claimTimeout)
		out := &claimAnswer{}
		startUs := eventloop.NowUs()
		err := b.cfg.Transport.Call(callCtx, b.addrOf(f.member), "brood.claim", &claimCall{Member: f.member.ID, Shard: s.n, Term: o.term}, out)
		cancelCall()
		if err != nil || !out.OK {
			_ = b.cfg.Loop.Do(b.ctx, func() {
				f.busy = false
				if s.owner == o && err == nil && o.term.Less(out.Promised) {
					s.seenMax = max(s.seenMax, out.Promised.N)
					b.depose(s, "a replica promised "+out.Promised.By)
				}
			})
			return
		}
		var batches [][]op
		var upTo uint64
		ok, err := eventloop.Ask(ctx, b.cfg.Loop, func() bool {
			if s.owner != o {
				return false
			}
			batches, upTo = differences(s, o.term, out.Copies), o.seq
			f.cold, f.queue, f.bytes, f.lastQ = false, nil, 0, o.seq
			return true
		})
		if err != nil || !ok {
			_ = b.cfg.Loop.Do(b.ctx, func() { f.busy = false })
			return
		}
		for i, batch := range batches {
			batches[i] = nil
			sentUs := eventloop.NowUs()
			writeCtx, cancelWrite := context.WithTimeout(ctx, 2*writeTimeout)
			res := &writeAnswer{}
			err = b.cfg.Transport.Call(writeCtx, b.addrOf(f.member), "brood.write", &writeCall{Member: f.member.ID, Shard: s.n, Term: o.term, Ops: rawOps(batch)}, res)
			cancelWrite()
			if err == nil && !res.OK {
				err = fault.New(fault.Stale, "replica", "changed while it was mended", "")
			}
			if err != nil {
				break
			}
			if i+1 < len(batches) && eventloop.NowUs()-startUs < b.syncUs()/mendPacedShare {
				// Half of the link's time is left to what is in use, unless the
				// replica would be back too late for the next loss.
				eventloop.Pause(ctx, time.Duration(eventloop.NowUs()-sentUs)*time.Microsecond)
			}
		}
		_ = b.cfg.Loop.Do(b.ctx, func() {
			f.busy = false
			if s.owner != o {
				return
			}
			if err != nil {
				b.cfg.Log.Info("replica_not_mended", "shard", s.n, "replica", f.member.Name, "batches", len(batches), "err", err)
				f.cold, f.queue, f.bytes = true, nil, 0
				f.tryUs = eventloop.NowUs()
				return
			}
			f.acked, f.synced = max(f.acked, upTo), true
			if len(batches) > 0 {
				b.cfg.Log.Info("replica_mended", "shard", s.n, "replica", f.member.Name, "batches", len(batches), "took_ms", (eventloop.NowUs()-startUs)/1000)
			}
			o.heard(f.member.ID, startUs)
			b.advance(s, o)
			if s.owner == o {
				b.pump(s, f)
			}
		})
	}()
}

// syncUs is how soon a replica that is back must hold all copies again.
func (b *Store) syncUs() int64 {
	if b.cfg.SyncUs > 0 {
		return b.cfg.SyncUs
	}
	return defaultSyncUs
}

// differences lists what a replica lacks, in batches.
func differences(s *shard, term Term, copies []copyOf) [][]op {
	there := map[string]copyOf{}
	for _, c := range copies {
		there[c.Lot] = c
	}
	var out [][]op
	var batch []op
	bytes := 0
	add := func(p op) {
		batch = append(batch, p)
		bytes += p.cost()
		if bytes > feedBatch {
			out, batch, bytes = append(out, batch), nil, 0
		}
	}
	ids := make([]string, 0, len(s.lots))
	for id := range s.lots {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		l := s.lots[id]
		c, have := there[id]
		switch {
		case have && c.Term == l.Term && c.Rev == l.Rev:
		case have && c.Term == l.src.Term && c.Rev == l.src.Rev && l.Rev == l.src.Rev && !l.placed:
			add(op{Kind: opTerm, Lot: id, Term: term, Rev: l.Rev, Src: c.Term})
		default:
			catch := (*op)(nil)
			if have {
				catch = l.since(term, c)
			}
			if catch == nil {
				catch = &op{Kind: opPut, Lot: id, Term: term, Rev: l.Rev, Whole: l.share()}
			}
			add(*catch)
		}
	}
	for id := range there {
		if s.lots[id] == nil {
			add(op{Kind: opDrop, Lot: id, Term: term})
		}
	}
	if len(batch) > 0 {
		out = append(out, batch)
	}
	return out
}

func (b *Store) addrOf(member register.Member) string {
	if p := b.cfg.Gossip.Look().Get(member.Name); p != nil {
		return p.Addr
	}
	return member.Addr
}
