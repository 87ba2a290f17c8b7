package rpc

import (
	"bytes"
	"reflect"
	"testing"

	"rowanshunt/internal/codec"
)

// Whatever the encoder writes passes; cut anywhere it doesn't.
func TestLengthsOfTrueMessages(t *testing.T) {
	long := string(bytes.Repeat([]byte("s"), 70_000))
	values := []any{nil, true, 1, -1, -40, 200, 70_000, -70_000, 1 << 40, -1 << 40, 1.5, float32(1.5), "", "short", long[:40], long[:300], long,
		[]byte(long[:10]), []byte(long[:300]), []byte(long), []int{}, []int{1, 2, 3}, make([]int, 20), make([]int, 70_000),
		map[string]int{"a": 1}, map[string][]string{"a": {"b", "c"}, "d": nil}, [][]string{{"a"}, {}, {"b", "c"}}}
	for _, v := range append(values, values) {
		raw, err := codec.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		if err := checkLengths(raw); err != nil {
			t.Errorf("%T of %d bytes: %v", v, len(raw), err)
		}
		step := max(1, len(raw)/500)
		for cut := 0; cut < len(raw); cut += step {
			if checkLengths(raw[:cut]) == nil {
				t.Errorf("%T, cut at %d of %d, passes", v, cut, len(raw))
			}
		}
		if v == nil {
			continue
		}
		got := reflect.New(reflect.TypeOf(v))
		if err := Unmarshal(raw, got.Interface()); err != nil {
			t.Errorf("%T: %v", v, err)
		}
	}
}

// A list that says it has more elements than there are bytes, and one that is
// nested without end, are refused before anything is made for them.
func TestLyingLengths(t *testing.T) {
	type element struct {
		Room [32]int64
	}
	for name, raw := range map[string][]byte{
		"array":         {0xdd, 0x12, 0xa1, 0x61, 0xa0, 0xc0},
		"map":           {0xdf, 0xff, 0xff, 0xff, 0xff, 0xc0},
		"inner array":   {0x92, 0x01, 0xdd, 0x7f, 0xff, 0xff, 0xff, 0xc0, 0xc0},
		"string":        {0xdb, 0xff, 0xff, 0xff, 0xff, 'x'},
		"binary":        {0xc6, 0xff, 0xff, 0xff, 0xff, 'x'},
		"nested arrays": bytes.Repeat([]byte{0x91}, 1<<20),
		"empty":         {},
	} {
		var got []element
		if err := Unmarshal(raw, &got); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}
