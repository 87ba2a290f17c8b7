package quota

import (
	"math"
	"sort"
)

// Amount is so much of a service's fleet.
type Amount struct {
	Slots float64
	Kv    float64
}

func (a Amount) plus(b Amount) Amount   { return Amount{Slots: a.Slots + b.Slots, Kv: a.Kv + b.Kv} }
func (a Amount) minus(b Amount) Amount  { return Amount{Slots: a.Slots - b.Slots, Kv: a.Kv - b.Kv} }
func (a Amount) times(f float64) Amount { return Amount{Slots: a.Slots * f, Kv: a.Kv * f} }
func (a Amount) notBelow(b Amount) Amount {
	return Amount{Slots: max(a.Slots, b.Slots), Kv: max(a.Kv, b.Kv)}
}

// Dominant is the largest share of any one resource; a resource that the fleet
// does not have does not count.
func (a Amount) Dominant(of Amount) float64 {
	return max(part(a.Slots, of.Slots), part(a.Kv, of.Kv))
}

func part(a, of float64) float64 {
	if of <= 0 {
		return 0
	}
	return a / of
}

// Claim is what one tenant wants, and by which guarantee.
type Claim struct {
	Name      string
	Want      Amount
	Guarantee Guarantee
}

// leastShare stands for a guarantee of nothing: such a tenant lives on what the
// others leave.
const leastShare = 1e-4

// Allocate divides a fleet: weighted max-min fairness over dominant shares
// (design 17.2). Each claim grows with its guarantee until it is met, at its cap,
// or one of the resources it uses is used up. Nobody gets more than it wants, so
// what one leaves idle is the others'; and a claim within its guarantee is met
// whole, as guarantees come to at most the fleet.
func Allocate(fleet Amount, claims []Claim) []Amount {
	out := make([]Amount, len(claims))
	// need is a claim's want in units of its guarantee; at level x it has
	// min(x, need) of them.
	need := make([]float64, len(claims))
	want := make([]Amount, len(claims))
	for i, c := range claims {
		w := c.Want
		if c.Guarantee.Cap > 0 {
			if over := w.Dominant(fleet) / c.Guarantee.Cap; over > 1 {
				w = w.times(1 / over)
			}
		}
		if over := w.Dominant(fleet); over > 1 {
			w = w.times(1 / over) // more than all there is
		}
		want[i] = w
		need[i] = w.Dominant(Amount{Slots: fleet.Slots * max(c.Guarantee.Slots, leastShare), Kv: fleet.Kv * max(c.Guarantee.Kv, leastShare)})
	}
	frozen := make([]float64, len(claims)) // the level at which a claim stopped, -1: it still grows
	for i := range frozen {
		frozen[i] = -1
	}
	at := func(i int, level float64) Amount {
		if frozen[i] >= 0 {
			level = frozen[i]
		}
		if need[i] <= 0 {
			return Amount{}
		}
		return want[i].times(min(level/need[i], 1))
	}
	sum := func(level float64) (s Amount) {
		for i := range claims {
			s = s.plus(at(i, level))
		}
		return s
	}
	top := 0.0
	for _, n := range need {
		top = max(top, n)
	}
	const tiny = 1e-9
	fits := func(level float64) bool {
		s := sum(level)
		return s.Dominant(fleet) <= 1+tiny
	}
	low := 0.0
	for low < top {
		high := top
		if fits(high) {
			low = high
			break
		}
		for range 60 {
			if mid := (low + high) / 2; fits(mid) {
				low = mid
			} else {
				high = mid
			}
		}
		// What uses a resource that is used up stops here; the rest goes on.
		s := sum(low)
		slotsOut, kvOut := part(s.Slots, fleet.Slots) >= 1-1e-6, part(s.Kv, fleet.Kv) >= 1-1e-6
		more := false
		for i := range claims {
			if frozen[i] >= 0 || need[i] <= low {
				continue
			}
			if slotsOut && want[i].Slots > 0 || kvOut && want[i].Kv > 0 {
				frozen[i] = low
			} else {
				more = true
			}
		}
		if !more {
			break
		}
	}
	for i := range claims {
		out[i] = at(i, low)
	}
	return out
}

// Spread cuts a whole number by weights; the pieces add up to it.
func Spread(total int64, weights []float64) []int64 {
	out := make([]int64, len(weights))
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	if total <= 0 || len(weights) == 0 {
		return out
	}
	if sum <= 0 {
		weights = make([]float64, len(out))
		for i := range weights {
			weights[i] = 1
		}
		sum = float64(len(out))
	}
	type rest struct {
		i int
		r float64
	}
	rests := make([]rest, len(out))
	left := total
	for i, w := range weights {
		exact := float64(total) * w / sum
		out[i] = int64(math.Floor(exact))
		left -= out[i]
		rests[i] = rest{i, exact - math.Floor(exact)}
	}
	sort.SliceStable(rests, func(a, b int) bool { return rests[a].r > rests[b].r })
	for i := int64(0); i < left; i++ {
		out[rests[int(i)%len(rests)].i]++
	}
	return out
}
