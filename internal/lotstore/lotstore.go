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
	"rowanshunt/internal/register"
	"rowanshunt/internal/rpc"
	"rowanshunt/internal/shared"
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
	shared.Runtime
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

// DecodeMsgpack reads answers of earlier versions too.
func (a *handAnswer) DecodeMsgpack(d *msgpack.Decoder) error {
	return rpc.Fields(d, &a.Taken, &a.AfterMs, &a.First, &a.Other, &a.Welcome, &a.NoRoom)
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
