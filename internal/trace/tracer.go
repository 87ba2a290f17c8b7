// Package trace reports where one change has arrived, by querying every node (design 14). It
// keeps no record and does nothing while nobody asks.
package trace

import (
	"context"
	"sync"
	"time"

	"rowanshunt/internal/gossip"
	"rowanshunt/internal/rpc"
)

// answerKind is the kind of the call that queries a node. The value is that of the first
// version: nodes of several versions run together during an upgrade.
const answerKind = "trail.tell"

// answerTimeout is how long a node may take to answer before it is reported as silent. It keeps
// a report below a second, and well within the time-out of cmd/tracer, when nodes are down.
const answerTimeout = 700 * time.Millisecond

// Source returns what a node knows about a change of the kind it handles.
type Source func(ctx context.Context, q *Query) []Fact

// Tracer is one node's part in tracing: it answers for the node, and queries the others. Any
// goroutine may use it.
type Tracer struct {
	transport rpc.Transport
	gossip    *gossip.Gossip
	self      gossip.Peer

	mu      sync.Mutex
	sources map[string][]Source // by kind, guarded by mu
}

// New makes the tracer of a node and registers its call.
func New(mux *rpc.Mux, transport rpc.Transport, members *gossip.Gossip, self gossip.Peer) *Tracer {
	t := &Tracer{transport: transport, gossip: members, self: self, sources: map[string][]Source{}}
	rpc.Handle(mux, answerKind, func(ctx context.Context, q *Query) (*NodeAnswer, error) {
		if err := q.Check(); err != nil {
			return nil, err
		}
		return t.answer(ctx, q), nil
	})
	return t
}

// Handle adds a source for a kind. The facts of a kind are in the order of its sources.
func (t *Tracer) Handle(kind string, source Source) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sources[kind] = append(t.sources[kind], source)
}

// answer collects what this node knows.
func (t *Tracer) answer(ctx context.Context, q *Query) *NodeAnswer {
	t.mu.Lock()
	sources := t.sources[q.Kind]
	t.mu.Unlock()
	out := &NodeAnswer{Node: t.self.Name, Role: t.self.Role, Az: t.self.Az}
	for _, source := range sources {
		out.Facts = append(out.Facts, source(ctx, q)...)
	}
	return out
}

// Follow queries every node in view, alive or not, and returns once all have answered or are
// reported as silent.
func (t *Tracer) Follow(ctx context.Context, q *Query) (*Report, error) {
	if err := q.Check(); err != nil {
		return nil, err
	}
	v := t.gossip.Snapshot()
	report := &Report{Kind: q.Kind, ID: q.ID, Answers: make([]NodeAnswer, len(v.Nodes))}
	var wg sync.WaitGroup
	for i := range v.Nodes {
		wg.Go(func() { report.Answers[i] = *t.queryNode(ctx, &v.Nodes[i].Peer, q) })
	}
	wg.Wait()
	report.evaluate()
	return report, nil
}

// queryNode gets the answer of one node.
func (t *Tracer) queryNode(ctx context.Context, p *gossip.Peer, q *Query) *NodeAnswer {
	if p.Name == t.self.Name {
		return t.answer(ctx, q)
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	out := &NodeAnswer{}
	if err := t.transport.Call(ctx, p.Addr, answerKind, q, out); err != nil {
		return &NodeAnswer{Node: p.Name, Role: p.Role, Az: p.Az, Silent: true}
	}
	return out
}
