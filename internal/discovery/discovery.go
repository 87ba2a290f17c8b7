// Package discovery is the directory of workers: their heartbeats, leases and
// departures, and the way of updates from the aggregator of each service in a zone to
// the zone's nodes that serve requests (design 5).
//
// The state (workerTable, departureLog, subscriberTable, sources, coreContact,
// placement) does no I/O and is given the present time; the other types carry it
// between nodes. All tables belong to one event loop.
package discovery

import (
	"context"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/consensus"
	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/logging"
	"rowanshunt/internal/rpc"
)

const (
	// publishPeriod bounds how long a worker stays in the directory after its lease.
	publishPeriod = 100 * clock.Millisecond
	// registeredTimeout bounds the wait for the event loop in Workers.
	registeredTimeout = 1 * clock.Second
)

// Config is what a Discovery works with.
type Config struct {
	Loop              *eventloop.Loop // owns the tables
	Mux               *rpc.Mux        // answers other nodes
	Transport         rpc.Transport   // calls other nodes
	Gossip            *gossip.Gossip
	Log               *logging.Log
	Self              gossip.Peer // this node's own record
	HeartbeatInterval clock.Micros
	Services          func() []string // of the configuration in force
	// LocalLoads lists the loads that this node received from workers itself, or with
	// all also those that peers sent. May be nil.
	LocalLoads func(all bool) []Load
	// OnLoads merges the loads that a peer sent, "" for this node's own aggregator.
	// May be nil.
	OnLoads func(from string, loads []Load)
	// OnWorkerChange is called for each heartbeat to this node that brings a change.
	// May be nil.
	OnWorkerChange func(Worker)
	Dir            string // of the journal, "" without a disk
	// Core gives the membership of the core as last committed, nil if this node knows
	// none yet. A node without the function is alone.
	Core func() *consensus.Membership
}

// localNode is what the types that exchange records with other nodes share: this node's
// own record, its tables and its way to the others. It is constant once made; the table
// belongs to the event loop.
type localNode struct {
	loop      *eventloop.Loop
	client    *peerClient
	view      func() *gossip.View
	self      gossip.Peer
	table     *workerTable
	placement *placement
}

// Discovery composes the parts of this package and answers the node's other packages.
// It is safe for concurrent use.
type Discovery struct {
	lifetime     context.Context // ends with the node
	loop         *eventloop.Loop
	view         func() *gossip.View
	table        *workerTable
	placement    *placement
	subscription *subscription
	heartbeats   *heartbeats
	journal      *journal // nil without a disk, or if it cannot be opened
}

// New makes a Discovery whose calls and timers end with ctx. The event loop must not
// run yet.
func New(ctx context.Context, cfg Config) (*Discovery, error) {
	table := newWorkerTable(cfg.Log, cfg.HeartbeatInterval, clock.Now())
	placement := &placement{self: cfg.Self}
	contact := newCoreContact(cfg.Self.Name, cfg.Core)
	sources := newSources(cfg.Self)
	subscribers := subscriberTable{}
	view := cfg.Gossip.Snapshot
	client := &peerClient{lifetime: ctx, transport: cfg.Transport, view: view}
	loads := loadHooks{localLoads: cfg.LocalLoads, onLoads: cfg.OnLoads}

	node := localNode{loop: cfg.Loop, client: client, view: view, self: cfg.Self, table: table, placement: placement}

	aggregator := &aggregator{
		loop: cfg.Loop, client: client, table: table, contact: contact, subscribers: subscribers,
		usualAge: usualAge(cfg.HeartbeatInterval), loads: loads,
	}
	updates := &updates{localNode: node, aggregator: aggregator, unsent: map[string]bool{}}
	departures := &departureExchange{localNode: node, contact: contact, sources: sources, cursors: map[string]departureCursor{}}
	d := &Discovery{lifetime: ctx, loop: cfg.Loop, view: view, table: table, placement: placement}
	d.subscription = &subscription{
		localNode: node, sources: sources, subscribers: subscribers, departures: departures,
		services: cfg.Services, loads: loads, seeksJournals: cfg.Dir == "", asking: map[string]bool{},
	}
	d.heartbeats = &heartbeats{
		lifetime: ctx, loop: cfg.Loop, view: view, log: cfg.Log, table: table, placement: placement,
		contact: contact, updates: updates, onWorkerChange: cfg.OnWorkerChange,
	}

	if cfg.Dir != "" {
		d.startJournal(cfg.Dir, cfg.Log)
	}
	rpc.Handle(cfg.Mux, kindUpdate, updates.handleUpdate)
	rpc.Handle(cfg.Mux, kindSubscribe, aggregator.handleSubscribe)
	rpc.Handle(cfg.Mux, kindDepartures, departures.handleDepartures)
	cfg.Loop.Every(startupRenewPeriod, func() { d.subscription.run(ctx) })
	cfg.Loop.Every(publishPeriod, func() { table.publishPeriodically(clock.Now()) })
	cfg.Loop.Every(heartbeatFlushPeriod, updates.flushHeartbeats)
	return d, nil
}

// startJournal restores the journal's workers and has the directory written to it. A
// node whose disk does not permit that does without.
func (d *Discovery) startJournal(dir string, log *logging.Log) {
	j, restored, err := openJournal(dir, log)
	if err != nil {
		log.Warn("journal_unavailable", "err", err)
		return
	}
	d.journal = j
	context.AfterFunc(d.lifetime, j.wal.Close)
	for _, w := range restored {
		// A departure holds as before; a worker that was up, until its next heartbeat.
		w.Restored = w.Up()
		d.table.merge(w, d.table.started)
	}
	write := func(now clock.Instant) { j.write(d.table.persistent(now)) }
	d.table.onDeparture = write
	d.loop.Every(journalPeriod, func() { write(clock.Now()) })
}

// Heartbeat handles the heartbeat of a worker and returns the address for its further
// ones. It returns no error only once the nodes that send to the worker learn of a
// change in time (design 5.2, 5.4).
func (d *Discovery) Heartbeat(ctx context.Context, w Worker) (next string, err error) {
	return d.heartbeats.receive(ctx, w)
}

// Snapshot returns the newest directory.
func (d *Discovery) Snapshot() *Directory { return d.table.directory.Load() }

// Synced tells whether this node has been up to date since it started.
func (d *Discovery) Synced() bool { return d.subscription.synced.Load() }

// Workers lists all workers that have their lease, draining ones included; none if
// the event loop does not answer in time.
func (d *Discovery) Workers() []Worker {
	ctx, cancel := context.WithTimeout(d.lifetime, registeredTimeout.Duration())
	defer cancel()
	workers, err := eventloop.Call(ctx, d.loop, d.table.registered)
	if err != nil {
		return nil
	}
	return workers
}

// Trace returns what this node knows of a worker, nil if nothing, and whether it is in
// the directory.
func (d *Discovery) Trace(ctx context.Context, id string) (w *Worker, inUse bool) {
	w, err := eventloop.Call(ctx, d.loop, func() *Worker { return d.table.trace(id, clock.Now()) })
	if err != nil {
		return nil, false
	}
	return w, d.Snapshot().ByID[id] != nil
}

// AggregatorFor names the aggregator of a service in this node's zone, "" if there is
// none.
func (d *Discovery) AggregatorFor(svc string) string {
	return d.placement.local(svc, d.view())
}
