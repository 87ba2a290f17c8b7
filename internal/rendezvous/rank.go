// Package rendezvous cuts duties by key over the live nodes (design 8.2).
package rendezvous

import (
	"hash/fnv"
	"sort"
)

// Weight is how strongly a node is drawn to a key; all nodes agree on it.
func Weight(key, node string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	x := h.Sum64()
	// fnv alone spreads short keys badly: finish as splitmix64 does.
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Rank orders the nodes by their weight for the key, the holder first. When a
// node comes or goes only the keys it held or now holds change hands.
func Rank(key string, nodes []string) []string {
	out := append([]string(nil), nodes...)
	sort.Slice(out, func(i, j int) bool {
		wi, wj := Weight(key, out[i]), Weight(key, out[j])
		return wi > wj || wi == wj && out[i] < out[j]
	})
	return out
}

// Holder is the first of the rank, "" without nodes.
func Holder(key string, nodes []string) string {
	best, bestW := "", uint64(0)
	for _, n := range nodes {
		if w := Weight(key, n); best == "" || w > bestW || w == bestW && n < best {
			best, bestW = n, w
		}
	}
	return best
}
