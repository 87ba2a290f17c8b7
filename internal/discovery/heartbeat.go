package discovery

import (
	"context"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/logging"
)

// heartbeats receives the heartbeats of workers: it merges them, brings changes to the
// other nodes and decides what the worker is answered.
type heartbeats struct {
	lifetime       context.Context // ends with the node
	loop           *eventloop.Loop
	view           func() *gossip.View
	log            *logging.Log
	table          *workerTable
	placement      *placement
	contact        *coreContact
	updates        *updates
	onWorkerChange func(Worker)
}

// heartbeatPlan is what a heartbeat calls for.
type heartbeatPlan struct {
	worker      Worker
	aggregators map[string]string // by zone
	changed     bool              // the heartbeat changed what is known of the worker
	departing   bool              // the worker drains or is gone
	committed   bool              // a majority of the core holds the departure already
	outdated    bool              // a later heartbeat has said that the worker is up
}

// receive handles one heartbeat. It returns no error only once the nodes that send to
// the worker learn of a change in time: a departure is held by a majority of the core
// (design 5.4). next is the address for the worker's further heartbeats.
func (h *heartbeats) receive(ctx context.Context, w Worker) (next string, err error) {
	plan, err := eventloop.Call(ctx, h.loop, func() *heartbeatPlan { return h.plan(w, clock.Now()) })
	if err != nil {
		return "", err
	}
	if plan.changed {
		h.reportChange(&plan.worker)
	}
	if n := h.view().Get(plan.aggregators[plan.worker.Az]); n != nil {
		next = n.Ctl
	}
	switch {
	case plan.outdated:
		return "", fault.New(fault.Refused, "seq", "a later heartbeat said that the worker is up", "raise seq with each heartbeat")
	case plan.departing && !plan.committed:
		return next, h.commitDeparture(ctx, plan)
	case plan.changed:
		return next, h.announce(ctx, plan)
	}
	_ = h.loop.Post(ctx, func() { h.updates.queueHeartbeat(plan.worker.ID) })
	if err := h.checkContact(); err != nil {
		return "", err
	}
	return next, nil
}

func (h *heartbeats) reportChange(w *Worker) {
	if h.onWorkerChange != nil {
		h.onWorkerChange(*w)
	}
	h.log.Info("worker_changed", "worker", w.ID, "svc", w.Svc, "phase", w.Phase, "gone", w.Gone)
}

// checkContact fails on a node that does not see a majority of the core.
func (h *heartbeats) checkContact() error {
	if h.contact.seesMajority(h.view()) {
		return nil
	}
	return fault.New(fault.Refused, "heartbeat", "this node sees no majority of the core", "send heartbeats to another node")
}

// plan merges a heartbeat; it runs on the event loop.
func (h *heartbeats) plan(w Worker, now clock.Instant) *heartbeatPlan {
	if known := h.table.records[w.ID]; w.Gone && known != nil {
		w.Svc, w.Addr, w.Az = known.Svc, known.Addr, known.Az // a removal carries the ID only
	}
	plan := &heartbeatPlan{worker: w, departing: !w.Up(), changed: h.table.mergeAll([]Worker{w}, now)}
	if r := h.table.records[w.ID]; plan.departing && r != nil {
		plan.outdated = r.Up()
		plan.committed = r.departureCommitted // of w.Gone too: merging it has set r.Gone
	}
	plan.aggregators = h.placement.aggregators(w.Svc, h.view())
	return plan
}

// commitDeparture brings a departure to the aggregators and to the core, and fails
// unless a majority of the core accepts it.
func (h *heartbeats) commitDeparture(ctx context.Context, plan *heartbeatPlan) error {
	core := h.contact.current()
	accepted := h.updates.broadcast(ctx, plan.worker, plan.aggregators, h.contact.members())
	if h.contact.configured() && !hasMajority(core, accepted) {
		return fault.New(fault.Refused, "heartbeat", "no majority of the core acknowledged that the worker leaves", "send it to another node")
	}
	// Under the node's lifetime: the departure is committed, though the worker may have
	// stopped waiting.
	_ = h.loop.Post(h.lifetime, func() { h.table.commitDeparture(&plan.worker) })
	return nil
}

// announce brings another change to the aggregators. That some were slow to accept it
// is no reason to send the worker to another node: a busy system would get busier.
func (h *heartbeats) announce(ctx context.Context, plan *heartbeatPlan) error {
	h.updates.broadcast(ctx, plan.worker, plan.aggregators, nil)
	return h.checkContact()
}
