package quota

import (
	"rowanshunt/internal/clock"
	"rowanshunt/internal/gossip"
)

const (
	// reportFreshness is how old a node's report may be to count: six report periods
	// of a small fleet, so that a few lost calls do not make a node silent, and less
	// than a grant's time to live.
	reportFreshness = 1_500 * clock.Millisecond
	// reservationTime is how long the fractions of a silent node stay reserved for
	// it. A node that is gone for longer counts as removed.
	reservationTime = 60 * clock.Second
	// departureGrace is how long a node that is no longer alive counts for the quorum:
	// the smaller side of a partition must not grant as soon as it has lost sight of
	// the other.
	departureGrace = 10 * clock.Second
)

// nodeReport is what a node last reported of a service, and what it was granted.
type nodeReport struct {
	usages    []Usage
	at        clock.Instant
	fractions map[string]float64 // by tenant, of the last grant that was sent to it
}

func (n *nodeReport) fresh(now clock.Instant) bool { return now.Sub(n.at) <= reportFreshness }

// allocator keeps the reports of a service's nodes and the grants computed from
// them. It is the part of a leader's state that has nothing to do with its election,
// and lives on the event loop.
type allocator struct {
	service string
	reports map[string]*nodeReport // by node

	computedAt     clock.Instant
	contendedUntil clock.Instant
	// hasQuorum tells whether more than half of the nodes had a fresh report when the
	// grants were computed; without it the fields below are of an earlier computation
	// and must not be granted.
	hasQuorum  bool
	preempting bool
	limits     map[string][]Limit // by node
	statuses   []TenantStatus
}

func newAllocator(service string) *allocator {
	return &allocator{service: service, reports: map[string]*nodeReport{}}
}

// observe records a node's report.
func (a *allocator) observe(node string, usages []Usage, now clock.Instant) *nodeReport {
	report := a.reports[node]
	if report == nil {
		report = &nodeReport{}
		a.reports[node] = report
	}
	report.usages, report.at = usages, now
	return report
}

// allReported reports whether every living node has reported lately: then each gets
// a grant that replaces the one an earlier leader gave it.
func (a *allocator) allReported(view *gossip.View, role string, now clock.Instant) bool {
	for i := range view.Nodes {
		node := &view.Nodes[i]
		if node.Role != role || !node.Alive {
			continue
		}
		if report := a.reports[node.Name]; report == nil || !report.fresh(now) {
			return false
		}
	}
	return true
}

// admittingNodes lists the nodes that admit calls, with those that fell silent
// lately.
func admittingNodes(view *gossip.View, role string, now clock.Instant) []string {
	return view.Names(func(node *gossip.NodeState) bool {
		return node.Role == role && (node.Alive || now.Sub(node.StateChanged) < departureGrace)
	})
}

// compute works the grants out anew from the reports. members are the nodes that
// admit calls; without fresh reports of more than half of them nothing is computed.
func (a *allocator) compute(rules *Rules, fleet Amount, members []string, now clock.Instant) {
	a.computedAt = now
	a.forgetNodes(now)
	fresh, silent := a.splitReports(members, now)
	if !a.hasQuorum {
		return
	}
	computation := newAllocation(a.service, fleet, fresh, rules.shares[a.service])
	computation.sumDemand(a.reports)
	computation.reserve(silent)
	if computation.contended() {
		a.contendedUntil = now.Add(contendedSpan)
	}
	computation.applyGuarantees()
	a.preempting = computation.preempts()
	computation.allocate()
	a.limits = computation.distribute()
	a.statuses = computation.statuses(a.contended(now))
}

func (a *allocator) contended(now clock.Instant) bool { return now < a.contendedUntil }

// forgetNodes drops the nodes that have been silent for so long that nothing stays
// reserved for them.
func (a *allocator) forgetNodes(now clock.Instant) {
	for name, report := range a.reports {
		if now.Sub(report.at) > reservationTime {
			delete(a.reports, name)
		}
	}
}

// splitReports lists the nodes with a fresh report and the reports of silent members,
// both by the nodes' names, and notes whether the fresh ones are a quorum.
func (a *allocator) splitReports(members []string, now clock.Instant) (fresh []string, silent []*nodeReport) {
	isMember := map[string]bool{}
	for _, name := range members {
		isMember[name] = true
	}
	freshMembers := 0
	for _, name := range sortedKeys(a.reports) {
		report := a.reports[name]
		switch {
		case !report.fresh(now):
			if isMember[name] {
				silent = append(silent, report)
			}
			continue
		case isMember[name]:
			freshMembers++
		}
		fresh = append(fresh, name)
	}
	a.hasQuorum = 2*freshMembers > len(members)
	return fresh, silent
}
