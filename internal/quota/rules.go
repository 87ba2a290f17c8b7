package quota

import "rowanshunt/internal/config"

// Guarantee is what a tenant is guaranteed of a service, as fractions of the fleet.
type Guarantee struct {
	Slots float64
	Kv    float64
	Cap   float64 // the most it may have of either, 0 for no cap
}

// of is the guaranteed amount of a fleet.
func (g Guarantee) of(fleet Amount) Amount {
	return Amount{Slots: fleet.Slots * g.Slots, Kv: fleet.Kv * g.Kv}
}

// atLeast is the guarantee with both resources raised to a fraction.
func (g Guarantee) atLeast(fraction float64) Guarantee {
	g.Slots, g.Kv = max(g.Slots, fraction), max(g.Kv, fraction)
	return g
}

// Rules is a document compiled for look-ups. It is immutable, so that goroutines
// share it without a lock.
type Rules struct {
	Version  int64 // of the document
	tenantOf map[string]string
	shares   map[string]map[string]Guarantee // by service, then tenant
}

// Compile works out what a valid document guarantees.
func (d *Document) Compile() *Rules {
	r := &Rules{Version: d.Version, tenantOf: map[string]string{}, shares: map[string]map[string]Guarantee{}}
	for name, tenant := range d.Tenants {
		for _, host := range tenant.Hosts {
			r.tenantOf[config.HostKey(host)] = name
		}
	}
	for service, shares := range d.Shares {
		r.shares[service] = compileShares(shares)
	}
	return r
}

// compileShares works out the guarantees of one service. Others get what is left
// unless the document names them. Sums run in the order of the names, so that all
// nodes round alike.
func compileShares(shares map[string]Share) map[string]Guarantee {
	names := sortedKeys(shares)
	_, othersNamed := shares[Others]
	weights := 0.0
	for _, name := range names {
		if weight := shares[name].Weight; weight != nil {
			weights += *weight
		}
	}
	if !othersNamed && weights > 0 {
		weights++ // all others together weigh 1
	}
	guarantees := map[string]Guarantee{}
	left := Guarantee{Slots: 1, Kv: 1}
	for _, name := range names {
		g := shares[name].guarantee(weights)
		left.Slots -= g.Slots
		left.Kv -= g.Kv
		guarantees[name] = g
	}
	if !othersNamed {
		guarantees[Others] = Guarantee{Slots: max(left.Slots, 0), Kv: max(left.Kv, 0)}
	}
	return guarantees
}

// guarantee is what the share comes to where all weights of the service sum up to
// weights.
func (s Share) guarantee(weights float64) Guarantee {
	var g Guarantee
	switch {
	case s.Weight == nil:
		g.Slots, g.Kv = *s.SlotsPercent/100, *s.KvPercent/100
	case weights > 0:
		g.Slots, g.Kv = *s.Weight/weights, *s.Weight/weights
	}
	if s.CapPercent != nil {
		g.Cap = *s.CapPercent / 100
	}
	return g
}

// Services lists the services that have shares.
func (r *Rules) Services() []string { return sortedKeys(r.shares) }

// HasService reports whether the service has shares.
func (r *Rules) HasService(service string) bool { return r.shares[service] != nil }

// HasTenant reports whether any host is of the tenant.
func (r *Rules) HasTenant(tenant string) bool {
	if tenant == Others {
		return true
	}
	for _, name := range r.tenantOf {
		if name == tenant {
			return true
		}
	}
	return false
}

// Tenant names the tenant of a host at a service: a tenant that has no share there
// is one of the others.
func (r *Rules) Tenant(service, host string) string {
	name := r.tenantOf[config.HostKey(host)]
	if _, ok := r.shares[service][name]; ok && name != "" {
		return name
	}
	return Others
}

// Guarantee is what a tenant is guaranteed of a service, false if it has no share
// of its own there.
func (r *Rules) Guarantee(service, tenant string) (Guarantee, bool) {
	g, ok := r.shares[service][tenant]
	return g, ok
}
