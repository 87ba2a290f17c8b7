package node

import (
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/settings"
)

// maxDispatchers bounds the nodes that run items (design 9.1).
const maxDispatchers = 24

// dispatcherSelection is the dispatchers of one view of the peers.
type dispatcherSelection struct {
	view  *gossip.View
	names []string
}

// dispatchers are the edge nodes that run items now, computed once for each view of the
// peers. Any goroutine may call it.
func (n *Node) dispatchers() []string {
	view := n.Gossip.Snapshot()
	if known := n.dispatcherNames.Load(); known != nil && known.view == view {
		return known.names
	}
	selection := &dispatcherSelection{view: view, names: view.SelectEligible(settings.RoleEdge, "dispatch", maxDispatchers)}
	n.dispatcherNames.Store(selection)
	return selection.names
}
