package register

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/codec"
	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/gossip"
)

// found settles the first membership in the founding register of the seeds
// (design 4.3).
func (n *Register) found(ctx context.Context) {
	var first []Member
	for _, p := range n.cfg.Gossip.Look().All {
		if p.Alive && p.Boot && p.Disk != "" && p.Role == n.cfg.Self.Role {
			first = append(first, MemberOf(&p.Peer))
		}
	}
	sort.Slice(first, func(i, j int) bool { return first[i].ID < first[j].ID })
	if len(first) > maxMembers {
		first = first[:maxMembers]
	}
	doc, err := codec.Marshal(&State{Rev: 1, Core: Membership{Ver: 1, Cur: first}})
	if err != nil {
		return
	}
	chosen, err := n.founder.Change(ctx, foundingChange(doc))
	if err != nil {
		n.cfg.Log.Warn("founding_unsettled", "err", err)
		return
	}
	s := &State{}
	if err := msgpack.Unmarshal(chosen.Doc, s); err != nil {
		n.cfg.Log.Warn("founding_unreadable", "err", err)
		return
	}
	n.cfg.Log.Info("founded", "members", len(s.Core.Cur))
	n.Learn(s)
	n.spread(s)
}

// newFounder makes the proposer of the founding register. A life has one: a
// second one would use the ballots of the first again, perhaps with another
// value (design 4.3).
func newFounder(cfg *Config) *Proposer {
	var seeds []Member
	for _, a := range cfg.Seeds {
		seeds = append(seeds, Member{ID: "founding@" + a, Addr: a})
	}
	empty := &State{Core: Membership{Cur: seeds}}
	p := NewProposer(cfg.Proposer, cfg.Transport, func(s Member) string { return s.Addr }, func() (*State, bool) { return empty, true }, func(*State) {})
	p.kinds = [2]string{"nest.found.prepare", "nest.found.accept"}
	return p
}

// foundingChange is the change that puts a first value into the founding
// register. One that is there already stays.
func foundingChange(doc []byte) Change {
	return func(now *State) (*State, error) {
		if len(now.Doc) > 0 {
			return nil, nil
		}
		now.Doc = doc
		return now, nil
	}
}

// NextMembers is the membership that takes self in: in the place of an earlier
// incarnation of its disk, of a member that leaves, of one that does not answer
// self and is in lost, or beside the others; nil while it is too early to tell,
// or if there is no room. lost holds the members with which a majority of the
// members has no contact: what self alone cannot reach may be well (design 4.4).
func NextMembers(r *Membership, self Member, v *gossip.View, upUs int64, most int, lost map[string]bool) []Member {
	next := slices.Clone(r.Cur)
	for i, s := range next {
		if s.Name == self.Name {
			next[i] = self
			return next
		}
	}
	missing := false
	for i, s := range next {
		p := v.Get(s.Name)
		met := p != nil && v.Met(s.Name) && p.MemberID() == s.ID
		if met && !p.Leaving {
			continue
		}
		// What others tell of a member that died just now is old news.
		if !met && upUs < judgeUs {
			return nil
		}
		if met || lost[s.ID] {
			next[i] = self
			return next
		}
		missing = true
	}
	if missing && upUs < besideUs {
		return nil
	}
	if len(next) < most {
		return append(next, self)
	}
	return nil
}

// Unmet lists the members that have not answered this node lately, at most a
// few: those that a newcomer might displace.
func Unmet(r *Membership, v *gossip.View) []Member {
	var out []Member
	for _, s := range r.Cur {
		if p := v.Get(s.Name); (p == nil || !v.Met(s.Name) || p.MemberID() != s.ID) && len(out) < maxUnmet {
			out = append(out, s)
		}
	}
	return out
}

// maxUnmet bounds the members that a newcomer asks the others about at a time.
const maxUnmet = 4

// Gone tells whether the member's holder has been silent for so long, or now has
// another disk.
func Gone(s Member, v *gossip.View, forUs, upUs int64) bool {
	p := v.Get(s.Name)
	if p == nil {
		return upUs > neverSeenUs+forUs
	}
	if p.Alive {
		return p.MemberID() != s.ID
	}
	return eventloop.NowUs()-p.SinceUs > forUs
}

