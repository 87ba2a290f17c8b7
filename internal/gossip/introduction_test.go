package gossip

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"rowanshunt/internal/simnet"
)

// Guards against a first start at which the nodes form two groups that do not know of each
// other for seconds: each node exchanges with every seed in its first rounds (design 3.3).
func TestEveryNodeMeetsEverySeed(t *testing.T) {
	const nodes, systems = 8, 20
	seeds := []string{"10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1"}
	for system := range systems {
		synctest.Test(t, func(t *testing.T) {
			network := simnet.New(uint64(system))
			all := make([]*testNode, nodes)
			for i := range all {
				self := Peer{Name: clusterName(i), Addr: fmt.Sprintf("10.0.0.%d:1", i), Incarnation: 1, process: fmt.Sprint(system, "-", i)}
				all[i] = startNode(t, network, self, seeds)
			}
			defer stopAll(all)
			time.Sleep(5*exchangeInterval.Duration() - time.Millisecond)
			for i, n := range all {
				for seed := range seeds {
					if state := n.Snapshot().Get(clusterName(seed)); i != seed && (state == nil || state.LastContact == 0) {
						t.Errorf("system %d: n%d has not exchanged with the seed n%d", system, i, seed)
					}
				}
				if known := len(n.Snapshot().Nodes); known != nodes {
					t.Errorf("system %d: n%d knows %d nodes of %d", system, i, known, nodes)
				}
			}
		})
	}
}

// A seed that does not answer is left to the seldom attempts once the first rounds are over.
func TestIntroductionEnds(t *testing.T) {
	i := newIntroduction()
	seeds := []string{"a", "b", "own"}
	i.rounds = 1
	i.answer("a")
	if got := i.pending(seeds, "own"); len(got) != 1 || got[0] != "b" {
		t.Errorf("pending %v, want b alone", got)
	}
	i.rounds = introductionRounds + 1
	if got := i.pending(seeds, "own"); len(got) != 0 {
		t.Errorf("pending %v after the last round", got)
	}
}
