package batch

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/consensus"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/modelcheck"
)

// The model of the stores' membership: the real rules (membershipRules, consensus.Join,
// consensus.RetireChange) and one shard's replicas. Planned changes and losses come in every
// order that the operators' bound allows: at most ft machines are lost at once, and one
// counts as lost until its successor has had its time. In that time the stores do all that
// they can do; what waits for a silent member does not get on.
//
// Invariants: the stores that are up are a majority of each set that counts, of the
// membership and of the shard's replicas, and one of them has the shard's copies.

// modelStore is one machine.
type modelStore struct {
	name       string
	disk       int
	up, copies bool
	leaving    bool
	longSilent bool
	member     bool // it has been one with this disk
	// lost counts for the operators' bound until successor has had its time.
	lost      bool
	successor int // index of the machine that came in its place, -1 for none yet
}

func (ms *modelStore) peer() gossip.Peer {
	return gossip.Peer{Name: ms.name, Disk: fmt.Sprint(ms.disk), Leaving: ms.leaving}
}

type membershipWorld struct {
	stores  []modelStore
	state   consensus.State
	owned   bool // the shard is owned under this membership
	losses  int  // left
	retires int  // orders left
	stops   int  // shutdowns left
	adds    int  // left
}

func (w *membershipWorld) clone() *membershipWorld {
	c := *w
	c.stores, c.state.Retiring = slices.Clone(w.stores), slices.Clone(w.state.Retiring)
	return &c
}

// membershipModel explores the worlds of one deployment.
type membershipModel struct {
	first membershipWorld
	ft    int
	shard string
	join  func(*membershipRules, *consensus.State, *consensus.Join) *consensus.State
}

func (mm *membershipModel) First() *membershipWorld { return mm.first.clone() }

func (mm *membershipModel) Key(w *membershipWorld) []byte {
	return fmt.Appendf(nil, "%v %v %v %v %v %v %v %v", w.stores, w.state.Stores.Current, w.state.Stores.Previous, w.state.Retiring, w.owned, w.losses, w.retires, []int{w.stops, w.adds})
}

// view is what every store that is up sees.
func (w *membershipWorld) view() *gossip.View {
	now := clock.Now()
	v := &gossip.View{}
	for _, s := range w.stores {
		node := gossip.NodeState{Peer: s.peer(), Alive: s.up, StateChanged: now}
		if s.up {
			node.LastContact = now
		}
		if s.longSilent {
			node.StateChanged = now.Add(-2 * consensus.MemberDropTimeout)
		}
		v.Nodes = append(v.Nodes, node)
	}
	return v
}

// holder is the machine that is up with the member's disk, nil if none is.
func (w *membershipWorld) holder(m consensus.Member) *modelStore {
	for i := range w.stores {
		peer := w.stores[i].peer()
		if s := &w.stores[i]; s.up && peer.MemberID() == m.ID {
			return s
		}
	}
	return nil
}

// those lists the members whose machines are up and fulfil a condition.
func (w *membershipWorld) those(members []consensus.Member, condition func(*modelStore) bool) map[string]bool {
	out := map[string]bool{}
	for _, m := range members {
		if s := w.holder(m); s != nil && condition(s) {
			out[m.ID] = true
		}
	}
	return out
}

func isUp(*modelStore) bool        { return true }
func hasCopies(s *modelStore) bool { return s.copies }
func (mm *membershipModel) rules(w *membershipWorld) *membershipRules {
	return &membershipRules{maxFailures: mm.ft, view: w.view(), uptime: clock.Minute}
}

func (mm *membershipModel) replicas(w *membershipWorld) consensus.Membership {
	return w.state.Stores.Replicas(mm.shard, 2*mm.ft+1)
}

func (mm *membershipModel) Actions(w *membershipWorld) []string {
	var actions []string
	add := func(next *membershipWorld, kind string, at int) {
		if next != nil {
			actions = append(actions, fmt.Sprint(kind, " ", at))
		}
	}
	for _, kind := range []string{"own", "copy", "commit", "remove", "join", "lose", "replace", "return", "time", "silent", "retire", "stop", "end", "add"} {
		for at := range w.stores {
			add(mm.apply(w, kind, at), kind, at)
		}
	}
	return actions
}

func (mm *membershipModel) Step(w *membershipWorld, action string) (*membershipWorld, string) {
	var kind string
	var at int
	_, _ = fmt.Sscan(action, &kind, &at)
	next := mm.apply(w, kind, at)
	return next, mm.violated(next)
}

