package soak

// descriptorSlack is for connections that are kept open between nodes, and to workers.
const descriptorSlack = 64

// checkProcesses: no process ends by itself or breaks down, and what it holds after the
// load is what it held before.
func (c *checker) checkProcesses() {
	for _, event := range c.Nodes {
		if event.Fault != "" {
			c.report(ruleProcess, "%s, %s at %s: %s", event.Node, event.What, c.sinceLoad(event.At), event.Fault)
		}
		if event.What == NodeOverdue && !c.slowed(event.Node, event.At.Add(-graceBound), event.At.Add(delayPeriod)) {
			c.report(ruleProcess, "%s has not ended at %s, grace_s after SIGTERM", event.Node, c.sinceLoad(event.At))
		}
	}
	before := map[string]Levels{}
	for _, levels := range c.Before {
		before[levels.Node] = levels
	}
	for _, after := range c.After {
		limitMb := int64(edgeMemoryMb)
		for _, store := range c.StoreNodes {
			if store == after.Node {
				limitMb = storeMemoryMb
			}
		}
		if after.MemoryMb > limitMb {
			c.report(ruleLevels, "%s holds %d MB of memory after the load, its machine has %d", after.Node, after.MemoryMb, limitMb)
		}
		first, ok := before[after.Node]
		if ok && after.Descriptors > first.Descriptors+descriptorSlack {
			c.report(ruleLevels, "%s holds %d descriptors after the load, %d before", after.Node, after.Descriptors, first.Descriptors)
		}
	}
}
