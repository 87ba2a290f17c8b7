package register

import (
	"context"
	"time"

	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/rpc"
)

// contactTimeout bounds the question whether others still hear a member.
const contactTimeout = 400 * time.Millisecond

// contactCall asks a member with which of these seats it has had no contact for
// so long.
type contactCall struct {
	Seats []Seat
	ForUs int64
}

type contactAnswer struct {
	Lost []string // seats
}

func (n *Nest) serveContact() {
	rpc.On(n.cfg.Desk, "nest.contact", func(_ context.Context, in *contactCall) (*contactAnswer, error) {
		return &contactAnswer{Lost: n.lostHere(in)}, nil
	})
}

// lostHere lists the seats that this node itself has lost.
func (n *Nest) lostHere(in *contactCall) []string {
	var lost []string
	view := n.cfg.Swarm.Look()
	for _, seat := range in.Seats {
		if Gone(seat, view, in.ForUs, eventloop.NowUs()-n.startUs) {
			lost = append(lost, seat.ID)
		}
	}
	return lost
}

// Lost lists those of the suspects with which a majority of the members, asked
// now, has had no contact for so long. Who does not answer counts as one that
// has contact (design 4.4).
func (n *Nest) Lost(ctx context.Context, members, suspects []Seat, forUs int64) map[string]bool {
	if len(suspects) == 0 {
		return nil
	}
	call := &contactCall{Seats: suspects, ForUs: forUs}
	answers := make(chan []string, len(members))
	for _, member := range members {
		go func() {
			if member.ID == n.cfg.Self.Seat() {
				answers <- n.lostHere(call)
				return
			}
			callCtx, cancel := context.WithTimeout(ctx, contactTimeout)
			defer cancel()
			out := &contactAnswer{}
			if err := n.cfg.Mesh.Call(callCtx, n.addrOf(member), "nest.contact", call, out); err != nil {
				out = &contactAnswer{}
			}
			answers <- out.Lost
		}()
	}
	votes := map[string]int{}
	for range members {
		for _, id := range <-answers {
			votes[id]++
		}
	}
	lost := map[string]bool{}
	for _, s := range suspects {
		lost[s.ID] = 2*votes[s.ID] > len(members)
	}
	return lost
}
