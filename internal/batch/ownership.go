package batch

import (
	"context"
	"slices"
	"strconv"
	"strings"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/consensus"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/rendezvous"
)

// Times of ownership (design 8.2).
const (
	claimPause    = 250 * clock.Millisecond  // between two claims of a shard
	startupGrace  = 900 * clock.Millisecond  // a node that starts listens first
	commitTimeout = 1500 * clock.Millisecond // step down if no majority acknowledged an op for so long and none is reachable
)

// ownership decides which shards this node owns: it claims those that fall to it, and
// gives up those that do not (design 8.2). What a claim decides is in claim.go; its
// driver, runClaim, is in claim_driver.go.
//
// All fields belong to the event loop. A claim runs on a goroutine of its own, one per
// shard (shard.claiming), bounded by claimAttemptTimeout; it reads and writes shards
// only by calls to the loop.
type ownership struct {
	cfg         *Config
	ctx         context.Context
	shards      *shardTable
	log         *shardLog
	replication *replicator
	acceptor    *acceptor
	onOwned     func() // a shard may be served from now on

	started      clock.Instant
	slowness     slowness
	versionSince clock.Instant // when this node learned of the membership of that version
	version      uint64
	sets         *[Shards]consensus.Membership // the shards' replicas under setsVersion
	setsVersion  uint64
}

// heartbeat judges whether this store's event loop runs late.
func (ow *ownership) heartbeat() {
	if ow.slowness.heartbeat(clock.Now(), tickInterval) {
		ow.cfg.Log.Info("store_slow", "slow", ow.slowness.slow, "late_ms", int64(ow.slowness.meanLate)/1000)
		ow.publishOverload()
	}
}

// publishOverload tells the others by gossip whether this store should own shards.
func (ow *ownership) publishOverload() {
	overloaded := ow.slowness.slow || ow.log.diskRejecting
	ow.cfg.Gossip.UpdateSelf(func(p *gossip.Peer) { p.Overloaded = overloaded })
}

// tick looks which shards this node should own: the one that holds the highest promise
// keeps a shard while it lives; else it falls to the first of the rank.
func (ow *ownership) tick() {
	st := ow.cfg.State()
	if st != nil && st.Stores.Version != ow.version {
		ow.version, ow.versionSince = st.Stores.Version, clock.Now()
	}
	if st == nil || !st.Stores.Has(ow.cfg.Member) {
		ow.stepDownAll(st)
	} else {
		view := ow.newClaimView(st)
		for _, s := range ow.shards {
			ow.reviewShard(view, s)
		}
	}
	// Read again: a change may have been committed meanwhile.
	if st := ow.cfg.State(); st != nil {
		ow.dropForeignShards(st)
	}
}

// stepDownAll steps down where a newer membership does not include this node.
func (ow *ownership) stepDownAll(st *consensus.State) {
	for _, s := range ow.shards {
		if s.owner != nil && st != nil && st.Stores.Version > s.owner.membership.Version {
			ow.replication.stepDown(s, "no longer in the membership")
		}
	}
}

// claimView is what one tick decides by.
type claimView struct {
	st        *consensus.State
	nodes     *gossip.View
	now       clock.Instant
	reachable map[string]bool // members in contact, by id
	eligible  map[string]bool // those of them that are to stay
}

func (ow *ownership) newClaimView(st *consensus.State) *claimView {
	cv := &claimView{st: st, nodes: ow.cfg.Gossip.Snapshot(), now: clock.Now(), reachable: map[string]bool{}, eligible: map[string]bool{}}
	for _, member := range st.Stores.All() {
		if p := cv.nodes.Get(member.Name); p != nil && cv.nodes.InContact(member.Name) && p.MemberID() == member.ID {
			cv.reachable[member.ID] = true
			cv.eligible[member.ID] = !p.Leaving && !isRetiring(st, member.ID)
		}
	}
	return cv
}

// candidates are the names of the members that may own a shard with this set.
func (cv *claimView) candidates(set *consensus.Membership) []string {
	var names []string
	for _, member := range set.Current {
		if cv.eligible[member.ID] {
			names = append(names, member.Name)
		}
	}
	// One whose event loop runs late owns nothing while a quicker one can.
	if quick := slices.DeleteFunc(slices.Clone(names), cv.nodes.Overloaded); len(quick) > 0 {
		names = quick
	}
	if !set.Joint() {
		return names
	}
	// One that is new to the shard has yet to be brought all its jobs.
	former := slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		return !slices.ContainsFunc(set.Previous, func(t consensus.Member) bool { return t.Name == name && set.Has(t.ID) })
	})
	if len(former) > 0 {
		return former
	}
	return names
}

