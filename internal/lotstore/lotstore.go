package lotstore

import (
	"context"
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/config"
	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/logging"
	"rowanshunt/internal/register"
	"rowanshunt/internal/rpc"
	"rowanshunt/internal/wal"
)

// Options of the queue; the source's figures are in docs/paper.md, these are
// our own defaults.
type Options struct {
	CacheSize int   // prompts in the send cache
	BatchSize int   // prompts a dispatcher gets at a time
	PollUs    int64 // between two polls
	AckWaitUs int64 // the first wait for an ack
	PurgeUs   int64 // age at which closed lots are dropped
}

// Defaults of the options.
func Defaults() Options {
	return Options{CacheSize: 2000, BatchSize: 10, PollUs: 100_000, AckWaitUs: 6_000_000, PurgeUs: 180_000_000}
}

// Config is what a lot store is made of.
type Config struct {
	Loop      *eventloop.Loop
	Mux       *rpc.Mux
	Transport rpc.Transport
	Gossip    *gossip.Gossip
	Log       *logging.Log
	Self      gossip.Peer
	Member    string
	Dir       string
	DiskBytes int64 // 0: not known
	// MemoryBytes is what the process may take, 0 if that is not known.
	MemoryBytes int64
	// PollSpanUs is how long after a lot was sent its results may be read.
	PollSpanUs int64
	State      func() *register.State // newest committed
	Change     func(context.Context, register.Change) (*register.State, error)
	Fatal      func(error)
	Options    Options
	Spared     int
	// Lost asks the members which of the suspects a majority of them has lost.
	Lost func(ctx context.Context, members, suspects []register.Member, forUs int64) map[string]bool
	// SyncUs is how soon a replica that is back must hold all copies again.
	SyncUs int64
}

// Store is a store's part of the queue. It owns its shards; all runs on the
// event loop.
type Store struct {
	cfg                Config
	ctx                context.Context
	shards             [Shards]*shard
	wal                *wal.Log
	longBytes          int64
	minLongBytes       int64
	startUs            int64
	membershipVer      uint64
	membershipUs       int64
	setsOf             *[Shards]register.Membership
	setsVer            uint64
	cache              []cached
	takers             []*taker
	readers            []*reader
	changingMembership bool
	rewriting          bool
	// rewriteAfterUs: not before, for the last rewrite failed.
	rewriteAfterUs int64
	space          spaceUse
	misfits        int // ops of the file that continued no copy, when it was read
	stableUs       int64
	lastNames      string
	slowness       slowness
	diskRefuses    bool
	walOptions     []wal.Option
	need           membershipNeed
}

type cached struct {
	s    *shard
	lot  string
	item int
}

// Open reads the store's disk and joins the queue.
func Open(ctx context.Context, cfg Config) (*Store, error) {
	b := &Store{cfg: cfg, ctx: ctx, startUs: eventloop.NowUs()}
	b.minLongBytes = max(cfg.DiskBytes/4, 16<<20)
	if err := b.openReplica(cfg.Dir); err != nil {
		return nil, err
	}
	b.longBytes = b.nextLong()
	context.AfterFunc(ctx, b.wal.Close)
	d := cfg.Mux
	rpc.On(d, "brood.claim", b.onClaim)
	rpc.On(d, clockKind, b.onClock)
	rpc.On(d, "brood.fetch", b.onFetch)
	rpc.On(d, "brood.write", b.onWrite)
	rpc.On(d, "brood.hand", b.onHand)
	rpc.On(d, "brood.read", b.onRead)
	rpc.On(d, "brood.body", b.onBody)
	rpc.On(d, "brood.end", b.onEnd)
	rpc.On(d, "brood.take", b.onTake)
	rpc.On(d, "brood.give", b.onGive)
	rpc.On(d, "brood.ack", b.onAck)
	rpc.On(d, "brood.owned", b.onOwned)
	cfg.Loop.Every(tickUs, b.tick)
	cfg.Loop.Every(cfg.Options.PollUs, b.poll)
	return b, nil
}

// ShardOf cuts lots by the host they are handed in under.
func ShardOf(host string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(config.HostKey(host)))
	return int(h.Sum32() % Shards)
}

// maxStores bounds the stores' membership.
const maxStores = 512

