package discovery

import (
	"rowanshunt/internal/clock"
	"rowanshunt/internal/consensus"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/gossip"
)

// coreContactTTL is how long a read of a departure log shows contact with the core: two
// rounds of reading, with time for one that is lost (design 5.2, 5.4).
const coreContactTTL = 1_200 * clock.Millisecond

// errCutOff is the result of reading the departure log of a core member that does not
// reach a majority itself.
var errCutOff = fault.New(fault.Refused, "departures", "the member reaches no majority of the core", "another member is read")

// coreContact tells whether this node is in contact with a majority of the core, by two
// tests, neither of which is gossip's InContact:
//   - reachesMajority: departure logs were read within coreContactTTL. It decides what an
//     aggregator reports, and whether a member says that it is cut off.
//   - seesMajority: members are alive in gossip. It decides whether heartbeats are accepted.
//
// It does no I/O. The times of reads belong to the event loop; the rest is constant.
type coreContact struct {
	self string
	// membership is that of the core as last committed. The function is nil on a node
	// without a core, and its result nil while none is known. It is safe for
	// concurrent use.
	membership func() *consensus.Membership

	// When the calls started whose responses showed contact. The gossip view does not
	// show it: it also holds nodes that are only known by way of others.
	memberRead   map[string]clock.Instant // by core member: its departure log
	majorityRead clock.Instant            // that of any member which reaches a majority
}

func newCoreContact(self string, membership func() *consensus.Membership) *coreContact {
	return &coreContact{self: self, membership: membership, memberRead: map[string]clock.Instant{}}
}

// configured tells whether there is a core at all; a node without one is alone.
func (c *coreContact) configured() bool { return c.membership != nil }

// current is the membership of the core, nil if none is known.
func (c *coreContact) current() *consensus.Membership {
	if c.membership == nil {
		return nil
	}
	return c.membership()
}

// members lists the core's members, none if they are not known.
func (c *coreContact) members() []consensus.Member {
	core := c.current()
	if core == nil {
		return nil
	}
	return core.All()
}

// recordRead records that a call which started then read a member's departure log, and
// whether the member is cut off from the majority.
func (c *coreContact) recordRead(member string, cutOff bool, started clock.Instant) {
	c.memberRead[member] = started
	if !cutOff {
		c.majorityRead = started
	}
}

// reachesMajority tells whether this node reads what a majority of the core knows: a
// member by reading a majority itself, another node by reading a member that does.
// Before a core is known there is nothing to miss.
func (c *coreContact) reachesMajority(now clock.Instant) bool {
	core := c.current()
	if core == nil {
		return true
	}
	isMember := false
	read := map[string]bool{}
	for _, m := range core.All() {
		if m.Name == c.self {
			isMember = true
			read[m.Name] = true
			continue
		}
		read[m.Name] = now.Sub(c.memberRead[m.Name]) < coreContactTTL
	}
	if isMember {
		return hasMajority(core, read)
	}
	return now.Sub(c.majorityRead) < coreContactTTL
}

// seesMajority tells whether a majority of the core is alive in the view. A node that
// does not see one sends workers to other nodes (design 5.2). Before a core is known
// no worker is sent anywhere.
func (c *coreContact) seesMajority(v *gossip.View) bool {
	core := c.current()
	if core == nil {
		return true
	}
	alive := map[string]bool{}
	for _, m := range core.All() {
		alive[m.Name] = mayBeAlive(v, m.Name)
	}
	return hasMajority(core, alive)
}

// mayBeAlive tells whether a node is alive in the view, or may be although the view
// has no room for it.
func mayBeAlive(v *gossip.View, name string) bool {
	return v.Alive(name) || v.Truncated() && v.Get(name) == nil
}

// hasMajority tells whether the members with these names are a majority of the core,
// false if no core is known.
func hasMajority(core *consensus.Membership, names map[string]bool) bool {
	if core == nil {
		return false
	}
	agreed := map[string]bool{}
	for _, m := range core.All() {
		if names[m.Name] {
			agreed[m.ID] = true
		}
	}
	return core.Quorum(agreed)
}