// membershipNeed is a change of the membership that is due, and since when this
// node has known it.
type membershipNeed struct {
	membershipVer uint64
	sinceUs       int64
}

// keepMembership drives what the membership needs: the end of a change whose driver
// is gone, the departure of this node, and the removal of members long silent.
// The living members take turns, for the first may be cut off from the others.
func (n *Register) keepMembership(core *Membership, v *gossip.View, nowUs int64) {
	spare := len(core.Cur) > 2*n.cfg.Spared+1
	if v.Self.Leaving && (core.Joint() || spare) {
		n.once(n.leave)
		return
	}
	if !core.Joint() && n.outworn(core.Cur, v) == nil {
		n.need = membershipNeed{}
		return
	}
	if n.need.sinceUs == 0 || n.need.membershipVer != core.Ver {
		n.need = membershipNeed{membershipVer: core.Ver, sinceUs: nowUs}
	}
	delayUs := TurnUs(core.Cur, n.member.ID(), v)
	if core.Joint() {
		delayUs += stableUs // its driver comes first
	}
	if nowUs-n.need.sinceUs >= delayUs {
		n.once(n.tidy)
	}
}

// TurnUs is how long a member waits before it takes a due change up itself: the
// longer, the more living members stand before it.
func TurnUs(members []Member, self string, v *gossip.View) int64 {
	delayUs := int64(0)
	for _, s := range members {
		if s.ID == self {
			break
		}
		if p := v.Get(s.Name); p != nil && p.Alive && p.MemberID() == s.ID {
			delayUs += turnUs
		}
	}
	return delayUs
}

// changeMembers drives one change of the membership to its end. next gives the
// set to move to, nil once the membership is as it should be. A joint membership is
// settled only when all living members of the new set hold it, and the change
// counts as over when they hold the settled one, too (design 4.4).
func (n *Register) changeMembers(ctx context.Context, next func(*Membership) ([]Member, error)) (*State, error) {
	held := uint64(0)   // the membership that all living members are known to hold
	firstUs := int64(0) // when this driver first committed a membership
	for {
		done := false
		state, err := n.Change(ctx, func(now *State) (*State, error) {
			done = false
			if now.Core.Joint() {
				if held != now.Core.Ver {
					return nil, nil // committed again, which brings it to those that lack it
				}
				now.Core = now.Core.Settle()
				return now, nil
			}
			members, err := next(&now.Core)
			if err != nil {
				return nil, err
			}
			if members == nil {
				done = true
				return nil, nil
			}
			now.Core = now.Core.Begin(members)
			return now, nil
		})
		if err != nil {
			return state, err
		}
		if firstUs == 0 {
			firstUs = eventloop.NowUs()
		}
		if n.heldByLiving(ctx, state, eventloop.NowUs()-firstUs < patienceUs) {
			held = state.Core.Ver
			if done {
				return state, nil
			}
			continue
		}
		eventloop.Pause(ctx, heldPause)
		if ctx.Err() != nil {
			return state, fault.New(fault.Refused, "core", "a living member does not hold the membership yet", "nothing to do")
		}
	}
}

// Figures of the look at who holds a membership.
const (
	// patienceUs bounds how long a member that lives but does not answer, as one
	// whose disk stalls, holds a change up once it has been committed: a joint
	// membership bears less than either of its sets.
	patienceUs  = 1_500_000
	heldPause   = 20 * time.Millisecond
	heldTimeout = 400 * time.Millisecond
)

// heldByLiving tells whether ft+1 members of the current set, a majority of it
// and, if all is set, all that live have a state with this membership, or a later
// one, on disk.
func (n *Register) heldByLiving(ctx context.Context, state *State, all bool) bool {
	members := state.Core.Cur
	type reply struct {
		member Member
		out    prepareAnswer
		err    error
	}
	replies := make(chan reply, len(members))
	for _, member := range members {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, heldTimeout)
			defer cancel()
			r := reply{member: member}
			r.err = n.cfg.Transport.Call(callCtx, n.addrOf(member), "nest.prepare", &prepareCall{Member: member.ID, Peek: true}, &r.out)
			replies <- r
		}()
	}
	holders, lacking := 0, false
	for range members {
		r := <-replies
		switch {
		case r.err != nil:
			p := n.cfg.Gossip.Look().Get(r.member.Name)
			lives := p != nil && p.Alive && p.MemberID() == r.member.ID && n.cfg.Gossip.Look().Met(r.member.Name)
			lacking = lacking || lives
		case r.out.State == nil || r.out.State.Core.Ver < state.Core.Ver:
			lacking = true
		default:
			holders++
		}
	}
	return !(all && lacking) && 2*holders > len(members) && holders >= min(len(members), n.cfg.Spared+1)
}

