package clustertest

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a retiring store that loses its disk, is retired, and then joins again
// with its new disk while its machine is taken away (design 8.6).
func TestRetiringStoreLosesItsDisk(t *testing.T) {
	const step = 100 * time.Millisecond
	for lostAfter := time.Duration(0); lostAfter < 6*step; lostAfter += step {
		for _, down := range []time.Duration{step / 2, 2 * step, 5 * step} {
			t.Run(fmt.Sprint("lost after ", lostAfter, " for ", down), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { retireAndLose(t, lostAfter, down) })
			})
		}
	}
}

func retireAndLose(t *testing.T, lostAfter, down time.Duration) {
	cl := newServingCluster(t, 7, 3, 4)
	cl.mustSubmit("a", 20, 10)
	cl.mustRetire("store-1")
	time.Sleep(lostAfter)
	cl.killAndWipe("store-1")
	time.Sleep(down)
	cl.start("store-1")
	cl.awaitRetired("store-1", 10*time.Second)
	time.Sleep(time.Second)
	if hasMember(&cl.committed().Stores, "store-1") {
		t.Error("it is a member again")
	}
	cl.kill("store-1")
	cl.mustComplete("a", 20, 20*time.Second)
}
