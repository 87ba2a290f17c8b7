// Package lotstore keeps the lots on the stores: queue shards with a fenced
// owner each, durable prompts, positions and quota (design 8).
package lotstore

import (
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/codec"
	"rowanshunt/internal/register"
	"rowanshunt/internal/rpc"
)

// Term orders the owners of a shard: a newer membership first, then the count.
type Term struct {
	Membership uint64
	N          uint64
	By         string // node and life of the owner
}

// Less orders stamps.
func (a Term) Less(b Term) bool {
	if a.Membership != b.Membership {
		return a.Membership < b.Membership
	}
	return register.Ballot{N: a.N, By: a.By}.Less(register.Ballot{N: b.N, By: b.By})
}

// Prompt is the durable record of one item (design 8.4). Its times are of the
// time of day, for readers: nothing is decided by them.
type Prompt struct {
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

// Phases of a result, as readers see them.
const (
	PhaseDone   = "done"
	PhaseGaveUp = "gave_up"
)

// Result is one listed item: its place in the list is its position for good.
type Result struct {
	Item     int
	Phase    string
	Msg      []byte
	AckedUs  int64  // the shard's clock
	Lease    uint64 // the lease whose ack listed it, so that a resent ack gets the first answer
	Why      string // of an item given up: what ended it (a dead letter)
	Enc      uint8  // how Msg is kept
	RawBytes int    // how long the text is
}

// Why an item was given up: the reasons of the dead letters.
const (
	WhyNever = "never" // 422
	WhyTries = "tries" // its attempts are spent
	WhyTime  = "time"  // retain_s is over
)

// DecodeMsgpack reads results of earlier versions too.
func (r *Result) DecodeMsgpack(d *msgpack.Decoder) error {
	return rpc.Fields(d, &r.Item, &r.Phase, &r.Msg, &r.AckedUs, &r.Lease, &r.Why, &r.Enc, &r.RawBytes)
}

// Cursor is the cursor row of one prompt: who has it under which lease. It is
// durable before a dispatcher learns of it (design 8.7).
type Cursor struct {
	Lease  uint64 // 0: nobody has it
	Holder string
	Epoch  int64
	Fails  int64  // answers of 500
	Freed  uint64 // the lease given back last, so that a resent nack gets the first answer
}

// CursorAt is a changed cursor row.
type CursorAt struct {
	Item int
	Row  Cursor
}

// Lot is the aggregate: what its owner accepted, in which order its items were
// listed, and whether its client ended it. Rev counts its changes under Stamp.
type Lot struct {
	ID       string
	Host     string
	Path     string
	Route    string
	SentUs   int64 // time of day of the hand-in: for readers, and for the version before
	DueMs    int64
	RetainMs int64
	Tries    int64
	Prompts  []Prompt
	List     []Result
	Ended    bool
	Term     Term
	Rev      uint64
	Rows     []Cursor  // by prompt
	First    int64     // offset of its first prompt in the shard's log; the run is gapless
	Digest   [2]uint64 // of its items' ids: tells another lot under the same id
	// Refused are the hand-ins of this id that were refused for good, although
	// an attempt of theirs may still be on its way (design 8.4). Such a lot has
	// no prompts; it is taken if it is handed in anew.
	Refused []uint64
	// BornUs is the shard's clock when the lot was accepted: its age is read from
	// it (design 8.12). 0 in what the version before wrote.
	BornUs int64
	// ShedItems is how many items the lot had, once they and their results were
	// let go; 0 before (design 8.10).
	ShedItems int

	closedBytes int64  // what storedBytes found once the lot was closed
	listed      []bool // by prompt
	src         copyOf // what it was when this node took it over
	live        *live  // the owner's own, nil elsewhere
	seenLen     int    // entries of List that a majority holds
	taken       bool   // a majority holds the lot
	placed      bool   // this owner gave it its place on the clock
	endSeen     bool   // a majority holds its end
}

// DecodeMsgpack reads lots of earlier versions too.
func (l *Lot) DecodeMsgpack(d *msgpack.Decoder) error {
	return rpc.Fields(d, &l.ID, &l.Host, &l.Path, &l.Route, &l.SentUs, &l.DueMs, &l.RetainMs, &l.Tries, &l.Prompts, &l.List, &l.Ended,
		&l.Term, &l.Rev, &l.Rows, &l.First, &l.Digest, &l.Refused, &l.BornUs, &l.ShedItems)
}

// live is what only the owner knows of a lot's prompts. Times are of its own
// steady clock: a new owner runs the leases it finds in full again.
type live struct {
	at []promptState
}

type promptState struct {
	nextUs int64 // when it is due again; of a leased one, the end of its lease
	sentUs int64
	cached bool
}

func (l *Lot) index() {
	l.listed = make([]bool, len(l.Prompts))
	for _, r := range l.List {
		if r.Item >= 0 && r.Item < len(l.listed) {
			l.listed[r.Item] = true
		}
	}
	if len(l.Rows) != len(l.Prompts) {
		rows := make([]Cursor, len(l.Prompts))
		copy(rows, l.Rows)
		l.Rows = rows
	}
}

// refused tells whether this is only the record of hand-ins that were refused.
func (l *Lot) refused() bool { return len(l.Refused) > 0 }

// openToks are the tokens that count against the quota.
func (l *Lot) openToks() int64 {
	if l.Ended {
		return 0
	}
	var n int64
	for i := range l.Prompts {
		if !l.listed[i] {
			n += l.Prompts[i].Toks
		}
	}
	return n
}

func (l *Lot) find(item string) int {
	for i := range l.Prompts {
		if l.Prompts[i].ID == item {
			return i
		}
	}
	return -1
}

// closed tells whether nothing more will be listed.
func (l *Lot) closed() bool { return l.Ended || len(l.List) == len(l.Prompts) }

// opKind is what an op does to a lot.
type opKind uint8

const (
	opPut    opKind = iota + 1 // the whole lot
	opAppend                   // results at the end of the list
	opEnd                      // the client ended it
	opTerm                     // the copy at Src is this owner's now
	opDrop                     // purged
	opNone                     // nothing: a confirmation
	opCursor                   // cursor rows changed: a part of a checkpoint
	opCatch                    // what a copy lacks since (Src, From)
)

// op is one change of a lot, as it goes to the replicas and to disk.
type op struct {
	Kind    opKind
	Lot     string
	Term    Term
	Rev     uint64 // after the op
	Src     Term
	Whole   *Lot
	Results []Result
	Rows    []CursorAt
	From    uint64 // of a catch-up: the copy's revision under Src, and how many
	Listed  int    // it has listed
	Ended   bool
	ClockUs int64 // the shard's clock when the op was made (design 8.12)

	raw msgpack.RawMessage // as it goes to disk and to replicas, once it was made
}

// DecodeMsgpack reads ops of earlier versions too.
func (o *op) DecodeMsgpack(d *msgpack.Decoder) error {
	return rpc.Fields(d, &o.Kind, &o.Lot, &o.Term, &o.Rev, &o.Src, &o.Whole, &o.Results, &o.Rows, &o.From, &o.Listed, &o.Ended, &o.ClockUs)
}

// encoded is the op as it goes to disk and to every replica: made once.
func (o *op) encoded() msgpack.RawMessage {
	if o.raw == nil {
		raw, err := codec.Marshal(o)
		if err != nil {
			panic(err) // plain data: cannot fail
		}
		o.raw = raw
	}
	return o.raw
}

// cost is about what the op takes in memory and on the wire.
func (o *op) cost() int {
	n := 64
	for i := range o.Results {
		n += len(o.Results[i].Msg) + 32
	}
	n += 48 * len(o.Rows)
	if o.Whole != nil {
		n += o.Whole.cost()
	}
	return n
}

func (l *Lot) cost() int {
	n := 256 + 8*len(l.Refused)
	for i := range l.Prompts {
		n += len(l.Prompts[i].Body) + len(l.Prompts[i].Path) + 200
		for _, h := range l.Prompts[i].Hdrs {
			n += len(h)
		}
	}
	for i := range l.List {
		n += len(l.List[i].Msg) + 32
	}
	return n
}

// apply changes a shard's lots by an op, false if the copy here does not fit
// it and the whole lot is needed. It is the one rule for memory, replicas and
// the reading of the file (design 8.3).
func apply(lots map[string]*Lot, o *op) bool {
	l := lots[o.Lot]
	switch o.Kind {
	case opNone:
		return true
	case opPut:
		if o.Whole == nil {
			return false
		}
		if l != nil && !l.before(o.Term, o.Rev) {
			return true
		}
		w := *o.Whole.share()
		w.Term, w.Rev = o.Term, o.Rev
		w.index()
		if l != nil {
			w.seenLen, w.taken, w.endSeen, w.live = min(l.seenLen, len(w.List)), l.taken, l.endSeen, l.live
		}
		lots[o.Lot] = &w
		return true
	case opDrop:
		if l != nil && !o.Term.Less(l.Term) {
			delete(lots, o.Lot)
		}
		return true
	}
	if l == nil {
		return false
	}
	if o.Kind == opTerm {
		if l.Term == o.Term && l.Rev >= o.Rev {
			return true
		}
		if l.Term != o.Src || l.Rev != o.Rev {
			return false
		}
		l.Term = o.Term
		return true
	}
	if o.Kind == opCatch {
		return l.catchUp(o)
	}
	if l.Term != o.Term {
		return false
	}
	if l.Rev >= o.Rev {
		return true
	}
	if l.Rev+1 != o.Rev {
		return false
	}
	l.Rev = o.Rev
	switch o.Kind {
	case opAppend:
		l.append(o.Results)
	case opCursor:
		l.setRows(o.Rows)
	case opEnd:
		l.end()
	}
	return true
}

func (l *Lot) append(results []Result) {
	for _, r := range results {
		if r.Item >= 0 && r.Item < len(l.listed) && !l.listed[r.Item] {
			l.listed[r.Item] = true
			l.closedBytes = 0
			l.List = append(l.List, r)
			l.Rows[r.Item] = Cursor{}
			l.shed(r.Item)
		}
	}
}

func (l *Lot) setRows(rows []CursorAt) {
	for _, r := range rows {
		if r.Item >= 0 && r.Item < len(l.Rows) && !l.listed[r.Item] {
			l.Rows[r.Item] = r.Row
		}
	}
}

func (l *Lot) end() {
	l.Ended, l.closedBytes = true, 0
	for i := range l.Prompts {
		l.shed(i)
	}
}

// catchUp brings a copy that stopped at an earlier revision to the owner's: the
// ops under one stamp follow each other, so a copy at (Src, From) is a beginning
// of the owner's.
func (l *Lot) catchUp(o *op) bool {
	if l.Term == o.Term && l.Rev >= o.Rev {
		return true
	}
	if l.Term != o.Src || l.Rev != o.From || len(l.List) != o.Listed {
		return false
	}
	l.append(o.Results)
	l.setRows(o.Rows)
	if o.Ended && !l.Ended {
		l.end()
	}
	l.Term, l.Rev = o.Term, o.Rev
	return true
}

// since is what a copy lacks, nil if it is no beginning of this one.
func (l *Lot) since(term Term, c copyOf) *op {
	same := c.Term == l.Term && c.Rev <= l.Rev
	former := c.Term == l.src.Term && c.Rev <= l.src.Rev
	if !same && !former || c.Listed > len(l.List) || l.refused() || l.placed || l.wasShed() {
		return nil
	}
	o := &op{Kind: opCatch, Lot: l.ID, Term: term, Rev: l.Rev, Src: c.Term, From: c.Rev, Listed: c.Listed, Ended: l.Ended,
		Results: slices.Clip(l.List[c.Listed:])}
	for i := range l.Rows {
		if !l.listed[i] {
			o.Rows = append(o.Rows, CursorAt{Item: i, Row: l.Rows[i]})
		}
	}
	return o
}

// share is a copy that may be read elsewhere while the lot changes.
func (l *Lot) share() *Lot {
	c := *l
	c.Prompts, c.List, c.Rows = slices.Clone(l.Prompts), slices.Clip(l.List), slices.Clone(l.Rows)
	return &c
}

// shed lets go of what only an open item needs: its body and heads are neither
// sent nor asked for again (design 8.10).
func (l *Lot) shed(item int) {
	l.Prompts[item].Body, l.Prompts[item].Hdrs, l.Prompts[item].Path = nil, nil, ""
}

// bare is a closed lot without its items and results: what tells that its id was
// taken, and by which items (design 8.10).
func (l *Lot) bare() *Lot {
	return &Lot{ID: l.ID, Host: l.Host, Path: l.Path, Route: l.Route, SentUs: l.SentUs, DueMs: l.DueMs, RetainMs: l.RetainMs, Tries: l.Tries,
		Ended: true, First: l.First, Digest: l.Digest, BornUs: l.BornUs, ShedItems: len(l.Prompts)}
}

// before tells whether the copy is older than one at (stamp, rev).
func (l *Lot) before(term Term, rev uint64) bool {
	return l.Term.Less(term) || l.Term == term && l.Rev < rev
}
