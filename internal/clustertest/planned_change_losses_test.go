package clustertest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rowanshunt/internal/consensus"
	"rowanshunt/internal/settings"
)

var allLossTimes = flag.Bool("losses.all", false, "lose a machine at every 0.1 s from 1 s before a planned change to 9 s after it, not at a sample of these moments")

// Times of the losses beside planned changes.
const (
	firstLossTime  = -time.Second // relative to the planned change
	lastLossTime   = 9 * time.Second
	lossTimeStep   = 100 * time.Millisecond
	successorDelay = time.Second             // from a loss to the start of what takes its place
	wipedDownTime  = 1400 * time.Millisecond // of the second machine that loses its disk
	lossMargin     = 10 * time.Millisecond   // beyond sync_s
	plannedLimit   = 30 * time.Second        // of a planned change, with both losses in it
)

// sampledLossTimes are the moments of a run without -losses.all: mostly those at which a
// change is in progress.
var sampledLossTimes = []time.Duration{-700 * time.Millisecond, -200 * time.Millisecond, 0, 50 * time.Millisecond,
	150 * time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond, 3 * time.Second}

// lossTimes are the moments of the loss, relative to the planned change.
func lossTimes() []time.Duration {
	if !*allLossTimes {
		return sampledLossTimes
	}
	var times []time.Duration
	for at := firstLossTime; at <= lastLossTime; at += lossTimeStep {
		times = append(times, at)
	}
	return times
}

// plannedChange is work of an operator that changes a membership.
type plannedChange struct {
	name  string
	group memberGroup
	// carryOut does the work and returns when it is done. The member named is the one that
	// goes, where one does.
	carryOut func(l *lossRun, member string)
	removes  bool
}

var plannedChanges = []plannedChange{
	{"a store is retired", storeGroup, (*lossRun).retireAndTakeAway, true},
	{"a store is shut down", storeGroup, (*lossRun).shutDown, true},
	{"a store is added", storeGroup, (*lossRun).addBeside, false},
	{"a core member is shut down", coreGroup, (*lossRun).shutDown, true},
	{"a core member is added", coreGroup, (*lossRun).addBeside, false},
	{"a store is retired and one is added", storeGroup, alongAnAddition((*lossRun).retireAndTakeAway), true},
	{"a core member is shut down and one is added", coreGroup, alongAnAddition((*lossRun).shutDown), true},
}

// alongAnAddition adds a machine of the same kind at the same time.
func alongAnAddition(work func(*lossRun, string)) func(*lossRun, string) {
	return func(l *lossRun, member string) {
		var both sync.WaitGroup
		both.Go(func() { l.addBeside(member) })
		both.Go(func() { work(l, member) })
		both.Wait()
	}
}

func (l *lossRun) shutDown(member string) { l.cluster.terminate(member) }

// retireAndTakeAway retires a store and ends it once it may go.
func (l *lossRun) retireAndTakeAway(store string) {
	edge := l.cluster.machine(l.edgeName).edge
	code := 0
	for end := time.Now().Add(recoveryTime); code != 200 && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		code, _ = l.cluster.retire(edge, store)
	}
	if code != 200 {
		l.cluster.t.Errorf("the order to retire %s is answered %d", store, code)
		return
	}
	l.cluster.await(store+" is retired", plannedLimit, func() bool { return l.cluster.retired(edge, store) })
	l.cluster.kill(store)
}

// addBeside adds a machine of the kind of another one and waits until it is a member.
func (l *lossRun) addBeside(member string) {
	added := l.addSuccessor(member)
	l.cluster.start(added)
	l.cluster.await(added+" is a member", plannedLimit, func() bool {
		now := l.newestState()
		return hasMember(&now.Core, added) || hasMember(&now.Stores, added)
	})
}

// A machine is lost at any moment of a planned change, and the next one sync_s after the
// successor of the first has started: the successor does not wait for the end of the
// change, so that a majority is left (design 4.4, 8.6; incident
// successor-kept-out-by-a-retirement).
func TestLossBesidePlannedChange(t *testing.T) {
	for _, size := range []clusterSize{{core: 4, edges: 1, stores: 4, ft: 1}, {core: 6, edges: 1, stores: 6, ft: 2}} {
		for number, change := range plannedChanges {
			t.Run(fmt.Sprintf("ft %d, %s", size.ft, change.name), func(t *testing.T) {
				t.Parallel()
				for _, at := range lossTimes() {
					seed := uint64(number+1)*100_000 + uint64((at-firstLossTime)/time.Millisecond)
					t.Run(fmt.Sprint(at), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { runLossBesideChange(t, seed, size, change, at) })
					})
				}
			})
		}
	}
}

// runLossBesideChange runs one planned change with a loss at a moment relative to it, and
// another loss as early as the first one no longer counts.
func runLossBesideChange(t *testing.T, seed uint64, size clusterSize, change plannedChange, lossAt time.Duration) {
	cl := newClusterOf(t, seed, size)
	l := &lossRun{cluster: cl, rng: rand.New(rand.NewPCG(seed, 79)), edgeName: fmt.Sprintf("edge-%d", size.core), next: 20, acknowledged: 1}
	cl.startServing()
	cl.await("all are members", bootstrapLimit, func() bool { return cl.coreInSync(size.core) && cl.storesInSync(size.stores) })
	stopWriters := l.startWriters()
	defer stopWriters()
	time.Sleep(time.Second)

	members := change.group.of(l.newestState()).Current
	planned := members[l.rng.IntN(len(members))].Name
	first := l.randomMember(members, planned)
	next := l.randomMember(members, planned, first.Name)
	if change.removes {
		cl.excluded.Store(planned)
	}

	changeDone, lossesDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(changeDone)
		time.Sleep(max(0, -lossAt))
		change.carryOut(l, planned)
	}()
	go func() {
		defer close(lossesDone)
		time.Sleep(max(0, lossAt))
		l.loseTwice(first.Name, next.Name)
	}()
	<-lossesDone
	what := fmt.Sprintf(" after the losses of %s and %s beside %s (%s)", first.Name, next.Name, change.name, planned)
	l.await("a version is acknowledged"+what, recoveryTime, func(seen, _ int) bool { return l.version() > seen+1 })
	l.await("a job is accepted"+what, recoveryTime, func(_, seen int) bool { return l.jobCount() > seen+1 })
	<-changeDone
	l.awaitSettled(planned, change)
	stopWriters()
	l.checkAcknowledged()
}

