package quota

import "rowanshunt/internal/clock"

const (
	// reportInterval is the shortest time between a node's reports: bounds follow the
	// traffic within a quarter of a second.
	reportInterval = 250 * clock.Millisecond
	// idleReportInterval is the time between reports of a node that has nothing to
	// report of a service nobody contends for. It is below reportFreshness.
	idleReportInterval = 500 * clock.Millisecond
	// reportSpacing is the least mean time between the reports that a leader gets:
	// more nodes report less often each, so that its load stays bounded.
	reportSpacing = 1_500 * clock.Microsecond
	// minGrantTTL is how long a grant holds at least: eight reports of a small fleet,
	// so that an election of a new leader does not leave the nodes without one.
	minGrantTTL = 2 * clock.Second
)

// Grant is what the leader of a service allows one node: how far each tenant may go
// there until the grant expires (design 17.3). It is the answer to a report; its
// fields travel in this order.
type Grant struct {
	Term      uint64       // the leader's fencing token
	TTL       clock.Micros // from the moment the report was sent
	Interval  clock.Micros // until the node is to report again
	Contended bool         // if not, only caps hold
	Preempt   bool         // borrowed batch runs over a limit give way
	Limits    []Limit
}

// Limit is one tenant's part of a grant. Its fields travel in this order.
type Limit struct {
	Name      string
	Unbounded bool // within its guarantee: no bound
	Capped    bool // the bound holds though nobody else needs the capacity
	Slots     int64
	Kv        float64
	Fraction  float64 // of the tenant's guarantee: this node's while no grant is in force
}

// liveLimitName names the limit of a tenant's live calls alone. It is in a grant, without
// a bound, where these are within the guarantee and the tenant's items take it beyond.
// A limit of its own, because nodes of earlier versions accept no further field: they
// look for no such name. Tenants' names hold no control characters.
func liveLimitName(tenant string) string { return "\x00live/" + tenant }

// limit finds the limit of a tenant.
func (g *Grant) limit(tenant string) (Limit, bool) {
	for _, limit := range g.Limits {
		if limit.Name == tenant {
			return limit, true
		}
	}
	return Limit{}, false
}

// reportIntervalFor is how often each of so many nodes reports.
func reportIntervalFor(nodes int) clock.Micros {
	return max(reportInterval, clock.Micros(nodes)*reportSpacing)
}

// grantTTL is how long a grant holds: three reports, so that two may be lost.
func grantTTL(interval clock.Micros) clock.Micros { return max(minGrantTTL, 3*interval) }
