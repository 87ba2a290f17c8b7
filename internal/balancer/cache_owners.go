package balancer

import (
	"sort"

	"rowanshunt/internal/discovery"
	"rowanshunt/internal/rendezvous"
)

// The owners of a shared prefix are the first workers of its rendezvous rank: all
// nodes send its requests there without talking to each other (design 7.2). While an
// upgrade spreads the groups, a prefix has several owners (design 13.2).

// rankOwners finds the owners of the prompt's shared prefix.
func (s *selection) rankOwners(workers []*discovery.Worker) {
	var key string
	key, s.sharedTokens = sharedPrefix(s.requirements.Prefixes)
	if key == "" {
		return
	}
	var firstWeight, secondWeight uint64
	for _, worker := range workers {
		if s.upgrades.Out[worker.ID] {
			continue
		}
		switch weight := s.upgrades.ownerWeight(key, worker); {
		case s.first == "" || weight > firstWeight:
			s.first, firstWeight, s.second, secondWeight = worker.ID, weight, s.first, firstWeight
		case s.second == "" || weight > secondWeight:
			s.second, secondWeight = worker.ID, weight
		}
	}
	if n := s.upgrades.Spread[s.requirements.Service]; n > 1 {
		s.owners = s.upgrades.owners(key, workers, n)
	}
}

// ownerWeight is the worker's weight in the rendezvous rank of a prefix.
func (u *UpgradeState) ownerWeight(key string, worker *discovery.Worker) uint64 {
	if name, ok := u.Heirs[worker.ID]; ok {
		return rendezvous.Weight(key, name)
	}
	if warming, ok := u.Warm[worker.Svc]; ok && len(worker.Models) > 0 && hasVersion(worker, warming.Ver) {
		return 0 // it came just now: whose heir it is will be known soon
	}
	return rendezvous.Weight(key, worker.ID)
}

// owners are the first n workers of a prefix's rank.
func (u *UpgradeState) owners(key string, workers []*discovery.Worker, n int) []string {
	var ranked []*discovery.Worker
	for _, worker := range workers {
		if !u.Out[worker.ID] {
			ranked = append(ranked, worker)
		}
	}
	sort.Slice(ranked, func(i, j int) bool { return u.ownerWeight(key, ranked[i]) > u.ownerWeight(key, ranked[j]) })
	var owners []string
	for _, worker := range ranked[:min(n, len(ranked))] {
		owners = append(owners, worker.ID)
	}
	return owners
}
