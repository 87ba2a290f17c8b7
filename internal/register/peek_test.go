package register

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"rowanshunt/internal/fault"
	"rowanshunt/internal/rpc"
	"rowanshunt/internal/simnet"
)

// A peek at members that disagree says so and changes nothing at them: hundreds of
// nodes that start at a time may peek and never outbid the members, which settle
// what is committed by a read (design 4.5).
func TestPeekBidsAgainstNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := simnet.New(3)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		first := &State{Rev: 1, Core: Membership{Ver: 1}}
		var acceptors []*Acceptor
		for i := range 3 {
			a := newAcceptor(fmt.Sprint("m", i), vote{}, memoryStore{})
			first.Core.Cur = append(first.Core.Cur, Member{ID: a.ID(), Name: a.ID(), Addr: fmt.Sprint("n", i)})
			acceptors = append(acceptors, a)
		}
		for i, a := range acceptors {
			mux := rpc.NewMux()
			rpc.On(mux, "nest.prepare", a.Prepare)
			rpc.On(mux, "nest.accept", a.Accept)
			m.Place(ctx, fmt.Sprint("n", i), mux)
			state := &State{Rev: uint64(i + 1), Core: first.Core}
			if _, err := a.Accept(ctx, &acceptCall{Member: a.ID(), Ballot: Ballot{N: uint64(i + 1), By: "p"}, State: state}); err != nil {
				t.Fatal(err)
			}
		}
		known := first
		p := NewProposer("q", m.TransportOf("n9"), func(s Member) string { return s.Addr }, func() (*State, bool) { return known, true }, func(s *State) { known = s })
		for range 10 {
			if _, err := p.Peek(ctx); !fault.Is(err, fault.Unsure) {
				t.Fatalf("a peek at members that disagree: %v", err)
			}
		}
		for i, a := range acceptors {
			if got := a.durable.Load().Promised; got != (Ballot{N: uint64(i + 1), By: "p"}) {
				t.Errorf("a peek moved the promise of %s to %+v", a.ID(), got)
			}
		}
		if s, err := p.Read(ctx); err != nil || s.Rev < 2 {
			t.Fatalf("a read settles it: %+v, %v", s, err)
		}
		time.Sleep(time.Second) // what the read left under way
		if _, err := p.Peek(ctx); err != nil {
			t.Errorf("a peek once they agree: %v", err)
		}
		time.Sleep(5 * time.Second) // all calls end
	})
}