// reviewShard keeps, claims or gives up one shard.
func (ow *ownership) reviewShard(cv *claimView, s *shard) {
	set := &ow.replicaSets(cv.st)[s.number]
	if !set.Has(ow.cfg.Member) {
		if s.owner != nil && fencingVersion(&s.owner.membership) < fencingVersion(&cv.st.Stores) {
			ow.replication.stepDown(s, "its replicas are elsewhere now")
		}
		return
	}
	if s.owner != nil && fencingVersion(&s.owner.membership) == fencingVersion(&cv.st.Stores) {
		ow.keepShard(cv, s, set)
		return
	}
	if s.claiming || cv.now.Sub(s.lastClaim) < claimPause {
		return
	}
	// A node that starts listens first, unless all replicas have answered it.
	if cv.now.Sub(ow.started) < startupGrace && slices.ContainsFunc(set.All(), func(t consensus.Member) bool { return !cv.reachable[t.ID] }) {
		return
	}
	// Without a majority in reach a claim would only raise the fence against
	// the owner that the others have.
	if set.Quorum(cv.reachable) && ow.shouldOwn(s, cv.st, cv.nodes, cv.candidates(set)) {
		s.lastClaim = cv.now
		ow.claim(s, cv.st)
	}
}

// keepShard does what the owner of a shard does at each tick. Any step may end the term.
func (ow *ownership) keepShard(cv *claimView, s *shard, set *consensus.Membership) {
	if s.owner.membership.Version < cv.st.Stores.Version {
		ow.replication.membershipCommitted(s, *set)
	}
	if s.owner != nil {
		ow.replication.repairLagging(s, cv.now)
	}
	if o := s.owner; o != nil && len(o.pending) > 0 && cv.now.Sub(o.pending[0].since) > commitTimeout && !set.Quorum(cv.reachable) {
		ow.replication.stepDown(s, "no majority answers")
	}
}

// fencingVersion is the membership number that terms carry. A change and its settling
// share one: the settled set's majorities meet those of the change, so owners
// need no new claim when a change settles (design 8.6).
func fencingVersion(r *consensus.Membership) uint64 {
	if r.Joint() {
		return r.Version
	}
	return r.Version - 1
}

func isRetiring(st *consensus.State, id string) bool {
	for _, r := range st.Retiring {
		if r == id {
			return true
		}
	}
	return false
}

// shouldOwn decides whether a shard without an owner here falls to this node: because it
// holds the promise already, or as the first of the rank where its holder is gone.
func (ow *ownership) shouldOwn(s *shard, st *consensus.State, v *gossip.View, names []string) bool {
	node := ownerName(s.promised.Owner)
	first := rendezvous.Holder("shard/"+strconv.Itoa(s.number), names)
	staying := !ow.cfg.Self.Leaving && !isRetiring(st, ow.cfg.Member)
	fit := !ow.slowness.slow && !ow.log.diskRejecting
	if s.promised.Owner == ow.cfg.Self.ProcessID() && staying && (fit || slices.Contains(names, ow.cfg.Self.Name)) {
		return true
	}
	if node != "" && node != ow.cfg.Self.Name {
		p := v.Get(node)
		alive := p != nil && v.InContact(node) && p.IssuedSignature(s.promised.Owner) && !p.Leaving
		// It is alive and knows, or will learn, the membership: leave the shard to it for now.
		if alive && slices.Contains(names, node) &&
			(s.promised.Membership == fencingVersion(&st.Stores) || clock.Since(ow.versionSince) < startupGrace) {
			return false
		}
	}
	return first == ow.cfg.Self.Name
}

// replicaSets gives the shards' memberships under the newest state, worked out once for
// each membership.
func (ow *ownership) replicaSets(st *consensus.State) *[Shards]consensus.Membership {
	if ow.sets == nil || ow.setsVersion != st.Stores.Version {
		ow.sets, ow.setsVersion = &[Shards]consensus.Membership{}, st.Stores.Version
		for n := range ow.sets {
			ow.sets[n] = replicasOf(&st.Stores, n, ow.cfg.MaxFailures)
		}
	}
	return ow.sets
}

// dropForeignShards drops the jobs of shards that a committed membership keeps
// elsewhere: a majority of their own replicas has them, and every later claim
// goes by this membership or one that follows it.
func (ow *ownership) dropForeignShards(st *consensus.State) {
	if st.Stores.Joint() || len(st.Stores.Current) == 0 {
		return
	}
	for n, s := range ow.shards {
		if len(s.jobs) == 0 || s.owner != nil || s.claiming || ow.replicaSets(st)[n].Has(ow.cfg.Member) {
			continue
		}
		ow.cfg.Log.Info("shard_dropped", "shard", n, "jobs", len(s.jobs), "membership", st.Stores.Version)
		// On disk too: an old copy must not come back with a restart.
		rec := &record{Shard: n}
		for id := range s.jobs {
			rec.Ops = append(rec.Ops, op{Kind: opDrop, JobID: id, Term: s.promised})
		}
		s.jobs = map[string]*Job{}
		ow.log.persist(rec, func() {})
	}
}

// ownerName is the node's name in a term's Owner.
func ownerName(owner string) string {
	node, _, _ := strings.Cut(owner, "/")
	return node
}
