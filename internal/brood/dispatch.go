package brood

import (
	"context"
	"sort"

	"rowanshunt/internal/pollen"
	"rowanshunt/internal/waggle"
	"rowanshunt/internal/wax"
)

// The dispatcher's side of the queue, after the paper: a poller moves due
// prompts into a bounded send cache; each goes to at most one dispatcher at a
// time, in batches, round-robin; one not acked in time is sent again, each
// wait twice the one before; one acked never is (design 8.7).

// Given is a prompt on its way to a dispatcher.
type Given struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the library
	Shard    int
	Lot      string
	Host     string
	Item     int
	Epoch    int64
	EndUs    int64 // how long, from now, it may still be tried
	DueUs    int64 // how long, from now, until it is due
	Prompt   Prompt
}

// TakeCall asks for prompts on behalf of a dispatcher with room for so many.
type TakeCall struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the library
	From     string
	Room     int
	Held     []Held // items it has in hand
	WaitUs   int64
}

// Held names an item that a dispatcher has in hand.
type Held struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the library
	Shard    int
	Lot      string
	Item     int
}

// TakeAnswer holds the prompts given.
type TakeAnswer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the library
	Given    []Given
	Shards   []int  // the shards this store owns, confirmed
	Stop     []Held // what must not run any more
}

type taker struct {
	call    *TakeCall
	stop    []Held
	untilUs int64
	reply   func(*TakeAnswer, error)
}

// Figures of the resend (design 8.7).
const (
	maxDoublings = 5
	lostHoldUs   = 1_500_000
	listenUs     = 700_000
)

