package consensus

import (
	"slices"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/gossip"
)

// Ages, since its start, at which a newcomer may join (design 4.4).
const (
	// displaceAfter is when a newcomer may judge that a member does not answer: by
	// then every live member had several gossip rounds to answer it.
	displaceAfter = 1300 * clock.Millisecond
	// joinBesideAfter is when a newcomer that misses members which others are still
	// in contact with joins in addition to them.
	joinBesideAfter = 2600 * clock.Millisecond
)

// Join is a newcomer's request to become a member.
type Join struct {
	Member     Member
	Uptime     clock.Micros    // of the newcomer
	Lost       map[string]bool // members that a majority of the members has lost contact with
	MaxMembers int
}

// NextMembership is the membership once the newcomer's change has begun, false while it
// may not begin. A newcomer that takes the place of a lost member does not wait for the
// end of another change: that one may itself wait for the lost member, and the next loss
// may come before it is over (design 8.6).
func (j *Join) NextMembership(m *Membership, v *gossip.View) (next Membership, ok bool) {
	if !m.Joint() {
		members := j.NextMembers(m, v)
		return m.Begin(members), members != nil
	}
	members := j.replaceLost(m, v)
	return m.Redirect(members), members != nil
}

// replaceLost is the target of the change in progress with the newcomer in place of a
// member that stays in it and is lost, nil if there is none. A change that replaces no
// member itself is given up for that: its target starts from the former set. If that has an
// earlier disk of the newcomer's machine, the newcomer takes that place.
func (j *Join) replaceLost(m *Membership, v *gossip.View) []Member {
	target := m.Current
	if !m.replacesMember() {
		target = m.Previous
	}
	own := slices.IndexFunc(target, func(member Member) bool { return member.Name == j.Member.Name })
	if own >= 0 && m.Has(target[own].ID) {
		return j.inPlaceOf(target, own)
	}
	displaced := slices.IndexFunc(target, func(member Member) bool { return m.Has(member.ID) && j.mayDisplace(member, v) })
	switch {
	case displaced < 0:
		return nil
	case own >= 0: // its removal is given up
		return j.inPlaceOf(target, own)
	default:
		return j.inPlaceOf(target, displaced)
	}
}

// mayDisplace tells whether a member answers neither this newcomer nor a majority of the
// members.
func (j *Join) mayDisplace(member Member, v *gossip.View) bool {
	return j.Uptime >= displaceAfter && j.Lost[member.ID] && !isReached(member, v)
}

// NextMembers is the set of members that includes the newcomer: in place of an
// earlier incarnation of its disk, of one that does not answer the newcomer and is lost, of
// a member that leaves, or in addition to the others. It is nil while it is too early to
// tell, or if the membership is full. A lost member goes before one that leaves, which is
// removed by itself. A member that the newcomer alone cannot reach may be healthy, so its
// own view never displaces one (design 4.4).
func (j *Join) NextMembers(m *Membership, v *gossip.View) []Member {
	if at := slices.IndexFunc(m.Current, func(member Member) bool { return member.Name == j.Member.Name }); at >= 0 {
		return j.inPlaceOf(m.Current, at)
	}
	missing := slices.ContainsFunc(m.Current, func(member Member) bool { return !isReached(member, v) })
	// What gossip carries about a member that died just now is out of date.
	if missing && j.Uptime < displaceAfter {
		return nil
	}
	if at := slices.IndexFunc(m.Current, func(member Member) bool { return j.mayDisplace(member, v) }); at >= 0 {
		return j.inPlaceOf(m.Current, at)
	}
	if missing && j.Uptime < joinBesideAfter {
		return nil
	}
	leaves := func(member Member) bool { return isReached(member, v) && v.Get(member.Name).Leaving }
	if at := slices.IndexFunc(m.Current, leaves); at >= 0 {
		return j.inPlaceOf(m.Current, at)
	}
	if len(m.Current) < j.MaxMembers {
		return append(slices.Clone(m.Current), j.Member)
	}
	return nil
}

// inPlaceOf copies the members with the newcomer in the place of one.
func (j *Join) inPlaceOf(members []Member, at int) []Member {
	next := slices.Clone(members)
	next[at] = j.Member
	return next
}
