package discovery

import (
	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/rpc"
)

// What this package sends to other nodes and writes to disk. A struct is encoded as
// the array of its exported fields (package codec): their order and types are the
// format, their names are not.

// Kinds of the calls between nodes. Nodes of two versions call each other during a
// rolling upgrade, so the values stay those of the first version, in which this
// package was called flora.
const (
	kindUpdate     = "flora.news"
	kindSubscribe  = "flora.sub"
	kindDepartures = "flora.departures"
)

// journalFile is the journal's file in the data directory. It keeps the name of the
// first version, so that a node finds its journal after an upgrade.
const journalFile = "flora.cell"

// updateRequest carries the records of workers to a node.
type updateRequest struct {
	Relay   bool // the receiver is an aggregator and pushes them to its subscribers
	Workers []Worker
}

// subscribeRequest subscribes a node, for subscriptionTTL, to the services that the
// receiver aggregates.
type subscribeRequest struct {
	From     string
	Addr     string
	Services []string
	Digests  []uint64 // of the records the subscriber has, in the order of Services
	Loads    []Load
}

// subscribeResponse brings a subscriber up to date.
type subscribeResponse struct {
	Workers   []Worker     // of the services whose digest differs
	Unchanged []string     // services whose digest is the same, and coreUnreachableMark
	MaxAge    clock.Micros // of the last heartbeats in the unchanged services, but for those in Ages
	Ages      []workerAge
	Loads     []Load
}

// workerAge is the time since a worker's last heartbeat, unknownAge if the aggregator
// knows the worker from before its restart only.
type workerAge struct {
	ID  string
	Age clock.Micros
}

const unknownAge clock.Micros = -1

// coreUnreachableMark in subscribeResponse.Unchanged says that the aggregator does
// not reach the core: a departure that it does not report may have been acknowledged
// (design 5.3). It is the empty name, which no service has, among the names of
// services because earlier versions reject a response with one field more.
const coreUnreachableMark = ""

// departureCursor is how far a node has read another node's departure log.
type departureCursor struct {
	Epoch uint64
	Seq   uint64
}

// DecodeMsgpack also accepts the cursors of other versions, with fewer or more fields.
func (dc *departureCursor) DecodeMsgpack(d *msgpack.Decoder) error {
	return rpc.DecodeFields(d, &dc.Epoch, &dc.Seq)
}

// departurePage is one page of a departure log.
type departurePage struct {
	Next    departureCursor
	More    bool
	Workers []Worker
	// CutOff: the node that answers does not reach a majority of the core itself.
	CutOff bool
}

// DecodeMsgpack also accepts the pages of other versions, with fewer or more fields.
func (dp *departurePage) DecodeMsgpack(d *msgpack.Decoder) error {
	return rpc.DecodeFields(d, &dp.Next, &dp.More, &dp.Workers, &dp.CutOff)
}

// journalRecord is one record of the journal; the last one in the file counts.
type journalRecord struct {
	// LegacyWallUs is written as 0 and not read: an earlier version wrote the time
	// of day here, in microseconds.
	LegacyWallUs int64
	Workers      []Worker
}