// replicasOf is the membership of one shard: 2·ft+1 of the stores bear the loss of
// ft, however many stores there are (design 8.1).
func replicasOf(r *register.Membership, shardN, spared int) register.Membership {
	return r.Replicas("replica/"+strconv.Itoa(shardN), 2*spared+1)
}

// Replicas are the stores that share a shard with a member: the ones it must know
// closely, however many others there are.
func Replicas(r *register.Membership, member string, spared int) map[string]bool {
	out := map[string]bool{}
	for n := range Shards {
		set := replicasOf(r, n, spared)
		if all := set.All(); slices.ContainsFunc(all, func(s register.Member) bool { return s.ID == member }) {
			for _, s := range all {
				out[s.Name] = true
			}
		}
	}
	return out
}

// sets gives the shards' memberships under the newest state, worked out once for
// each membership.
func (b *Store) sets(st *register.State) *[Shards]register.Membership {
	if b.setsOf == nil || b.setsVer != st.Stores.Ver {
		b.setsOf, b.setsVer = &[Shards]register.Membership{}, st.Stores.Ver
		for n := range b.setsOf {
			b.setsOf[n] = replicasOf(&st.Stores, n, b.cfg.Spared)
		}
	}
	return b.setsOf
}

// shedMoved lets go of the lots of shards that a settled membership keeps
// elsewhere: a majority of their own replicas has them, and every later claim
// goes by this membership or one that follows it.
func (b *Store) shedMoved(st *register.State) {
	if st.Stores.Joint() || len(st.Stores.Cur) == 0 {
		return
	}
	for n, s := range b.shards {
		if len(s.lots) > 0 && s.owner == nil && !s.claiming && !b.sets(st)[n].Has(b.cfg.Member) {
			b.cfg.Log.Info("shard_moved", "shard", n, "lots", len(s.lots), "membership", st.Stores.Ver)
			// On disk too: an old copy must not come back with a restart.
			rec := &record{Shard: n}
			for id := range s.lots {
				rec.Ops = append(rec.Ops, op{Kind: opDrop, Lot: id, Term: s.promised})
			}
			s.lots = map[string]*Lot{}
			b.persist(rec, func() {})
		}
	}
}

func (b *Store) tick() {
	if b.slowness.heartbeat(eventloop.NowUs(), tickUs) {
		b.cfg.Log.Info("store_slow", "slow", b.slowness.slow, "late_ms", int64(b.slowness.meanUs)/1000)
		b.tellSlow()
	}
	b.diskTick()
	b.spaceTick(eventloop.NowUs())
	if st := b.cfg.State(); st != nil && st.Stores.Ver != b.membershipVer {
		b.membershipVer, b.membershipUs = st.Stores.Ver, eventloop.NowUs()
	}
	b.claimTick()
	if st := b.cfg.State(); st != nil {
		b.shedMoved(st)
	}
	b.membershipTick()
	b.clockTick(eventloop.NowUs())
	b.expireWaiting()
}

// own gives the shard if this node may serve it.
func (b *Store) own(shardN int) (*shard, error) {
	if shardN < 0 || shardN >= Shards {
		return nil, fault.New(fault.Invalid, "shard", "is out of bounds", "run the same version on all nodes")
	}
	s := b.shards[shardN]
	if s.owner == nil {
		node := ownerName(s.promised.By)
		if node == b.cfg.Self.Name {
			node = ""
		}
		return nil, fault.New(fault.NotOwner, node, "this store does not own the shard", "ask the owner")
	}
	if !s.owner.ready {
		return nil, fault.New(fault.Refused, "shard", "is being taken over", "ask again")
	}
	return s, b.behind()
}

type handCall struct {
	Shard   int
	Lot     *Lot
	Backlog int64
	// Unsure: an earlier attempt of this hand-in got no clear answer, so a
	// refusal must be made to stand before it is told.
	Unsure bool
	LeftUs int64  // how long its caller will wait
	Req    uint64 // minted by the node that was called, the same at every attempt
	Offer  bool   // only asks whether it would be taken: the lot comes without its prompts
	Toks   int64  // of all its prompts
}

// handAnswer tells whether a lot was taken; if not, when it may fit.
type handAnswer struct {
	Taken   bool
	AfterMs int64
	First   int64 // offset of its first prompt; a lot that comes again has the one it had
	Other   bool  // the id is that of another lot
	Welcome bool  // to an offer: it fits, and the room is kept for a moment
	NoRoom  bool  // the stores have no room for more lots (design 10.5)
}

