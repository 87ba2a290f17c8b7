package soak

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"
)

// soakSeeds are those of a run in CI; TestPlans shows what they draw.
var soakSeeds = []uint64{1, 2, 5}

// Real processes on the real clock keep the rules under the disturbances of fixed seeds. The
// long run is started by hand (docs/soak.md).
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "rowanshunt")
	if out, err := exec.Command("go", "build", "-o", program, "rowanshunt/cmd/rowanshunt").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	seeds := soakSeeds
	if testing.Short() {
		seeds = seeds[:1]
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			outcome, err := Execute(t.Context(), DrawPlan(DefaultSettings(), seed), Options{Program: program, Folder: filepath.Join(t.TempDir(), "run")})
			if err != nil {
				t.Fatal(err)
			}
			for _, violation := range outcome.Violations {
				t.Error(violation)
			}
			if t.Failed() {
				t.Logf("the plan:\n%s", outcome.Plan)
			}
			counts := outcome.Counts
			if counts.Requests < 100 || counts.Served < counts.Requests/4 || counts.Jobs == 0 || counts.Changes < 2 {
				t.Errorf("the run did too little to show anything: %+v", counts)
			}
		})
	}
}

// The same seed gives the same plan, and the seeds of CI bring the review's case and each
// kind of trouble.
func TestPlans(t *testing.T) {
	kinds := map[DisturbanceKind]int{}
	for seed := uint64(1); seed <= 50; seed++ {
		plan := DrawPlan(DefaultSettings(), seed)
		if plan.String() != DrawPlan(DefaultSettings(), seed).String() {
			t.Errorf("seed %d draws two plans", seed)
		}
		seen := map[DisturbanceKind]int{}
		for _, disturbance := range plan.Disturbances {
			seen[disturbance.Kind]++
			kinds[disturbance.Kind]++
			if !disturbance.Kind.Planned() && disturbance.AtMs*100 < plan.LoadMs*unplannedFromPercent {
				t.Errorf("seed %d: %s among planned work", seed, disturbance.Kind)
			}
		}
		if seen[Squeeze] == 0 || seen[Stop] == 0 || seen[Reload] == 0 {
			t.Errorf("seed %d has no silence during a stop and a reload: %v", seed, seen)
		}
	}
	for _, kind := range []DisturbanceKind{Stop, Reload, Squeeze, WorkerLeave, Kill, Freeze, DiskLoss, MachineLoss, Replace, AddStore, WorkerCrash, WorkerLateBeats, CloseAll} {
		if kinds[kind] == 0 {
			t.Errorf("50 seeds draw no %s", kind)
		}
	}
}

// No more machines are lost at once than may be: one counts until sync_s after its return.
func TestLossCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		losses := newLossCount(1)
		if !losses.tryLose("a") || losses.tryLose("b") {
			t.Fatal("one machine may be lost, and one only")
		}
		losses.back("a")
		time.Sleep(syncBound.Duration() - time.Millisecond)
		if losses.tryLose("b") {
			t.Error("another one is lost before sync_s is over")
		}
		time.Sleep(2 * time.Millisecond)
		if !losses.tryLose("b") {
			t.Error("no other one may be lost after sync_s")
		}
	})
}
