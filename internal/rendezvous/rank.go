// Package rendezvous is rendezvous hashing (highest random weight): all nodes agree without
// a message which of the live nodes holds a key (design 8.2).
package rendezvous

import (
	"hash/fnv"
	"sort"
)

// Weight is the weight of a node for a key. Nodes of several versions must agree on it, so it
// never changes.
func Weight(key, node string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	x := h.Sum64()
	// FNV alone spreads short keys badly; this is the finalizer of splitmix64.
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Rank orders the nodes by their weight for the key, the holder first. When a node joins or
// leaves, only the keys that it gains or loses change their holder.
func Rank(key string, nodes []string) []string {
	out := append([]string(nil), nodes...)
	sort.Slice(out, func(i, j int) bool {
		wi, wj := Weight(key, out[i]), Weight(key, out[j])
		return wi > wj || wi == wj && out[i] < out[j]
	})
	return out
}

// Holder is the node with the highest weight for the key, "" without nodes.
func Holder(key string, nodes []string) string {
	best, highest := "", uint64(0)
	for _, n := range nodes {
		if w := Weight(key, n); best == "" || w > highest || w == highest && n < best {
			best, highest = n, w
		}
	}
	return best
}
