package faultgen

import (
	"math"
	"math/rand/v2"
	"slices"
)

// random draws from one seed. The order of the draws is part of what a seed stands for:
// days that are kept by their seeds change with it.
type random struct{ rng *rand.Rand }

func newRandom(seed uint64) random { return random{rand.New(rand.NewPCG(seed, 0))} }

func (r random) chance(p float64) bool { return r.rng.Float64() < p }

// intIn is a whole number of a range.
func (r random) intIn(limits Range) int {
	return int(limits[0]) + r.rng.IntN(int(limits[1])-int(limits[0])+1)
}

// floatIn is a number of a range in hundredths.
func (r random) floatIn(limits Range) float64 {
	return round(limits[0] + float64(r.rng.Float64()*(limits[1]-limits[0])))
}

// oneOf is one of the names, "" if there are none.
func (r random) oneOf(names []string) string {
	if len(names) == 0 {
		return ""
	}
	return pick(r, names)
}

func pick[T any](r random, all []T) T { return all[r.rng.IntN(len(all))] }

// weighted repeats each value by its weight, once where it has none.
func weighted[T any](all []T, weight func(T) int) []T {
	var repeated []T
	for _, value := range all {
		repeated = append(repeated, slices.Repeat([]T{value}, max(1, weight(value)))...)
	}
	return repeated
}

func round(x float64) float64 { return math.Round(x*100) / 100 }
