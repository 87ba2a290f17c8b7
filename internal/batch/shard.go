package batch

import (
	"slices"
	"strconv"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/consensus"
	"rowanshunt/internal/fault"
)

// Shards is how many queue shards there are; a host's jobs are all in one, so
// that the shard's owner can enforce the backlogs of its routes (design 8.1).
const Shards = 8

// maxStores bounds the stores' membership.
const maxStores = 512

// shard is one shard's copy here, and the owner's part if this node has it. It is
// touched on the event loop alone.
type shard struct {
	number   int
	promised Term            // no owner of a lower term may write here
	jobs     map[string]*Job // the copies, by id; memory may be ahead of the disk
	owner    *owner          // nil while another node owns the shard
	claiming bool            // a claim of this node is under way

	lastClaim     clock.Instant
	highestNumber uint64          // of all terms seen here
	fetched       map[string]*Job // by a claim that did not complete
	nextOffset    int64           // where the next job's run begins in the shard's log
	clock         shardClock
}

// shardTable holds all shards; its entries are never replaced.
type shardTable [Shards]*shard

func newShardTable() *shardTable {
	table := &shardTable{}
	for n := range table {
		table[n] = &shard{number: n, jobs: map[string]*Job{}}
	}
	return table
}

// get returns a shard by the number that a call named.
func (st *shardTable) get(number int) (*shard, error) {
	if number < 0 || number >= Shards {
		return nil, fault.New(fault.Invalid, "shard", "is out of bounds", "run the same version on all nodes")
	}
	return st[number], nil
}

// served returns a shard if this node owns it and is ready to serve, else nil.
func (st *shardTable) served(number int) *shard {
	if number < 0 || number >= Shards || st[number].owner == nil || !st[number].owner.ready {
		return nil
	}
	return st[number]
}

// replicasOf is the membership of one shard: 2·maxFailures+1 of the stores tolerate the
// loss of maxFailures, however many stores there are (design 8.1).
func replicasOf(r *consensus.Membership, shardN, maxFailures int) consensus.Membership {
	return r.Replicas("replica/"+strconv.Itoa(shardN), 2*maxFailures+1)
}

// CoReplicas are the stores that share a shard with a member: the ones it must know
// closely, however many others there are.
func CoReplicas(r *consensus.Membership, member string, maxFailures int) map[string]bool {
	out := map[string]bool{}
	for n := range Shards {
		set := replicasOf(r, n, maxFailures)
		if all := set.All(); slices.ContainsFunc(all, func(s consensus.Member) bool { return s.ID == member }) {
			for _, s := range all {
				out[s.Name] = true
			}
		}
	}
	return out
}
