package consensus

import (
	"rowanshunt/internal/clock"
	"rowanshunt/internal/gossip"
)

// Times after which a member counts as gone (design 4.4).
const (
	// MemberDropTimeout is how long a member must be silent before a membership
	// drops it: well above a restart, since a dropped member has to join anew.
	MemberDropTimeout = 6 * clock.Second
	// neverSeenGrace is added for a member that this node has not seen at all, which
	// may only mean that gossip has not brought it yet.
	neverSeenGrace = 3 * clock.Second
	// takeoverStep is how much later each further live member takes over a due
	// change: enough for the one before to carry it out.
	takeoverStep = 1500 * clock.Millisecond
)

// isLive tells whether the member's node is alive with the member's disk.
func isLive(m Member, v *gossip.View) bool {
	p := v.Get(m.Name)
	return p != nil && p.Alive && p.MemberID() == m.ID
}

// isReached tells whether the member has answered this node itself lately.
func isReached(m Member, v *gossip.View) bool {
	p := v.Get(m.Name)
	return p != nil && v.InContact(m.Name) && p.MemberID() == m.ID
}

// MemberSilent tells whether the member's node has been silent for the span, or
// now has another disk. uptime is that of the node that looks.
func MemberSilent(m Member, v *gossip.View, silentFor, uptime clock.Micros) bool {
	p := v.Get(m.Name)
	if p == nil {
		return uptime > neverSeenGrace+silentFor
	}
	if p.Alive {
		return p.MemberID() != m.ID
	}
	return clock.Since(p.StateChanged) > silentFor
}

// MemberLongSilent tells whether a membership may drop the member: silent for
// MemberDropTimeout. One whose machine is back with another disk is left to that
// machine, which replaces its former member in one change instead of two.
func MemberLongSilent(m Member, v *gossip.View, uptime clock.Micros) bool {
	if p := v.Get(m.Name); p != nil && p.Alive {
		return false
	}
	return MemberSilent(m, v, MemberDropTimeout, uptime)
}

// TakeoverDelay is how long a member waits before it carries out a due change itself:
// the longer, the more live members stand before it. The first may be cut off from
// the others, so that not only the first must try.
func TakeoverDelay(members []Member, self string, v *gossip.View) clock.Micros {
	delay := clock.Micros(0)
	for _, m := range members {
		if m.ID == self {
			break
		}
		if isLive(m, v) {
			delay += takeoverStep
		}
	}
	return delay
}

// OutOfContact lists the members that have not answered this node lately, a few at
// most: those that a newcomer might displace.
func OutOfContact(m *Membership, v *gossip.View) []Member {
	var out []Member
	for _, member := range m.Current {
		if !isReached(member, v) && len(out) < maxOutOfContact {
			out = append(out, member)
		}
	}
	return out
}

// maxOutOfContact bounds the members that one contact poll asks about.
const maxOutOfContact = 4
