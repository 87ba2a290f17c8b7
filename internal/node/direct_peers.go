package node

import (
	"rowanshunt/internal/batch"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/settings"
)

// directPeers chooses whom a node exchanges gossip with in each round, besides a random
// peer. Nodes with a disk watch those of their kind closely: a shard waits for its owner,
// and a newcomer must know which member it replaces. It lives on the event loop.
type directPeers struct {
	node        *Node
	maxFailures int
	// replicas are the stores that share a shard with this one, by the membership of
	// this version.
	replicas map[string]bool
	version  uint64
}

// names are the direct peers within a view.
func (d *directPeers) names(view *gossip.View) []string {
	if view.Self.Disk == "" {
		return nil
	}
	role, member := d.node.role, view.Self.MemberID()
	if role == settings.RoleStore {
		if state := d.node.Register.Committed(); state != nil && state.Stores.Has(member) {
			if d.version != state.Stores.Version {
				d.replicas = batch.CoReplicas(&state.Stores, member, d.maxFailures)
				d.version = state.Stores.Version
			}
			return view.Names(func(peer *gossip.NodeState) bool { return d.replicas[peer.Name] })
		}
	}
	return view.Names(func(peer *gossip.NodeState) bool { return peer.Role == role && peer.Disk != "" })
}
