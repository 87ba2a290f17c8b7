package gossip

import "rowanshunt/internal/rendezvous"

// minEligible is the least number of large nodes to which singleton roles are
// confined. Fewer could not share the work and survive failures.
const minEligible = 4

// Eligible lists the living nodes of a role that may carry singleton roles: those
// with at least half of the processor of the largest one. Work that grows with the
// whole system runs on them, and small machines serve only their own traffic. With
// fewer than minEligible of these, every living node of the role is eligible
// (design 3.4).
func (v *View) Eligible(role string) []*NodeState {
	var all []*NodeState
	most := int64(0)
	for i := range v.Nodes {
		if s := &v.Nodes[i]; s.Alive && s.Role == role && !s.Leaving {
			all = append(all, s)
			most = max(most, s.CPUMillis)
		}
	}
	var large []*NodeState
	for _, s := range all {
		if 2*s.CPUMillis >= most {
			large = append(large, s)
		}
	}
	if len(large) < minEligible {
		return all
	}
	return large
}

// SelectEligible names at most limit eligible nodes of a role for one singleton role,
// the first by rendezvous rank. Work that a few nodes can carry is thereby not spread
// over a whole large system.
func (v *View) SelectEligible(role, singleton string, limit int) []string {
	eligible := v.Eligible(role)
	names := make([]string, len(eligible))
	for i, s := range eligible {
		names[i] = s.Name
	}
	if len(names) <= limit {
		return names
	}
	return rendezvous.Rank(singleton, names)[:limit]
}