// apply does one thing at one machine, nil if it is not possible or changes nothing.
func (mm *membershipModel) apply(before *membershipWorld, kind string, at int) *membershipWorld {
	w := before.clone()
	s := &w.stores[at]
	id := consensus.Member{ID: (&gossip.NodeState{Peer: s.peer()}).MemberID(), Name: s.name}
	isMember := w.state.Stores.Includes(id.ID)
	lost := 0
	for _, other := range w.stores {
		if other.lost {
			lost++
		}
	}
	ok := false
	switch kind {
	case "own", "copy", "commit", "remove", "join":
		ok = s.up && mm.stores(w, kind, s, id)
	case "lose":
		ok = s.up && isMember && w.losses > 0 && lost < mm.ft
		s.up, s.lost, s.successor = false, true, -1
		w.losses--
	case "replace": // another machine
		ok = s.lost && s.successor < 0 && !s.up
		s.successor = len(w.stores)
		w.stores = append(w.stores, modelStore{name: string(rune('a' + len(w.stores))), up: true})
	case "return": // the same machine with an empty disk
		ok = s.lost && s.successor < 0 && !s.up && !mm.takenAway(w, s)
		s.successor, s.up, s.copies, s.member, s.longSilent, s.leaving = at, true, false, false, false, false
		s.disk++
	case "time":
		ok = s.lost && s.successor >= 0 && mm.hasHadTime(before, s.successor)
		s.lost = false
	case "silent":
		ok = !s.up && !s.longSilent && isMember
		s.longSilent = true
	case "retire":
		next, err := consensus.RetireChange(s.name, mm.ft)(&w.state)
		ok = w.retires > 0 && s.up && err == nil && next != nil
		w.retires--
	case "stop":
		ok = w.stops > 0 && s.up && isMember && !s.leaving && consensus.HasSpareMember(w.state.Stores.Current, mm.ft)
		s.leaving = true
		w.stops--
	case "end": // a machine that was shut down or retired is taken away
		leftAsPlanned := s.member && !isMember && !s.lost && (s.leaving || isRetiring(&w.state, id.ID))
		ok = s.up && leftAsPlanned || mm.takenAway(w, s) && (s.up || s.lost)
		s.up, s.lost = false, false
	case "add":
		ok = w.adds > 0 && at == 0
		w.stores = append(w.stores, modelStore{name: string(rune('a' + len(w.stores))), up: true})
		w.adds--
	}
	if !ok {
		return nil
	}
	return w
}

// takenAway tells whether a machine that lost its disk is retired by now.
func (mm *membershipModel) takenAway(w *membershipWorld, s *modelStore) bool {
	next := modelStore{name: s.name, disk: s.disk + 1}
	peer := next.peer()
	return earlierRetireOrder(&w.state, consensus.MemberOf(&peer)) == retireOrderDone && !slices.ContainsFunc(w.state.Stores.All(), func(m consensus.Member) bool { return m.Name == s.name })
}

// stores does what the stores do by themselves.
func (mm *membershipModel) stores(w *membershipWorld, kind string, s *modelStore, id consensus.Member) bool {
	st := &w.state
	set := mm.replicas(w)
	switch kind {
	case "own":
		up := w.those(set.All(), isUp)
		if w.owned || !set.Has(id.ID) || !set.Quorum(up) || len(w.those(set.All(), hasCopies)) == 0 {
			return false
		}
		// The claim brings the copies to a majority of each set: to all that are up here.
		// Those that the step "copy" brings them to later are new to a membership.
		s.copies, w.owned = true, true
	case "copy":
		if !w.owned || s.copies || !set.Includes(id.ID) {
			return false
		}
		s.copies = true
	case "commit":
		if !w.owned || !set.Quorum(w.those(set.All(), hasCopies)) {
			return false
		}
		rules, removes := mm.rules(w), st.Stores.OnlyRemoves()
		for _, m := range set.Current {
			if holder := w.holder(m); (holder == nil || !holder.copies) && rules.delaysCommit(m, removes) {
				return false
			}
		}
		if commitChange(st, st.Stores.Version) == nil {
			return false
		}
		w.dropForeignCopies(mm.replicas(w))
	case "remove":
		leaver, suspects := mm.rules(w).memberToRemove(st)
		// One that is up stands for whoever removes it.
		leaverIsUp := w.holder(consensus.Member{ID: leaver}) != nil
		if leaver == "" || !w.state.Stores.Has(id.ID) || leaverIsUp && leaver != id.ID && suspects == nil || beginRemoval(st, st.Stores.Version, leaver) == nil {
			return false
		}
		w.owned = false
	case "join":
		lost := map[string]bool{}
		for _, m := range st.Stores.Current {
			lost[m.ID] = w.holder(m) == nil
		}
		join := &consensus.Join{Member: id, Uptime: clock.Minute, Lost: lost, MaxMembers: maxStores}
		if s.leaving || mm.join(mm.rules(w), st, join) == nil {
			return false
		}
		w.owned, s.member = false, true
	}
	return true
}

// dropForeignCopies drops copies where a committed membership has no replica.
func (w *membershipWorld) dropForeignCopies(set consensus.Membership) {
	for i := range w.stores {
		peer := w.stores[i].peer()
		w.stores[i].copies = w.stores[i].copies && set.Has(peer.MemberID())
	}
}

