package register

import (
	"context"
	"fmt"
	"path/filepath"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/logging"
	"rowanshunt/internal/rpc"
	"rowanshunt/internal/shared"
	"rowanshunt/internal/simnet"
)

// lossyTransport loses the first accepts that go to one address.
type lossyTransport struct {
	rpc.Transport
	to   string
	left atomic.Int64
}

func (m *lossyTransport) Call(ctx context.Context, addr, kind string, in, out any) error {
	if addr == m.to && kind == "nest.accept" && m.left.Add(-1) >= 0 {
		return fault.New(fault.Unsure, kind, "lost", "try again")
	}
	return m.Transport.Call(ctx, addr, kind, in, out)
}

// startRegister runs one node's part of the register with its gossip.
func startRegister(t *testing.T, ctx context.Context, m *simnet.Network, transport rpc.Transport, self gossip.Peer, dir string, seeds []string) *Register {
	t.Helper()
	loop, mux := eventloop.NewLoop(256), rpc.NewMux()
	near := func(v *gossip.View) []string { return v.Names(func(*gossip.NodeState) bool { return true }) }
	members := gossip.New(ctx, loop, mux, transport, logging.Quiet(), self, seeds, near)
	n, err := New(ctx, Config{Runtime: shared.Runtime{Loop: loop, Mux: mux, Transport: transport, Gossip: members, Log: logging.Quiet(), Self: self}, DiskDir: dir,
		Seeds: seeds, Spared: 1, Proposer: self.Life()})
	if err != nil {
		t.Fatal(err)
	}
	members.OnRev = n.Hear
	go loop.Run(ctx)
	m.Place(ctx, self.Addr, mux)
	return n
}

// A change settles only when every living member of the new set holds the joint
// membership, also one that missed the accepts that made it (design 4.4).
func TestSettlesOnceAllLivingMembersHoldIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := simnet.New(3)
		ctx, cancel := context.WithCancel(context.Background())
		root := t.TempDir()
		var selves []gossip.Peer
		first := &State{Rev: 1, Core: Membership{Ver: 1}}
		for i := range 4 {
			name := fmt.Sprint("n", i)
			selves = append(selves, gossip.Peer{Name: name, Addr: name, Role: "core", Disk: "d", LifeUs: 1})
			if i < 3 {
				first.Core.Cur = append(first.Core.Cur, MemberOf(&selves[i]))
			}
		}
		var nests []*Register
		seeds := []string{"n0", "n1"}
		for i := range 3 {
			dir := filepath.Join(root, selves[i].Name)
			a, err := OpenAcceptor(selves[i].MemberID(), dir, logging.Quiet())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := a.Accept(ctx, &acceptCall{Member: a.ID(), Ballot: Ballot{N: 1, By: "first"}, State: first}); err != nil {
				t.Fatal(err)
			}
			a.Close()
			nests = append(nests, startRegister(t, ctx, m, m.TransportOf(selves[i].Addr), selves[i], dir, seeds))
		}
		time.Sleep(time.Second)
		if _, err := nests[0].Change(ctx, func(*State) (*State, error) { return nil, nil }); err != nil {
			t.Fatal(err)
		}
		lossy := &lossyTransport{Transport: m.TransportOf("n3"), to: "n2"}
		lossy.left.Store(6)
		newcomer := startRegister(t, ctx, m, lossy, selves[3], filepath.Join(root, "n3"), seeds)
		settled := func(n *Register) bool {
			s := n.member.State()
			return s != nil && s.Core.Has(selves[3].MemberID()) && !s.Core.Joint()
		}
		end := time.Now().Add(8 * time.Second)
		for !settled(nests[0]) && !settled(nests[1]) && !settled(newcomer) {
			if time.Now().After(end) {
				t.Fatal("the newcomer did not get in")
			}
			time.Sleep(100 * time.Microsecond)
		}
		for _, n := range append(nests, newcomer) {
			if s := n.member.State(); s == nil || s.Core.Ver < 2 {
				t.Errorf("the change settles and %s does not hold it: %+v", n.member.ID(), s)
			}
		}
		time.Sleep(2 * time.Second)
		for _, n := range append(nests, newcomer) {
			if !settled(n) {
				t.Errorf("%s does not hold the settled membership: %+v", n.member.ID(), n.member.State())
			}
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// Who a newcomer may displace (design 4.4).
func TestNextMembers(t *testing.T) {
	member := func(name, disk string) Member { return Member{ID: name + "#" + disk, Name: name} }
	nodeState := func(name string, alive, met, leaving bool) gossip.NodeState {
		s := gossip.NodeState{Peer: gossip.Peer{Name: name, Disk: "d", Leaving: leaving}, Alive: alive}
		if met {
			s.MetUs = eventloop.NowUs()
		}
		return s
	}
	r := &Membership{Ver: 1, Cur: []Member{member("a", "d"), member("b", "d"), member("c", "d")}}
	well := []gossip.NodeState{nodeState("a", true, true, false), nodeState("b", true, true, false), nodeState("c", true, true, false)}
	unmet := []gossip.NodeState{well[0], nodeState("b", true, false, false), well[2]}
	leaving := []gossip.NodeState{well[0], nodeState("b", true, true, true), well[2]}
	for _, tc := range []struct {
		name string
		self Member
		all  []gossip.NodeState
		upUs int64
		most int
		lost map[string]bool
		want string
	}{
		{"all well", member("n", "d"), well, judgeUs, 7, nil, "a#d b#d c#d n#d"},
		{"all well, no room", member("n", "d"), well, judgeUs, 3, nil, ""},
		{"an earlier disk of its own", member("b", "e"), unmet, 0, 7, nil, "a#d b#e c#d"},
		{"unmet, too early", member("n", "d"), unmet, judgeUs - 1, 7, map[string]bool{"b#d": true}, ""},
		{"unmet, others hear it", member("n", "d"), unmet, judgeUs, 7, nil, ""},
		{"unmet for long, others hear it", member("n", "d"), unmet, besideUs, 7, nil, "a#d b#d c#d n#d"},
		{"unmet for long, others hear it, no room", member("n", "d"), unmet, besideUs, 3, nil, ""},
		{"lost by a majority", member("n", "d"), unmet, judgeUs, 7, map[string]bool{"b#d": true}, "a#d n#d c#d"},
		{"leaving", member("n", "d"), leaving, joinAfterUs, 7, nil, "a#d n#d c#d"},
	} {
		got := ""
		for _, s := range NextMembers(r, tc.self, &gossip.View{All: tc.all}, tc.upUs, tc.most, tc.lost) {
			if got != "" {
				got += " "
			}
			got += s.ID
		}
		if got != tc.want {
			t.Errorf("%s: %q, want %q", tc.name, got, tc.want)
		}
	}
}
