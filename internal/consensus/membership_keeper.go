package consensus

import (
	"context"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/logging"
)

const (
	// maxMembers bounds the membership: more members make every change slower and
	// tolerate no more of the failures that are planned for.
	maxMembers = 7
	// joinDelay is the age at which a node begins to ask to become a member.
	joinDelay = 400 * clock.Millisecond
	// driverPrecedence is how long a joint membership is left to the node that
	// began the change, in addition to TakeoverDelay.
	driverPrecedence = 900 * clock.Millisecond
	// dropSlack is how much later than this node another may have noticed a member's
	// silence.
	dropSlack = 1 * clock.Second
)

// membershipKeeper keeps the core's membership as it should be, from the view of one
// member: it joins, it leaves, it completes changes whose driver is gone, and it
// drops members long silent (design 4.4).
type membershipKeeper struct {
	changer     *membershipChanger
	contacts    *contactPoll
	learner     *learner
	gossip      *gossip.Gossip
	log         *logging.Log
	self        Member
	maxFailures int
	started     clock.Instant

	due dueChange // owned by the event loop
}

// dueChange is a change of the membership that no node has carried out yet.
type dueChange struct {
	membershipVersion uint64
	since             clock.Instant // when this node noticed it, 0 for none
}

// hasSpareMember tells whether the set has more members than it takes to tolerate
// maxFailures.
func (mk *membershipKeeper) hasSpareMember(members []Member) bool {
	return HasSpareMember(members, mk.maxFailures)
}

// dueTask gives what the membership needs this node to do now, nil if nothing. It
// runs on the event loop.
func (mk *membershipKeeper) dueTask(core *Membership, v *gossip.View, now clock.Instant) func(context.Context) {
	if v.Self.Leaving && (core.Joint() || mk.hasSpareMember(core.Current)) {
		return mk.removeSelf
	}
	if !core.Joint() && mk.droppable(core.Current, v) == nil {
		mk.due = dueChange{}
		return nil
	}
	if mk.due.since == 0 || mk.due.membershipVersion != core.Version {
		mk.due = dueChange{membershipVersion: core.Version, since: now}
	}
	delay := TakeoverDelay(core.Current, mk.self.ID, v)
	if core.Joint() {
		delay += driverPrecedence
	}
	if now.Sub(mk.due.since) < delay {
		return nil
	}
	return mk.repair
}

// mayJoin tells whether this node, which is not a member, should ask to become one.
func (mk *membershipKeeper) mayJoin(v *gossip.View, now clock.Instant) bool {
	return now.Sub(mk.started) > joinDelay && !v.Self.Leaving
}

// join brings this node's member into the membership.
func (mk *membershipKeeper) join(ctx context.Context) {
	latest, _ := mk.learner.latest()
	lost := map[string]bool{}
	if clock.Since(mk.started) >= displaceAfter {
		suspects := OutOfContact(&latest.Core, mk.gossip.Snapshot())
		lost = mk.contacts.lostByMajority(ctx, latest.Core.Current, suspects, 0)
	}
	next := func(core *Membership) []Member {
		join := Join{Member: mk.self, Uptime: clock.Since(mk.started), Lost: lost, MaxMembers: maxMembers}
		return join.NextMembers(core, mk.gossip.Snapshot())
	}
	if !latest.Core.Joint() && next(&latest.Core) == nil {
		return // do not compete with other proposers for a change that is refused
	}
	s, err := mk.changer.run(ctx, func(core *Membership) ([]Member, error) {
		if core.Has(mk.self.ID) {
			return nil, nil
		}
		members := next(core)
		if members == nil {
			return nil, errCannotJoin
		}
		return members, nil
	})
	if err != nil {
		mk.log.Debug("core_join_failed", "err", err)
		return
	}
	mk.log.Info("core_joined", "member", mk.self.ID, "membership", s.Core.Version, "members", len(s.Core.Current))
}

// removeSelf takes this node's member out of the membership before the node ends, where
// enough others stay: a machine that is gone for good must not count (design 4.4).
func (mk *membershipKeeper) removeSelf(ctx context.Context) {
	s, err := mk.changer.run(ctx, mk.removal(mk.self.ID))
	if err != nil {
		mk.log.Debug("core_removal_failed", "err", err)
		return
	}
	mk.log.Info("core_left", "member", mk.self.ID, "membership", s.Core.Version, "members", len(s.Core.Current))
}

// removal removes a member, once only, and while enough others stay.
func (mk *membershipKeeper) removal(id string) nextMembers {
	return func(core *Membership) ([]Member, error) {
		if !core.Has(id) || !mk.hasSpareMember(core.Current) {
			return nil, nil
		}
		return core.Without(id), nil
	}
}

// droppable is a member long silent that the membership can do without, nil if none.
func (mk *membershipKeeper) droppable(members []Member, v *gossip.View) *Member {
	return DroppableMember(members, mk.maxFailures, v, clock.Since(mk.started))
}

// repair completes a change whose driver is gone, and drops a member long silent if a
// majority has lost contact with it, too.
func (mk *membershipKeeper) repair(ctx context.Context) {
	next := func(*Membership) ([]Member, error) { return nil, nil }
	latest, _ := mk.learner.latest()
	if drop := mk.droppable(latest.Core.Current, mk.gossip.Snapshot()); drop != nil && mk.isLost(ctx, latest, *drop) {
		next = mk.removal(drop.ID)
	}
	if _, err := mk.changer.run(ctx, next); err != nil {
		mk.log.Debug("core_repair_failed", "err", err)
	}
}

func (mk *membershipKeeper) isLost(ctx context.Context, latest *State, m Member) bool {
	return mk.contacts.lostByMajority(ctx, latest.Core.Current, []Member{m}, MemberDropTimeout-dropSlack)[m.ID]
}
