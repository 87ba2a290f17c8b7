package batch

import (
	"context"
	"hash/fnv"
	"time"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/config"
	"rowanshunt/internal/consensus"
	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/logging"
	"rowanshunt/internal/rpc"
	"rowanshunt/internal/wal"
)

// Options of the queue; the figures of the paper are in docs/paper.md, these are
// our own defaults.
type Options struct {
	CacheSize    int          // items in the send cache
	BatchSize    int          // items a dispatcher gets at a time
	FillInterval clock.Micros // between two fills of the send cache
	AckWait      clock.Micros // the first wait for an ack
	PurgeAge     clock.Micros // age at which closed jobs are dropped
}

// Defaults of the options.
func Defaults() Options {
	return Options{CacheSize: 2000, BatchSize: 10, FillInterval: 100 * clock.Millisecond, AckWait: 6 * clock.Second, PurgeAge: 3 * clock.Minute}
}

// Config is what a batch store is made of. All its modules share one: it is not
// changed once the store is open.
type Config struct {
	Loop      *eventloop.Loop // the owner of this part's tables
	Mux       *rpc.Mux        // answers other nodes
	Transport rpc.Transport   // calls other nodes
	Gossip    *gossip.Gossip  // what this node knows of the others
	Log       *logging.Log
	Self      gossip.Peer // this node's own record
	Member    string
	Dir       string
	DiskBytes int64 // 0: not known
	// MemoryBytes is how much memory the process may use, 0 if that is not known.
	MemoryBytes int64
	// PollSpan is how long after a job was sent its results may be read.
	PollSpan    clock.Micros
	State       func() *consensus.State // newest committed
	Change      func(context.Context, consensus.Change) (*consensus.State, error)
	Fatal       func(error)
	Options     Options
	MaxFailures int
	// LostMembers asks the members which of the suspects a majority of them has lost.
	LostMembers func(ctx context.Context, members, suspects []consensus.Member, silentFor clock.Micros) map[string]bool
	// SyncSpan is how soon a replica that is back must hold all copies again.
	SyncSpan clock.Micros
}

// addrOf is where a member is reached: by gossip, else as the membership has it.
func (c *Config) addrOf(member consensus.Member) string {
	if p := c.Gossip.Snapshot().Get(member.Name); p != nil {
		return p.Addr
	}
	return member.Addr
}

// tickInterval is the period of the store's housekeeping, and of the heartbeat by which it
// judges whether its event loop runs late.
const tickInterval = 100 * clock.Millisecond

// Store is a node's part of the batch queue. It only wires the modules, each of which
// owns its state and says at its top who may touch it; the arrows of newStore have no
// cycle. Exported methods may be called from any goroutine.
type Store struct {
	cfg    *Config
	ctx    context.Context
	shards *shardTable

	log         *shardLog
	replication *replicator
	acceptor    *acceptor
	ownership   *ownership
	reads       *readService
	deliveries  *deliveryService
	submissions *submissionService
	membership  *membershipKeeper
}

// newStore wires a store whose disk was not read yet.
func newStore(ctx context.Context, cfg Config) *Store {
	shards := newShardTable()
	started := clock.Now()
	sto := &Store{cfg: &cfg, ctx: ctx, shards: shards}
	sto.log = newShardLog(ctx, &cfg, shards)
	sto.replication = &replicator{cfg: &cfg, ctx: ctx, shards: shards, log: sto.log}
	sto.acceptor = &acceptor{cfg: &cfg, shards: shards, log: sto.log, replication: sto.replication}
	sto.ownership = &ownership{cfg: &cfg, ctx: ctx, shards: shards, started: started, log: sto.log, replication: sto.replication, acceptor: sto.acceptor}
	sto.reads = &readService{cfg: &cfg, replication: sto.replication}
	sto.deliveries = &deliveryService{cfg: &cfg, shards: shards, replication: sto.replication, reads: sto.reads}
	sto.submissions = &submissionService{cfg: &cfg, ctx: ctx, replication: sto.replication, space: sto.log.space, deliveries: sto.deliveries, reads: sto.reads}
	sto.membership = &membershipKeeper{cfg: &cfg, ctx: ctx, shards: shards, started: started}

	sto.log.onWriteStateChanged = sto.ownership.publishOverload
	sto.replication.onStepDown = sto.deliveries.clearCache
	sto.ownership.onOwned = sto.deliveries.sweepJobs
	return sto
}

