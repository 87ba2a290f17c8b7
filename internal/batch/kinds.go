package batch

// Kinds of the calls between nodes. The values are part of the wire format: nodes of
// the previous version send and answer them, so they stay although the names in the
// code have changed. The exported ones are those that dispatchers send or answer.
const (
	kindClaim       = "brood.claim" // claimRequest: promise a shard to a new owner
	kindClock       = "brood.clock" // clockRequest: the shard's clock at a replica
	kindFetch       = "brood.fetch" // fetchRequest: a replica's copy of a job
	kindAppend      = "brood.write" // appendRequest: an owner's operations for a replica
	kindSubmit      = "brood.hand"  // submitRequest
	kindRead        = "brood.read"  // readRequest
	kindItemBody    = "brood.body"  // itemBodyRequest
	kindCancelJob   = "brood.end"   // cancelJobRequest
	KindPoll        = "brood.take"  // PollRequest of a dispatcher
	KindNack        = "brood.give"  // NackRequest of a dispatcher
	KindAck         = "brood.ack"   // AckRequest of a dispatcher
	kindOwnedShards = "brood.owned" // ownedShardsRequest
	KindStopRuns    = "nurse.stop"  // StopRunsRequest to a dispatcher
)