// DecodeMsgpack reads answers of earlier versions too.
func (a *handAnswer) DecodeMsgpack(d *msgpack.Decoder) error {
	return rpc.Fields(d, &a.Taken, &a.AfterMs, &a.First, &a.Other, &a.Welcome, &a.NoRoom)
}

// onHand accepts a lot: on disk at a majority before the answer (design 8.4).
func (b *Store) onHand(ctx context.Context, in *handCall) (*handAnswer, error) {
	startUs := eventloop.NowUs()
	return answered(ctx, b.cfg.Loop, func(reply func(*handAnswer, error)) {
		s, err := b.own(in.Shard)
		if err != nil {
			reply(nil, err)
			return
		}
		if in.Lot == nil || in.Lot.ID == "" || len(in.Lot.Prompts) == 0 && !in.Offer {
			reply(nil, fault.New(fault.Invalid, "lot", "is empty", "hand in at least one item"))
			return
		}
		old := s.lots[in.Lot.ID]
		if old != nil && !old.refused() {
			// Decided by the committed rows and what is in flight alone: it
			// keeps the offset it has (design 8.4).
			b.issue(s, op{Kind: opNone}, func(err error) {
				reply(&handAnswer{Taken: true, First: old.First, Other: old.Digest != in.Lot.Digest && old.Digest != [2]uint64{}}, err)
			})
			return
		}
		if old != nil && slices.Contains(old.Refused, in.Req) {
			// A late attempt of a hand-in that was told "no".
			b.issue(s, op{Kind: opNone}, func(err error) { reply(&handAnswer{AfterMs: maxAfterMs}, err) })
			return
		}
		if in.LeftUs > 0 && eventloop.NowUs()-startUs > in.LeftUs {
			reply(nil, fault.New(fault.Refused, "lot", "its caller no longer waits", "hand it in again"))
			return
		}
		l := in.Lot
		l.Rows, l.Refused = nil, nil
		l.index()
		rev := uint64(1)
		if old != nil {
			rev = old.Rev + 1
		}
		if !b.hasRoom(s, l) {
			b.refuse(s, in, old, &handAnswer{NoRoom: true, AfterMs: noRoomAfterMs}, reply)
			return
		}
		nowUs := eventloop.NowUs()
		if in.Backlog > 0 {
			openToks := s.owner.keptRoom(l.Route, l.ID, nowUs)
			for _, other := range s.lots {
				if other.Route == l.Route {
					openToks += other.openToks()
				}
			}
			if over := openToks + in.Toks - in.Backlog; over > 0 {
				b.refuse(s, in, old, &handAnswer{AfterMs: s.owner.pace.afterMs(over, nowUs)}, reply)
				return
			}
		}
		l.List, l.Ended, l.BornUs = nil, false, s.clock.now(nowUs)
		if in.Offer {
			s.owner.keepRoom(l.Route, l.ID, in.Toks, nowUs)
			reply(&handAnswer{Welcome: true}, nil)
			return
		}
		delete(s.owner.offers, l.ID)
		b.space.addedBytes += b.projectedBytes(l)
		l.First = s.nextOffset
		s.nextOffset += int64(len(l.Prompts))
		whole := *l
		b.issue(s, op{Kind: opPut, Lot: l.ID, Rev: rev, Whole: &whole}, func(err error) {
			if err == nil {
				if got := s.lots[l.ID]; got != nil {
					got.taken = true
				}
				b.poll()
			}
			reply(&handAnswer{Taken: true, First: l.First}, err)
		})
		got := s.lots[l.ID]
		got.taken, got.endSeen, got.seenLen = false, false, 0
		got.live = &live{at: make([]promptState, len(got.Prompts))}
	})
}

// refuse answers a hand-in that does not fit. Where an earlier attempt of it
// got no answer, some replica may hold a copy that a later owner would find:
// the refusal is then an op of its own, on disk at a majority before it is
// told, and outranks that copy for good (design 8.4).
func (b *Store) refuse(s *shard, in *handCall, old *Lot, out *handAnswer, reply func(*handAnswer, error)) {
	if !in.Unsure {
		reply(out, nil)
		return
	}
	l := &Lot{ID: in.Lot.ID, Host: in.Lot.Host, Route: in.Lot.Route, SentUs: in.Lot.SentUs, RetainMs: in.Lot.RetainMs, Ended: true, BornUs: s.clock.now(eventloop.NowUs())}
	rev := uint64(1)
	if old != nil {
		rev = old.Rev + 1
		l.Refused = slices.Clone(old.Refused)
	}
	l.Refused = append(l.Refused, in.Req)
	b.issue(s, op{Kind: opPut, Lot: l.ID, Rev: rev, Whole: l}, func(err error) { reply(out, err) })
}

