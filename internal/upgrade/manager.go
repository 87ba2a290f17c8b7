package upgrade

import (
	"context"
	"time"

	"rowanshunt/internal/balancer"
	"rowanshunt/internal/clock"
	"rowanshunt/internal/consensus"
	"rowanshunt/internal/discovery"
	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/logging"
	"rowanshunt/internal/rendezvous"
	"rowanshunt/internal/rpc"
)

const (
	// stepInterval is how often open upgrades are looked at: a wave takes seconds at
	// least, and each step calls every edge node.
	stepInterval = 500 * clock.Millisecond
	// stepTimeout bounds a step: the calls to the other nodes and at most two changes
	// of the register. A step that takes longer is tried again.
	stepTimeout = 3 * time.Second
)

// Config is what a node's part in upgrades is made of.
type Config struct {
	Loop      *eventloop.Loop // runs the manager's tick
	Mux       *rpc.Mux        // answers other nodes
	Transport rpc.Transport   // calls other nodes
	Gossip    *gossip.Gossip  // the membership as this node has it
	Log       *logging.Log
	Self      gossip.Peer // this node's own record
	State     func() *consensus.State
	Change    func(context.Context, consensus.Change) (*consensus.State, error)
	Workers   func() []discovery.Worker // all registered workers, drained or not
	Balancer  *balancer.Balancer
	OnMove    func(*Upgrade) // called after a phase or wave is committed; may be nil
}

// Manager is one node's part in upgrades: it answers the surveys of drivers, drives
// the upgrades that fall to this node, and carries out operators' orders.
type Manager struct {
	cfg Config
	// ctx ends with the node; a step in flight ends with it.
	ctx context.Context
	// stepping tells whether a step is in flight; only the event loop touches it.
	stepping bool
}

// New joins the upgrades; ctx ends with the node. To be called before the loop runs.
func New(ctx context.Context, cfg Config) *Manager {
	m := &Manager{cfg: cfg, ctx: ctx}
	rpc.Handle(cfg.Mux, surveyKind, func(_ context.Context, request *surveyRequest) (*surveyResponse, error) {
		return m.answerSurvey(request.Service), nil
	})
	cfg.Loop.Every(stepInterval, m.tick)
	return m
}

// Apply puts the upgrades of a committed state in force at this node's balancer:
// drained workers get nothing new, prefix groups are spread, returned workers warm up.
func Apply(state *consensus.State, target *balancer.Balancer) {
	drained := map[string]bool{}
	spread := map[string]int{}
	warm := map[string]balancer.Warming{}
	rankNames := map[string]string{}
	for _, u := range All(state) {
		for id, name := range u.RankNames {
			rankNames[id] = name
		}
		for _, worker := range u.Drained {
			drained[worker.ID] = true
		}
		if !u.Open() {
			continue
		}
		warm[u.Service] = balancer.Warming{Ver: u.To, OverUs: int64(u.Rules.warmup())}
		if u.SpreadReplicas > 1 {
			spread[u.Service] = int(u.SpreadReplicas)
		}
	}
	target.SetUpgrades(balancer.UpgradeState{Out: drained, Spread: spread, Warm: warm, Heirs: rankNames})
}

// tick starts a step of the first open upgrade that falls to this node. The step's
// goroutine ends with stepTimeout; there is one at a time.
func (m *Manager) tick() {
	state := m.cfg.State()
	if m.stepping || state == nil {
		return
	}
	service, ok := m.nextToDrive(state)
	if !ok {
		return
	}
	m.stepping = true
	go func() {
		ctx, cancel := context.WithTimeout(m.ctx, stepTimeout)
		defer cancel()
		if err := m.drive(ctx, service); err != nil {
			m.cfg.Log.Debug("upgrade_step_failed", "service", service, "err", err)
		}
		// An error of Post means that the node shuts down.
		_ = m.cfg.Loop.Post(m.ctx, func() { m.stepping = false })
	}()
}

// nextToDrive finds the first open upgrade whose driver this node is to be, as its
// view of the membership has it. Views differ for a while; the term decides.
func (m *Manager) nextToDrive(state *consensus.State) (service string, ok bool) {
	upgrades := All(state)
	if len(upgrades) == 0 {
		return "", false
	}
	live := m.cfg.Gossip.Snapshot().Names(func(node *gossip.NodeState) bool {
		return node.Alive && node.Role == m.cfg.Self.Role && !node.Leaving
	})
	for _, u := range upgrades {
		if u.Open() && rendezvous.Holder(keyPrefix+u.Service, live) == m.cfg.Self.Name {
			return u.Service, true
		}
	}
	return "", false
}

// drive takes the upgrade over if need be and does one step. Both go through the
// register under the term: a driver that froze or was partitioned finds a higher term
// there and changes nothing.
func (m *Manager) drive(ctx context.Context, service string) error {
	u := Load(m.cfg.State(), service)
	if !u.Open() {
		return nil
	}
	if u.Driver != m.cfg.Self.ProcessID() {
		var err error
		if u, err = m.becomeDriver(ctx, u); err != nil {
			return err
		}
	}
	observed, err := m.observe(ctx, service)
	if err != nil {
		return err
	}
	// Most steps change nothing: only those that would go to the register.
	if !u.clone().Step(observed, clock.Now()) {
		return nil
	}
	return m.commitStep(ctx, u, observed)
}

// errNotDriver refuses a change of a driver that another one succeeded.
func errNotDriver(service string) error {
	return fault.New(fault.Stale, service, "another node drives", "nothing to do")
}

// becomeDriver makes this process the driver under the next term.
func (m *Manager) becomeDriver(ctx context.Context, u *Upgrade) (*Upgrade, error) {
	service, from := u.Service, u.Term
	state, err := m.cfg.Change(ctx, func(state *consensus.State) (*consensus.State, error) {
		u := Load(state, service)
		if !u.Open() || u.Term != from {
			return nil, errNotDriver(service)
		}
		u.setDriver(m.cfg.Self.ProcessID())
		return state, u.store(state)
	})
	if err != nil {
		return nil, err
	}
	u = Load(state, service)
	m.cfg.Log.Info("upgrade_driver_elected", "service", service, "term", u.Term, "wave", u.Wave)
	return u, nil
}

// commitStep does the step on the committed upgrade, if this process still drives it.
func (m *Manager) commitStep(ctx context.Context, before *Upgrade, observed Observation) error {
	service := before.Service
	state, err := m.cfg.Change(ctx, func(state *consensus.State) (*consensus.State, error) {
		u := Load(state, service)
		if u == nil || u.Term != before.Term || u.Driver != m.cfg.Self.ProcessID() {
			return nil, errNotDriver(service)
		}
		if !u.Step(observed, clock.Now()) {
			return nil, nil // no change to commit
		}
		return state, u.store(state)
	})
	if err != nil {
		return err
	}
	if u := Load(state, service); u != nil && (u.Phase != before.Phase || u.Wave != before.Wave) {
		m.reportMove(u)
	}
	return nil
}

func (m *Manager) reportMove(u *Upgrade) {
	if m.cfg.OnMove != nil {
		m.cfg.OnMove(u)
	}
	m.cfg.Log.Info("upgrade_moved", "service", u.Service, "phase", u.Phase, "wave", u.Wave, "out", len(u.Drained), "why", u.Why, "remedy", u.Remedy)
}
