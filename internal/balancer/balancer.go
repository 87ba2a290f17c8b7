package balancer

import (
	"sort"
	"sync"
	"sync/atomic"

	"rowanshunt/internal/config"
	"rowanshunt/internal/discovery"
)

// Balancer owns what this node knows of the workers' loads and failures, and selects
// among them.
type Balancer struct {
	// Outcomes counts the responses of each service.
	Outcomes *Outcomes
	// FirstByte knows how long the workers of a service take to begin a response.
	FirstByte *FirstByteTimes

	zone     string
	cache    *prefixCache
	groups   *prefixGroups
	upgrades atomic.Pointer[UpgradeState]

	mu          sync.Mutex
	workers     workerStates
	edges       int64                // nodes that send to the workers, this one included
	dispatchers int64                // those of them that run batch items
	itemTimes   map[string]*meanTime // by service: how long an item runs
}

// New makes a balancer for a node in a zone. Until it is told otherwise, the node is
// the only one.
func New(zone string) *Balancer {
	b := &Balancer{
		Outcomes:    newOutcomes(),
		FirstByte:   newFirstByteTimes(),
		zone:        zone,
		cache:       newPrefixCache(),
		groups:      newPrefixGroups(),
		workers:     workerStates{},
		itemTimes:   map[string]*meanTime{},
		edges:       1,
		dispatchers: 1,
	}
	b.upgrades.Store(&UpgradeState{})
	return b
}

// SetEdges sets how many nodes share the workers.
func (b *Balancer) SetEdges(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.edges = int64(max(n, 1))
}

// SetDispatchers sets how many nodes share the workers' capacity for batch items.
func (b *Balancer) SetDispatchers(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dispatchers = int64(max(n, 1))
}

// EdgeCount is how many nodes share the workers.
func (b *Balancer) EdgeCount() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.edges
}

// UpgradeState is what the rolling upgrades under way ask of the selection (design
// 13). It is not changed once it is set.
type UpgradeState struct {
	Out    map[string]bool    // workers out of use
	Spread map[string]int     // by service: how many workers own each shared prefix
	Warm   map[string]Warming // by service
	// Heirs gives a worker that came in another's place the name by which that one
	// was ranked, so that its prefixes stay with it.
	Heirs map[string]string
}

// SetUpgrades sets what the upgrades under way ask.
func (b *Balancer) SetUpgrades(state UpgradeState) { b.upgrades.Store(&state) }

// Retain forgets workers that are no longer in the directory.
func (b *Balancer) Retain(directory *discovery.Directory) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, state := range b.workers {
		if directory.ByID[id] == nil && state.inFlight == 0 {
			delete(b.workers, id)
		}
	}
}

// Busy lists the workers at which a request of this node runs, in order.
func (b *Balancer) Busy() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var busy []string
	for id, state := range b.workers {
		if state.inFlight > 0 {
			busy = append(busy, id)
		}
	}
	sort.Strings(busy)
	return busy
}

// PrefixGroups lists the groups of a service that had requests in the last seconds,
// by their prefix.
func (b *Balancer) PrefixGroups(service string) []PrefixGroup { return b.groups.list(service) }

// HasVersion tells whether any worker in use, of the services that a route sends to,
// has weights of that version.
func (b *Balancer) HasVersion(directory *discovery.Directory, route *config.Route, version int64) bool {
	out := b.upgrades.Load().Out
	for _, share := range route.Split {
		for _, worker := range directory.ByService[share.Service] {
			if !out[worker.ID] && hasVersion(worker, version) {
				return true
			}
		}
	}
	return false
}

// hasVersion tells whether a worker has weights of a version; one that names no
// models may have any.
func hasVersion(worker *discovery.Worker, version int64) bool {
	for _, model := range worker.Models {
		if model.Ver == version {
			return true
		}
	}
	return len(worker.Models) == 0
}
