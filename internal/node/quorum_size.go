package node

import (
	"rowanshunt/internal/clock"
	"rowanshunt/internal/consensus"
)

// quorumCheckInterval is how often a node checks the size of the memberships. They change
// with machines only, so that a warning each half minute is soon enough and not too loud.
const quorumCheckInterval = 30 * clock.Second

// warnIfBelowQuorumSize warns of a membership that cannot bear the losses that the options
// ask for. Only its own members warn.
func (n *Node) warnIfBelowQuorumSize() {
	state := n.Register.Committed()
	if state == nil || n.self.Disk == "" {
		return
	}
	need := 2*n.opts.Load().Ft.Nodes + 1
	for name, membership := range map[string]*consensus.Membership{"register": &state.Core, "lots": &state.Stores} {
		if membership.Has(n.self.MemberID()) && len(membership.Current) < need {
			n.env.Log.Warn("below_quorum_size", "of", name, "members", len(membership.Current), "need", need, "remedy", "add machines with a disk, or lower ft.nodes")
		}
	}
}
