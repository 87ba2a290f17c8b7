package batch

import (
	"sort"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/consensus"
)

// owner is what the node that owns a shard keeps of it under one term. It is made anew
// with each term and belongs to the event loop; whoever comes back to it from a call
// looks first whether the shard still has this owner.
type owner struct {
	term       Term
	membership consensus.Membership
	ready      bool // a majority holds all that the claim found

	seq      uint64      // of the last op
	pending  []pendingOp // ops that no majority has yet, in order
	progress map[string]*replicaProgress

	// unsaved are the ops that the next group commit writes.
	unsaved              []op
	groupCommitDue       bool
	diskIssued, diskDone uint64 // own disk: last op written, last op durable

	// lastContact is, by member, the start of the newest call that it answered under
	// this term: until then it had promised the shard to no other owner.
	lastContact         map[string]clock.Instant
	confirmingOwnership bool
	clockRecorded       clock.Instant // when the shard's clock last went to the replicas

	completionRate completionRate
	reservations   reservations
}

// pendingOp is called back once a majority has the op on disk, or with a fault of kind
// Unsure if the shard is lost before.
type pendingOp struct {
	seq   uint64
	since clock.Instant
	done  func(error)
}

// newOwner is an owner that has yet to bring what its claim found, as its first
// op, to a majority. Each replica is compared before anything is sent to it.
func newOwner(term Term, membership consensus.Membership, self string) *owner {
	o := &owner{term: term, membership: membership, progress: map[string]*replicaProgress{}, seq: 1, diskIssued: 1}
	for _, member := range membership.All() {
		if member.ID != self {
			o.progress[member.ID] = &replicaProgress{member: member}
		}
	}
	return o
}

// quorumContact is the moment up to which a majority has confirmed this owner: no
// other can have been promised the shard before it (design 8.8).
func (o *owner) quorumContact(self string) clock.Instant {
	now := clock.Now()
	times := []clock.Instant{}
	for _, t := range o.lastContact {
		times = append(times, t)
	}
	sort.Slice(times, func(i, j int) bool { return times[i] > times[j] })
	agreed := map[string]bool{self: true}
	if o.membership.Quorum(agreed) {
		return now
	}
	for _, t := range times {
		for id, at := range o.lastContact {
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

// observeContact notes that a member answered a call that began then.
func (o *owner) observeContact(member string, started clock.Instant) {
	if o.lastContact == nil {
		o.lastContact = map[string]clock.Instant{}
	}
	o.lastContact[member] = max(o.lastContact[member], started)
}

// localAcked is the last op that this node's own copy has on disk, with all before it.
func (o *owner) localAcked() uint64 {
	if o.diskDone == o.diskIssued {
		return o.seq
	}
	return o.diskDone
}

// committed reports whether a majority has the op on disk, and all before it.
func (o *owner) committed(self string, seq uint64) bool {
	agreed := map[string]bool{}
	if o.localAcked() >= seq {
		agreed[self] = true
	}
	for id, progress := range o.progress {
		if progress.acked >= seq {
			agreed[id] = true
		}
	}
	return o.membership.Quorum(agreed)
}