// Open reads the store's disk and joins the queue. The store ends with ctx.
func Open(ctx context.Context, cfg Config) (*Store, error) {
	sto := newStore(ctx, cfg)
	if err := sto.log.open(cfg.Dir); err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, sto.log.wal.Close)
	sto.serve(cfg.Mux)
	cfg.Loop.Every(tickInterval, sto.tick)
	cfg.Loop.Every(cfg.Options.FillInterval, sto.deliveries.sweepJobs)
	return sto, nil
}

// serve registers the calls of other nodes.
func (sto *Store) serve(mux *rpc.Mux) {
	rpc.Handle(mux, kindClaim, sto.acceptor.handleClaim)
	rpc.Handle(mux, kindClock, sto.acceptor.handleClock)
	rpc.Handle(mux, kindFetch, sto.acceptor.handleFetch)
	rpc.Handle(mux, kindAppend, sto.acceptor.handleAppend)
	rpc.Handle(mux, kindSubmit, sto.submissions.handleSubmit)
	rpc.Handle(mux, kindCancelJob, sto.submissions.handleCancel)
	rpc.Handle(mux, kindRead, sto.reads.handleRead)
	rpc.Handle(mux, kindItemBody, sto.reads.handleItemBody)
	rpc.Handle(mux, KindPoll, sto.deliveries.handlePoll)
	rpc.Handle(mux, KindNack, sto.deliveries.handleNack)
	rpc.Handle(mux, KindAck, sto.deliveries.handleAck)
	rpc.Handle(mux, kindOwnedShards, sto.membership.handleOwnedShards)
}

// tick runs the modules' housekeeping, on the event loop. The order counts: what a
// module decides here is seen by those after it.
func (sto *Store) tick() {
	sto.ownership.heartbeat()
	sto.log.checkDisk()
	sto.log.checkSpace(clock.Now())
	sto.ownership.tick()
	sto.membership.tick()
	sto.replication.recordClocks(clock.Now())
	sto.deliveries.expireWaiting()
}

// ShardOf is the shard of all jobs that are submitted under a host.
func ShardOf(host string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(config.HostKey(host)))
	return int(h.Sum32() % Shards)
}

// Written returns the statistics of what this store wrote since it started.
func (sto *Store) Written() wal.Stats { return sto.log.wal.Stats() }

// Owns reports whether this store serves the jobs of a host now.
func (sto *Store) Owns(host string) bool {
	ctx, cancel := context.WithTimeout(sto.ctx, time.Second)
	defer cancel()
	owns, err := eventloop.Call(ctx, sto.cfg.Loop, func() bool {
		o := sto.shards[ShardOf(host)].owner
		return o != nil && o.ready
	})
	return err == nil && owns
}

// HasReplica reports whether this store is to hold copies of a host's jobs.
func (sto *Store) HasReplica(st *consensus.State, host string) bool {
	set := replicasOf(&st.Stores, ShardOf(host), sto.cfg.MaxFailures)
	return set.Has(sto.cfg.Member)
}

// Removed reports whether this store may end (membershipKeeper.removed).
func (sto *Store) Removed() bool { return sto.membership.removed() }

// ReplicaStatus is what this store has of a job.
type ReplicaStatus struct {
	Term     Term
	Revision uint64
	Items    int
	Listed   int
	Ended    bool
	Owner    bool  // this store serves it now
	First    int64 // offset of its first item
	Synced   int   // replicas that have all of it, at the owner
}

// Trace returns the state of this store's copy of a job, nil without one.
func (sto *Store) Trace(ctx context.Context, host, jobID string) (*ReplicaStatus, error) {
	return eventloop.Call(ctx, sto.cfg.Loop, func() *ReplicaStatus {
		s := sto.shards[ShardOf(host)]
		job := s.jobs[jobID]
		if job == nil {
			return nil
		}
		status := &ReplicaStatus{Term: job.Term, Revision: job.Revision, Items: job.itemCount(), Listed: len(job.Results), Ended: job.Ended, First: job.First, Owner: s.owner != nil && s.owner.ready}
		if status.Owner {
			for _, progress := range s.owner.progress {
				if progress.acked == s.owner.seq {
					status.Synced++
				}
			}
		}
		return status
	})
}