// poll moves due prompts into the send cache, the lots due first first, and
// gives up what is past its time.
func (b *Brood) poll() {
	nowUs, wallUs := waggle.NowUs(), b.cfg.WallUs()
	type due struct {
		c     cached
		dueUs int64
	}
	var found []due
	for _, s := range b.shards {
		if s.owner == nil || !s.owner.ready {
			continue
		}
		// A new owner first hears what the dispatchers still have in hand.
		listening := nowUs-s.owner.readyUs < listenUs
		for id, l := range s.lots {
			if !l.taken || l.live == nil {
				continue
			}
			if l.closed() {
				if wallUs-l.SentUs > b.cfg.Options.PurgeUs && wallUs-l.SentUs > 2*l.RetainMs*1000 {
					b.issue(s, op{Kind: opDrop, Lot: id}, func(error) {})
				}
				continue
			}
			pastEnd := wallUs-l.SentUs > l.RetainMs*1000
			for i := range l.Prompts {
				p := &l.live.at[i]
				if l.listed[i] {
					continue
				}
				if pastEnd {
					b.list(s, l, Result{Item: i, Phase: PhaseGaveUp}, nil)
					continue
				}
				if p.cached || p.nextUs > nowUs || listening && l.src.Rev > 0 || l.Prompts[i].ScheduledUs > wallUs {
					continue
				}
				found = append(found, due{cached{s, id, i}, l.SentUs + l.DueMs*1000})
			}
		}
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].dueUs < found[j].dueUs })
	for _, d := range found {
		if len(b.cache) >= b.cfg.Options.CacheSize {
			break // the rest waits for a later poll
		}
		d.c.s.lots[d.c.lot].live.at[d.c.item].cached = true
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

func (b *Brood) serveTakers() {
	for len(b.takers) > 0 && len(b.cache) > 0 {
		t := b.takers[0]
		given := b.fill(t.call)
		if len(given) == 0 {
			return
		}
		b.takers = b.takers[1:]
		b.answerTaker(t, given)
	}
}

func (b *Brood) fill(call *TakeCall) []Given {
	nowUs, wallUs := waggle.NowUs(), b.cfg.WallUs()
	var out []Given
	bytes := 0
	n := 0
	for n < len(b.cache) && len(out) < min(call.Room, b.cfg.Options.BatchSize) && bytes < maxBatch {
		c := &b.cache[n]
		n++
		l, p := c.claimable()
		if l == nil {
			continue
		}
		p.epoch++
		p.holder, p.sentUs = call.From, nowUs
		p.nextUs = nowUs + b.cfg.Options.AckWaitUs<<min(p.epoch-1, maxDoublings)
		bytes += len(l.Prompts[c.item].Body)
		out = append(out, Given{Shard: c.s.n, Lot: l.ID, Host: l.Host, Item: c.item, Epoch: p.epoch,
			EndUs: l.SentUs + l.RetainMs*1000 - wallUs, DueUs: l.SentUs + l.DueMs*1000 - wallUs, Prompt: l.Prompts[c.item]})
	}
	b.cache = b.cache[n:]
	if len(b.cache) == 0 {
		b.cache = nil
	}
	return out
}

// onTake gives prompts, or waits for some. What the caller was sent and does
// not hold was lost on the way and is due again; what it holds from an earlier
// owner's hand stays with it.
func (b *Brood) onTake(ctx context.Context, in *TakeCall) (*TakeAnswer, error) {
	return answered(ctx, b.cfg.Floor, func(reply func(*TakeAnswer, error)) {
		t := &taker{call: in, stop: b.reclaim(in.From, in.Held), untilUs: waggle.NowUs() + in.WaitUs, reply: reply}
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
func (b *Brood) answerTaker(t *taker, given []Given) {
	out := &TakeAnswer{Given: given, Stop: t.stop}
	left := 1
	var failed error
	done := func(err error) {
		if err != nil {
			failed = err
		}
		if left--; left > 0 {
			return
		}
		if failed != nil {
			t.reply(nil, failed)
			return
		}
		t.reply(out, nil)
	}
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
		left++
		b.issue(b.shards[n], op{Kind: opNone}, done)
	}
	done(nil)
}

func (b *Brood) reclaim(from string, held []Held) (stop []Held) {
	nowUs := waggle.NowUs()
	have := make(map[Held]bool, len(held))
	for _, h := range held {
		if h.Shard < 0 || h.Shard >= Shards || b.shards[h.Shard].owner == nil || !b.shards[h.Shard].owner.ready {
			continue
		}
		have[h] = true
		l := b.shards[h.Shard].lots[h.Lot]
		if l == nil || l.Ended || h.Item < 0 || h.Item >= len(l.Prompts) || l.listed[h.Item] || l.live == nil {
			stop = append(stop, h)
			continue
		}
		if p := &l.live.at[h.Item]; p.holder == "" && p.epoch == 0 {
			p.holder, p.sentUs, p.epoch = from, nowUs, 1
			p.nextUs = nowUs + b.cfg.Options.AckWaitUs
		}
	}
	b.eachHeld(func(s *shard, l *Lot, i int, p *promptState) {
		if p.holder == from && nowUs-p.sentUs > lostHoldUs && !have[Held{Shard: s.n, Lot: l.ID, Item: i}] {
			p.holder, p.nextUs = "", nowUs
		}
	})
	return stop
}

func (b *Brood) eachHeld(fn func(s *shard, l *Lot, i int, p *promptState)) {
	for _, s := range b.shards {
		if s.owner == nil {
			continue
		}
		for _, l := range s.lots {
			if l.live == nil || l.closed() {
				continue
			}
			for i := range l.live.at {
				if p := &l.live.at[i]; p.holder != "" && !l.listed[i] {
					fn(s, l, i, p)
				}
			}
		}
	}
}

// expireWaiting answers takers and readers whose wait is over, and takes
// prompts back from dispatchers that are gone.
func (b *Brood) expireWaiting() {
	nowUs := waggle.NowUs()
	var due []*taker
	keep := b.takers[:0]
	for _, t := range b.takers {
		if nowUs >= t.untilUs {
			due = append(due, t)
		} else {
			keep = append(keep, t)
		}
	}
	clear(b.takers[len(keep):])
	b.takers = keep
	for _, t := range due {
		b.answerTaker(t, nil)
	}
	b.wakeReaders(nowUs)
	v := b.cfg.Swarm.Look()
	b.eachHeld(func(_ *shard, _ *Lot, _ int, p *promptState) {
		if nowUs-p.sentUs < lostHoldUs {
			return
		}
		if t := v.Get(p.holder); t == nil || !t.Alive && nowUs-t.SinceUs > lostHoldUs {
			p.holder, p.nextUs = "", nowUs
		}
	})
}

// flushTakers empties the cache when a shard leaves; the next poll fills it.
func (b *Brood) flushTakers() {
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

// GiveCall hands a prompt back: unplaced, or after a failed attempt.
type GiveCall struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the library
	Shard    int
	Lot      string
	Item     int
	Epoch    int64
	Failed   bool // a worker answered 500
	AfterUs  int64
}

func (b *Brood) onGive(ctx context.Context, in *GiveCall) (*pollen.Nothing, error) {
	return answered(ctx, b.cfg.Floor, func(reply func(*pollen.Nothing, error)) {
		s, l, p, err := b.prompt(in.Shard, in.Lot, in.Item)
		if err != nil {
			reply(nil, err)
			return
		}
		if l.listed[in.Item] || l.Ended {
			reply(&pollen.Nothing{}, nil)
			return
		}
		if in.Failed {
			p.fails++
			if p.fails >= max(l.Tries, 1) {
				b.list(s, l, Result{Item: in.Item, Phase: PhaseGaveUp}, func(err error) { reply(&pollen.Nothing{}, err) })
				return
			}
		}
		if p.epoch == in.Epoch {
			p.holder, p.nextUs = "", waggle.NowUs()+max(in.AfterUs, 0)
			if !in.Failed {
				p.epoch--
			}
		}
		reply(&pollen.Nothing{}, nil)
	})
}

func (b *Brood) prompt(shardN int, lot string, item int) (*shard, *Lot, *promptState, error) {
	s, err := b.own(shardN)
	if err != nil {
		return nil, nil, nil, err
	}
	l := s.lots[lot]
	if l == nil || l.live == nil || item < 0 || item >= len(l.Prompts) {
		return nil, nil, nil, wax.New(wax.Unknown, lot, "no such item", "drop it")
	}
	return s, l, &l.live.at[item], nil
}

// AckCall brings a result. Only once a majority has it on disk is it acked;
// then the prompt is never sent again.
type AckCall struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the library
	Shard    int
	Lot      string
	Item     int
	Phase    string
	Msg      []byte
}

func (b *Brood) onAck(ctx context.Context, in *AckCall) (*pollen.Nothing, error) {
	return answered(ctx, b.cfg.Floor, func(reply func(*pollen.Nothing, error)) {
		s, l, _, err := b.prompt(in.Shard, in.Lot, in.Item)
		if err != nil {
			reply(nil, err)
			return
		}
		if in.Phase != PhaseDone && in.Phase != PhaseGaveUp {
			reply(nil, wax.New(wax.Invalid, "phase", "is neither done nor gave_up", "run the same version on all nodes"))
			return
		}
		if l.Ended {
			reply(&pollen.Nothing{}, nil)
			return
		}
		if l.listed[in.Item] {
			// The first stored result stands; a second one is dropped once
			// the first is safe (design 8.8).
			b.issue(s, op{Kind: opNone}, func(err error) { reply(&pollen.Nothing{}, err) })
			return
		}
		b.list(s, l, Result{Item: in.Item, Phase: in.Phase, Msg: in.Msg}, func(err error) { reply(&pollen.Nothing{}, err) })
	})
}

// list puts a result at the next position; readers see it once a majority has
// it.
func (b *Brood) list(s *shard, l *Lot, r Result, then func(error)) {
	r.AckedUs = b.cfg.WallUs()
	id, at := l.ID, len(l.List)+1
	s.owner.pace.done(l.Prompts[r.Item].Toks, waggle.NowUs())
	b.issue(s, op{Kind: opAppend, Lot: id, Rev: l.Rev + 1, Results: []Result{r}}, func(err error) {
		if err == nil {
			if got := s.lots[id]; got != nil {
				got.seenLen = max(got.seenLen, at)
				b.wakeReaders(waggle.NowUs())
			}
		}
		if then != nil {
			then(err)
		}
	})
}
