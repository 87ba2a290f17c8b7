package batch

import "rowanshunt/internal/consensus"
import "rowanshunt/internal/clock"

// Bounds of what is sent to and queued for a replica.
const (
	maxAppendBytes = 256 << 10 // of one call: small, for pings and ops go over the same link
	maxQueuedBytes = 24 << 20
)

// progressState is how far an owner knows a replica's copies, as the progress of a
// follower in a consensus library.
type progressState uint8

const (
	// progressProbe: what the replica has is not known. Nothing is queued for it; a
	// repair compares its copies with the owner's.
	progressProbe progressState = iota
	// progressRepair: what it lacked at one moment is being sent; ops since then are
	// queued behind it.
	progressRepair
	// progressReplicate: it has all up to acked, and ops are sent in order.
	progressReplicate
)

// replicaProgress is what an owner knows of one replica. It belongs to the event loop.
//
// Transitions: probe -> repair when a repair has compared the copies; repair ->
// replicate when all differences were accepted; any -> probe when a call fails, an op does
// not fit, or the queue is over its bound.
type replicaProgress struct {
	member consensus.Member
	state  progressState
	// acked is the last op that it has on disk with all before it; it never falls.
	acked uint64
	// inFlight: one call, or one repair, is under way. There is never more than one.
	inFlight    bool
	queue       []op // not sent yet, in order, up to lastQueued
	queuedBytes int
	lastQueued  uint64
	lastAttempt clock.Instant
	// noCapacity: the replica wants no new jobs, as of its last answer (design 10.5).
	noCapacity bool
}

// becomeProbe forgets what is queued: only a repair can tell what the replica lacks.
func (rp *replicaProgress) becomeProbe() {
	rp.state, rp.queue, rp.queuedBytes = progressProbe, nil, 0
}

// becomeRepair queues the ops after seq; what differs up to it is sent by a repair.
func (rp *replicaProgress) becomeRepair(seq uint64) {
	rp.state, rp.queue, rp.queuedBytes, rp.lastQueued = progressRepair, nil, 0, seq
}

// finishRepair ends a repair that brought all up to seq. A replica whose queue ran over
// meanwhile is to be probed again.
func (rp *replicaProgress) finishRepair(seq uint64) {
	rp.acked = max(rp.acked, seq)
	if rp.state == progressRepair {
		rp.state = progressReplicate
	}
}

// enqueue queues an op for a replica that is not probed; false if that is too much to
// queue, and it is to be probed.
func (rp *replicaProgress) enqueue(o op, seq uint64, bytes int) bool {
	if rp.queuedBytes+bytes > maxQueuedBytes {
		return false
	}
	rp.queue = append(rp.queue, o)
	rp.lastQueued = seq
	rp.queuedBytes += bytes
	return true
}

// dequeue takes the ops of the next call, and the number of the last of them.
func (rp *replicaProgress) dequeue() (ops []op, upTo uint64) {
	n, bytes := 0, 0
	for n < len(rp.queue) && (n == 0 || bytes < maxAppendBytes) {
		bytes += rp.queue[n].cost()
		n++
	}
	ops = rp.queue[:n:n]
	rp.queue = rp.queue[n:]
	rp.queuedBytes -= bytes
	return ops, rp.lastQueued - uint64(len(rp.queue))
}
