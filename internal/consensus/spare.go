package consensus

import (
	"rowanshunt/internal/clock"
	"rowanshunt/internal/gossip"
)

// HasSpareMember tells whether the set has more members than it takes to tolerate
// maxFailures.
func HasSpareMember(members []Member, maxFailures int) bool {
	return len(members) > 2*maxFailures+1
}

// DroppableMember is a member long silent that the set can do without, nil if there is
// none. uptime is that of the node that looks.
func DroppableMember(members []Member, maxFailures int, v *gossip.View, uptime clock.Micros) *Member {
	if !HasSpareMember(members, maxFailures) {
		return nil
	}
	for _, m := range members {
		if MemberLongSilent(m, v, uptime) {
			return &m
		}
	}
	return nil
}