// hasHadTime tells whether a successor may have run for sync_s: it is a member and no change
// is in progress, or the stores can do nothing more by themselves.
func (mm *membershipModel) hasHadTime(w *membershipWorld, successor int) bool {
	peer := w.stores[successor].peer()
	if w.state.Stores.Has(peer.MemberID()) && !w.state.Stores.Joint() && (w.stores[successor].copies || !w.owned) {
		return true
	}
	for _, kind := range []string{"own", "copy", "commit", "remove", "join"} {
		for at := range w.stores {
			if mm.apply(w, kind, at) != nil {
				return false
			}
		}
	}
	return true
}

// violated names the invariant that a world violates, "" for none.
func (mm *membershipModel) violated(w *membershipWorld) string {
	set := mm.replicas(w)
	switch {
	case !w.state.Stores.Quorum(w.those(w.state.Stores.All(), isUp)):
		return "no majority of the membership is up"
	case !set.Quorum(w.those(set.All(), isUp)):
		return "no majority of the replicas is up"
	case len(w.those(set.All(), hasCopies)) == 0:
		return "the last copy is gone"
	}
	for _, m := range w.state.Stores.Current {
		if !isRetiring(&w.state, m.ID) && earlierRetireOrder(&w.state, m) != retireOrderNone {
			return "a member that is to retire, or has retired, is back and is to stay"
		}
	}
	return ""
}

// newMembershipModel is a deployment of so many stores, all members with copies.
func newMembershipModel(stores, ft int, first membershipWorld) *membershipModel {
	mm := &membershipModel{first: first, ft: ft, shard: "replica/0", join: beginJoin}
	mm.first.state.Stores.Version, mm.first.owned = 1, true
	for i := range stores {
		s := modelStore{name: string(rune('a' + i)), up: true, copies: true, member: true}
		peer := s.peer()
		mm.first.stores = append(mm.first.stores, s)
		mm.first.state.Stores.Current = append(mm.first.state.Stores.Current, consensus.MemberOf(&peer))
	}
	mm.first.dropForeignCopies(mm.replicas(&mm.first))
	return mm
}

// beginJoin is the join of a store that learns of the end of its retirement only now.
func beginJoin(rules *membershipRules, now *consensus.State, join *consensus.Join) *consensus.State {
	return rules.beginJoin(now, join, 0)
}

// Planned changes and losses in every order: a majority and a copy are always left (design
// 8.6, hardening 3).
func TestMembershipModel(t *testing.T) {
	for _, tc := range []struct {
		name       string
		stores, ft int
		first      membershipWorld
		long       bool
	}{
		{"a retirement and two losses", 4, 1, membershipWorld{losses: 2, retires: 1}, false},
		{"a shutdown and two losses", 4, 1, membershipWorld{losses: 2, stops: 1}, false},
		{"an addition and two losses", 3, 1, membershipWorld{losses: 2, adds: 1}, false},
		{"an addition, a retirement and two losses", 3, 1, membershipWorld{losses: 2, adds: 1, retires: 1}, true},
		{"a shutdown, a retirement and two losses", 5, 1, membershipWorld{losses: 2, stops: 1, retires: 1}, true},
		{"ft 2, a retirement and three losses", 6, 2, membershipWorld{losses: 3, retires: 1}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			if tc.long && !*modelLong {
				t.Skip("takes minutes; see -model.long")
			}
			mm := newMembershipModel(tc.stores, tc.ft, tc.first)
			result := modelcheck.Search(mm, 3_000_000, nil)
			if result.Fault != "" {
				t.Fatalf("%s:\n%s", result.Fault, strings.Join(result.Path, "\n"))
			}
			t.Logf("%d states, %d transitions, complete: %v", result.States, result.Transitions, result.Complete)
			if !result.Complete {
				t.Error("not all states were explored")
			}
		})
	}
}

// The model finds faults that were once in the rules of a newcomer.
func TestMembershipModelFindsPlantedFaults(t *testing.T) {
	for _, tc := range []struct {
		name string
		join func(*membershipRules, *consensus.State, *consensus.Join) *consensus.State
	}{
		{"a successor waits for the end of a change", joinWhenNotJoint},
		{"a newcomer forgets the order to retire", joinWithoutOrders},
	} {
		t.Run(tc.name, func(t *testing.T) {
			mm := newMembershipModel(4, 1, membershipWorld{losses: 2, retires: 1})
			mm.join = tc.join
			result := modelcheck.Search(mm, 3_000_000, nil)
			if result.Fault == "" {
				t.Error("not found")
			}
			t.Log(result.Fault, result.Path)
		})
	}
}

// joinWhenNotJoint is the fault of review case 6.
func joinWhenNotJoint(rules *membershipRules, now *consensus.State, join *consensus.Join) *consensus.State {
	if now.Stores.Joint() {
		return nil
	}
	return beginJoin(rules, now, join)
}

// joinWithoutOrders joins under a retiring store's name as any newcomer does.
func joinWithoutOrders(rules *membershipRules, now *consensus.State, join *consensus.Join) *consensus.State {
	next, ok := join.NextMembership(&now.Stores, rules.view)
	if !ok || now.Stores.Has(join.Member.ID) || isRetiring(now, join.Member.ID) {
		return nil
	}
	now.Stores = next
	return now
}
