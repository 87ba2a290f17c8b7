package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/sourcegraph/conc"

	"rowanshunt/internal/clock"
)

// retireLimit is how long a store is waited for that is to be emptied. One that is not by
// then stays in use.
const retireLimit = 20 * clock.Second

// disturber carries out the disturbances of a plan. Those that begin while others last
// overlap with them; two that concern the same node follow each other.
type disturber struct {
	plan   *Plan
	system *system
	fleet  *fleet
	record *Record
	nodes  func(n uint64) nodeSpec

	mu     sync.Mutex
	busy   map[*process]*sync.Mutex // one disturbance of a node at a time; guarded by mu
	losses *lossCount
	added  atomic.Int64 // stores added so far
}

// run carries out the plan, and returns when all of it is over.
func (d *disturber) run(ctx context.Context) {
	began := clock.Now()
	var group conc.WaitGroup
	for _, disturbance := range d.plan.Disturbances {
		clock.Sleep(ctx, began.Add(disturbance.At()).Sub(clock.Now()).Duration())
		if ctx.Err() != nil {
			break
		}
		group.Go(func() { d.carryOut(ctx, disturbance) })
	}
	group.Wait()
}

// node is the node that an index names, nil if its machine was taken away. Replacements
// take the place of the store that they replace.
func (d *disturber) node(index int) *process {
	all := d.system.all()
	return all[index%len(all)]
}

// alone runs action while no other disturbance concerns the node.
func (d *disturber) alone(p *process, action func()) {
	d.mu.Lock()
	if d.busy[p] == nil {
		d.busy[p] = &sync.Mutex{}
	}
	lock := d.busy[p]
	d.mu.Unlock()
	lock.Lock()
	defer lock.Unlock()
	action()
}

func (d *disturber) carryOut(ctx context.Context, disturbance Disturbance) {
	switch disturbance.Kind {
	case Squeeze, WorkerLeave, WorkerCrash, WorkerLateBeats:
		d.disturbWorkers(ctx, disturbance)
	case CloseAll:
		d.closeAll(ctx, disturbance)
	case Replace:
		d.replace(ctx, d.node(disturbance.Index))
	case AddStore:
		d.addStore()
	case DiskLoss:
		p := d.node(disturbance.Index)
		d.alone(p, func() { d.loseDisk(ctx, p, disturbance.For()) })
	case MachineLoss:
		p := d.node(disturbance.Index)
		d.alone(p, func() { d.loseMachine(ctx, p, disturbance.For()) })
	default:
		p := d.node(disturbance.Index)
		d.alone(p, func() { d.disturbNode(ctx, p, disturbance) })
	}
}

// disturbNode carries out what concerns one process.
func (d *disturber) disturbNode(ctx context.Context, p *process, disturbance Disturbance) {
	pause := func() { clock.Sleep(ctx, disturbance.For().Duration()) }
	switch disturbance.Kind {
	case Stop:
		d.noteDown(p)
		p.stop(ctx)
		d.restart(p)
	case Reload:
		p.reload(ctx)
	case Kill:
		d.noteDown(p)
		p.kill(ctx)
		pause()
		d.restart(p)
	case Freeze:
		d.noteDown(p)
		p.signal(syscall.SIGSTOP, NodeFreeze)
		pause()
		p.signal(syscall.SIGCONT, NodeThaw)
		d.noteBack(p)
	}
}

// noteDown counts a node's machine as lost; one without a disk counts in no quorum.
func (d *disturber) noteDown(p *process) {
	if p.spec.hasDisk {
		d.losses.down(p.spec.name)
	}
}

// noteBack tells that a node's machine returned, or that its successor started.
func (d *disturber) noteBack(p *process) {
	if p.spec.hasDisk {
		d.losses.back(p.spec.name)
	}
}

// restart starts a node again.
func (d *disturber) restart(p *process) {
	d.startNode(p)
	d.noteBack(p)
}

func (d *disturber) startNode(p *process) {
	if err := p.start(false); err != nil {
		d.record.addNode(p.spec.name, NodeStarted, err.Error())
	}
}

// addStore starts a store on a new machine.
func (d *disturber) addStore() {
	number := int(d.added.Add(1))
	d.startNode(d.system.addStore(fmt.Sprintf("store-added-%d", number), number))
}

