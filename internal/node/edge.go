package node

import (
	"context"
	"slices"

	"golang.org/x/sync/semaphore"

	"rowanshunt/internal/balancer"
	"rowanshunt/internal/batch"
	"rowanshunt/internal/batch/httpapi"
	"rowanshunt/internal/clock"
	"rowanshunt/internal/consensus"
	"rowanshunt/internal/discovery"
	"rowanshunt/internal/dispatch"
	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/events"
	"rowanshunt/internal/forward"
	"rowanshunt/internal/ingress"
	"rowanshunt/internal/quota"
	"rowanshunt/internal/settings"
	"rowanshunt/internal/trace"
	"rowanshunt/internal/upgrade"
)

// maxInFlight bounds the items that one dispatcher runs at a time.
const maxInFlight = 160

// upkeepInterval is how often an edge node passes on what it knows of its peers and
// workers; a changed view of them counts that much later at most.
const upkeepInterval = 300 * clock.Millisecond

// EdgeNode is a node that serves clients, workers and operators.
type EdgeNode struct {
	*Node
	Discovery  *discovery.Discovery
	Balancer   *balancer.Balancer
	Forwarder  *forward.Forwarder
	Dispatcher *dispatch.Dispatcher
	Ingress    *ingress.Ingress
	Control    *ingress.Control
	Upgrades   *upgrade.Manager
	Quotas     *quota.Quotas
	Gate       *quota.Gate
	Emitter    *events.Emitter
}

// NewEdgeNode makes a node of the role edge.
func NewEdgeNode(ctx context.Context, env Env, opts *settings.Options) (*EdgeNode, error) {
	n, err := New(ctx, env, opts, settings.RoleEdge)
	if err != nil {
		return nil, err
	}
	e := &EdgeNode{
		Node:     n,
		Balancer: balancer.New(opts.Az),
		Emitter:  events.New(opts.Sink, opts.Node, n.self.ProcessID(), env.Log, nil),
	}
	if err := e.addDiscovery(ctx, opts); err != nil {
		return nil, err
	}
	e.addQuotas(ctx)
	e.addTraffic(ctx, opts)
	e.addControl(ctx)
	n.OnCommitted(func(state *consensus.State) {
		upgrade.Apply(state, e.Balancer)
		e.Quotas.Apply(state)
	})
	n.Trace.Handle(trace.Configuration, e.acknowledgementFacts)
	n.Trace.Handle(trace.Worker, e.workerFacts)
	n.Trace.Handle(trace.BatchJob, e.inFlightFacts)
	n.Loop.Every(upkeepInterval, e.upkeep)
	return e, nil
}

// addDiscovery adds the directory of workers.
func (e *EdgeNode) addDiscovery(ctx context.Context, opts *settings.Options) error {
	d, err := discovery.New(ctx, discovery.Config{
		Loop:              e.Loop,
		Mux:               e.Mux,
		Transport:         e.env.Transport,
		Gossip:            e.Gossip,
		Log:               e.env.Log,
		Self:              e.self,
		HeartbeatInterval: clock.Micros(opts.HbMs) * clock.Millisecond,
		Services:          e.services,
		LocalLoads:        e.Balancer.Loads,
		OnLoads:           e.Balancer.MergeLoads,
		Dir:               e.diskDir,
		Core:              e.core,
		OnWorkerChange: func(w discovery.Worker) {
			e.Emitter.Emit(events.WorkerChanged, w.ID, events.Worker{Service: w.Svc, Addr: w.Addr, Phase: w.Phase, Gone: w.Gone})
		},
	})
	e.Discovery = d
	return err
}

// addQuotas adds the quotas of tenants and the gate that enforces them here.
func (e *EdgeNode) addQuotas(ctx context.Context) {
	e.Gate = &quota.Gate{Edges: e.Balancer.EdgeCount, Fleet: e.fleetCapacity}
	e.Quotas = quota.New(ctx, quota.Config{
		Loop:      e.Loop,
		Mux:       e.Mux,
		Transport: e.env.Transport,
		Gossip:    e.Gossip,
		Log:       e.env.Log,
		Self:      e.self,
		State:     e.Register.Committed,
		Change:    e.Register.Change,
		Gate:      e.Gate,
	})
}

