package brood

import (
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/cell"
	"rowanshunt/internal/codec"
	"rowanshunt/internal/nest"
)

// The records as they were before lots had cursor rows, offsets and packed texts.
type (
	earlierResult struct {
		Item    int
		Phase   string
		Msg     []byte
		AckedUs int64
	}
	earlierLot struct {
		ID, Host, Path, Binding string
		SentUs, DueMs, RetainMs int64
		Tries                   int64
		Prompts                 []Prompt
		List                    []earlierResult
		Ended                   bool
		Stamp                   Stamp
		Rev                     uint64
	}
	earlierOp struct {
		Kind    opKind
		Lot     string
		Stamp   Stamp
		Rev     uint64
		Src     Stamp
		Whole   *earlierLot
		Results []earlierResult
	}
	earlierRecord struct {
		Shard   int
		Promise *Stamp
		Ops     []earlierOp
	}
	earlierSeat struct {
		ID, Name, Addr string
	}
)

// A store reads the file that the version before wrote, and goes on from it.
func TestReadsTheEarlierVersion(t *testing.T) {
	dir := t.TempDir()
	st := Stamp{Roster: 1, N: 3, By: "s/1"}
	c, _, err := cell.Open(dir, "brood.cell", func([]byte) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range []earlierRecord{
		{Shard: 2, Promise: &st},
		{Shard: 2, Ops: []earlierOp{{Kind: opPut, Lot: "l", Stamp: st, Rev: 1, Whole: &earlierLot{ID: "l", Host: "h", Tries: 2,
			Prompts: []Prompt{{ID: "a", Body: []byte("x")}, {ID: "b", Body: []byte("y")}}}}}},
		{Shard: 2, Ops: []earlierOp{{Kind: opAppend, Lot: "l", Stamp: st, Rev: 2, Results: []earlierResult{{Item: 1, Phase: PhaseDone, Msg: []byte("text")}}}}},
	} {
		raw, err := codec.Marshal(&r)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Write(raw); err != nil {
			t.Fatal(err)
		}
	}
	c.Close()
	b := keeper(t, dir)
	defer b.cell.Close()
	l := b.shards[2].lots["l"]
	if b.misfits != 0 || l == nil || l.Rev != 2 || l.Stamp != st || b.shards[2].promised != st {
		t.Fatalf("read as %+v, %d misfits", l, b.misfits)
	}
	if len(l.Rows) != 2 || !l.listed[1] || l.listed[0] || string(l.Prompts[0].Body) != "x" {
		t.Errorf("rows %v, listed %v", l.Rows, l.listed)
	}
	if msg, err := Unpack(l.List[0].Enc, l.List[0].Msg, l.List[0].RawBytes); err != nil || string(msg) != "text" {
		t.Errorf("the text came back as %q, %v", msg, err)
	}
	raw, err := codec.Marshal(&earlierSeat{ID: "a#1", Name: "a", Addr: "x"})
	if err != nil {
		t.Fatal(err)
	}
	var seat nest.Seat
	if err := msgpack.Unmarshal(raw, &seat); err != nil || seat != (nest.Seat{ID: "a#1", Name: "a", Addr: "x"}) {
		t.Errorf("a seat without a zone: %+v, %v", seat, err)
	}
}

// Every field that is written is read again: the lists of the decoders are whole.
func TestDecodersReadAllFields(t *testing.T) {
	st := Stamp{Roster: 1, N: 2, By: "b"}
	res := Result{Item: 1, Phase: "p", Msg: []byte("m"), AckedUs: 2, Lease: 3, Why: "w", Enc: 1, RawBytes: 4}
	rows := []Cursor{{Lease: 1, Holder: "h", Epoch: 2, Fails: 3, Freed: 4}}
	lot := Lot{ID: "i", Host: "h", Path: "p", Binding: "b", SentUs: 1, DueMs: 2, RetainMs: 3, Tries: 4, Prompts: []Prompt{{ID: "q", Hdrs: []string{"k", "v"}, Toks: 5}},
		List: []Result{res}, Ended: true, Stamp: st, Rev: 6, Rows: rows, First: 7, Digest: [2]uint64{8, 9}, Refused: []uint64{10}, BornUs: 11, ShedItems: 13}
	o := op{Kind: opPut, Lot: "l", Stamp: st, Rev: 1, Src: st, Whole: &lot, Results: []Result{res}, Rows: []CursorAt{{Item: 1, Row: rows[0]}}, From: 2, Listed: 3, Ended: true, ClockUs: 12}
	seat := nest.Seat{ID: "i", Name: "n", Addr: "a", Az: "z"}
	written := writeAnswer{OK: true, Promised: st, Misfit: true, Full: true}
	handed := handAnswer{Taken: true, AfterMs: 1, First: 2, Other: true, Welcome: true, NoRoom: true}
	for _, v := range []any{&res, &lot, &o, &seat, &written, &handed} {
		for i := range reflect.ValueOf(v).Elem().NumField() {
			if f := reflect.TypeOf(v).Elem().Field(i); f.IsExported() && reflect.ValueOf(v).Elem().Field(i).IsZero() {
				t.Errorf("%T: the test leaves %s empty", v, f.Name)
			}
		}
		raw, err := codec.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		got := reflect.New(reflect.TypeOf(v).Elem()).Interface()
		if err := msgpack.Unmarshal(raw, got); err != nil || !reflect.DeepEqual(got, v) {
			t.Errorf("%T came back as %+v: %v", v, got, err)
		}
	}
}
