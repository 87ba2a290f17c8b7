package batch

import (
	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/rpc"
)

// Requests and responses of the calls in kinds.go. They travel as msgpack arrays: the
// order and the types of the exported fields are the format (golden_test.go), and new
// fields come last. DecodeMsgpack reads the shorter ones of earlier versions.

// Between stores.

// claimRequest asks a replica to promise a shard to the owner of a term.
type claimRequest struct {
	Member    string
	Shard     int
	Term      Term
	NoPromise bool // promise nothing anew: only list what is there for this owner; not set by this version: kept for the format
}

// jobVersion names the state of one copy of a job.
type jobVersion struct {
	JobID    string
	Term     Term
	Revision uint64
	Listed   int
}

type claimResponse struct {
	OK       bool
	Promised Term
	Versions []jobVersion
}

type clockRequest struct {
	Member string
	Shard  int
}

// fetchRequest is answered with the replica's Job.
type fetchRequest struct {
	Member string
	Shard  int
	JobID  string
}

type appendRequest struct {
	Member string
	Shard  int
	Term   Term
	Ops    []msgpack.RawMessage // of op: written to disk as they came
}

type appendResponse struct {
	OK         bool
	Promised   Term
	Gap        bool // an op continues no copy here: compare and repair
	NoCapacity bool // accepted, but this store has no space for new jobs (design 10.5)
}

// DecodeMsgpack reads responses of earlier versions too.
func (ar *appendResponse) DecodeMsgpack(d *msgpack.Decoder) error {
	return rpc.DecodeFields(d, &ar.OK, &ar.Promised, &ar.Gap, &ar.NoCapacity)
}

type ownedShardsRequest struct {
	Membership uint64
}

type ownedShardsResponse struct {
	Shards []int
}

// From nodes that serve clients to the owner of a shard.

type submitRequest struct {
	Shard   int
	Job     *Job
	Backlog int64
	// Unsure: an earlier attempt of this submission got no clear answer, so a
	// rejection must be committed before it is answered.
	Unsure       bool
	LeftUs       int64  // how long its caller will wait
	SubmissionID uint64 // random, the same at every attempt; not the client's request id, which is Job.ID
	Offer        bool   // only asks whether it would be accepted: the job comes without its items
	Tokens       int64  // of all its items
}

func (sr *submitRequest) markUnsure() { sr.Unsure = true }

// submitResponse says whether a job was accepted; if not, when it may fit.
type submitResponse struct {
	Accepted     bool
	RetryAfterMs int64
	First        int64 // offset of its first item; a job that comes again has the one it had
	Conflict     bool  // the id is that of another job
	Reserved     bool  // to an offer: it fits, and its capacity is reserved for a moment
	NoCapacity   bool  // the stores have no space for more jobs (design 10.5)
}

// DecodeMsgpack reads responses of earlier versions too.
func (sr *submitResponse) DecodeMsgpack(d *msgpack.Decoder) error {
	return rpc.DecodeFields(d, &sr.Accepted, &sr.RetryAfterMs, &sr.First, &sr.Conflict, &sr.Reserved, &sr.NoCapacity)
}

type cancelJobRequest struct {
	Shard int
	JobID string
}

type readRequest struct {
	Shard    int
	JobID    string
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

type readResponse struct {
	Total   int64
	NextAt  int64
	Results []ReadResult
}

type itemBodyRequest struct {
	Shard  int
	JobID  string
	ItemID string
}

type itemBodyResponse struct {
	Body []byte
}

// Between dispatchers and the owners of shards.

// DeliveredItem is an item on its way to a dispatcher.
type DeliveredItem struct {
	Shard         int
	Job           string
	Host          string
	Index         int
	DeliveryCount int64
	RetainLeftUs  int64 // span from now on: how long it may still be tried
	DueInUs       int64 // span from now on until it is due; not read by this version: kept for the format
	Item          Item
	Lease         uint64
}

// PollRequest asks for items on behalf of a dispatcher with capacity for so many.
type PollRequest struct {
	From         string
	Capacity     int
	InFlight     []InFlightItem // items it is running
	WaitUs       int64
	LeftUs       int64    // until the asker itself gives the call up
	HostsAtLimit []string // hosts whose items the asker could not run now (design 17.4)
}

// InFlightItem names an item that a dispatcher is running, and its lease.
type InFlightItem struct {
	Shard int
	Job   string
	Item  int
	Lease uint64
}

// PollResponse holds the items leased to the asker.
type PollResponse struct {
	Deliveries []DeliveredItem
	Shards     []int          // the shards this store owns, confirmed
	Stop       []InFlightItem // what must not run any more
}

// AckRequest brings a result under the lease it was run under. Only once a
// majority has it on disk is it acknowledged; then the item is never sent again.
type AckRequest struct {
	Shard    int
	Job      string
	Item     int
	Phase    string
	Msg      []byte // as Pack made it
	Lease    uint64
	Enc      uint8
	RawBytes int
}

// NackRequest ends an item's lease without a result: no worker was found, or an
// attempt failed.
type NackRequest struct {
	Shard   int
	Job     string
	Item    int
	Lease   uint64
	Failed  bool // a worker answered 500
	AfterUs int64
}

// StopRunsRequest (KindStopRuns) asks a dispatcher to stop a job's runs, after its client cancelled
// the job by a cancelJobRequest.
type StopRunsRequest struct {
	Job string
}
