package quota

import (
	"math"
	"sort"
)

// Apportion divides a whole number by weights with the largest remainder method:
// the parts add up to the total. Without any weight the parts are even.
func Apportion(total int64, weights []float64) []int64 {
	parts := make([]int64, len(weights))
	if total <= 0 || len(weights) == 0 {
		return parts
	}
	weights, sum := positiveWeights(weights)
	type remainder struct {
		index int
		value float64
	}
	remainders := make([]remainder, len(parts))
	left := total
	for i, weight := range weights {
		exact := float64(total) * weight / sum
		floor := math.Floor(exact)
		parts[i] = int64(floor)
		left -= parts[i]
		remainders[i] = remainder{index: i, value: exact - floor}
	}
	sort.SliceStable(remainders, func(a, b int) bool { return remainders[a].value > remainders[b].value })
	for i := int64(0); i < left; i++ {
		parts[remainders[int(i)%len(remainders)].index]++
	}
	return parts
}

// positiveWeights returns the weights with their sum, or even ones if that is not
// above 0.
func positiveWeights(weights []float64) ([]float64, float64) {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	if sum > 0 {
		return weights, sum
	}
	even := make([]float64, len(weights))
	for i := range even {
		even[i] = 1
	}
	return even, float64(len(even))
}
