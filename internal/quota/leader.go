package quota

import (
	"context"
	"time"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/consensus"
	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/fault"
)

// The kinds of calls between nodes. The values are from the first version: nodes of
// the version before answer to them.
const (
	reportKind  = "nectar.report"
	explainKind = "nectar.explain"
)

const (
	// computeInterval is the shortest time between two computations of a service's
	// grants: reports in between are answered from the last one.
	computeInterval = 100 * clock.Millisecond
	// electionTimeout bounds one change of the register. It is as long as a grant at
	// least holds; an election that takes longer is tried again by the next report.
	electionTimeout = 2 * time.Second
)

// serviceLeader is this node's leadership of one service. It lives on the event loop.
type serviceLeader struct {
	*allocator
	term     uint64 // its fencing token, 0 before it is elected
	electing bool   // an election is in flight
	// grantsFrom is when the grants of earlier leaders have expired. Until then this
	// leader grants only once every living node has reported to it.
	grantsFrom clock.Instant
}

// isElected reports whether the record in the register is of this leadership.
func (s *serviceLeader) isElected(record leaderRecord, process string) bool {
	return s.term != 0 && record.Term <= s.term && (record.Term != s.term || record.Leader == process)
}

// grant is the answer to a node's report.
func (s *serviceLeader) grant(node string, now clock.Instant) *Grant {
	interval := reportIntervalFor(len(s.reports))
	grant := &Grant{
		Term: s.term, TTL: grantTTL(interval), Interval: interval,
		Contended: s.contended(now), Preempt: s.preempting, Limits: s.limits[node],
	}
	fractions := map[string]float64{}
	for _, limit := range grant.Limits {
		fractions[limit.Name] = limit.Fraction
	}
	s.reports[node].fractions = fractions
	return grant
}

// leaders are the services that this node leads or is about to. All runs on the
// event loop.
type leaders struct {
	cfg *Config
	// ctx ends with the node; elections in flight end with it.
	ctx       context.Context
	byService map[string]*serviceLeader
}

// resign forgets a service that another node is to lead. Its term in the register
// stays: the next leader takes a higher one.
func (l *leaders) resign(service string) { delete(l.byService, service) }

func (l *leaders) get(service string) *serviceLeader {
	leader := l.byService[service]
	if leader == nil {
		leader = &serviceLeader{allocator: newAllocator(service)}
		l.byService[service] = leader
	}
	return leader
}

// reportRequest is what a node reports of one service. Its fields travel in this
// order.
type reportRequest struct {
	Node         string
	Service      string
	RulesVersion int64 // of the document that the node's gate goes by
	Usages       []Usage
}

// handleReport answers a report of any goroutine on the event loop.
func (l *leaders) handleReport(ctx context.Context, request *reportRequest) (*Grant, error) {
	type answer struct {
		grant *Grant
		err   error
	}
	got, err := eventloop.Call(ctx, l.cfg.Loop, func() answer {
		grant, err := l.report(request)
		return answer{grant, err}
	})
	if err != nil {
		return nil, err
	}
	return got.grant, got.err
}

// report records a node's report and returns its grant, or why there is none.
func (l *leaders) report(request *reportRequest) (*Grant, error) {
	rules := l.cfg.Gate.Rules()
	view := l.cfg.Gossip.Snapshot()
	self := l.cfg.Self
	if designated := designatedLeader(view, self.Role, request.Service); designated != self.Name {
		return nil, fault.New(fault.NotOwner, designated, "this node does not lead the service's quotas", "report to the leader")
	}
	if rules == nil || rules.Version != request.RulesVersion || !rules.HasService(request.Service) {
		return nil, fault.New(fault.Stale, "quotas", "another version is in force here", "report again")
	}
	leader := l.get(request.Service)
	now := clock.Now()
	leader.observe(request.Node, request.Usages, now)
	// Whoever was elected after this node ends its leadership here (design 17.3).
	if record := loadLeader(l.cfg.State(), request.Service); !leader.isElected(record, self.ProcessID()) {
		l.elect(leader)
		return nil, fault.New(fault.Refused, request.Service, "a leader is being elected", "use your fractions until it is")
	}
	if now < leader.grantsFrom && !leader.allReported(view, self.Role, now) {
		return nil, fault.New(fault.Refused, request.Service, "grants of earlier leaders may still hold", "use your fractions until they expire")
	}
	if now.Sub(leader.computedAt) > computeInterval {
		leader.compute(rules, l.cfg.Gate.Fleet(request.Service), admittingNodes(view, self.Role, now), now)
	}
	if !leader.hasQuorum {
		return nil, fault.New(fault.Refused, request.Service, "too few nodes report", "use your fractions until more do")
	}
	return leader.grant(request.Node, now), nil
}

// elect takes a higher term for this node through the register. The goroutine ends
// with electionTimeout; there is one at a time for each leadership.
func (l *leaders) elect(leader *serviceLeader) {
	if leader.electing {
		return
	}
	leader.electing = true
	process := l.cfg.Self.ProcessID()
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, electionTimeout)
		defer cancel()
		var term uint64
		_, err := l.cfg.Change(ctx, func(state *consensus.State) (_ *consensus.State, err error) {
			term, err = electLeader(state, leader.service, process)
			return state, err
		})
		// An error of Post means that the node shuts down.
		_ = l.cfg.Loop.Post(l.ctx, func() { l.elected(leader, term, err) })
	}()
}

// elected ends an election on the event loop.
func (l *leaders) elected(leader *serviceLeader, term uint64, err error) {
	leader.electing = false
	if err != nil {
		l.cfg.Log.Debug("quota_election_failed", "service", leader.service, "err", err)
		return
	}
	// Earlier grants hold for as long as the largest number of nodes would make them.
	nodes := max(len(leader.reports), len(l.cfg.Gossip.Snapshot().Nodes))
	leader.term = term
	leader.grantsFrom = clock.Now().Add(grantTTL(reportIntervalFor(nodes)))
	l.cfg.Log.Info("quota_leader_elected", "service", leader.service, "term", term)
}
