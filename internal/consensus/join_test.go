package consensus

import (
	"strings"
	"testing"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/gossip"
)

// Whom a newcomer may displace (design 4.4).
func TestJoinNextMembers(t *testing.T) {
	member := func(name, disk string) Member { return Member{ID: name + "#" + disk, Name: name} }
	nodeState := func(name string, reached, leaving bool) gossip.NodeState {
		s := gossip.NodeState{Peer: gossip.Peer{Name: name, Disk: "d", Leaving: leaving}, Alive: true}
		if reached {
			s.LastContact = clock.Now()
		}
		return s
	}
	current := &Membership{Version: 1, Current: []Member{member("a", "d"), member("b", "d"), member("c", "d")}}
	healthy := []gossip.NodeState{nodeState("a", true, false), nodeState("b", true, false), nodeState("c", true, false)}
	unreached := []gossip.NodeState{healthy[0], nodeState("b", false, false), healthy[2]}
	leaving := []gossip.NodeState{healthy[0], nodeState("b", true, true), healthy[2]}
	leavingBeforeLost := []gossip.NodeState{nodeState("a", true, true), nodeState("b", false, false), healthy[2]}
	newcomer := member("n", "d")
	lost := map[string]bool{"b#d": true}
	for _, tc := range []struct {
		name  string
		join  Join
		nodes []gossip.NodeState
		want  string // of the next members, "" if the newcomer has to wait
	}{
		{"all reached", Join{newcomer, displaceAfter, nil, 7}, healthy, "a#d b#d c#d n#d"},
		{"all reached, no room", Join{newcomer, displaceAfter, nil, 3}, healthy, ""},
		{"an earlier disk of its own", Join{member("b", "e"), 0, nil, 7}, unreached, "a#d b#e c#d"},
		{"one lost, too early to tell", Join{newcomer, displaceAfter - clock.Microsecond, lost, 7}, unreached, ""},
		{"one unreached, others are in contact", Join{newcomer, displaceAfter, nil, 7}, unreached, ""},
		{"one unreached for long, others are in contact", Join{newcomer, joinBesideAfter, nil, 7}, unreached, "a#d b#d c#d n#d"},
		{"one unreached for long, others are in contact, no room", Join{newcomer, joinBesideAfter, nil, 3}, unreached, ""},
		{"one lost by a majority", Join{newcomer, displaceAfter, lost, 7}, unreached, "a#d n#d c#d"},
		{"one leaving, another one lost", Join{newcomer, displaceAfter, lost, 7}, leavingBeforeLost, "a#d n#d c#d"},
		{"one leaving, another one perhaps lost", Join{newcomer, displaceAfter, nil, 7}, leavingBeforeLost, ""},
		{"one leaving, another one unreached for long", Join{newcomer, joinBesideAfter, nil, 7}, leavingBeforeLost, "n#d b#d c#d"},
		{"one leaving", Join{newcomer, joinDelay, nil, 7}, leaving, "a#d n#d c#d"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var ids []string
			for _, m := range tc.join.NextMembers(current, &gossip.View{Nodes: tc.nodes}) {
				ids = append(ids, m.ID)
			}
			if got := strings.Join(ids, " "); got != tc.want {
				t.Errorf("next members %q, want %q", got, tc.want)
			}
		})
	}
}

// A newcomer begins its change while another one is in progress where it takes the place
// of a lost member; otherwise it waits (design 8.6).
func TestJoinDuringAnotherChange(t *testing.T) {
	members := func(names string) (out []Member) {
		for _, id := range strings.Fields(names) {
			name, _, _ := strings.Cut(id, "#")
			out = append(out, Member{ID: id, Name: name})
		}
		return out
	}
	view := func(reached string) *gossip.View {
		v := &gossip.View{}
		for _, id := range strings.Fields(reached) {
			name, disk, _ := strings.Cut(id, "#")
			v.Nodes = append(v.Nodes, gossip.NodeState{Peer: gossip.Peer{Name: name, Disk: disk}, Alive: true, LastContact: clock.Now()})
		}
		return v
	}
	newcomer, wiped := Member{ID: "n#d", Name: "n"}, Member{ID: "b#e", Name: "b"}
	lost := map[string]bool{"b#d": true}
	for _, tc := range []struct {
		name              string
		previous, current string
		join              Join
		reached           string
		want              string // of the next members, "" if the newcomer has to wait
	}{
		{"a removal, nobody is lost", "a#d b#d c#d x#d", "a#d b#d c#d", Join{newcomer, joinBesideAfter, nil, 7}, "a#d b#d c#d x#d", ""},
		{"a removal, one that stays is lost", "a#d b#d c#d x#d", "a#d b#d c#d", Join{newcomer, displaceAfter, lost, 7}, "a#d c#d x#d", "a#d n#d c#d x#d"},
		{"a removal, too early to tell", "a#d b#d c#d x#d", "a#d b#d c#d", Join{newcomer, displaceAfter - clock.Microsecond, lost, 7}, "a#d c#d x#d", ""},
		{"a removal, others are in contact", "a#d b#d c#d x#d", "a#d b#d c#d", Join{newcomer, joinBesideAfter, nil, 7}, "a#d c#d x#d", ""},
		{"a removal, an earlier disk of its own", "a#d b#d c#d x#d", "a#d b#d c#d", Join{wiped, joinDelay, nil, 7}, "a#d c#d x#d", "a#d b#e c#d x#d"},
		{"the removal of an earlier disk of its own", "a#d b#d c#d x#d", "a#d c#d x#d", Join{wiped, joinDelay, lost, 7}, "a#d c#d x#d", ""},
		{"the removal of an earlier disk of its own, another one is lost", "a#d b#d c#d x#d", "a#d c#d x#d", Join{wiped, displaceAfter, map[string]bool{"c#d": true}, 7}, "a#d x#d", "a#d b#e c#d x#d"},
		{"the removal of the lost one", "a#d b#d c#d x#d", "a#d c#d x#d", Join{newcomer, joinBesideAfter, lost, 7}, "a#d c#d x#d", ""},
		{"an addition, a former member is lost", "a#d b#d c#d", "a#d b#d c#d x#d", Join{newcomer, displaceAfter, lost, 7}, "a#d c#d x#d", "a#d n#d c#d"},
		{"a replacement, another one is lost", "a#d b#d c#d", "a#d b#d x#d", Join{newcomer, displaceAfter, lost, 7}, "a#d x#d", "a#d n#d x#d"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			current := &Membership{Version: 4, Current: members(tc.current), Previous: members(tc.previous)}
			next, ok := tc.join.NextMembership(current, view(tc.reached))
			if !ok {
				if tc.want != "" {
					t.Errorf("waits, want %q", tc.want)
				}
				return
			}
			var ids []string
			for _, m := range next.Current {
				ids = append(ids, m.ID)
			}
			if got := strings.Join(ids, " "); got != tc.want {
				t.Errorf("next members %q, want %q", got, tc.want)
			}
			if next.Version != 5 || len(next.Previous) != len(current.Previous) {
				t.Errorf("membership %d with %d former members, want 5 with %d", next.Version, len(next.Previous), len(current.Previous))
			}
		})
	}
}
