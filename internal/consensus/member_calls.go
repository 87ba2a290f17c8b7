package consensus

import (
	"context"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/rpc"
)

// memberCaller sends calls to members.
type memberCaller struct {
	transport rpc.Transport
	addrOf    func(Member) string
}

func (m *memberCaller) call(ctx context.Context, to Member, kind string, request, response any) error {
	return m.transport.Call(ctx, m.addrOf(to), kind, request, response)
}

// newGossipCaller makes a caller that finds members at the address they have now.
func newGossipCaller(transport rpc.Transport, g *gossip.Gossip) *memberCaller {
	return &memberCaller{transport: transport, addrOf: func(m Member) string {
		if p := g.Snapshot().Get(m.Name); p != nil {
			return p.Addr
		}
		return m.Addr
	}}
}

// memberResponse is what became of a call to one member.
type memberResponse[T any] struct {
	member   Member
	response *T
	err      error
}

// callMembers calls all members at once and gives one response of each. A request is
// made before its call starts, so that a call that starts late still carries what it
// was meant to. The calls end when ctx does or the timeout is over, and need no
// reader: the channel has space for all.
func callMembers[T any](ctx context.Context, caller *memberCaller, members []Member, kind string, timeout clock.Micros, request func(Member) any) <-chan memberResponse[T] {
	responses := make(chan memberResponse[T], len(members))
	for _, member := range members {
		body := request(member)
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, timeout.Duration())
			defer cancel()
			response := new(T)
			err := caller.call(callCtx, member, kind, body, response)
			responses <- memberResponse[T]{member, response, err}
		}()
	}
	return responses
}
