package lotstore

import (
	"context"
	"slices"
	"sort"

	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/fault"
)

// The dispatcher's side of the queue, after the paper: a poller moves due
// prompts into a bounded send cache; each goes to at most one dispatcher at a
// time, in batches, round-robin; one not acked in time is sent again, each
// wait twice the one before; one acked never is (design 8.7).

// Given is a prompt on its way to a dispatcher.
type Given struct {
	Shard  int
	Lot    string
	Host   string
	Item   int
	Epoch  int64
	EndUs  int64 // how long, from now, it may still be tried
	DueUs  int64 // how long, from now, until it is due
	Prompt Prompt
	Lease  uint64
}

// TakeCall asks for prompts on behalf of a dispatcher with room for so many.
type TakeCall struct {
	From   string
	Room   int
	Held   []Held // items it has in hand
	WaitUs int64
	LeftUs int64    // until the asker itself gives the call up
	Full   []string // hosts whose items the asker could not run now (design 17.4)
}

// Held names an item that a dispatcher has in hand, and its lease.
type Held struct {
	Shard int
	Lot   string
	Item  int
	Lease uint64
}

// TakeAnswer holds the prompts given.
type TakeAnswer struct {
	Given  []Given
	Shards []int  // the shards this store owns, confirmed
	Stop   []Held // what must not run any more
}

type taker struct {
	call    *TakeCall
	stop    []Held
	untilUs int64 // claims stop here, a margin before the caller's own time is over
	reply   func(*TakeAnswer, error)
}

// Figures of the resend (design 8.7).
const (
	maxDoublings = 5
	lostHoldUs   = 1_500_000
	claimLeadUs  = 250_000 // the margin before an asker's deadline, at most
)

// poll moves due prompts into the send cache, the lots due first first, and
// gives up what is past its time.
func (b *Store) poll() {
	nowUs := eventloop.NowUs()
	type due struct {
		c     cached
		dueUs int64 // until its lot is due
	}
	var found []due
	shed := 0
	for _, s := range b.shards {
		if s.owner == nil || !s.owner.ready {
			continue
		}
		for id, l := range s.lots {
			if !l.taken && !l.refused() || l.live == nil {
				continue
			}
			ageUs := s.ageUs(l, nowUs)
			if l.closed() {
				switch {
				case ageUs > max(b.cfg.Options.PurgeUs, b.textsUs()) && ageUs > 2*l.RetainMs*1000:
					b.issue(s, op{Kind: opDrop, Lot: id}, func(error) {})
				case ageUs > b.textsUs() && len(l.Prompts) > 0 && shed < maxShedPerPoll:
					shed++
					b.shedTexts(s, l)
				}
				continue
			}
			pastEnd := ageUs > l.RetainMs*1000
			for i := range l.Prompts {
				p := &l.live.at[i]
				if l.listed[i] {
					continue
				}
				if pastEnd {
					b.list(s, l, Result{Item: i, Phase: PhaseGaveUp, Why: WhyTime}, nil)
					continue
				}
				if p.cached || p.nextUs > nowUs {
					continue
				}
				found = append(found, due{cached{s, id, i}, l.DueMs*1000 - ageUs})
			}
		}
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].dueUs < found[j].dueUs })
	// One host's flood leaves room for the others' items.
	perHost := map[string]int{}
	for _, c := range b.cache {
		if l := c.s.lots[c.lot]; l != nil {
			perHost[l.Host]++
		}
	}
	hosts := map[string]bool{}
	for _, d := range found {
		hosts[d.c.s.lots[d.c.lot].Host] = true
	}
	for host := range perHost {
		hosts[host] = true
	}
	most := b.cfg.Options.CacheSize / max(len(hosts), 1)
	for _, d := range found {
		if len(b.cache) >= b.cfg.Options.CacheSize {
			break // the rest waits for a later poll
		}
		l := d.c.s.lots[d.c.lot]
		if perHost[l.Host] >= most {
			continue
		}
		perHost[l.Host]++
		l.live.at[d.c.item].cached = true
		b.cache = append(b.cache, d.c)
	}
	b.serveTakers()
}

