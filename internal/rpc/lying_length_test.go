package rpc

import (
	"bytes"
	"math"
	"runtime"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/codec"
	"rowanshunt/internal/fault"
)

// Everything that the library writes fits; cut anywhere, it does not.
func TestLengthsFit(t *testing.T) {
	for _, v := range []any{
		nil, true, 1, -1, -40, 300, 1 << 20, int64(1) << 40, uint64(math.MaxUint64), int64(math.MinInt64), float32(1), 1.5,
		"", "short", string(make([]byte, 40)), string(make([]byte, 300)), string(make([]byte, 70_000)),
		[]byte{}, make([]byte, 300), make([]byte, 70_000), []int{}, make([]int, 20), make([]bool, 70_000), time.Unix(1, 1), time.Unix(1<<40, 1),
		map[string]int{}, map[string][]int{"a": {1}, "b": nil}, []any{map[int]any{1: []any{"x"}}, nil},
	} {
		raw, err := codec.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		if checkLengths(raw) != nil || checkLengths(append(bytes.Clone(raw), 7)) != nil {
			t.Errorf("%T does not fit: %.20x", v, raw)
		}
		for _, cut := range []int{0, 1, len(raw) / 2, len(raw) - 1} {
			if cut < len(raw) && checkLengths(raw[:cut]) == nil {
				t.Errorf("%T cut at %d of %d fits", v, cut, len(raw))
			}
		}
	}
	big := make(map[int]int)
	for i := range 70_000 {
		big[i] = i
	}
	if raw, _ := codec.Marshal(big); checkLengths(raw) != nil {
		t.Error("a large map does not fit")
	}
}

// A length that lies costs nothing (design 2.2): six bytes once made the decoder
// take gigabytes.
func TestLyingLength(t *testing.T) {
	type row struct{ A, B, C string }
	for _, raw := range [][]byte{
		{0xdd, 0x23, 0xc0, 0xdb, 0x2e, 0xea}, {0xdd, 0xff, 0xff, 0xff, 0xff}, {0xdf, 0xff, 0xff, 0xff, 0xff, 0xc0},
		{0x92, 0xdc, 0xff, 0xff, 0xc0}, {0xc6, 0xff, 0xff, 0xff, 0xff}, {0xc1}, {},
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		var out []row
		err := Unmarshal(raw, &out)
		runtime.ReadMemStats(&after)
		if !fault.Is(err, fault.Invalid) {
			t.Errorf("%x: %v", raw, err)
		}
		if took := after.TotalAlloc - before.TotalAlloc; took > 1<<20 {
			t.Errorf("%x: %d bytes were taken", raw, took)
		}
	}
}

func BenchmarkCheckLengths(b *testing.B) {
	type row struct {
		Name string
		N    int64
		Raw  []byte
	}
	rows := make([]row, 200)
	for i := range rows {
		rows[i] = row{Name: "a name of a row", N: int64(i) << 20, Raw: make([]byte, 500)}
	}
	raw, _ := codec.Marshal(rows)
	b.Run("check", func(b *testing.B) {
		for b.Loop() {
			_ = checkLengths(raw)
		}
	})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			var out []row
			_ = msgpack.Unmarshal(raw, &out)
		}
	})
}
