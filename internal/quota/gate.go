package quota

import (
	"math"
	"sync"
	"sync/atomic"

	"rowanshunt/internal/clock"
)

const (
	// liveFirst is how long a tenant's batch waits behind one of its own live calls
	// that found no capacity (design 17.4): two report intervals, in which the leader
	// learns of the shortage and answers.
	liveFirst = 500 * clock.Millisecond
	// firstGrantGrace is how long nothing is bounded after the first leader of a
	// service was elected: a new document rejects nobody before that leader may grant.
	firstGrantGrace = 2 * clock.Second
	// waitingSpan is how long a tenant's items are reported as waiting after one found
	// no capacity: longer than the 450 ms between the polls of a dispatcher, each of
	// which asks for the hosts at their limits, so that the report does not flap.
	waitingSpan = 800 * clock.Millisecond
)

// Gate admits calls and items at one node, by the grants that it was last given and
// without asking anybody. Any goroutine may call it. A nil Gate admits everything.
type Gate struct {
	// Edges is how many edge nodes share the fleet, Fleet what the workers of a service
	// have together. Both are called with the gate locked: they must not block.
	Edges func() int64
	Fleet func(service string) Amount

	rules atomic.Pointer[Rules] // nil without a document

	// mu guards services and all that they point to. It is held for short sections
	// only: requests take it (design 1.5).
	mu       sync.Mutex
	services map[string]*serviceState
}

// serviceState is what a gate keeps of one service, under the gate's lock.
type serviceState struct {
	name    string
	tenants map[string]*tenantUsage

	term        uint64        // the newest fencing token seen; grants of older ones are void
	firstTermAt clock.Instant // when the service's first leader was seen

	grant        *Grant // the last one, nil before the first
	grantExpires clock.Instant
	// fractions are those of the last grant, by tenant; they outlive it.
	fractions map[string]float64
}

// SetRules puts a document in force, nil for none.
func (g *Gate) SetRules(rules *Rules) { g.rules.Store(rules) }

// Rules are those in force, nil without a document.
func (g *Gate) Rules() *Rules {
	if g == nil {
		return nil
	}
	return g.rules.Load()
}

// Active reports whether a service's calls are counted at all.
func (g *Gate) Active(service string) bool {
	rules := g.Rules()
	return rules != nil && rules.HasService(service)
}

// service is the state of a service; the caller holds g.mu.
func (g *Gate) service(name string) *serviceState {
	s := g.services[name]
	if s == nil {
		if g.services == nil {
			g.services = map[string]*serviceState{}
		}
		s = &serviceState{name: name, tenants: map[string]*tenantUsage{}}
		g.services[name] = s
	}
	return s
}

func (s *serviceState) tenant(name string) *tenantUsage {
	u := s.tenants[name]
	if u == nil {
		u = &tenantUsage{}
		s.tenants[name] = u
	}
	return u
}

// Admit admits and counts a live call of so many tokens, false if its tenant is over its
// share while others need the capacity. The ticket is nil where nothing is counted.
func (g *Gate) Admit(service, host string, tokens int64) (*Ticket, bool) {
	return g.admit(service, host, tokens, nil)
}

// AdmitItem is the same for an item of a batch job. preempt is called, at most once
// and with the gate locked, when the run is to give way: it must not block.
func (g *Gate) AdmitItem(service, host string, tokens int64, preempt func()) (*Ticket, bool) {
	return g.admit(service, host, tokens, preempt)
}

// admit admits a live call, or an item if there is a preempt.
func (g *Gate) admit(service, host string, tokens int64, preempt func()) (*Ticket, bool) {
	if !g.Active(service) {
		return nil, true
	}
	rules := g.Rules()
	tenant := rules.Tenant(service, host)
	now := clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(service)
	usage := s.tenant(tenant)
	batch := preempt != nil
	bound, bounded := g.bound(rules, s, tenant, now)
	if bounded && !g.fits(s, tenant, bound, batch, now) {
		if batch {
			usage.itemWaitedAt = now
		} else {
			usage.recordShortage(now)
		}
		return nil, false
	}
	ticket := &Ticket{gate: g, usage: usage, amount: Amount{Slots: 1, Kv: float64(tokens)}, batch: batch, preempt: preempt}
	usage.add(ticket)
	if bounded && !batch {
		usage.preemptNewest(g.countedOf(s, bound))
	}
	return ticket, true
}

// fits reports whether one more call or item of a tenant may run here under a bound. The
// bound may be passed by the one that reaches it (design 17.3). A live call is measured
// against the tenant's live calls alone: its own items give way to it (design 17.4). The
// caller holds g.mu.
func (g *Gate) fits(s *serviceState, tenant string, bound Amount, batch bool, now clock.Instant) bool {
	usage := s.tenant(tenant)
	has := usage.live
	switch {
	case batch && now.Sub(usage.shortageAt) < liveFirst:
		return false
	case batch:
		has = usage.total()
	case s.liveUnbounded(tenant, now):
		return true
	}
	bound = g.countedOf(s, bound)
	return has.Slots < bound.Slots && has.Kv < bound.Kv
}