func (c *handCall) markUnsure() { c.Unsure = true }

type readCall struct {
	Shard    int
	Lot      string
	StartAt  int64
	WaitUs   int64
	MaxBytes int64
}

// ReadResult is one listed item as readers see it.
type ReadResult struct {
	ID       string
	Phase    string
	Msg      []byte
	Enc      uint8
	RawBytes int
}

type readAnswer struct {
	Sum  int64
	Cont int64
	Out  []ReadResult
}

type reader struct {
	s       *shard
	in      *readCall
	untilUs int64
	reply   func(*readAnswer, error)
}

// onRead lists results from a position on; nothing is told that a majority
// does not hold, and the fence is confirmed after the call came in.
func (b *Store) onRead(ctx context.Context, in *readCall) (*readAnswer, error) {
	return answered(ctx, b.cfg.Loop, func(reply func(*readAnswer, error)) {
		s, err := b.own(in.Shard)
		if err != nil {
			reply(nil, err)
			return
		}
		l := s.lots[in.Lot]
		if l != nil && l.taken && in.StartAt >= int64(l.seenLen) && in.WaitUs > 0 && !(l.closed() && l.seenLen == len(l.List)) {
			b.readers = append(b.readers, &reader{s: s, in: in, untilUs: eventloop.NowUs() + in.WaitUs, reply: reply})
			return
		}
		b.confirmRead(s, in, reply)
	})
}

func (b *Store) confirmRead(s *shard, in *readCall, reply func(*readAnswer, error)) {
	if s.owner == nil {
		reply(nil, fault.New(fault.Unsure, "shard", "changed hands meanwhile", "ask again"))
		return
	}
	ageUs := int64(readAgeUs)
	if l := s.lots[in.Lot]; l == nil || !l.taken {
		ageUs = 0 // "no such lot" needs more than a late word
	}
	b.confirm(s, ageUs, func(err error) {
		if err != nil {
			reply(nil, err)
			return
		}
		l := s.lots[in.Lot]
		if l == nil || !l.taken {
			reply(nil, fault.New(fault.Unknown, in.Lot, "no such lot", "check the id"))
			return
		}
		if l.wasShed() {
			reply(nil, errShed(in.Lot))
			return
		}
		reply(l.read(in.StartAt, in.MaxBytes), nil)
	})
}

func (l *Lot) read(startAt, maxBytes int64) *readAnswer {
	out := &readAnswer{Sum: int64(len(l.Prompts)), Cont: startAt}
	var bytes int64
	for at := startAt; at < int64(l.seenLen); at++ {
		r := &l.List[at]
		cost := int64(max(r.RawBytes, len(r.Msg)))*11/10 + 128
		if len(out.Out) > 0 && bytes+cost > maxBytes {
			break
		}
		bytes += cost
		out.Out = append(out.Out, ReadResult{ID: l.Prompts[r.Item].ID, Phase: r.Phase, Msg: r.Msg, Enc: r.Enc, RawBytes: r.RawBytes})
		out.Cont = at + 1
	}
	return out
}

// wakeReaders answers readers whose lot has something new, or whose time is up.
func (b *Store) wakeReaders(nowUs int64) {
	keep := b.readers[:0]
	var due []*reader
	for _, r := range b.readers {
		l := r.s.lots[r.in.Lot]
		if nowUs >= r.untilUs || r.s.owner == nil || l == nil || r.in.StartAt < int64(l.seenLen) || l.endSeen {
			due = append(due, r)
		} else {
			keep = append(keep, r)
		}
	}
	clear(b.readers[len(keep):])
	b.readers = keep
	for _, r := range due {
		b.confirmRead(r.s, r.in, r.reply)
	}
}

type bodyCall struct {
	Shard int
	Lot   string
	Item  string
}

type bodyAnswer struct {
	Body []byte
}