// addTraffic adds what serves requests and items: the sender that both share, the
// forwarder, the dispatcher and the ingress.
func (e *EdgeNode) addTraffic(ctx context.Context, opts *settings.Options) {
	limits := ingress.LimitsOf(opts)
	sender := &forward.Sender{
		Directory:     e.Discovery.Snapshot,
		Balancer:      e.Balancer,
		Pool:          forward.NewConnPool(e.env.Dial),
		Configuration: e.servedConfiguration,
		Attempts:      forward.NewRecordTable[forward.Attempt](int(opts.Caps.NoFile / 3)),
	}
	e.Forwarder = &forward.Forwarder{
		Sender:        sender,
		Configuration: e.servedConfiguration,
		Log:           e.env.Log,
		MaxBodyBytes:  limits.BodyBytes,
		HeartbeatMs:   opts.HbMs,
		Gate:          e.Gate,
	}
	client := batch.NewClient(e.env.Transport, e.Gossip, e.Register.Committed, opts.Ft.Nodes)
	e.Dispatcher = &dispatch.Dispatcher{
		Transport:     e.env.Transport,
		Client:        client,
		Sender:        sender,
		Configuration: e.servedConfiguration,
		Log:           e.env.Log,
		Name:          e.self.Name,
		MaxInFlight:   maxInFlight,
		Gate:          e.Gate,
		Dispatches:    func() bool { return slices.Contains(e.dispatchers(), e.self.Name) },
	}
	e.Dispatcher.Start(ctx, e.Mux)
	e.Ingress = &ingress.Ingress{
		Forwarder: e.Forwarder,
		Batch: &httpapi.API{
			Client:         client,
			Configuration:  e.servedConfiguration,
			WallUs:         e.env.WallUs,
			Reject:         forward.Reject,
			Log:            e.env.Log,
			BodyPermits:    semaphore.NewWeighted(limits.BodyBytes),
			MaxBodyPermits: limits.BodyBytes,
		},
		Configuration: e.servedConfiguration,
		Log:           e.env.Log,
		Limits:        limits,
		Ready:         e.ready,
	}
}

// addControl adds the upgrades and the operators' API.
func (e *EdgeNode) addControl(ctx context.Context) {
	e.Upgrades = upgrade.New(ctx, upgrade.Config{
		Loop:      e.Loop,
		Mux:       e.Mux,
		Transport: e.env.Transport,
		Gossip:    e.Gossip,
		Log:       e.env.Log,
		Self:      e.self,
		State:     e.Register.Committed,
		Change:    e.Register.Change,
		Workers:   e.Discovery.Workers,
		Balancer:  e.Balancer,
		OnMove: func(u *upgrade.Upgrade) {
			e.Emitter.Emit(events.UpgradeChanged, u.Service, events.UpgradeProgress{Act: events.UpgradeProgressed, Phase: string(u.Phase), Wave: u.Wave, Why: u.Why})
		},
	})
	e.Control = &ingress.Control{
		Register:  e.Register,
		Discovery: e.Discovery,
		Upgrades:  e.Upgrades,
		Quotas:    e.Quotas,
		Trace:     e.Trace,
		Log:       e.env.Log,
		Emitter:   e.Emitter,
		WallUs:    e.env.WallUs,
	}
}

// Start runs the event loop, the initial read of the register, the emitter and the sweeps
// of requests. All of them end with ctx.
func (e *EdgeNode) Start(ctx context.Context) {
	e.Node.Start(ctx)
	e.wg.Go(func() { e.awaitInitialRead(ctx) })
	if e.Emitter != nil {
		e.wg.Go(func() { e.Emitter.Run(ctx) })
	}
	e.wg.Go(func() { eventloop.RunEvery(ctx, forward.SweepPeriod.Duration(), e.Forwarder.Sweep) })
}

// ready tells whether this node may be sent traffic.
func (e *EdgeNode) ready() bool {
	return e.servedConfiguration() != nil && e.Discovery.Synced()
}

// upkeep passes on what has changed among peers and workers. It runs on the event loop.
func (e *EdgeNode) upkeep() {
	e.Dispatcher.Tick()
	edges := 0
	for _, peer := range e.Gossip.Snapshot().Nodes {
		if peer.Alive && peer.Role == e.role && !peer.Leaving {
			edges++
		}
	}
	e.Balancer.SetEdges(edges)
	e.Balancer.SetDispatchers(len(e.dispatchers()))
	e.Balancer.Retain(e.Discovery.Snapshot())
}

// fleetCapacity is what a service's workers have together: slots as their heartbeats
// say, cache memory as the configuration does.
func (e *EdgeNode) fleetCapacity(service string) quota.Amount {
	var kvTokens int64
	if c := e.configuration.Load(); c != nil && c.Services[service] != nil && c.Services[service].Engine != nil {
		kvTokens = c.Services[service].Engine.KvToks
	}
	var capacity quota.Amount
	for _, worker := range e.Discovery.Snapshot().ByService[service] {
		capacity.Slots += float64(max(worker.Slots, 1))
		capacity.Kv += float64(kvTokens)
	}
	return capacity
}
