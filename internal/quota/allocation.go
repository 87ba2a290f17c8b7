package quota

import "rowanshunt/internal/clock"

// Figures of the allocation; our own, checked by the runs in docs/quotas.md.
const (
	contendedUse    = 0.85 // fraction of the fleet in use: others may need the capacity
	withinThreshold = 0.9  // fraction of a guarantee below which a tenant is not bounded
	growthHeadroom  = 1.25 // what a tenant within its guarantee may grow until the next report
	evenFraction    = 0.5  // of a guarantee is divided evenly among nodes, the rest by use
	waitingWeight   = 2    // slots that a node with waiting items counts for beyond its use
)

// tenantDemand is one tenant of a service while its allocation is computed.
type tenantDemand struct {
	name      string
	guarantee Guarantee

	// Demand, summed over the nodes that report.
	live, batch Amount
	shortages   int64 // live calls that found no capacity
	waiting     bool  // items wait for capacity

	// The demand of each node, in the order of allocation.nodes.
	slotsInUse  []float64
	nodeWeights []float64 // slots in use and those it lacks

	// reserved is the sum of the tenant's fractions that silent nodes still use.
	reserved float64

	withinGuarantee bool // all that it has is
	liveWithin      bool // its live calls alone are
	want            Amount
	allocated       Amount
}

func (t *tenantDemand) use() Amount { return t.live.plus(t.batch) }

// lacks reports whether the tenant found too little capacity.
func (t *tenantDemand) lacks() bool { return t.waiting || t.shortages > 0 }

// addNode adds what one node reports.
func (t *tenantDemand) addNode(node int, usage Usage) {
	t.live = t.live.plus(usage.Live)
	t.batch = t.batch.plus(usage.Batch)
	t.shortages += usage.Shortages
	t.waiting = t.waiting || usage.Waiting
	t.slotsInUse[node] = usage.Live.Slots + usage.Batch.Slots
	t.nodeWeights[node] = t.slotsInUse[node] + float64(usage.Shortages)
	if usage.Waiting {
		t.nodeWeights[node] += waitingWeight
	}
}

// allocation is one computation of a service's grants from the reports of its
// nodes: demand, guarantees, allocation, distribution to the nodes (design 17.3).
// It lives for one call of allocator.compute. Its results depend on nothing but its
// inputs, to the last bit: all sums run in the order of the names.
type allocation struct {
	service   string
	fleet     Amount
	available Amount          // the fleet without what silent nodes may use
	nodes     []string        // with a fresh report, sorted
	tenants   []*tenantDemand // sorted by name

	inUse     Amount
	shortages int64
	perSlot   Amount // the mean call: one slot and its KV cache
}

func newAllocation(service string, fleet Amount, nodes []string, guarantees map[string]Guarantee) *allocation {
	a := &allocation{service: service, fleet: fleet, available: fleet, nodes: nodes}
	for _, name := range sortedKeys(guarantees) {
		a.tenants = append(a.tenants, &tenantDemand{
			name:        name,
			guarantee:   guarantees[name],
			slotsInUse:  make([]float64, len(nodes)),
			nodeWeights: make([]float64, len(nodes)),
		})
	}
	return a
}

// sumDemand adds up what the nodes report of the tenants that have a guarantee.
func (a *allocation) sumDemand(reports map[string]*nodeReport) {
	byName := map[string]*tenantDemand{}
	for _, tenant := range a.tenants {
		byName[tenant.name] = tenant
	}
	for i, node := range a.nodes {
		for _, usage := range reports[node].usages {
			if tenant := byName[usage.Name]; tenant != nil {
				tenant.addNode(i, usage)
			}
		}
	}
	for _, tenant := range a.tenants {
		a.inUse = a.inUse.plus(tenant.live).plus(tenant.batch)
		a.shortages += tenant.shortages
	}
	a.perSlot = Amount{Slots: 1}
	if a.inUse.Slots > 0 {
		a.perSlot.Kv = a.inUse.Kv / a.inUse.Slots
	}
}

// reserve subtracts from the fleet what the silent nodes may use: each goes by the
// fractions of the guarantees that it was last granted.
func (a *allocation) reserve(silent []*nodeReport) {
	for _, node := range silent {
		for _, tenant := range a.tenants {
			part, granted := node.fractions[tenant.name]
			if !granted {
				continue
			}
			tenant.reserved += part
			a.available = a.available.minus(tenant.guarantee.of(a.fleet).times(part))
		}
	}
	a.available = a.available.atLeast(Amount{})
}

// contended reports whether some tenant may need capacity that another borrows.
func (a *allocation) contended() bool {
	return a.shortages > 0 || a.inUse.Dominant(a.available) >= contendedUse
}

