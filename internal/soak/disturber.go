package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
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

	mu   sync.Mutex
	busy map[*process]*sync.Mutex // one disturbance of a node at a time; guarded by mu
	// lost: one disk is away, or one store is being replaced, at a time. It is taken before
	// a node's lock.
	lost     sync.Mutex
	replaced int // guarded by lost
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
	case DiskLoss:
		p := d.node(disturbance.Index)
		d.lost.Lock()
		defer d.lost.Unlock()
		d.alone(p, func() { d.loseDisk(ctx, p, disturbance.For()) })
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
		p.stop(ctx)
		d.restart(p)
	case Reload:
		p.reload(ctx)
	case Kill:
		p.kill(ctx)
		pause()
		d.restart(p)
	case Freeze:
		p.signal(syscall.SIGSTOP, NodeFreeze)
		pause()
		p.signal(syscall.SIGCONT, NodeThaw)
	}
}

func (d *disturber) restart(p *process) {
	if err := p.start(false); err != nil {
		d.record.addNode(p.spec.name, NodeStarted, err.Error())
	}
}

// loseDisk kills a store right after a job was accepted, and starts it without its files.
// d.lost is held.
func (d *disturber) loseDisk(ctx context.Context, p *process, away clock.Micros) {
	if !p.inUse() {
		return
	}
	d.awaitAcceptance(ctx)
	p.kill(ctx)
	clock.Sleep(ctx, away.Duration())
	if err := p.loseDisk(); err != nil {
		d.record.addNode(p.spec.name, NodeKill, err.Error())
	}
	d.restart(p)
	clock.Sleep(ctx, (minDiskLossGapMs * clock.Millisecond).Duration())
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

// replace retires a store, takes its machine away when it is empty, and starts another.
func (d *disturber) replace(ctx context.Context, p *process) {
	d.lost.Lock()
	defer d.lost.Unlock()
	if p.spec.role != storeRole || !p.inUse() {
		return
	}
	d.replaced++
	d.restart(d.system.addStore(fmt.Sprintf("%s-r%d", p.spec.name, d.replaced), d.replaced))
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
