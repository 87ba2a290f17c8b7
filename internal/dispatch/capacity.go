package dispatch

import "rowanshunt/internal/config"

// capacity is how many more items this node could run now.
func (d *Dispatcher) capacity() int {
	configuration := d.Configuration()
	if configuration == nil {
		return 0
	}
	directory := d.Sender.Directory()
	capacity := 0
	for service := range batchHosts(configuration) {
		capacity += d.Sender.Balancer.ItemCapacity(directory, service)
	}
	items, unassigned := d.inFlight.counts()
	return min(capacity-unassigned, d.MaxInFlight-items)
}

// hostsAtLimit lists the hosts whose items would not be admitted now; empty without
// quotas.
func (d *Dispatcher) hostsAtLimit() []string {
	configuration := d.Configuration()
	if configuration == nil || d.Gate.Rules() == nil {
		return nil
	}
	var atLimit []string
	for service, hosts := range batchHosts(configuration) {
		atLimit = append(atLimit, d.Gate.AtLimit(service, hosts)...)
	}
	return atLimit
}

// batchHosts lists, by service, the hosts whose batch routes send to it.
func batchHosts(configuration *config.Configuration) map[string][]string {
	hosts := map[string][]string{}
	for _, route := range configuration.Routes {
		if route.Type != config.Bulk {
			continue
		}
		for _, target := range route.Split {
			if target.Weight > 0 {
				hosts[target.Service] = append(hosts[target.Service], route.Host)
			}
		}
	}
	return hosts
}
