package consensus

import "slices"

// Membership is a set of members that is changed one member at a time. While
// Previous is not empty the membership is joint: a change is in progress and both
// sets must agree (design 4.4). Its methods never modify the slices.
type Membership struct {
	Version  uint64
	Current  []Member
	Previous []Member
}

// Joint tells whether a change is in progress.
func (m *Membership) Joint() bool { return len(m.Previous) > 0 }

// Has tells whether the member is in the current set.
func (m *Membership) Has(id string) bool {
	return slices.ContainsFunc(m.Current, func(member Member) bool { return member.ID == id })
}

// Includes tells whether the member is in one of the sets.
func (m *Membership) Includes(id string) bool {
	return slices.ContainsFunc(m.All(), func(member Member) bool { return member.ID == id })
}

// Without copies the current set, leaving one member out.
func (m *Membership) Without(id string) []Member { return without(m.Current, id) }

// OnlyRemoves tells whether the change in progress adds no member.
func (m *Membership) OnlyRemoves() bool {
	return m.Joint() && len(excluding(m.Current, m.Previous)) == 0
}

// All lists the members of both sets, each once.
func (m *Membership) All() []Member {
	out := slices.Clone(m.Current)
	for _, member := range m.Previous {
		if !m.Has(member.ID) {
			out = append(out, member)
		}
	}
	return out
}

// Quorum tells whether those that agreed are a majority of each set.
func (m *Membership) Quorum(agreed map[string]bool) bool {
	return majority(m.Current, agreed) && (len(m.Previous) == 0 || majority(m.Previous, agreed))
}

// Begin starts a change to next.
func (m *Membership) Begin(next []Member) Membership {
	return Membership{Version: m.Version + 1, Current: next, Previous: m.Current}
}

// Redirect gives the change in progress another target. It is for memberships whose data
// every quorum of a joint membership brings to a majority of Previous, which stays: there
// the next target finds it whatever the last one was (design 8.6). The core's own
// membership only follows committed ones (design 4.4).
func (m *Membership) Redirect(next []Member) Membership {
	return Membership{Version: m.Version + 1, Current: next, Previous: m.Previous}
}

// replacesMember tells whether the change in progress puts a newcomer in a member's
// place. Any other one only adds members or only removes some.
func (m *Membership) replacesMember() bool {
	return len(excluding(m.Current, m.Previous)) > 0 && len(excluding(m.Previous, m.Current)) > 0
}

// Commit ends a change.
func (m *Membership) Commit() Membership {
	return Membership{Version: m.Version + 1, Current: m.Current}
}

func majority(members []Member, agreed map[string]bool) bool {
	n := 0
	for _, member := range members {
		if agreed[member.ID] {
			n++
		}
	}
	return 2*n > len(members)
}

// unionOf appends to members those of more that it lacks.
func unionOf(members, more []Member) []Member {
	present := map[string]bool{}
	for _, m := range members {
		present[m.ID] = true
	}
	for _, m := range more {
		if !present[m.ID] {
			members = append(members, m)
		}
	}
	return members
}

// excluding copies the members that are not among the others.
func excluding(members, others []Member) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(member Member) bool {
		return slices.ContainsFunc(others, func(other Member) bool { return other.ID == member.ID })
	})
}

// without copies the members, leaving one out.
func without(members []Member, id string) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(member Member) bool { return member.ID == id })
}
