// Package batch keeps jobs on the stores: queue shards with a fenced owner each, durable
// items, offsets and the backlogs of routes (design 8).
//
// A store's modules, each with its state and the rule who may touch it at its top:
//
//	job, op              the domain without I/O, clock or lock: jobs, items, results,
//	                     and the one rule by which ops change them
//	shardLog             records, recovery, compaction; spaceAccount accounts for space
//	acceptor             what a replica promises, accepts and returns
//	replicator           ops to the own disk and the replicas, in order; repair
//	ownership            which shards this node owns; claim is its pure machine
//	deliveryService      poll, lease, ack, nack, redelivery; sendCache
//	submissionService    submit and cancel
//	readService          reads and long polls
//	membershipKeeper     who joins, leaves and is replaced among the stores
//	Client               finds owners for the nodes that serve clients; httpapi is above it
//
// Store wires them. Dependencies have one direction: the log has none; the replicator
// uses the log; acceptor, ownership, deliveries, reads and submissions use the replicator.
// What has to go the other way is a callback that newStore sets (onStepDown, onOwned,
// onWriteStateChanged).
//
// One goroutine, the event loop of the node, runs all decisions. Calls to other nodes, and
// the log's writes, run beside it and come back by posting to the loop; nobody who comes
// back assumes that the shard still has the owner it had.
//
// The domain is no package of its own: ops, copies and the owner's view of a job
// (itemSchedule, committedResults) are fields of one Job, which the claim's model checker
// copies and compares as a unit, and none of them should be exported for a border.
package batch
