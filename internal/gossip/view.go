package gossip

import (
	"sort"

	"rowanshunt/internal/clock"
)

// NodeState is a peer's record and what this node knows about its liveness.
type NodeState struct {
	Peer
	Alive        bool
	LastProgress clock.Instant // when its record last advanced
	LastContact  clock.Instant // when it last answered this node itself
	StateChanged clock.Instant // when Alive last changed
}

// View is a snapshot of the state table. It is immutable, so any goroutine may read
// it.
type View struct {
	Self  Peer
	Nodes []NodeState // sorted by name, this node included
}

// Get finds a node by name, nil if the view does not hold it.
func (v *View) Get(name string) *NodeState {
	i := sort.Search(len(v.Nodes), func(i int) bool { return v.Nodes[i].Name >= name })
	if i < len(v.Nodes) && v.Nodes[i].Name == name {
		return &v.Nodes[i]
	}
	return nil
}

// Names lists the nodes that keep accepts, sorted.
func (v *View) Names(keep func(*NodeState) bool) []string {
	var out []string
	for i := range v.Nodes {
		if keep(&v.Nodes[i]) {
			out = append(out, v.Nodes[i].Name)
		}
	}
	return out
}

// Alive reports whether the node is believed to be alive.
func (v *View) Alive(name string) bool {
	s := v.Get(name)
	return s != nil && s.Alive
}

// InContact reports whether the node is alive and has answered this node itself within
// contactTimeout. A node that is partitioned from this one stays alive as long as
// others still hear from it, but is not in contact (design 3.3).
func (v *View) InContact(name string) bool {
	s := v.Get(name)
	return s != nil && s.Alive && (name == v.Self.Name || clock.Since(s.LastContact) < contactTimeout)
}

// Overloaded reports whether the node says that its event loop runs late.
func (v *View) Overloaded(name string) bool {
	s := v.Get(name)
	return s != nil && s.Overloaded
}

// Truncated reports whether there may be nodes for which the view has no room.
func (v *View) Truncated() bool { return len(v.Nodes) >= maxPeers }
