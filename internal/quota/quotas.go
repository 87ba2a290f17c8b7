package quota

import (
	"context"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/consensus"
	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/logging"
	"rowanshunt/internal/rpc"
)

// tickInterval is how often reports are looked at: fine enough to keep their
// intervals of at least 250 ms.
const tickInterval = 50 * clock.Millisecond

// Config is what a node's part in quotas is made of.
type Config struct {
	Loop      *eventloop.Loop // runs all of Quotas
	Mux       *rpc.Mux        // answers other nodes
	Transport rpc.Transport   // calls other nodes
	Gossip    *gossip.Gossip  // the membership as this node has it
	Log       *logging.Log
	Self      gossip.Peer // this node's own record
	State     func() *consensus.State
	Change    func(context.Context, consensus.Change) (*consensus.State, error)
	Gate      *Gate
}

// Quotas is one node's part in quotas: it puts documents in force, reports to the
// leaders of the services, and leads the services that fall to this node. All runs
// on the event loop but Explain, LeaderOf and RulesVersion, which any goroutine may
// call.
type Quotas struct {
	cfg      *Config
	reporter *reporter
	leaders  *leaders
	applied  string // the document in force, as it is stored
}

// New joins the quotas; ctx ends with the node. To be called before the loop runs.
func New(ctx context.Context, cfg Config) *Quotas {
	q := &Quotas{
		cfg:      &cfg,
		reporter: &reporter{cfg: &cfg, ctx: ctx, schedules: map[string]*reportSchedule{}},
		leaders:  &leaders{cfg: &cfg, ctx: ctx, byService: map[string]*serviceLeader{}},
	}
	rpc.Handle(cfg.Mux, reportKind, q.leaders.handleReport)
	rpc.Handle(cfg.Mux, explainKind, q.leaders.handleExplain)
	cfg.Loop.Every(tickInterval, q.tick)
	return q
}

// Apply puts a committed state in force: its document, and the terms of the leaders.
func (q *Quotas) Apply(state *consensus.State) {
	if raw := string(state.Attributes[documentKey]); raw != q.applied {
		q.applied = raw
		document := Load(state)
		if document == nil {
			q.cfg.Log.Warn("quotas_unreadable")
			return
		}
		q.cfg.Gate.SetRules(document.Compile())
		q.cfg.Log.Info("quotas_applied", "version", document.Version, "tenants", len(document.Tenants), "services", len(document.Shares))
	}
	if rules := q.cfg.Gate.Rules(); rules != nil {
		for _, service := range rules.Services() {
			q.cfg.Gate.ObserveTerm(service, loadLeader(state, service).Term)
		}
	}
}

// tick sends the reports that are due. Without a document it does nothing.
func (q *Quotas) tick() {
	rules := q.cfg.Gate.Rules()
	if rules == nil {
		return
	}
	now := clock.Now()
	view := q.cfg.Gossip.Snapshot()
	for _, service := range rules.Services() {
		leader := designatedLeader(view, q.cfg.Self.Role, service)
		if leader != q.cfg.Self.Name {
			q.leaders.resign(service)
		}
		q.reporter.reportIfDue(rules, service, view.Get(leader), now)
	}
}

// RulesVersion is the version of the document in force here, 0 without one.
func (q *Quotas) RulesVersion() int64 {
	if rules := q.cfg.Gate.Rules(); rules != nil {
		return rules.Version
	}
	return 0
}

// LeaderOf names the node that leads a service's quotas, as this node sees it.
func (q *Quotas) LeaderOf(service string) string {
	return designatedLeader(q.cfg.Gossip.Snapshot(), q.cfg.Self.Role, service)
}
