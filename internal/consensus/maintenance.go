package consensus

import (
	"context"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/gossip"
)

const (
	// maintenancePeriod is the time between two looks at what is due. It bounds how
	// late any of the delays of this package is noticed.
	maintenancePeriod = 250 * clock.Millisecond
	// maintenanceTimeout bounds a task: time for several attempts of a change. What
	// it leaves undone is due again at the next tick.
	maintenanceTimeout = 4 * clock.Second
)

// maintenance decides what this node's member has to do beyond answering calls, and
// does one such thing at a time. It lives on the event loop; only nodes with an
// acceptor run it.
type maintenance struct {
	acceptor *Acceptor
	learner  *learner
	gossip   *gossip.Gossip

	acceptorCatchUp *acceptorCatchUp
	confirmation    *confirmation
	bootstrap       *bootstrapper
	keeper          *membershipKeeper
	task            taskRunner
}

// onCommit runs on the loop for each newer committed state.
func (m *maintenance) onCommit(committed *State) {
	m.confirmation.updateDelay(&committed.Core)
	m.bootstrap.observe(committed)
}

func (m *maintenance) tick() {
	now, view := clock.Now(), m.gossip.Snapshot()
	latest, committed := m.learner.latest()
	m.bootstrap.view.observe(view, now)
	if m.acceptorCatchUp.isDue(latest, committed, now) {
		m.task.tryRun(m.acceptorCatchUp.run)
	}
	if m.confirmation.isDue(latest, committed, now) {
		m.task.tryRun(m.confirmation.run)
	}
	switch {
	case latest == nil:
		if m.bootstrap.isDue(now) {
			m.task.tryRun(m.bootstrap.run)
		}
	case !latest.Core.Has(m.acceptor.ID()):
		if m.keeper.mayJoin(view, now) {
			m.task.tryRun(m.keeper.join)
		}
	case committed:
		if task := m.keeper.dueTask(&latest.Core, view, now); task != nil {
			m.task.tryRun(task)
		}
	}
}

// taskRunner runs tasks beside the event loop, one at a time. It lives on the loop.
type taskRunner struct {
	ctx  context.Context // ends with the node
	loop *eventloop.Loop
	busy bool
}

// tryRun starts a task unless one is running: a task that is dropped is due again after
// its own delay. The task ends after maintenanceTimeout or with the node.
func (tr *taskRunner) tryRun(task func(context.Context)) {
	if tr.busy {
		return
	}
	tr.busy = true
	go func() {
		ctx, cancel := context.WithTimeout(tr.ctx, maintenanceTimeout.Duration())
		defer cancel()
		task(ctx)
		// The loop refuses commands only when the node ends.
		_ = tr.loop.Post(tr.ctx, func() { tr.busy = false })
	}()
}
