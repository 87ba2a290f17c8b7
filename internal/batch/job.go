package batch

import (
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/consensus"
	"rowanshunt/internal/rpc"
)

// A job and its rules: what is listed, what is open, what it costs. Nothing here has I/O,
// a clock or a lock.

// Term orders the owners of a shard: a newer membership first, then the count.
type Term struct {
	Membership uint64
	Number     uint64
	Owner      string // node and incarnation of the owner
}

// Less orders terms.
func (t Term) Less(b Term) bool {
	if t.Membership != b.Membership {
		return t.Membership < b.Membership
	}
	return consensus.Ballot{Number: t.Number, Proposer: t.Owner}.Less(consensus.Ballot{Number: b.Number, Proposer: b.Owner})
}

// Item is the durable record of one item (design 8.4). Its times are of the
// time of day, for readers: nothing is decided by them. ScheduledUs,
// NextUs and Epoch are those of docs/paper.md, not set by this version: kept for the
// format. Job.DueMs, itemState and Delivery have taken their place.
type Item struct {
	ID          string
	Path        string
	Hdrs        []string // name, value, name, value
	Body        []byte
	Toks        int64
	ScheduledUs int64
	NextUs      int64
	Epoch       int64
	CreatedUs   int64
}

// Phases of a result, as readers see them. The values are stored and sent.
const (
	PhaseDone         = "done"
	PhaseDeadLettered = "gave_up"
)

// Result is one listed item: its index in the list is its position for good.
type Result struct {
	Item     int
	Phase    string
	Msg      []byte
	AckedUs  int64  // the shard's clock
	Lease    uint64 // the lease whose ack listed it, so that a resent ack gets the first answer
	Why      string // of a dead letter: what ended it
	Enc      uint8  // how Msg is kept
	RawBytes int    // how long the text is
}

// Why an item became a dead letter.
const (
	WhyNever = "never" // 422 (forward.ItemRejected)
	WhyTries = "tries" // its attempts are spent
	WhyTime  = "time"  // retain_s is over
)

// DecodeMsgpack reads results of earlier versions too.
func (r *Result) DecodeMsgpack(d *msgpack.Decoder) error {
	return rpc.DecodeFields(d, &r.Item, &r.Phase, &r.Msg, &r.AckedUs, &r.Lease, &r.Why, &r.Enc, &r.RawBytes)
}

// Delivery is the delivery row of one item: who holds it under which lease. It is
// durable before a dispatcher learns of it (design 8.7).
type Delivery struct {
	Lease         uint64 // 0: nobody has it
	Holder        string
	DeliveryCount int64  // how often the item was delivered; a nack that is no failure takes one off
	Fails         int64  // answers of 500
	Freed         uint64 // the lease that was nacked last, so that a resent nack gets the first answer
}

// DeliveryAt is a changed delivery row.
type DeliveryAt struct {
	Item     int
	Delivery Delivery
}

// Job is the aggregate: what its owner accepted, in which order its items were
// listed, and whether it takes more results. Revision counts its changes under Term.
type Job struct {
	ID       string
	Host     string
	Path     string
	Route    string
	SentUs   int64 // time of day of the submission: for readers, and for the previous version
	DueMs    int64
	RetainMs int64
	Tries    int64
	Items    []Item
	Results  []Result
	// Ended: takes no more results: cancelled by its client, results dropped (tombstone),
	// or only a record of refused submissions. A job whose items are all listed is
	// closed(), not Ended.
	Ended      bool
	Term       Term
	Revision   uint64
	Deliveries []Delivery // by item
	First      int64      // offset of its first item in the shard's log; the run is gapless
	Digest     [2]uint64  // of its items' ids: distinguishes another job under the same id
	// Refused are the submissions of this id that were refused for good, although
	// an attempt of theirs may still be on its way (design 8.4). Such a job has
	// no items; the id is accepted if it is submitted anew.
	Refused []uint64
	// AcceptedUs is the shard's clock when the job was accepted: its age is read from
	// it (design 8.12). 0 in what the previous version wrote.
	AcceptedUs int64
	// DroppedItems is how many items the job had, once they and their results were
	// dropped; 0 before (design 8.10).
	DroppedItems int

	closedBytes      int64         // what storedBytes found once the job was closed
	listed           []bool        // by item
	source           jobVersion    // what it was when this node took it over
	schedule         *itemSchedule // the owner's own, nil elsewhere
	committedResults int           // entries of Results that a majority holds
	committed        bool          // a majority holds the job
	ageRestarted     bool          // this owner had its age begin anew
	endCommitted     bool          // a majority holds its end
}

