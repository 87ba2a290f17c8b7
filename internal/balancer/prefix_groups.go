package balancer

import (
	"maps"
	"slices"
	"sort"
	"sync"

	"rowanshunt/internal/clock"
)

// maxGroups bounds the groups that are remembered.
const maxGroups = 4096

// PrefixGroup is what this node saw lately of the requests that share a first prompt
// segment.
type PrefixGroup struct {
	ID             string
	RecentRequests int64
	Holders        []string // the workers that they went to, in order
}

// prefixGroups counts requests by their first prompt segment. Upgrades go by it, so
// that each group keeps enough workers (design 13).
type prefixGroups struct {
	mu     sync.Mutex
	groups map[groupKey]*prefixGroup
}

type groupKey struct{ service, id string }

// prefixGroup counts a group's requests.
type prefixGroup struct {
	slidingWindow[int64]
	holders map[string]clock.Instant // worker, and when a request last went there
}

func newPrefixGroups() *prefixGroups {
	return &prefixGroups{groups: map[groupKey]*prefixGroup{}}
}

// record counts a request of a group that goes to a worker.
func (p *prefixGroups) record(service, id, worker string, now clock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := groupKey{service, id}
	group := p.groups[key]
	if group == nil {
		if !p.makeSpace(now) {
			return
		}
		group = &prefixGroup{slidingWindow: slidingWindow[int64]{start: now}, holders: map[string]clock.Instant{}}
		p.groups[key] = group
	}
	group.age(now)
	group.current++
	group.holders[worker] = now
}

// makeSpace drops groups without recent requests where there are too many, false if
// none has.
func (p *prefixGroups) makeSpace(now clock.Instant) bool {
	if len(p.groups) < maxGroups {
		return true
	}
	maps.DeleteFunc(p.groups, func(_ groupKey, group *prefixGroup) bool {
		return now.Sub(group.start) > 2*outcomeWidth
	})
	return len(p.groups) < maxGroups
}

// age forgets what is too old.
func (p *prefixGroup) age(now clock.Instant) {
	p.advance(now, outcomeWidth)
	maps.DeleteFunc(p.holders, func(_ string, last clock.Instant) bool { return now.Sub(last) > 2*outcomeWidth })
}

// list gives the groups of a service with recent requests, by id.
func (p *prefixGroups) list(service string) []PrefixGroup {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	var listed []PrefixGroup
	for key, group := range p.groups {
		if key.service != service {
			continue
		}
		group.age(now)
		requests := group.current + group.previous
		if requests == 0 {
			delete(p.groups, key)
			continue
		}
		listed = append(listed, PrefixGroup{ID: key.id, RecentRequests: requests, Holders: slices.Sorted(maps.Keys(group.holders))})
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].ID < listed[j].ID })
	return listed
}
