package quota

// TenantStatus is how one tenant stands at one service. Its fields travel between
// nodes in this order, and to operators under the names of the tags.
type TenantStatus struct {
	Service      string  `json:"service"`
	Tenant       string  `json:"tenant"`
	SlotsPercent float64 `json:"slots_percent"`
	KvPercent    float64 `json:"kv_percent"`
	CapPercent   float64 `json:"cap_percent,omitempty"`
	LiveSlots    float64 `json:"live_slots"`
	BatchSlots   float64 `json:"batch_slots"`
	Kv           float64 `json:"kv_tokens"`
	FleetSlots   float64 `json:"fleet_slots"`
	FleetKv      float64 `json:"fleet_kv_tokens"`
	AllowedSlots float64 `json:"may_slots"`
	AllowedKv    float64 `json:"may_kv_tokens"`
	Bounded      bool    `json:"bounded"` // what it is allowed is a bound now
	Borrowed     float64 `json:"borrowed_slots"`
	Waiting      bool    `json:"waiting"`
	Why          string  `json:"why"`
}

// guaranteeStatus is the status of a tenant of which only the guarantee is known.
func guaranteeStatus(service, tenant string, g Guarantee) TenantStatus {
	return TenantStatus{Service: service, Tenant: tenant, SlotsPercent: 100 * g.Slots, KvPercent: 100 * g.Kv, CapPercent: 100 * g.Cap}
}

// whyNoLeader is the status of all tenants while no leader of a service answers. The
// text is the one that docs/operators.md tells operators to look for.
const whyNoLeader = "no node holds the duty now: each node lives on its part of the guarantee"

// explainStatus says in a few words how a tenant stands.
func explainStatus(within, contended, atCap, lacks bool) string {
	switch {
	case atCap:
		return "at its cap"
	case within && lacks:
		return "within its guarantee; borrowed runs of others give way to it"
	case within:
		return "within its guarantee: no bound holds"
	case !contended:
		return "over its guarantee; nobody else needs the room"
	case lacks:
		return "over its guarantee while others need the room: it waits for its fair part"
	}
	return "over its guarantee while others need the room: bounded by its fair part"
}
