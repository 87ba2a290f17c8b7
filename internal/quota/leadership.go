package quota

import (
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/codec"
	"rowanshunt/internal/consensus"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/rendezvous"
)

// Attributes of the register. The values are from the first version: records are
// stored under them, and leaderKeyPrefix also ranks the nodes of every version alike.
const (
	leaderKeyPrefix = "nectar/duty/"
	// termFloorKey holds the highest term of the leaders that were dropped: a service
	// without a record goes on above it, so that no earlier grant passes for a newer
	// one.
	termFloorKey = "nectar/duty-floor"
)

// maxLeaders is how many leaders are kept in the register before those of services
// that the document no longer names are dropped.
const maxLeaders = 256

// leaderRecord is the leader of a service, in the register. Its term is the fencing
// token of its grants and grows with each election. It is encoded in this order.
type leaderRecord struct {
	Term   uint64
	Leader string // node/incarnation
}

// loadLeader reads the leader of a service. A service without a record has the floor
// of the terms and no leader that counts.
func loadLeader(state *consensus.State, service string) leaderRecord {
	var record leaderRecord
	if state == nil {
		return record
	}
	raw := state.Attributes[leaderKeyPrefix+service]
	if raw == nil {
		raw = state.Attributes[termFloorKey]
	}
	if raw != nil {
		_ = msgpack.Unmarshal(raw, &record) // what cannot be read is no record
	}
	return record
}

func (l leaderRecord) store(state *consensus.State, key string) error {
	raw, err := codec.Marshal(&l)
	if err != nil {
		return err
	}
	state.SetAttribute(key, raw)
	return nil
}

// electLeader makes a process the leader of a service under a higher term, in a
// state that is not shared yet.
func electLeader(state *consensus.State, service, process string) (uint64, error) {
	term := loadLeader(state, service).Term + 1
	if err := (leaderRecord{Term: term, Leader: process}).store(state, leaderKeyPrefix+service); err != nil {
		return 0, err
	}
	return term, dropOldLeaders(state)
}

// dropOldLeaders bounds the leaders in a state that is not shared yet.
func dropOldLeaders(state *consensus.State) error {
	count := 0
	for key := range state.Attributes {
		if strings.HasPrefix(key, leaderKeyPrefix) {
			count++
		}
	}
	document := Load(state)
	if count <= maxLeaders || document == nil {
		return nil
	}
	floor := loadLeader(state, "").Term
	state.DeleteAttributes(func(key string) bool {
		service, isLeader := strings.CutPrefix(key, leaderKeyPrefix)
		if _, named := document.Shares[service]; !isLeader || named {
			return false
		}
		floor = max(floor, loadLeader(state, service).Term)
		return true
	})
	return leaderRecord{Term: floor}.store(state, termFloorKey)
}

// designatedLeader names the node that is to lead a service, as a node's view has it:
// the first eligible node of the role in the service's rendezvous rank. Views differ
// for a while; the term in the register decides.
func designatedLeader(view *gossip.View, role, service string) string {
	eligible := view.Eligible(role)
	names := make([]string, len(eligible))
	for i, node := range eligible {
		names[i] = node.Name
	}
	return rendezvous.Holder(leaderKeyPrefix+service, names)
}