func (b *Store) onBody(ctx context.Context, in *bodyCall) (*bodyAnswer, error) {
	return answered(ctx, b.cfg.Loop, func(reply func(*bodyAnswer, error)) {
		s, err := b.own(in.Shard)
		if err != nil {
			reply(nil, err)
			return
		}
		b.issue(s, op{Kind: opNone}, func(err error) {
			l := s.lots[in.Lot]
			at := -1
			if l != nil {
				at = l.find(in.Item)
			}
			switch {
			case err != nil:
				reply(nil, err)
			case l == nil || !l.taken || at < 0 || l.Ended || l.listed[at]:
				reply(nil, fault.New(fault.Unknown, in.Item, "no such item, or it is listed", "read the lot"))
			default:
				reply(&bodyAnswer{Body: l.Prompts[at].Body}, nil)
			}
		})
	})
}

type endCall struct {
	Shard int
	Lot   string
}

// onEnd ends a lot for its client; dispatchers that have items of it are told
// to stop.
func (b *Store) onEnd(ctx context.Context, in *endCall) (*rpc.Nothing, error) {
	return answered(ctx, b.cfg.Loop, func(reply func(*rpc.Nothing, error)) {
		s, err := b.own(in.Shard)
		if err != nil {
			reply(nil, err)
			return
		}
		l := s.lots[in.Lot]
		if l == nil || l.Ended {
			b.issue(s, op{Kind: opNone}, func(err error) {
				if err == nil && (l == nil || l.refused()) {
					err = fault.New(fault.Unknown, in.Lot, "no such lot", "check the id")
				}
				reply(&rpc.Nothing{}, err)
			})
			return
		}
		b.stopHolders(l)
		b.issue(s, op{Kind: opEnd, Lot: l.ID, Rev: l.Rev + 1}, func(err error) {
			if err == nil {
				if got := s.lots[in.Lot]; got != nil {
					got.endSeen = true
				}
				b.wakeReaders(eventloop.NowUs())
			}
			reply(&rpc.Nothing{}, err)
		})
	})
}

// StopCall tells a dispatcher to stop what it runs of a lot.
type StopCall struct {
	Lot string
}

func (b *Store) stopHolders(l *Lot) {
	if l.live == nil {
		return
	}
	told := map[string]bool{}
	for i := range l.Rows {
		if h := l.Rows[i].Holder; l.Rows[i].Lease != 0 && !l.listed[i] && !told[h] {
			told[h] = true
			if p := b.cfg.Gossip.Look().Get(h); p != nil {
				go func() {
					ctx, cancel := context.WithTimeout(b.ctx, time.Second)
					defer cancel()
					_ = b.cfg.Transport.Call(ctx, p.Addr, "nurse.stop", &StopCall{Lot: l.ID}, nil)
				}()
			}
		}
	}
}

// Written tells what this store wrote since it started.
func (b *Store) Written() wal.Written { return b.wal.Written() }

// Owns tells whether this store serves the lots of a host now.
func (b *Store) Owns(host string) bool {
	ctx, cancel := context.WithTimeout(b.ctx, time.Second)
	defer cancel()
	owns, err := eventloop.Ask(ctx, b.cfg.Loop, func() bool {
		o := b.shards[ShardOf(host)].owner
		return o != nil && o.ready
	})
	return err == nil && owns
}

// Keeps tells whether this store is to hold copies of a host's lots.
func (b *Store) Keeps(st *register.State, host string) bool {
	set := replicasOf(&st.Stores, ShardOf(host), b.cfg.Spared)
	return set.Has(b.cfg.Member)
}

// Copy is what this store has of a lot.
type Copy struct {
	Term   Term
	Rev    uint64
	Items  int
	Listed int
	Ended  bool
	Owner  bool  // this store serves it now
	First  int64 // offset of its first prompt
	Synced int   // replicas that have all of it, at the owner
}

// Trace tells what this store has of a lot, nil if nothing.
func (b *Store) Trace(ctx context.Context, host, lot string) (*Copy, error) {
	return eventloop.Ask(ctx, b.cfg.Loop, func() *Copy {
		s := b.shards[ShardOf(host)]
		l := s.lots[lot]
		if l == nil {
			return nil
		}
		c := &Copy{Term: l.Term, Rev: l.Rev, Items: l.items(), Listed: len(l.List), Ended: l.Ended, First: l.First, Owner: s.owner != nil && s.owner.ready}
		if c.Owner {
			for _, f := range s.owner.feeds {
				if f.acked == s.owner.seq {
					c.Synced++
				}
			}
		}
		return c
	})
}
