package batch

import (
	"slices"
	"strings"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/consensus"
	"rowanshunt/internal/gossip"
)

// The rules by which the stores' membership changes, apart from what drives them
// (membershipKeeper): functions of the newest state and of what one store sees of the
// others, with neither goroutine nor socket. Who joins is decided by consensus.Join. The
// model in membership_model_test.go explores them.

// membershipRules decides by what one store sees.
type membershipRules struct {
	maxFailures int
	view        *gossip.View
	uptime      clock.Micros // of the store that looks
}

// suspicion is what a majority of the members must confirm before a change.
type suspicion struct {
	members   []consensus.Member
	suspects  []consensus.Member
	silentFor clock.Micros
}

// Ages of a store at which it may propose the first membership.
const (
	bootstrapAfter = 1500 * clock.Millisecond
	// smallBootstrapAfter holds where too few stores are there to tolerate the failures
	// that are planned for: the others may still be starting.
	smallBootstrapAfter = 5 * clock.Second
)

// firstMembers are the living stores.
func (mr *membershipRules) firstMembers(role string) []consensus.Member {
	var first []consensus.Member
	for i := range mr.view.Nodes {
		if p := &mr.view.Nodes[i]; p.Alive && p.Role == role && p.Disk != "" {
			first = append(first, consensus.MemberOf(&p.Peer))
		}
	}
	slices.SortFunc(first, func(a, b consensus.Member) int { return strings.Compare(a.ID, b.ID) })
	return first
}

// mayBootstrap tells whether this store may propose these first members.
func (mr *membershipRules) mayBootstrap(first []consensus.Member) bool {
	if len(first) > 2*mr.maxFailures {
		return mr.uptime > bootstrapAfter
	}
	return mr.uptime > smallBootstrapAfter
}

// memberToRemove is a member that is to leave, "" if none is. One that retires, or that
// says it leaves, needs no confirmation; silence does.
func (mr *membershipRules) memberToRemove(st *consensus.State) (id string, asked *suspicion) {
	members := st.Stores.Current
	if !consensus.HasSpareMember(members, mr.maxFailures) {
		return "", nil
	}
	for _, s := range members {
		p := mr.view.Get(s.Name)
		if isRetiring(st, s.ID) || p != nil && p.Alive && p.Leaving && p.MemberID() == s.ID {
			return s.ID, nil
		}
	}
	if s := consensus.DroppableMember(members, mr.maxFailures, mr.view, mr.uptime); s != nil {
		return s.ID, &suspicion{members: members, suspects: []consensus.Member{*s}, silentFor: consensus.MemberDropTimeout - removalSlack}
	}
	return "", nil
}

// delaysCommit tells whether a member of the next set that lacks copies delays the commit
// of a change. A silent one does while the change of the stores' membership only removes
// members (the replicas of a shard may still include one that is new to it), until it has been
// silent for long: what leaves may hold the copy that the silent one lacks, so it stays
// until then (design 8.6).
func (mr *membershipRules) delaysCommit(member consensus.Member, onlyRemoves bool) bool {
	// A machine that came back with another disk is not that member: it joins anew.
	return mr.recentlyReached(member) || onlyRemoves && !consensus.MemberSilent(member, mr.view, consensus.MemberDropTimeout, mr.uptime)
}

// recentlyReached reports whether a member's holder lives and has answered this store within
// the last while: a store whose link to one other is cut does not hold a change
// up for ever.
func (mr *membershipRules) recentlyReached(member consensus.Member) bool {
	p := mr.view.Get(member.Name)
	return p != nil && p.Alive && p.MemberID() == member.ID && clock.Since(max(p.LastContact, p.StateChanged)) < contactTimeout
}

// retiredRejoinDelay is how long a store that is back with another disk waits once the
// member that it was is retired: the machine is about to be taken away.
const retiredRejoinDelay = 3 * clock.Second

// retireOrder is what became of an order to retire that a store was given when it had
// another disk.
type retireOrder int

const (
	retireOrderNone retireOrder = iota
	retireOrderOpen             // the member with that disk still counts
	retireOrderDone
)

func earlierRetireOrder(st *consensus.State, store consensus.Member) retireOrder {
	order := retireOrderNone
	for _, id := range st.RetiringOf(store.Name) {
		switch {
		case id == store.ID:
		case st.Stores.Includes(id):
			return retireOrderOpen
		default:
			order = retireOrderDone
		}
	}
	return order
}

// mayJoin tells whether a store that is no member may become one. retiredFor is how long
// it has known that the member that it was with another disk is retired.
func mayJoin(st *consensus.State, store consensus.Member, retiredFor clock.Micros) bool {
	if isRetiring(st, store.ID) {
		return false
	}
	return earlierRetireOrder(st, store) != retireOrderDone || retiredFor > retiredRejoinDelay
}

// beginJoin begins a newcomer's change, nil while it may not begin. An order to retire
// that is not carried out yet holds for the newcomer, too: it was given to the machine.
func (mr *membershipRules) beginJoin(now *consensus.State, join *consensus.Join, retiredFor clock.Micros) *consensus.State {
	if now.Stores.Has(join.Member.ID) || !mayJoin(now, join.Member, retiredFor) {
		return nil
	}
	next, ok := join.NextMembership(&now.Stores, mr.view)
	if !ok {
		return nil
	}
	order := earlierRetireOrder(now, join.Member)
	now.Stores = next
	if order == retireOrderOpen {
		now.MarkRetiring(join.Member.ID)
	}
	return now
}

// beginRemoval begins the removal of a member from the membership of this version, nil if
// that has changed meanwhile.
func beginRemoval(now *consensus.State, version uint64, leaver string) *consensus.State {
	if now.Stores.Version != version || now.Stores.Joint() {
		return nil
	}
	now.Stores = now.Stores.Begin(now.Stores.Without(leaver))
	return now
}

// commitChange commits the change in progress of this version, nil if that has changed
// meanwhile.
func commitChange(now *consensus.State, version uint64) *consensus.State {
	if now.Stores.Version != version || !now.Stores.Joint() {
		return nil
	}
	now.Stores = now.Stores.Commit()
	return now
}

// mayEnd reports whether a store may end: no set of the newest membership counts on it, or
// too few stores would be left for it to be removed.
func mayEnd(st *consensus.State, member string, maxFailures int) bool {
	if st == nil || !st.Stores.Includes(member) {
		return true
	}
	return !st.Stores.Joint() && !consensus.HasSpareMember(st.Stores.Current, maxFailures)
}
