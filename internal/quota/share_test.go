package quota

import (
	"math"
	"math/rand/v2"
	"testing"
)

func amount(slots, kv float64) Amount { return Amount{Slots: slots, Kv: kv} }

// The division by example (design 17.2).
func TestAllocate(t *testing.T) {
	fleet := Amount{Slots: 100, Kv: 1000}
	g := func(p float64) Guarantee { return Guarantee{Slots: p, Kv: p} }
	for _, tc := range []struct {
		name   string
		claims []Claim
		want   []Amount
	}{
		{"nobody", nil, nil},
		{"all wants met", []Claim{{"a", amount(10, 100), g(.5)}, {"b", amount(20, 100), g(.5)}}, []Amount{amount(10, 100), amount(20, 100)}},
		{"idle shares are lent", []Claim{{"a", amount(10, 10), g(.5)}, {"b", amount(300, 300), g(.5)}}, []Amount{amount(10, 10), amount(90, 90)}},
		{"by guarantee", []Claim{{"a", amount(500, 500), g(.75)}, {"b", amount(500, 500), g(.25)}}, []Amount{amount(75, 75), amount(25, 25)}},
		{"the dominant resource counts", []Claim{{"a", amount(100, 100), g(.5)}, {"b", amount(10, 1000), g(.5)}}, []Amount{amount(90.909, 90.909), amount(9.091, 909.1)}},
		{"a cap holds", []Claim{{"a", amount(100, 100), Guarantee{Slots: .2, Kv: .2, Cap: .3}}}, []Amount{amount(30, 30)}},
		{"no guarantee: what is left", []Claim{{"a", amount(95, 95), g(1)}, {"b", amount(50, 50), g(0)}}, []Amount{amount(95, 95), amount(5, 5)}},
	} {
		got := Allocate(fleet, tc.claims)
		for i := range tc.want {
			if math.Abs(got[i].Slots-tc.want[i].Slots) > 0.2 {
				t.Errorf("%s: %s has %+v, want %+v", tc.name, tc.claims[i].Name, got[i], tc.want[i])
			}
		}
	}
	// A service without cache memory is divided by slots.
	if got := Allocate(Amount{Slots: 10}, []Claim{{"a", amount(20, 5), g(.5)}, {"b", amount(20, 5), g(.5)}}); math.Abs(got[0].Slots-5) > 0.01 {
		t.Errorf("slots only: %+v", got)
	}
}

// What holds of every division: nobody has more than it wants or its cap, the sum
// is within the fleet, who wants no more than its guarantee has it, and nothing is
// left that somebody could use.
func TestAllocateAtRandom(t *testing.T) {
	for seed := uint64(1); seed <= 400; seed++ {
		rng := rand.New(rand.NewPCG(seed, 1))
		fleet := Amount{Slots: 10 + 500*rng.Float64(), Kv: 1e4 + 1e7*rng.Float64()}
		n := 1 + rng.IntN(8)
		claims := make([]Claim, n)
		left := Guarantee{Slots: 1, Kv: 1}
		for i := range claims {
			g := Guarantee{Slots: left.Slots * rng.Float64(), Kv: left.Kv * rng.Float64()}
			left.Slots, left.Kv = left.Slots-g.Slots, left.Kv-g.Kv
			if rng.IntN(4) == 0 {
				g.Cap = min(max(g.Slots, g.Kv)+rng.Float64(), 1)
			}
			claims[i] = Claim{Name: string(rune('a' + i)), Guarantee: g,
				Want: Amount{Slots: fleet.Slots * 2 * rng.Float64() * rng.Float64(), Kv: fleet.Kv * 2 * rng.Float64() * rng.Float64()}}
		}
		got := Allocate(fleet, claims)
		var sum Amount
		for i, a := range got {
			sum = sum.plus(a)
			c := claims[i]
			if a.Slots > c.Want.Slots*(1+1e-6) || a.Kv > c.Want.Kv*(1+1e-6) {
				t.Errorf("seed %d: %s has more than it wants", seed, c.Name)
			}
			if g := c.Guarantee; g.Cap > 0 && a.Dominant(fleet) > g.Cap*(1+1e-6) {
				t.Errorf("seed %d: %s is over its cap", seed, c.Name)
			}
			if c.Want.Slots <= fleet.Slots*c.Guarantee.Slots && c.Want.Kv <= fleet.Kv*c.Guarantee.Kv && c.Want.Dominant(fleet) <= 1 &&
				(a.Slots < c.Want.Slots*(1-1e-3) || a.Kv < c.Want.Kv*(1-1e-3)) {
				t.Errorf("seed %d: %s lacks what it is guaranteed: %+v of %+v", seed, c.Name, a, c.Want)
			}
		}
		if sum.Slots > fleet.Slots*(1+1e-6) || sum.Kv > fleet.Kv*(1+1e-6) {
			t.Errorf("seed %d: %+v of %+v", seed, sum, fleet)
		}
		full := sum.Slots > fleet.Slots*(1-1e-3) || sum.Kv > fleet.Kv*(1-1e-3)
		for i, a := range got {
			w := claims[i].Want
			limit := 1.0
			if c := claims[i].Guarantee.Cap; c > 0 {
				limit = c
			}
			if over := w.Dominant(fleet) / limit; over > 1 {
				w = w.times(1 / over)
			}
			if !full && (a.Slots < w.Slots*(1-1e-2) && a.Kv < w.Kv*(1-1e-2)) {
				t.Errorf("seed %d: room is idle and %s has %+v of %+v", seed, claims[i].Name, a, w)
			}
		}
	}
}

// Pieces of a whole number add up to it.
func TestSpread(t *testing.T) {
	for _, tc := range []struct {
		total   int64
		weights []float64
		want    []int64
	}{
		{10, []float64{1, 1}, []int64{5, 5}},
		{10, []float64{3, 1, 0}, []int64{8, 2, 0}},
		{3, []float64{0, 0}, []int64{2, 1}},
		{0, []float64{1, 2}, []int64{0, 0}},
		{7, nil, nil},
	} {
		got := Spread(tc.total, tc.weights)
		for i := range tc.want {
			if got[i] != tc.want[i] {
				t.Errorf("%d by %v: %v", tc.total, tc.weights, got)
			}
		}
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		w := make([]float64, 1+rng.IntN(30))
		for i := range w {
			w[i] = rng.Float64() * float64(rng.IntN(3))
		}
		total, sum := rng.Int64N(1000), int64(0)
		for _, n := range Spread(total, w) {
			sum += n
		}
		if sum != total {
			t.Fatalf("%d became %d", total, sum)
		}
	}
}
