package config

import (
	"sort"
	"strconv"
	"strings"

	"rowanshunt/internal/fault"
)

// validate collects the faults of a document that was decoded, each with its field
// and remedy, and fills in what a route leaves out.
func (p *parser) validate() {
	if !p.hasVersion || p.config.Version <= 0 {
		p.faults.Addf("ver", "is missing or not above 0", "count versions from 1")
	}
	if !p.hasRoutes || !p.hasServices {
		p.faults.Addf("routes", "or svcs is missing", "send the whole configuration, with empty lists if need be")
	}
	seen := map[string]bool{}
	for i, r := range p.config.Routes {
		rv := routeValidator{route: r, field: routeField(i, r), faults: &p.faults}
		rv.checkUnique(seen)
		rv.checkMatch()
		rv.checkLimit()
		rv.checkSplit(p.config.Services)
		if r.Tries <= 0 {
			r.Tries = 1
		}
	}
}

// routeField names a route in faults, by its position if it has no name.
func routeField(i int, r *Route) string {
	if r.Name != "" {
		return "routes." + r.Name
	}
	return "routes." + strconv.Itoa(i)
}

// routeValidator collects the faults of one route.
type routeValidator struct {
	route  *Route
	field  string
	faults *fault.Collector
}

// checkUnique demands a host and prefix that no route seen before has.
func (rv *routeValidator) checkUnique(seen map[string]bool) {
	key := rv.route.Host + " " + rv.route.Prefix
	if seen[key] {
		rv.faults.Addf(rv.field, "shares host and prefix with another route", "give each route its own place")
	}
	seen[key] = true
}

// checkMatch checks which requests the route takes.
func (rv *routeValidator) checkMatch() {
	if rv.route.Host == "" {
		rv.faults.Addf(rv.field+".host", "is missing", "name the host")
	}
	if prefix := rv.route.Prefix; !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") {
		rv.faults.Addf(rv.field+".pfx", strconv.Quote(prefix)+" does not begin and end with a slash", "write it as /name/")
	}
}

func (rv *routeValidator) checkLimit() {
	if rv.route.LimitMs <= 0 {
		rv.faults.Addf(rv.field+".limit_ms", "is not above 0", "give the time a request may be held")
	}
}

// checkSplit checks the services of the route and sums up their weights.
func (rv *routeValidator) checkSplit(services map[string]*Service) {
	if len(rv.route.Split) == 0 {
		rv.faults.Addf(rv.field+".svc", "is missing", "name a service or a split")
		return
	}
	for _, s := range rv.route.Split {
		if services[s.Service] == nil {
			rv.faults.Addf(rv.field+".svc", strconv.Quote(s.Service)+" is no service of this configuration", "add it under svcs")
		}
		if s.Weight < 0 {
			rv.faults.Addf(rv.field+".wt", "is negative", "give 0 or more")
		}
		rv.route.totalWeight += s.Weight
	}
	if rv.route.totalWeight <= 0 {
		rv.faults.Addf(rv.field+".split", "weights sum to 0", "give at least one a weight above 0")
	}
}

// index makes a validated configuration ready for Find.
func (c *Configuration) index() {
	c.byHost = map[string][]*Route{}
	for _, r := range c.Routes {
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
}