// countedOf is a bound without that of the KV cache where the fleet's is not known.
func (g *Gate) countedOf(s *serviceState, bound Amount) Amount {
	if g.Fleet(s.name).Kv <= 0 {
		bound.Kv = math.Inf(1)
	}
	return bound
}

// bound is what a tenant may have here, false if nothing bounds it now.
func (g *Gate) bound(rules *Rules, s *serviceState, tenant string, now clock.Instant) (Amount, bool) {
	if now >= s.grantExpires {
		if s.term == 0 || now.Sub(s.firstTermAt) < firstGrantGrace {
			return Amount{}, false
		}
		return g.guaranteedPart(rules, s, tenant), true
	}
	limit, found := s.grant.limit(tenant)
	if !found || limit.Unbounded || !s.grant.Contended && !limit.Capped {
		return Amount{}, false
	}
	return Amount{Slots: float64(limit.Slots), Kv: limit.Kv}, true
}

// liveUnbounded reports whether the grant in force leaves the tenant's live calls
// without a bound, whatever its items have.
func (s *serviceState) liveUnbounded(tenant string, now clock.Instant) bool {
	if now >= s.grantExpires {
		return false
	}
	limit, _ := s.grant.limit(tenant)
	live, _ := s.grant.limit(liveLimitName(tenant))
	return limit.Unbounded || live.Unbounded
}

// guaranteedPart bounds a tenant while no grant is in force: this node's fraction of
// what it is guaranteed, and at least one call.
func (g *Gate) guaranteedPart(rules *Rules, s *serviceState, tenant string) Amount {
	part, granted := s.fractions[tenant]
	if !granted {
		part = 1 / float64(max(g.Edges(), 1))
	}
	guarantee, _ := rules.Guarantee(s.name, tenant)
	return guarantee.of(g.Fleet(s.name)).times(part).atLeast(Amount{Slots: 1, Kv: 1})
}

// RecordShortage notes that a live call that was admitted found no worker with
// capacity: its tenant needs what others borrow.
func (g *Gate) RecordShortage(service, host string) {
	if !g.Active(service) {
		return
	}
	tenant := g.Rules().Tenant(service, host)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.service(service).tenant(tenant).recordShortage(clock.Now())
}

// Entitled reports whether the live calls of a host's tenant are known to be within its
// guarantee: what they lack is lent to others, or used by the tenant's own items.
func (g *Gate) Entitled(service, host string) bool {
	if !g.Active(service) {
		return false
	}
	tenant := g.Rules().Tenant(service, host)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.service(service).liveUnbounded(tenant, clock.Now())
}

// AtLimit lists, of some hosts, those whose items would not be admitted now, and
// notes that their items wait.
func (g *Gate) AtLimit(service string, hosts []string) []string {
	if !g.Active(service) {
		return nil
	}
	rules := g.Rules()
	now := clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(service)
	var full []string
	for _, host := range hosts {
		tenant := rules.Tenant(service, host)
		usage := s.tenant(tenant)
		bound, bounded := g.bound(rules, s, tenant, now)
		if bounded && !g.fits(s, tenant, bound, true, now) {
			usage.itemWaitedAt = now
			full = append(full, host)
		}
	}
	return full
}

// Report returns what this node has to report and resets its shortages. Tenants with nothing
// to report are left out, so that a report is as large as the node's own traffic.
func (g *Gate) Report(service string) []Usage {
	now := clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(service)
	var usages []Usage
	for _, name := range sortedKeys(s.tenants) {
		tenant := s.tenants[name]
		usage := tenant.report(name, now)
		switch {
		case !usage.empty():
			usages = append(usages, usage)
		case now.Sub(tenant.shortageAt) > 2*liveFirst:
			delete(s.tenants, name) // no ticket is left: its use would be in the report
		}
	}
	return usages
}

// ObserveTerm records the newest term of a service's leaders from the register:
// grants of older terms are not applied any more, and the one in force is cut short.
func (g *Gate) ObserveTerm(service string, term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(service)
	if term <= s.term {
		return
	}
	now := clock.Now()
	if s.term == 0 {
		s.firstTermAt = now
	}
	s.term = term
	s.grantExpires = min(s.grantExpires, now.Add(minGrantTTL))
}

// Apply puts a grant in force whose report was sent at some moment, false if it is
// of an older term. Borrowed batch runs over a new limit give way, the newest first.
func (g *Gate) Apply(service string, grant *Grant, sent clock.Instant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(service)
	if grant.Term < s.term {
		return false
	}
	if s.term == 0 {
		s.firstTermAt = sent
	}
	s.term, s.grant, s.grantExpires = grant.Term, grant, sent.Add(grant.TTL)
	s.fractions = map[string]float64{}
	for _, limit := range grant.Limits {
		s.fractions[limit.Name] = limit.Fraction
		if usage := s.tenants[limit.Name]; usage != nil && grant.Preempt && !limit.Unbounded {
			usage.preemptOver(limit)
		}
	}
	return true
}