// loseDisk kills a counted node right after a job was accepted, and starts it without its
// files.
func (d *disturber) loseDisk(ctx context.Context, p *process, away clock.Micros) {
	if !p.inUse() || !p.spec.hasDisk || !d.losses.awaitLoss(ctx, p.spec.name) {
		return
	}
	d.awaitAcceptance(ctx)
	p.kill(ctx)
	clock.Sleep(ctx, away.Duration())
	if err := p.loseDisk(); err != nil {
		d.record.addNode(p.spec.name, NodeKill, err.Error())
	}
	d.restart(p)
}

// loseMachine takes a store's machine away for good right after a job was accepted, and
// starts its successor at another address.
func (d *disturber) loseMachine(ctx context.Context, p *process, away clock.Micros) {
	if !p.inUse() || p.spec.role != storeRole || !d.losses.awaitLoss(ctx, p.spec.name) {
		return
	}
	d.awaitAcceptance(ctx)
	p.takeAway(ctx)
	d.system.removeStore(p)
	clock.Sleep(ctx, away.Duration())
	d.addStore()
	d.noteBack(p)
}

// awaitAcceptance waits until a job is accepted, for a second at most.
func (d *disturber) awaitAcceptance(ctx context.Context) {
	from := clock.Now()
	for ctx.Err() == nil && clock.Since(from) < clock.Second {
		accepted := false
		d.record.add(func(o *Observations) {
			for _, job := range o.Jobs {
				accepted = accepted || job.Accepted > from
			}
		})
		if accepted {
			return
		}
		clock.Sleep(ctx, clock.Millisecond.Duration())
	}
}

// replace adds a store, retires another one and takes its machine away when it is empty.
func (d *disturber) replace(ctx context.Context, p *process) {
	if p.spec.role != storeRole || !p.inUse() {
		return
	}
	d.addStore()
	if !d.retire(ctx, p) {
		return
	}
	d.alone(p, func() { p.takeAway(ctx) })
	d.system.removeStore(p)
}

// retire asks for the store to be emptied and waits until it is, false if the context
// ends before.
func (d *disturber) retire(ctx context.Context, p *process) bool {
	path := "/-/retire/" + p.spec.name
	ctx, cancel := context.WithTimeout(ctx, retireLimit.Duration())
	defer cancel()
	ordered := false
	for try := uint64(0); ctx.Err() == nil; try++ {
		url := "http://" + d.nodes(draw(p.spec.name)+try).ctlAddr() + path
		if !ordered {
			status, _ := call(ctx, http.MethodPost, url, nil, []byte(`{"over_s":5}`))
			ordered = status == http.StatusOK
		} else if status, body := call(ctx, http.MethodGet, url, nil, nil); status == http.StatusOK {
			var answer struct {
				Phase string `json:"phase"`
			}
			if json.Unmarshal(body, &answer) == nil && answer.Phase == phaseDone {
				return true
			}
		}
		clock.Sleep(ctx, 2*retryPause)
	}
	return false
}

// closeAll kills all nodes and starts them again.
func (d *disturber) closeAll(ctx context.Context, disturbance Disturbance) {
	all := d.system.all()
	for _, p := range all {
		d.noteDown(p)
		p.signal(syscall.SIGKILL, NodeKill)
	}
	clock.Sleep(ctx, disturbance.For().Duration())
	for _, p := range all {
		p.awaitEnd(ctx)
		d.restart(p)
	}
}

// disturbWorkers carries out what concerns workers.
func (d *disturber) disturbWorkers(ctx context.Context, disturbance Disturbance) {
	if disturbance.Kind == Squeeze {
		service := []string{streamService, singleService}[disturbance.Index%2]
		d.fleet.squeeze(service, true)
		clock.Sleep(ctx, disturbance.For().Duration())
		d.fleet.squeeze(service, false)
		return
	}
	w := d.fleet.at(disturbance.Index)
	switch disturbance.Kind {
	case WorkerLateBeats:
		w.beLate(disturbance.For())
		return
	case WorkerCrash:
		d.record.addNode(w.id, WorkerTrouble, "")
		w.crash()
		clock.Sleep(ctx, disturbance.For().Duration())
	case WorkerLeave:
		w.leave(ctx)
	}
	if ctx.Err() == nil {
		if err := d.fleet.startWorker(disturbance.Index, w.service, w.slots); err != nil {
			d.record.addNode(w.id, WorkerTrouble, err.Error())
		}
	}
}
