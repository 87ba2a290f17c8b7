package clustertest

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"rowanshunt/internal/node"
)

// Times of a first start that is killed.
const (
	firstStartSpan  = 4 * time.Second // from the first start to the latest kill
	firstStartStep  = 100 * time.Millisecond
	firstStartDown  = 500 * time.Millisecond
	firstStartLimit = 16 * time.Second // recover_s and ack_ms
)

// Seeds that are killed at any moment of the very first start, and come back with their
// disks, go on with the bootstrap: it is not chosen anew by those that forgot their votes, and
// a configuration is acknowledged (design 4.3; review case 7).
func TestFirstStartIsKilled(t *testing.T) {
	for killed := 1; killed <= 3; killed++ {
		t.Run(fmt.Sprint(killed, " seeds"), func(t *testing.T) {
			t.Parallel()
			for at := time.Duration(0); at <= firstStartSpan; at += firstStartStep {
				t.Run(fmt.Sprint(at), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						cl := newClusterOf(t, uint64(at/time.Millisecond)+1, clusterSize{core: 4, edges: 1, stores: 3, ft: 1})
						cl.startAll()
						time.Sleep(at)
						for i := range killed {
							cl.kill(fmt.Sprint("edge-", i))
						}
						time.Sleep(firstStartDown)
						for i := range killed {
							cl.start(fmt.Sprint("edge-", i))
						}
						cl.await("a configuration is acknowledged", firstStartLimit, func() bool {
							return cl.putConfiguration(cl.machines["edge-4"].edge, 1, 0) == 200
						})
						time.Sleep(2 * time.Second)
						seen := cl.committed().Core.Version
						cl.awaitEveryEdge("all know one membership", firstStartLimit, func(e *node.EdgeNode) bool {
							s := e.Register.Committed()
							return s != nil && s.Core.Version >= seen && s.Version == 1
						})
					})
				})
			}
		})
	}
}

// A seed whose disk is empty again does not vote in the bootstrap: two seeds of which one has
// forgotten its votes choose nothing.
func TestWipedSeedDoesNotBootstrap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newClusterOf(t, 3, clusterSize{core: 3, stores: 0, ft: 1})
		cl.startAll()
		time.Sleep(time.Second) // before the first membership is chosen
		for _, name := range cl.order {
			cl.kill(name)
		}
		cl.wipe("edge-0")
		cl.wipe("edge-1")
		for _, name := range cl.order {
			cl.start(name)
		}
		time.Sleep(firstStartLimit)
		if s := cl.committed(); s != nil {
			t.Errorf("one seed that kept its disk chose the membership %+v", s.Core)
		}
	})
}

// Guards against a first membership of the stores that tolerates no loss, where the others
// start a little later (design 8.6).
func TestFirstStoresWaitForTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3, 3, 3)
		last := cl.order[len(cl.order)-1]
		for _, name := range cl.order[:len(cl.order)-1] {
			cl.start(name)
		}
		time.Sleep(3 * time.Second)
		cl.start(last)
		cl.await("the stores are bootstrapped", bootstrapLimit, func() bool {
			state := cl.committed()
			return state != nil && len(state.Stores.Current) > 0
		})
		if first := &cl.committed().Stores; len(first.Current) != 3 {
			t.Errorf("the first membership has %d stores, want 3", len(first.Current))
		}
	})
}
