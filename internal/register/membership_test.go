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
	"rowanshunt/internal/simnet"
)

// lossyMesh loses the first accepts that go to one address.
type lossyMesh struct {
	rpc.Mesh
	to   string
	left atomic.Int64
}

func (m *lossyMesh) Call(ctx context.Context, addr, kind string, in, out any) error {
	if addr == m.to && kind == "nest.accept" && m.left.Add(-1) >= 0 {
		return fault.New(fault.Unsure, kind, "lost", "try again")
	}
	return m.Mesh.Call(ctx, addr, kind, in, out)
}

// startNest runs one node's part of the register with its gossip.
func startNest(t *testing.T, ctx context.Context, m *simnet.Meadow, mesh rpc.Mesh, self gossip.Partner, dir string, seeds []string) *Nest {
	t.Helper()
	floor, desk := eventloop.NewFloor(256), rpc.NewDesk()
	near := func(v *gossip.View) []string { return v.Names(func(*gossip.Sighting) bool { return true }) }
	members := gossip.New(ctx, floor, desk, mesh, logging.Quiet(), self, seeds, near)
	n, err := New(ctx, Config{Floor: floor, Desk: desk, Mesh: mesh, Swarm: members, Log: logging.Quiet(), Self: self, DiskDir: dir,
		Seeds: seeds, Spared: 1, Proposer: self.Life()})
	if err != nil {
		t.Fatal(err)
	}
	members.OnRev = n.Hear
	go floor.Run(ctx)
	m.Place(ctx, self.Addr, desk)
	return n
}

// A change settles only when every living member of the new set holds the joint
// roster, also one that missed the accepts that made it (design 4.4).
func TestSettlesOnceAllLivingMembersHoldIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := simnet.New(3)
		ctx, cancel := context.WithCancel(context.Background())
		root := t.TempDir()
		var selves []gossip.Partner
		first := &State{Rev: 1, Core: Roster{Ver: 1}}
		for i := range 4 {
			name := fmt.Sprint("n", i)
			selves = append(selves, gossip.Partner{Name: name, Addr: name, Role: "core", Disk: "d", LifeUs: 1})
			if i < 3 {
				first.Core.Cur = append(first.Core.Cur, SeatOf(&selves[i]))
			}
		}
		var nests []*Nest
		seeds := []string{"n0", "n1"}
		for i := range 3 {
			dir := filepath.Join(root, selves[i].Name)
			a, err := OpenAcceptor(selves[i].Seat(), dir, logging.Quiet())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := a.Accept(ctx, &acceptCall{Seat: a.ID(), Ballot: Ballot{N: 1, By: "first"}, State: first}); err != nil {
				t.Fatal(err)
			}
			a.Close()
			nests = append(nests, startNest(t, ctx, m, m.MeshOf(selves[i].Addr), selves[i], dir, seeds))
		}
		time.Sleep(time.Second)
		if _, err := nests[0].Change(ctx, func(*State) (*State, error) { return nil, nil }); err != nil {
			t.Fatal(err)
		}
		lossy := &lossyMesh{Mesh: m.MeshOf("n3"), to: "n2"}
		lossy.left.Store(6)
		newcomer := startNest(t, ctx, m, lossy, selves[3], filepath.Join(root, "n3"), seeds)
		settled := func(n *Nest) bool {
			s := n.seat.State()
			return s != nil && s.Core.Has(selves[3].Seat()) && !s.Core.Joint()
		}
		end := time.Now().Add(8 * time.Second)
		for !settled(nests[0]) && !settled(nests[1]) && !settled(newcomer) {
			if time.Now().After(end) {
				t.Fatal("the newcomer did not get in")
			}
			time.Sleep(100 * time.Microsecond)
		}
		for _, n := range append(nests, newcomer) {
			if s := n.seat.State(); s == nil || s.Core.Ver < 2 {
				t.Errorf("the change settles and %s does not hold it: %+v", n.seat.ID(), s)
			}
		}
		time.Sleep(2 * time.Second)
		for _, n := range append(nests, newcomer) {
			if !settled(n) {
				t.Errorf("%s does not hold the settled roster: %+v", n.seat.ID(), n.seat.State())
			}
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// Who a newcomer may displace (design 4.4).
func TestNextSeats(t *testing.T) {
	seat := func(name, disk string) Seat { return Seat{ID: name + "#" + disk, Name: name} }
	sighting := func(name string, alive, met, leaving bool) gossip.Sighting {
		s := gossip.Sighting{Partner: gossip.Partner{Name: name, Disk: "d", Leaving: leaving}, Alive: alive}
		if met {
			s.MetUs = eventloop.NowUs()
		}
		return s
	}
	r := &Roster{Ver: 1, Cur: []Seat{seat("a", "d"), seat("b", "d"), seat("c", "d")}}
	well := []gossip.Sighting{sighting("a", true, true, false), sighting("b", true, true, false), sighting("c", true, true, false)}
	unmet := []gossip.Sighting{well[0], sighting("b", true, false, false), well[2]}
	leaving := []gossip.Sighting{well[0], sighting("b", true, true, true), well[2]}
	for _, tc := range []struct {
		name string
		self Seat
		all  []gossip.Sighting
		upUs int64
		most int
		lost map[string]bool
		want string
	}{
		{"all well", seat("n", "d"), well, judgeUs, 7, nil, "a#d b#d c#d n#d"},
		{"all well, no room", seat("n", "d"), well, judgeUs, 3, nil, ""},
		{"an earlier disk of its own", seat("b", "e"), unmet, 0, 7, nil, "a#d b#e c#d"},
		{"unmet, too early", seat("n", "d"), unmet, judgeUs - 1, 7, map[string]bool{"b#d": true}, ""},
		{"unmet, others hear it", seat("n", "d"), unmet, judgeUs, 7, nil, ""},
		{"unmet for long, others hear it", seat("n", "d"), unmet, besideUs, 7, nil, "a#d b#d c#d n#d"},
		{"unmet for long, others hear it, no room", seat("n", "d"), unmet, besideUs, 3, nil, ""},
		{"lost by a majority", seat("n", "d"), unmet, judgeUs, 7, map[string]bool{"b#d": true}, "a#d n#d c#d"},
		{"leaving", seat("n", "d"), leaving, joinAfterUs, 7, nil, "a#d n#d c#d"},
	} {
		got := ""
		for _, s := range NextSeats(r, tc.self, &gossip.View{All: tc.all}, tc.upUs, tc.most, tc.lost) {
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