// claimable gives the state of a cached prompt if it may still be sent.
func (c *cached) claimable() (*Lot, *promptState) {
	l := c.s.lots[c.lot]
	if l == nil || l.live == nil || c.s.owner == nil || c.item >= len(l.live.at) {
		return nil, nil
	}
	p := &l.live.at[c.item]
	p.cached = false
	if l.Ended || l.listed[c.item] {
		return nil, nil
	}
	return l, p
}

func (b *Store) serveTakers() {
	for i := 0; i < len(b.takers) && len(b.cache) > 0; {
		t := b.takers[i]
		if eventloop.NowUs() >= t.untilUs {
			return // answered empty by the next tick
		}
		if !b.claimTo(i) {
			if len(t.call.Full) == 0 {
				return
			}
			i++ // what is there is not for this one: the next may run it
		}
	}
}

// leads tells whether the shard's owner may serve pops: a majority was heard
// within 400 ms. Else it is asked, and the takers are served when it answers.
func (b *Store) leads(s *shard) bool {
	o := s.owner
	if eventloop.NowUs()-o.quorumUs(b.cfg.Member) <= leadUs {
		return true
	}
	if !o.confirming {
		o.confirming = true
		b.issue(s, op{Kind: opNone}, func(err error) {
			o.confirming = false
			if err == nil {
				b.serveTakers()
			}
		})
	}
	return false
}

// claimTo leases cached prompts, the oldest first, to an asker; it is answered
// once the checkpoint with the leases is on disk at a majority (design 8.7).
func (b *Store) claimTo(at int) bool {
	t := b.takers[at]
	nowUs := eventloop.NowUs()
	var out []Given
	type lotRows struct {
		s    *shard
		l    *Lot
		rows []CursorAt
	}
	var changed []*lotRows
	bytes, n := 0, 0
	var skipped []cached
	leads := map[*shard]bool{} // asked once for each shard
	for n < len(b.cache) && len(out) < min(t.call.Room, b.cfg.Options.BatchSize) && bytes < maxBatch {
		c := b.cache[n]
		n++
		l, p := c.claimable()
		if l == nil {
			continue
		}
		if _, asked := leads[c.s]; !asked {
			leads[c.s] = b.leads(c.s)
		}
		if !leads[c.s] || slices.Contains(t.call.Full, l.Host) {
			p.cached = true
			skipped = append(skipped, c)
			continue
		}
		var lr *lotRows
		for _, x := range changed {
			if x.l == l {
				lr = x
			}
		}
		if lr == nil {
			lr = &lotRows{s: c.s, l: l}
			changed = append(changed, lr)
		}
		row := Cursor{Lease: leaseID(c.s.owner.term, l.Rev+1), Holder: t.call.From, Epoch: l.Rows[c.item].Epoch + 1, Fails: l.Rows[c.item].Fails}
		lr.rows = append(lr.rows, CursorAt{Item: c.item, Row: row})
		p.sentUs, p.nextUs = nowUs, nowUs+b.leaseUs(row.Epoch)
		bytes += len(l.Prompts[c.item].Body)
		out = append(out, Given{Shard: c.s.n, Lot: l.ID, Host: l.Host, Item: c.item, Epoch: row.Epoch, Lease: row.Lease,
			EndUs: l.RetainMs*1000 - c.s.ageUs(l, nowUs), DueUs: l.DueMs*1000 - c.s.ageUs(l, nowUs), Prompt: l.Prompts[c.item]})
	}
	b.cache = append(skipped, b.cache[n:]...)
	if len(b.cache) == 0 {
		b.cache = nil
	}
	if len(out) == 0 {
		return false
	}
	b.takers = slices.Delete(b.takers, at, at+1)
	saved := gather(len(changed), func(err error) {
		if err != nil {
			t.reply(nil, err)
			return
		}
		b.answerTaker(t, out)
	})
	for _, x := range changed {
		b.issue(x.s, op{Kind: opCursor, Lot: x.l.ID, Rev: x.l.Rev + 1, Rows: x.rows}, saved)
	}
	return true
}

