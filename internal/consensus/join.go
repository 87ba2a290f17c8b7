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
// member itself is given up for that: its target starts from the former set.
func (j *Join) replaceLost(m *Membership, v *gossip.View) []Member {
	target := m.Current
	if !m.replacesMember() {
		target = m.Previous
	}
	at := slices.IndexFunc(target, func(member Member) bool { return m.Has(member.ID) && member.Name == j.Member.Name })
	if at < 0 {
		at = slices.IndexFunc(target, func(member Member) bool { return m.Has(member.ID) && j.mayDisplace(member, v) })
	}
	if at < 0 {
		return nil
	}
	next := slices.Clone(target)
	next[at] = j.Member
	return next
}

// mayDisplace tells whether a member answers neither this newcomer nor a majority of the
// members.
func (j *Join) mayDisplace(member Member, v *gossip.View) bool {
	return j.Uptime >= displaceAfter && j.Lost[member.ID] && !isReached(member, v)
}

// NextMembers is the set of members that includes the newcomer: in place of an
// earlier incarnation of its disk, of a member that leaves, of one that does not
// answer the newcomer and is lost, or in addition to the others. It is nil while it
// is too early to tell, or if the membership is full. A member that the newcomer alone
// cannot reach may be healthy, so its own view never displaces one (design 4.4).
func (j *Join) NextMembers(m *Membership, v *gossip.View) []Member {
	next := slices.Clone(m.Current)
	for i, member := range next {
		if member.Name == j.Member.Name {
			next[i] = j.Member
			return next
		}
	}
	missing := false
	for i, member := range next {
		reached := isReached(member, v)
		if reached && !v.Get(member.Name).Leaving {
			continue
		}
		// What gossip carries about a member that died just now is out of date.
		if !reached && j.Uptime < displaceAfter {
			return nil
		}
		if reached || j.Lost[member.ID] {
			next[i] = j.Member
			return next
		}
		missing = true
	}
	if missing && j.Uptime < joinBesideAfter {
		return nil
	}
	if len(next) < j.MaxMembers {
		return append(next, j.Member)
	}
	return nil
}
