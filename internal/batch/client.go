package batch

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/consensus"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/rendezvous"
	"rowanshunt/internal/rpc"
)

// How a call looks for the owner of a shard.
const (
	// hintCycle: every third attempt ignores the hint: an owner that is alive and answers
	// Refused is not asked for ever.
	hintCycle = 3

	noStorePause = 100 * time.Millisecond // until a store may be known
	attemptPause = 30 * time.Millisecond  // before the next attempt
)

// Client finds the owners of shards for the nodes that serve clients.
type Client struct {
	transport   rpc.Transport
	gossip      *gossip.Gossip
	state       func() *consensus.State
	maxFailures int
	mu          sync.Mutex
	owners      [Shards]string
}

// NewClient makes a client.
func NewClient(transport rpc.Transport, members *gossip.Gossip, state func() *consensus.State, maxFailures int) *Client {
	return &Client{transport: transport, gossip: members, state: state, maxFailures: maxFailures}
}

// Stores lists the living stores of the membership.
func (c *Client) Stores() []gossip.NodeState {
	st := c.state()
	if st == nil {
		return nil
	}
	return c.liveStores(&st.Stores)
}

func (c *Client) liveStores(r *consensus.Membership) []gossip.NodeState {
	v := c.gossip.Snapshot()
	var out []gossip.NodeState
	for _, member := range r.All() {
		if p := v.Get(member.Name); p != nil && p.Alive && p.MemberID() == member.ID {
			out = append(out, *p)
		}
	}
	return out
}

func (c *Client) candidate(shardN, attempt int) (name, addr string) {
	st := c.state()
	if st == nil {
		return "", ""
	}
	set := replicasOf(&st.Stores, shardN, c.maxFailures)
	stores := c.liveStores(&set)
	if len(stores) == 0 {
		return "", ""
	}
	var names []string
	byName := map[string]string{}
	for _, s := range stores {
		names = append(names, s.Name)
		byName[s.Name] = s.Addr
	}
	c.mu.Lock()
	hint := c.owners[shardN]
	c.mu.Unlock()
	if a, ok := byName[hint]; ok && attempt%hintCycle != hintCycle-1 {
		return hint, a
	}
	rank := rendezvous.Rank("shard/"+strconv.Itoa(shardN), names)
	name = rank[attempt%len(rank)]
	return name, byName[name]
}

func (c *Client) rememberOwner(shardN int, name string) {
	c.mu.Lock()
	c.owners[shardN] = name
	c.mu.Unlock()
}

// Call asks the owner of a shard, looking for it until ctx ends. All calls to
// owners may be repeated. Unsure: some attempt may have been carried out.
func (c *Client) Call(ctx context.Context, shardN int, kind string, in, out any, each time.Duration) error {
	unsure := false
	for attempt := 0; ; attempt++ {
		if ctx.Err() != nil {
			if unsure {
				return fault.New(fault.Unsure, "shard", "no clear answer in time", "ask again")
			}
			return fault.New(fault.Refused, "shard", "its owner was not found in time", "ask again")
		}
		name, addr := c.candidate(shardN, attempt)
		if name == "" {
			clock.Sleep(ctx, noStorePause)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, each)
		err := c.transport.Call(callCtx, addr, kind, in, out)
		cancel()
		if err == nil {
			c.rememberOwner(shardN, name)
			return nil
		}
		switch fault.KindOf(err) {
		case fault.NotOwner:
			c.rememberOwner(shardN, faultField(err)) // NotOwner names the owner in Field, "" if not known
		case fault.Unreached:
			c.rememberOwner(shardN, "")
		case fault.Refused:
		case fault.Unsure, fault.Internal:
			unsure = true
			if m, ok := in.(interface{ markUnsure() }); ok {
				m.markUnsure() // the next owner settles what became of it
			}
			c.rememberOwner(shardN, "")
		default:
			return err
		}
		clock.Sleep(ctx, attemptPause)
	}
}

func faultField(err error) string {
	var f *fault.Fault
	if errors.As(err, &f) {
		return f.Field
	}
	return ""
}
