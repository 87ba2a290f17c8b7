package consensus

import (
	"sort"

	"rowanshunt/internal/rendezvous"
)

// Replicas is the membership of one shard: of each set the first want members of the
// rendezvous rank, spread over the zones as evenly as they go. It is a pure
// function of the membership, so all nodes that know the membership agree on it, and a
// change of the membership is a joint change of each shard's own (design 8.1).
func (m *Membership) Replicas(key string, want int) Membership {
	return Membership{Version: m.Version, Current: spreadOverZones(m.Current, key, want), Previous: spreadOverZones(m.Previous, key, want)}
}

func spreadOverZones(members []Member, key string, want int) []Member {
	if len(members) <= want {
		return members
	}
	ranked := make([]Member, len(members))
	copy(ranked, members)
	sort.Slice(ranked, func(i, j int) bool {
		wi, wj := rendezvous.Weight(key, ranked[i].Name), rendezvous.Weight(key, ranked[j].Name)
		return wi > wj || wi == wj && ranked[i].Name < ranked[j].Name
	})
	out := make([]Member, 0, want)
	taken := make([]bool, len(ranked))
	perZone := map[string]int{}
	for round := 1; len(out) < want; round++ {
		for i, m := range ranked {
			if !taken[i] && perZone[m.Az] < round && len(out) < want {
				taken[i] = true
				perZone[m.Az]++
				out = append(out, m)
			}
		}
	}
	return out
}