// gather calls then once it was itself called so often, with a fault if any of
// these calls had one.
func gather(calls int, then func(error)) func(error) {
	var failed error
	return func(err error) {
		if err != nil {
			failed = err
		}
		if calls--; calls == 0 {
			then(failed)
		}
	}
}

// onTake gives prompts, or waits for some. It also renews the leases that the
// caller names; one that the rows say it holds and that it does not name was lost
// on the way and ends (design 8.7).
func (b *Store) onTake(ctx context.Context, in *TakeCall) (*TakeAnswer, error) {
	return answered(ctx, b.cfg.Loop, func(reply func(*TakeAnswer, error)) {
		nowUs := eventloop.NowUs()
		t := &taker{call: in, stop: b.reclaim(in.From, in.Held), untilUs: nowUs + in.WaitUs, reply: reply}
		if in.LeftUs > 0 {
			t.untilUs = min(t.untilUs, nowUs+in.LeftUs-min(claimLeadUs, in.LeftUs/4))
		}
		if in.Room <= 0 || len(t.stop) > 0 {
			b.answerTaker(t, nil)
			return
		}
		b.takers = append(b.takers, t)
		b.serveTakers()
	})
}

// answerTaker answers once the fence of every shard it speaks for is
// confirmed: the dispatcher's leave to send follows from it (design 9.2).
func (b *Store) answerTaker(t *taker, given []Given) {
	out := &TakeAnswer{Given: given, Stop: t.stop}
	speak := map[int]bool{}
	for _, g := range given {
		speak[g.Shard] = true
	}
	for _, h := range t.call.Held {
		speak[h.Shard] = true
	}
	for n := range speak {
		if n < 0 || n >= Shards || b.shards[n].owner == nil || !b.shards[n].owner.ready {
			continue
		}
		out.Shards = append(out.Shards, n)
	}
	confirmed := gather(len(out.Shards)+1, func(err error) {
		if err != nil {
			t.reply(nil, err)
			return
		}
		t.reply(out, nil)
	})
	for _, n := range out.Shards {
		if b.shards[n].owner == nil {
			confirmed(fault.New(fault.Unsure, "shard", "changed hands meanwhile", "ask again"))
			continue
		}
		b.confirm(b.shards[n], leadUs, confirmed)
	}
	confirmed(nil)
}

// expireWaiting answers takers and readers whose wait is over, and takes
// prompts back from dispatchers that are gone.
func (b *Store) expireWaiting() {
	nowUs := eventloop.NowUs()
	var due []*taker
	b.takers, due = split(b.takers, func(t *taker) bool { return nowUs >= t.untilUs })
	for _, t := range due {
		b.answerTaker(t, nil)
	}
	b.wakeReaders(nowUs)
	v := b.cfg.Gossip.Look()
	b.eachHeld(nowUs, func(_ *shard, l *Lot, i int, p *promptState) {
		if nowUs-p.sentUs < lostHoldUs {
			return
		}
		if t := v.Get(l.Rows[i].Holder); t == nil || !t.Alive && nowUs-t.SinceUs > lostHoldUs {
			p.nextUs = nowUs
		}
	})
}

// flushTakers empties the cache when a shard leaves; the next poll fills it.
func (b *Store) flushTakers() {
	b.cache = nil
	for _, s := range b.shards {
		if s.owner == nil {
			continue
		}
		for _, l := range s.lots {
			if l.live != nil {
				for i := range l.live.at {
					l.live.at[i].cached = false
				}
			}
		}
	}
}
