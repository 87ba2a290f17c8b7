package clustertest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rowanshunt/internal/settings"
)

// lossRun runs sequences of losses against a cluster while writers run.
type lossRun struct {
	cluster  *cluster
	rng      *rand.Rand
	edgeName string // an edge without a disk: it is never lost
	cores    []string
	stores   []string

	mu           sync.Mutex
	next         int // number of the next new machine
	acknowledged int // newest version acknowledged
	jobs         []string
}

// startWriters puts configurations and submits jobs until stop is called.
func (l *lossRun) startWriters() (stop func()) {
	end := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { l.putConfigurations(end) })
	wg.Go(func() { l.submitJobs(end) })
	return sync.OnceFunc(func() {
		close(end)
		wg.Wait()
	})
}

// checkAcknowledged checks that all that was acknowledged is there.
func (l *lossRun) checkAcknowledged() {
	for _, id := range l.jobs {
		l.cluster.mustComplete(id, itemsPerJob, 60*time.Second)
	}
	if l.acknowledged < 10 || len(l.jobs) < 10 {
		l.cluster.t.Errorf("only %d versions and %d jobs were acknowledged: the test tests little", l.acknowledged, len(l.jobs))
	}
}

// lossKind is a way to lose a machine.
type lossKind int

const (
	powerLoss lossKind = iota
	diskLoss
	cutFromAll
	gracefulRestart
	replacement        // by a new machine, after its end
	plannedReplacement // by a new machine, before its end
)

// lossKinds are drawn from, those that lose disks more often.
var lossKinds = []lossKind{powerLoss, diskLoss, diskLoss, cutFromAll, gracefulRestart, replacement, replacement,
	plannedReplacement, plannedReplacement, plannedReplacement}

// round loses up to ft machines at once and waits until they are back and in sync again.
func (l *lossRun) round(ft int) {
	var wg sync.WaitGroup
	repaired := make([]time.Time, ft)
	lost := 1 + l.rng.IntN(ft)
	names := ""
	for i := range lost {
		list := &l.cores
		if l.rng.IntN(2) == 0 {
			list = &l.stores
		}
		at := l.rng.IntN(len(*list))
		name := (*list)[at]
		*list = slices.Delete(*list, at, at+1)
		kind, pause := lossKinds[l.rng.IntN(len(lossKinds))], time.Duration(l.rng.IntN(2500))*time.Millisecond
		successor := ""
		if kind == replacement || kind == plannedReplacement {
			successor = l.addSuccessor(name)
		}
		names += fmt.Sprintf(" %s:%d", name, kind)
		wg.Go(func() { repaired[i] = l.injectLoss(name, successor, kind, pause) })
		defer func() {
			if successor != "" {
				name = successor
			}
			*list = append(*list, name)
		}()
	}
	l.await("a version is acknowledged after"+names, recoveryTime, func(seen int, _ int) bool { return l.version() > seen })
	l.await("a job is accepted after"+names, recoveryTime, func(_ int, seen int) bool { return l.jobCount() > seen })
	wg.Wait()
	last := slices.MaxFunc(repaired, time.Time.Compare)
	time.Sleep(time.Until(last.Add(repairTime + time.Second)))
}

// addSuccessor adds a machine of the same kind at another address.
func (l *lossRun) addSuccessor(old string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	name, role := fmt.Sprintf("edge-%d", l.next), settings.RoleEdge
	if l.cluster.machine(old).store != nil {
		name, role = fmt.Sprintf("store-%d", l.next), settings.RoleStore
	}
	l.cluster.add(name, role, l.next, true, false)
	return name
}

// injectLoss takes a machine away and brings it, or its successor, back; it returns
// when that was.
func (l *lossRun) injectLoss(name, successor string, kind lossKind, pause time.Duration) time.Time {
	cl := l.cluster
	switch kind {
	case powerLoss:
		cl.kill(name)
		time.Sleep(pause)
		cl.start(name)
	case diskLoss:
		cl.killAndWipe(name)
		time.Sleep(pause)
		cl.start(name)
	case cutFromAll:
		cl.cutOff(name, true)
		time.Sleep(pause)
		cl.cutOff(name, false)
	case gracefulRestart:
		cl.terminate(name)
		time.Sleep(pause)
		cl.start(name)
	case replacement:
		cl.kill(name)
		time.Sleep(pause)
		cl.start(successor)
	case plannedReplacement:
		cl.start(successor)
		started := time.Now()
		time.Sleep(time.Second)
		cl.terminate(name)
		return started // the old one ends on its successor's time
	}
	return time.Now()
}

func (l *lossRun) version() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acknowledged
}

func (l *lossRun) jobCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.jobs)
}

func (l *lossRun) await(what string, limit time.Duration, ok func(ver, jobs int) bool) {
	l.cluster.t.Helper()
	ver, jobs := l.version(), l.jobCount()
	l.cluster.await(what, limit, func() bool { return ok(ver, jobs) })
}

// putConfigurations puts one version on top of the other; what was acknowledged must
// be seen by each later read.
func (l *lossRun) putConfigurations(stop chan struct{}) {
	e := l.cluster.machine(l.edgeName).edge
	expect := 1
	for ver := 2; ; ver++ {
		select {
		case <-stop:
			return
		default:
		}
		if l.cluster.putConfiguration(e, ver, expect) == 200 {
			l.mu.Lock()
			l.acknowledged = ver
			l.mu.Unlock()
			expect = ver
		} else if w := l.cluster.control(e, "GET", "/-/config", nil); w.Code == 200 {
			now := versionOf(w)
			if now < l.version() {
				l.cluster.t.Errorf("version %d was acknowledged; %d is read", l.version(), now)
			}
			expect, ver = now, max(ver, now)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (l *lossRun) submitJobs(stop chan struct{}) {
	e := l.cluster.machine(l.edgeName).edge
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprint("w", n)
		if l.cluster.submitAt(e, id, itemsPerJob, 10).Code == 202 {
			l.mu.Lock()
			l.jobs = append(l.jobs, id)
			l.mu.Unlock()
		}
		time.Sleep(300 * time.Millisecond)
	}
}
