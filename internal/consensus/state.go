// Package consensus is the configuration register: a compare-and-set register
// that any node changes in two phases at a majority of the disk-holding edges
// (CASPaxos); no log, no leader (design 4).
//
// The protocol is decided by two state machines without I/O, acceptorCore and
// proposal; Acceptor and Proposer drive them. Register composes what a node runs
// around them.
package consensus

// State is the complete value of the register. Once shared it is never modified:
// a Change works on a clone.
type State struct {
	Revision   uint64            // grows by one with each change
	Version    int64             // version of the configuration, 0 before the first
	Document   []byte            // the configuration as the operator sent it
	Core       Membership        // who votes on this register
	Stores     Membership        // who replicates the batch jobs
	Retiring   []string          // store members to be emptied
	Attributes map[string][]byte // state of other aggregates, by key, e.g. upgrades
}

func (s *State) clone() *State {
	c := *s
	return &c
}