// DecodeMsgpack reads jobs of earlier versions too.
func (j *Job) DecodeMsgpack(d *msgpack.Decoder) error {
	return rpc.DecodeFields(d, &j.ID, &j.Host, &j.Path, &j.Route, &j.SentUs, &j.DueMs, &j.RetainMs, &j.Tries, &j.Items, &j.Results, &j.Ended,
		&j.Term, &j.Revision, &j.Deliveries, &j.First, &j.Digest, &j.Refused, &j.AcceptedUs, &j.DroppedItems)
}

// itemSchedule is what only the owner knows of a job's items. Times are of its own
// steady clock: a new owner runs the leases it finds in full again.
type itemSchedule struct {
	items []itemState
}

type itemState struct {
	leasableAt clock.Instant // from when on it may be leased; of a leased one, the end of its lease
	lastSent   clock.Instant
	cached     bool
}

func (j *Job) index() {
	j.listed = make([]bool, len(j.Items))
	for _, r := range j.Results {
		if r.Item >= 0 && r.Item < len(j.listed) {
			j.listed[r.Item] = true
		}
	}
	if len(j.Deliveries) != len(j.Items) {
		rows := make([]Delivery, len(j.Items))
		copy(rows, j.Deliveries)
		j.Deliveries = rows
	}
}

// refused reports whether this is only the record of submissions that were refused.
func (j *Job) refused() bool { return len(j.Refused) > 0 }

// openTokens are the tokens that count against the route's backlog.
func (j *Job) openTokens() int64 {
	if j.Ended {
		return 0
	}
	var n int64
	for i := range j.Items {
		if !j.listed[i] {
			n += j.Items[i].Toks
		}
	}
	return n
}

func (j *Job) itemIndex(item string) int {
	for i := range j.Items {
		if j.Items[i].ID == item {
			return i
		}
	}
	return -1
}

// closed reports whether nothing more will be listed.
func (j *Job) closed() bool { return j.Ended || len(j.Results) == len(j.Items) }

func (j *Job) cost() int {
	n := 256 + 8*len(j.Refused)
	for i := range j.Items {
		n += len(j.Items[i].Body) + len(j.Items[i].Path) + 200
		for _, h := range j.Items[i].Hdrs {
			n += len(h)
		}
	}
	for i := range j.Results {
		n += len(j.Results[i].Msg) + 32
	}
	return n
}

// listResults puts results at the end of the list, those of listed items left out.
func (j *Job) listResults(results []Result) {
	for _, r := range results {
		if r.Item >= 0 && r.Item < len(j.listed) && !j.listed[r.Item] {
			j.listed[r.Item] = true
			j.closedBytes = 0
			j.Results = append(j.Results, r)
			j.Deliveries[r.Item] = Delivery{}
			j.dropBody(r.Item)
		}
	}
}

func (j *Job) setDeliveries(rows []DeliveryAt) {
	for _, r := range rows {
		if r.Item >= 0 && r.Item < len(j.Deliveries) && !j.listed[r.Item] {
			j.Deliveries[r.Item] = r.Delivery
		}
	}
}

func (j *Job) end() {
	j.Ended, j.closedBytes = true, 0
	for i := range j.Items {
		j.dropBody(i)
	}
}

// snapshot is a copy that may be read elsewhere while the job changes.
func (j *Job) snapshot() *Job {
	c := *j
	c.Items, c.Results, c.Deliveries = slices.Clone(j.Items), slices.Clip(j.Results), slices.Clone(j.Deliveries)
	return &c
}

// dropBody drops what only an open item needs: its body and headers are neither
// sent nor asked for again (design 8.10).
func (j *Job) dropBody(item int) {
	j.Items[item].Body, j.Items[item].Hdrs, j.Items[item].Path = nil, nil, ""
}

// tombstone is a closed job without its items and results: what tells that its id was
// taken, and by which items (design 8.10).
func (j *Job) tombstone() *Job {
	return &Job{ID: j.ID, Host: j.Host, Path: j.Path, Route: j.Route, SentUs: j.SentUs, DueMs: j.DueMs, RetainMs: j.RetainMs, Tries: j.Tries,
		Ended: true, First: j.First, Digest: j.Digest, AcceptedUs: j.AcceptedUs, DroppedItems: len(j.Items)}
}

// olderThan reports whether the copy is older than one at (term, rev).
func (j *Job) olderThan(term Term, rev uint64) bool {
	return j.Term.Less(term) || j.Term == term && j.Revision < rev
}

// millis is the span of a field in milliseconds.
func millis(ms int64) clock.Micros { return clock.Micros(ms) * clock.Millisecond }