// applyGuarantees finds who is within its guarantee and what each tenant wants.
func (a *allocation) applyGuarantees() {
	for _, tenant := range a.tenants {
		use := tenant.use()
		tenant.withinGuarantee = tenant.isWithin(use, a.fleet)
		tenant.liveWithin = tenant.isWithin(tenant.live, a.fleet)
		tenant.want = use.plus(a.perSlot.times(float64(tenant.shortages)))
		switch {
		case tenant.waiting:
			tenant.want = tenant.want.atLeast(a.fleet)
		case tenant.withinGuarantee:
			tenant.want = tenant.want.times(growthHeadroom)
			if use.Slots > 0 {
				tenant.want = tenant.want.plus(a.perSlot)
			}
		}
	}
}

// isWithin reports whether an amount is so far below the tenant's guarantee, and its cap,
// that nothing bounds it.
func (t *tenantDemand) isWithin(amount, fleet Amount) bool {
	guaranteed, limit := t.guarantee.atLeast(leastShare).of(fleet), t.guarantee.Cap
	return amount.Dominant(guaranteed) < withinThreshold &&
		(limit == 0 || amount.Dominant(fleet) < withinThreshold*limit)
}

// preempts reports whether batch runs over their limits are to give way: a tenant whose
// live calls are within its guarantee found no capacity, or nothing is left for one.
func (a *allocation) preempts() bool {
	for _, tenant := range a.tenants {
		if tenant.liveWithin && tenant.shortages > 0 {
			return true
		}
	}
	return a.inUse.Dominant(a.available) >= 1
}

// allocate divides what is available among the tenants.
func (a *allocation) allocate() {
	demands := make([]Demand, len(a.tenants))
	for i, tenant := range a.tenants {
		demands[i] = Demand{Name: tenant.name, Want: tenant.want, Guarantee: tenant.guarantee}
	}
	for i, amount := range Allocate(a.available, demands) {
		a.tenants[i].allocated = amount
	}
}

// distribute divides each tenant's allocation among the nodes by their demand.
func (a *allocation) distribute() map[string][]Limit {
	limits := map[string][]Limit{}
	for _, tenant := range a.tenants {
		for i, limit := range tenant.distribute(len(a.nodes)) {
			limits[a.nodes[i]] = append(limits[a.nodes[i]], limit)
			if tenant.liveWithin && !tenant.withinGuarantee {
				limits[a.nodes[i]] = append(limits[a.nodes[i]], Limit{Name: liveLimitName(tenant.name), Unbounded: true})
			}
		}
	}
	return limits
}

// distribute divides the tenant's allocation among the nodes. The fraction that a
// node uses without a grant is half even and half by use: a node without traffic
// keeps something to start with.
func (t *tenantDemand) distribute(nodes int) []Limit {
	totalWeight, totalInUse := 0.0, 0.0
	for i := range nodes {
		totalWeight += t.nodeWeights[i]
		totalInUse += t.slotsInUse[i]
	}
	limits := make([]Limit, nodes)
	for i, slots := range Apportion(int64(t.allocated.Slots), t.nodeWeights) {
		kv := t.allocated.Kv / float64(nodes)
		if totalWeight > 0 {
			kv = t.allocated.Kv * t.nodeWeights[i] / totalWeight
		}
		part := 1 / float64(nodes)
		if totalInUse > 0 {
			part = float64(evenFraction*part) + (1-evenFraction)*t.slotsInUse[i]/totalInUse
		}
		limits[i] = Limit{
			Name: t.name, Unbounded: t.withinGuarantee, Capped: t.guarantee.Cap > 0,
			Slots: slots, Kv: kv, Fraction: part * max(1-t.reserved, 0),
		}
	}
	return limits
}

// statuses lists how the tenants stand, for operators.
func (a *allocation) statuses(contended bool) []TenantStatus {
	statuses := make([]TenantStatus, 0, len(a.tenants))
	for _, tenant := range a.tenants {
		statuses = append(statuses, a.status(tenant, contended))
	}
	return statuses
}

func (a *allocation) status(tenant *tenantDemand, contended bool) TenantStatus {
	use, guarantee := tenant.use(), tenant.guarantee
	status := guaranteeStatus(a.service, tenant.name, guarantee)
	status.LiveSlots, status.BatchSlots, status.Kv = tenant.live.Slots, tenant.batch.Slots, use.Kv
	status.FleetSlots, status.FleetKv = a.fleet.Slots, a.fleet.Kv
	status.AllowedSlots, status.AllowedKv = tenant.allocated.Slots, tenant.allocated.Kv
	status.Bounded = guarantee.Cap > 0 || contended && !tenant.withinGuarantee
	status.Borrowed = max(use.Slots-float64(a.fleet.Slots*guarantee.Slots), 0)
	status.Waiting = tenant.lacks()
	atCap := guarantee.Cap > 0 && use.Dominant(a.fleet) >= withinThreshold*guarantee.Cap
	status.Why = explainStatus(tenant.withinGuarantee, contended, atCap, tenant.lacks())
	return status
}

// contendedSpan is how long a service counts as contended after the last sign of
// it: four reports of a small fleet, so that bounds do not flap between reports.
const contendedSpan = 1 * clock.Second
