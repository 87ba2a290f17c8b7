package register

import (
	"context"
	"time"

	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/rpc"
)

// contactTimeout bounds the question whether others still hear a member.
const contactTimeout = 400 * time.Millisecond

// contactCall asks a member with which of these members it has had no contact for
// so long.
type contactCall struct {
	Members []Member
	ForUs   int64
}

type contactAnswer struct {
	Lost []string // members
}

func (n *Register) serveContact() {
	rpc.On(n.cfg.Mux, "nest.contact", func(_ context.Context, in *contactCall) (*contactAnswer, error) {
		return &contactAnswer{Lost: n.lostHere(in)}, nil
	})
}

// lostHere lists the members that this node itself has lost.
func (n *Register) lostHere(in *contactCall) []string {
	var lost []string
	view := n.cfg.Gossip.Look()
	for _, member := range in.Members {
		if Gone(member, view, in.ForUs, eventloop.NowUs()-n.startUs) {
			lost = append(lost, member.ID)
		}
	}
	return lost
}

// Lost lists those of the suspects with which a majority of the members, asked
// now, has had no contact for so long. Who does not answer counts as one that
// has contact (design 4.4).
func (n *Register) Lost(ctx context.Context, members, suspects []Member, forUs int64) map[string]bool {
	if len(suspects) == 0 {
		return nil
	}
	call := &contactCall{Members: suspects, ForUs: forUs}
	answers := make(chan []string, len(members))
	for _, member := range members {
		go func() {
			if member.ID == n.cfg.Self.MemberID() {
				answers <- n.lostHere(call)
				return
			}
			callCtx, cancel := context.WithTimeout(ctx, contactTimeout)
			defer cancel()
			out := &contactAnswer{}
			if err := n.cfg.Transport.Call(callCtx, n.addrOf(member), "nest.contact", call, out); err != nil {
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