// loseTwice loses a machine for good, starts its successor, and takes the disk of another
// one as soon as the first loss does not count any more.
func (l *lossRun) loseTwice(first, next string) {
	cl := l.cluster
	successor := first
	if l.rng.IntN(2) == 0 {
		successor = l.addSuccessor(first)
	}
	cl.killAndWipe(first)
	time.Sleep(successorDelay)
	cl.start(successor)
	time.Sleep(time.Duration(cl.machine(successor).opts.Bounds.SyncS*float64(time.Second)) + lossMargin)
	cl.killAndWipe(next)
	time.Sleep(wipedDownTime)
	cl.start(next)
}

// awaitSettled waits until the planned change shows in its membership and no change is in
// progress.
func (l *lossRun) awaitSettled(planned string, change plannedChange) {
	l.cluster.await(change.name+": no change is in progress", plannedLimit, func() bool {
		now := l.newestState()
		group := change.group.of(now)
		isMember := hasMember(group, planned)
		return !group.Joint() && (!change.removes || !isMember) && l.allRun(group.Current)
	})
}

// allRun tells whether all members run with the disk that makes them members.
func (l *lossRun) allRun(members []consensus.Member) bool {
	for _, member := range members {
		if !l.running(member) {
			return false
		}
	}
	return true
}

// A successor of a lost store takes its place while another store is being retired, whether
// the order came before the loss or after it (review case 6).
func TestSuccessorJoinsWhileAStoreRetires(t *testing.T) {
	for _, lossAt := range []time.Duration{-500 * time.Millisecond, 50 * time.Millisecond, 700 * time.Millisecond} {
		t.Run(fmt.Sprint(lossAt), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newServingCluster(t, 6, 3, 4)
				cl.mustSubmit("a", 20, 10)
				cl.mustComplete("a", 20, 20*time.Second)
				if lossAt < 0 {
					cl.killAndWipe("store-2")
					time.Sleep(-lossAt)
				}
				cl.mustRetire("store-0")
				if lossAt > 0 {
					time.Sleep(lossAt)
					cl.killAndWipe("store-2")
				}
				time.Sleep(successorDelay)
				cl.addAndStart("store-4", settings.RoleStore, 4)
				time.Sleep(5*time.Second + lossMargin)
				state := cl.committed().Stores
				if !state.Has(cl.machine("store-4").node().MemberID()) || hasMember(&state, "store-2") {
					t.Errorf("sync_s after its start the successor is not in the lost store's place: %+v", state)
				}
				cl.killAndWipe("store-1")
				time.Sleep(wipedDownTime)
				cl.start("store-1")
				cl.mustComplete("a", 20, 12*time.Second)
				cl.awaitSubmitted("b", 5, 10, 6*time.Second)
				cl.mustComplete("b", 5, 20*time.Second)
				cl.awaitRetired("store-0", 20*time.Second)
			})
		})
	}
}

// A successor takes the place of the lost member and not that of one that is being shut
// down: the lost one must not count any more when the next loss may come.
func TestSuccessorGoesBeforeALeavingMember(t *testing.T) {
	for _, group := range []memberGroup{storeGroup, coreGroup} {
		for age := 300 * time.Millisecond; age <= 1200*time.Millisecond; age += lossTimeStep {
			t.Run(fmt.Sprintf("%s, successor %v old", group.name, age), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkSuccessorGoesBefore(t, group, age) })
			})
		}
	}
}

// checkSuccessorGoesBefore shuts a member down when the successor of a lost one has run for
// so long, and loses another one as early as it may come.
func checkSuccessorGoesBefore(t *testing.T, group memberGroup, age time.Duration) {
	cl := newClusterOf(t, 7, clusterSize{core: 4, edges: 1, stores: 4, ft: 1})
	cl.startServing()
	cl.await("all are members", bootstrapLimit, func() bool { return cl.coreInSync(4) && cl.storesInSync(4) })
	l := &lossRun{cluster: cl, edgeName: "edge-4", next: 20, acknowledged: 1}
	members := group.of(l.newestState()).Current
	leaving, lost, next := members[0].Name, members[1].Name, members[2].Name
	cl.excluded.Store(leaving)
	cl.killAndWipe(lost)
	time.Sleep(successorDelay)
	cl.start(l.addSuccessor(lost))
	time.Sleep(age)
	go cl.terminate(leaving)
	time.Sleep(5*time.Second + lossMargin - age)
	if membership := group.of(l.newestState()); hasMember(membership, lost) {
		t.Errorf("sync_s after its successor's start %s still counts: %+v", lost, membership)
	}
	cl.killAndWipe(next)
	time.Sleep(wipedDownTime)
	cl.start(next)
	edge := cl.machine("edge-4").edge
	cl.await("a change is acknowledged", recoveryTime, func() bool { return cl.putConfiguration(edge, 5, 1) == 200 })
	cl.await("a job is accepted", recoveryTime, func() bool { return cl.submitAt(edge, "b", 5, 10).Code == 202 })
}
