package discovery

import (
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/rendezvous"
)

// placementKey comes before the service in the key of the rendezvous hash. All nodes
// must agree on it, those of earlier versions included.
const placementKey = "home/"

// placement assigns the aggregators of services. All nodes with the same view agree.
type placement struct {
	self gossip.Peer
}

// aggregators gives the aggregator of a service in each zone: one of the zone's
// eligible nodes, or of all its living ones where none is eligible (design 5.2).
func (p *placement) aggregators(svc string, v *gossip.View) map[string]string {
	eligible := map[string][]string{}
	for _, n := range v.Eligible(p.self.Role) {
		eligible[n.Az] = append(eligible[n.Az], n.Name)
	}
	others := map[string][]string{}
	for i := range v.Nodes {
		if n := &v.Nodes[i]; n.Alive && n.Role == p.self.Role && !n.Leaving && eligible[n.Az] == nil {
			others[n.Az] = append(others[n.Az], n.Name)
		}
	}
	byZone := make(map[string]string, len(eligible)+len(others))
	for az, names := range eligible {
		byZone[az] = rendezvous.Holder(placementKey+svc, names)
	}
	for az, names := range others {
		byZone[az] = rendezvous.Holder(placementKey+svc, names)
	}
	return byZone
}

// local is the aggregator of a service in this node's zone, "" if there is none.
func (p *placement) local(svc string, v *gossip.View) string {
	return p.aggregators(svc, v)[p.self.Az]
}
