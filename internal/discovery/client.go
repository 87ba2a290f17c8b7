package discovery

import (
	"context"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/consensus"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/rpc"
)

// Time-outs of the calls to other nodes.
const (
	// updateTimeout is just below acknowledgeTimeout, so that an update that fails is
	// counted as failed before the worker gets its answer.
	updateTimeout = 700 * clock.Millisecond
	// pushTimeout is below updateTimeout, as the call that made an aggregator push
	// waits for all of its subscribers.
	pushTimeout = 600 * clock.Millisecond
	// subscribeTimeout is below renewPeriod, so that renewals do not overlap.
	subscribeTimeout = 450 * clock.Millisecond
	// departuresTimeout leaves time to read another member's log within the bound of
	// design 5.4 when one is silent.
	departuresTimeout = 250 * clock.Millisecond
)

// peerClient makes this package's calls to other nodes. It is safe for concurrent use.
type peerClient struct {
	// lifetime ends with the node. Calls are made under it and not under the request
	// that led to them: an update goes on when the worker has got its answer.
	lifetime  context.Context
	transport rpc.Transport
	view      func() *gossip.View
}

func (pc *peerClient) withTimeout(timeout clock.Micros) (context.Context, context.CancelFunc) {
	return context.WithTimeout(pc.lifetime, timeout.Duration())
}

// updateNode sends an update to a node that is in the gossip view.
func (pc *peerClient) updateNode(name string, update *updateRequest) error {
	p := pc.view().Get(name)
	if p == nil {
		return fault.New(fault.Unreached, name, "is not in the gossip view", "")
	}
	return pc.update(p.Addr, updateTimeout, update)
}

// updateMember sends an update to a member of the core, which need not be in the view.
func (pc *peerClient) updateMember(m consensus.Member, update *updateRequest) error {
	return pc.update(pc.memberAddr(m), updateTimeout, update)
}

// push sends an update to a subscriber.
func (pc *peerClient) push(addr string, update *updateRequest) error {
	return pc.update(addr, pushTimeout, update)
}

func (pc *peerClient) update(addr string, timeout clock.Micros, update *updateRequest) error {
	ctx, cancel := pc.withTimeout(timeout)
	defer cancel()
	return pc.transport.Call(ctx, addr, kindUpdate, update, nil)
}

func (pc *peerClient) subscribe(ctx context.Context, addr string, in *subscribeRequest) (*subscribeResponse, error) {
	out := &subscribeResponse{}
	if err := pc.transport.Call(ctx, addr, kindSubscribe, in, out); err != nil {
		return nil, err
	}
	return out, nil
}

// departures reads one page of a core member's departure log.
func (pc *peerClient) departures(m consensus.Member, cursor departureCursor) (*departurePage, error) {
	ctx, cancel := pc.withTimeout(departuresTimeout)
	defer cancel()
	page := &departurePage{}
	if err := pc.transport.Call(ctx, pc.memberAddr(m), kindDepartures, &cursor, page); err != nil {
		return nil, err
	}
	return page, nil
}

// memberAddr is a core member's address: as gossip has it, which is newer, or else as
// the membership has it.
func (pc *peerClient) memberAddr(m consensus.Member) string {
	if p := pc.view().Get(m.Name); p != nil {
		return p.Addr
	}
	return m.Addr
}
