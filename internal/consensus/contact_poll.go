package consensus

import (
	"context"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/rpc"
)

// contactTimeout bounds the poll of who has lost contact with a member. A member that
// takes longer counts as one that has contact, which only delays a change of the
// membership.
const contactTimeout = 400 * clock.Millisecond

// contactRequest asks a member which of these members have been out of contact with
// it for the span.
type contactRequest struct {
	Members   []Member
	SilentFor clock.Micros
}

type contactResponse struct {
	Lost []string // identities of members
}

// contactPoll finds out which members a majority has lost contact with. It may be
// used from any goroutine.
type contactPoll struct {
	caller  *memberCaller
	gossip  *gossip.Gossip
	self    string // identity of this node's member
	started clock.Instant
}

func (c *contactPoll) handle(mux *rpc.Mux) {
	rpc.Handle(mux, kindLostContact, func(_ context.Context, in *contactRequest) (*contactResponse, error) {
		return &contactResponse{Lost: c.lostHere(in)}, nil
	})
}

// lostHere lists the members that this node itself has lost contact with.
func (c *contactPoll) lostHere(in *contactRequest) []string {
	var lost []string
	view := c.gossip.Snapshot()
	for _, member := range in.Members {
		if MemberSilent(member, view, in.SilentFor, clock.Since(c.started)) {
			lost = append(lost, member.ID)
		}
	}
	return lost
}

// lostByMajority lists those of the suspects with which a majority of the members,
// asked now, has been out of contact for the span. A member that does not answer
// counts as one that has contact (design 4.4).
func (c *contactPoll) lostByMajority(ctx context.Context, members, suspects []Member, silentFor clock.Micros) map[string]bool {
	if len(suspects) == 0 {
		return nil
	}
	request := &contactRequest{Members: suspects, SilentFor: silentFor}
	others := without(members, c.self)
	responses := callMembers[contactResponse](ctx, c.caller, others, kindLostContact, contactTimeout, func(Member) any { return request })
	votes := map[string]int{}
	count := func(lost []string) {
		for _, id := range lost {
			votes[id]++
		}
	}
	if len(others) < len(members) {
		count(c.lostHere(request))
	}
	for range others {
		if r := <-responses; r.err == nil {
			count(r.response.Lost)
		}
	}
	lost := map[string]bool{}
	for _, s := range suspects {
		lost[s.ID] = 2*votes[s.ID] > len(members)
	}
	return lost
}