// LongSilent tells whether a membership may drop the member: silent for
// GoneForDropUs. One whose machine is back with another disk is left to that
// machine, which takes its own place in one change instead of two.
func LongSilent(s Member, v *gossip.View, upUs int64) bool {
	if p := v.Get(s.Name); p != nil && p.Alive {
		return false
	}
	return Gone(s, v, GoneForDropUs, upUs)
}

// join brings this node's member into the membership.
func (n *Register) join(ctx context.Context) {
	self := MemberOf(&n.cfg.Self)
	known, _ := n.Known()
	lost := map[string]bool{}
	if eventloop.NowUs()-n.startUs >= judgeUs {
		lost = n.Lost(ctx, known.Core.Cur, Unmet(&known.Core, n.cfg.Gossip.Look()), 0)
	}
	nextMembers := func(core *Membership) []Member {
		return NextMembers(core, self, n.cfg.Gossip.Look(), eventloop.NowUs()-n.startUs, maxMembers, lost)
	}
	if !known.Core.Joint() && nextMembers(&known.Core) == nil {
		return // the others need not be troubled
	}
	s, err := n.changeMembers(ctx, func(core *Membership) ([]Member, error) {
		if core.Has(self.ID) {
			return nil, nil
		}
		next := nextMembers(core)
		if next == nil {
			return nil, fault.New(fault.Refused, "core", "is full, or it is too early to tell who is there", "nothing to do")
		}
		return next, nil
	})
	if err != nil {
		n.cfg.Log.Debug("core_join_waits", "err", err)
		return
	}
	n.cfg.Log.Info("core_joined", "member", self.ID, "membership", s.Core.Ver, "members", len(s.Core.Cur))
}

// leave takes this node's member out of the membership before it ends, where enough
// others are left: a machine that is gone for good must not count (design 4.4).
func (n *Register) leave(ctx context.Context) {
	self := MemberOf(&n.cfg.Self)
	s, err := n.changeMembers(ctx, func(core *Membership) ([]Member, error) {
		if !core.Has(self.ID) || len(core.Cur) <= 2*n.cfg.Spared+1 {
			return nil, nil
		}
		return without(core.Cur, self.ID), nil
	})
	if err != nil {
		n.cfg.Log.Debug("core_leave_waits", "err", err)
		return
	}
	n.cfg.Log.Info("core_left", "member", self.ID, "membership", s.Core.Ver, "members", len(s.Core.Cur))
}

func without(members []Member, id string) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(s Member) bool { return s.ID == id })
}

// outworn is a member long gone that the membership can do without, nil if none.
func (n *Register) outworn(members []Member, v *gossip.View) *Member {
	if len(members) <= 2*n.cfg.Spared+1 {
		return nil
	}
	for _, s := range members {
		if LongSilent(s, v, eventloop.NowUs()-n.startUs) {
			return &s
		}
	}
	return nil
}

// tidy settles a change that its driver left, and drops a member long gone if a
// majority has lost it, too.
func (n *Register) tidy(ctx context.Context) {
	known, _ := n.Known()
	drop := n.outworn(known.Core.Cur, n.cfg.Gossip.Look())
	if drop != nil && !n.Lost(ctx, known.Core.Cur, []Member{*drop}, GoneForDropUs-dropSlackUs)[drop.ID] {
		drop = nil
	}
	_, err := n.changeMembers(ctx, func(core *Membership) ([]Member, error) {
		if drop == nil || !core.Has(drop.ID) || len(core.Cur) <= 2*n.cfg.Spared+1 {
			return nil, nil
		}
		return without(core.Cur, drop.ID), nil
	})
	if err != nil {
		n.cfg.Log.Debug("core_tidy_waits", "err", err)
	}
}

// dropSlackUs is how much later than this node another may have noticed a
// member's silence.
const dropSlackUs = 1_000_000
