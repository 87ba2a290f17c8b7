package balancer

import (
	"math/rand/v2"
	"slices"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/discovery"
)

// The selection policy: the worker of the least cost among a sample (design 7.2).
// The figures are the project's own.
const (
	// maxEdgesForFullScan: with more nodes, a selection looks at a sample only.
	maxEdgesForFullScan = 16
	sampleSize          = 2 // workers drawn at random

	prefillTokensPerMs = 100.0 // assumed speed of reading prompts

	// Costs in milliseconds of waiting.
	loadCostMs      = 4.0  // of a worker whose slots are all in use
	jitterCostMs    = 0.3  // at most: spreads requests over equal workers
	fullCostMs      = 40.0 // of one more request than a worker has slots
	overloadFactor  = 4.0
	otherZoneCostMs = 0.6
	warmupCostMs    = 5.0 // of a worker that is still slow from its start
	probationCostMs = 1.5 // of a worker that was ejected lately
)

// Requirements are what a request asks of a worker.
type Requirements struct {
	Service  string
	Prefixes []PrefixSegment
	Exclude  []string // workers already tried
	Only     []string // workers that are considered; empty: all
	Item     bool     // of a batch job: goes only where live requests leave capacity
	Version  int64    // weights it must have, 0 for any
}

// selection is one selection under way. It holds the locks of the balancer and of its
// prefix cache.
type selection struct {
	*Balancer
	requirements *Requirements
	upgrades     *UpgradeState
	now          clock.Instant
	// sharedTokens are those of the prompt's shared segments; first, second and, while
	// an upgrade spreads the groups, owners are the workers that own the prefix.
	sharedTokens  int64
	first, second string
	owners        []string
}

// strictness is how far a pass of the selection goes to find a worker.
type strictness int

const (
	sampledOnly strictness = iota // the sample, as far as it has warmed up
	allInUse                      // all of the service that are in use
	evenEjected                   // the ejected too
	numPasses
)

// Pick selects a worker and counts the request there; nil if none will do. Done must
// be called for each worker picked.
func (b *Balancer) Pick(directory *discovery.Directory, requirements *Requirements) *discovery.Worker {
	workers := directory.ByService[requirements.Service]
	if len(workers) == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cache.mu.Lock()
	defer b.cache.mu.Unlock()
	s := &selection{Balancer: b, requirements: requirements, upgrades: b.upgrades.Load(), now: clock.Now()}
	s.rankOwners(workers)
	picked := s.cheapest(workers)
	if picked != nil {
		s.record(picked)
	}
	return picked
}

// cheapest is the worker of the least cost, nil if none will do.
func (s *selection) cheapest(workers []*discovery.Worker) *discovery.Worker {
	var best *discovery.Worker
	var bestCost float64
	candidates := s.sample(workers)
	for pass := sampledOnly; pass < numPasses && best == nil; pass++ {
		if pass > sampledOnly {
			candidates = workers
		}
		for _, worker := range candidates {
			if !s.mayServe(worker) {
				continue
			}
			state := s.workers.stateOf(worker)
			if !s.isEligible(worker, state, pass) {
				continue
			}
			if cost := s.cost(worker, state); best == nil || cost < bestCost {
				best, bestCost = worker, cost
			}
		}
	}
	return best
}

// mayServe tells whether the request may go to the worker at all.
func (s *selection) mayServe(worker *discovery.Worker) bool {
	if slices.Contains(s.requirements.Exclude, worker.ID) || s.upgrades.Out[worker.ID] {
		return false
	}
	if len(s.requirements.Only) > 0 && !slices.Contains(s.requirements.Only, worker.ID) {
		return false
	}
	return s.requirements.Version <= 0 || hasVersion(worker, s.requirements.Version)
}

// isEligible tells whether a pass takes the worker.
func (s *selection) isEligible(worker *discovery.Worker, state *workerState, pass strictness) bool {
	if state.isLeftOut(s.now) && pass < evenEjected {
		return false
	}
	if s.requirements.Item && !s.acceptsItems(state, worker.Svc, s.now) {
		return false
	}
	return pass > sampledOnly || worker.ID == s.first || !s.isWarming(worker, state)
}

// sample draws the workers that are looked at. What a node knows of a worker is up to
// half a second old and lacks what the other nodes sent meanwhile: if all of them took
// the least loaded worker of all, it would be flooded. With few nodes, a node sees most
// of the requests itself and looks at all workers; with many, at some drawn at random
// (the power of two choices) and at the owners of the prompt's prefix (design 7.2).
func (s *selection) sample(workers []*discovery.Worker) []*discovery.Worker {
	if s.edges <= maxEdgesForFullScan || len(workers) <= sampleSize {
		return workers
	}
	sampled := make([]*discovery.Worker, 0, sampleSize+2+len(s.owners))
	if s.first != "" {
		for _, worker := range workers {
			if worker.ID == s.first || worker.ID == s.second || slices.Contains(s.owners, worker.ID) {
				sampled = append(sampled, worker)
			}
		}
	}
	for range sampleSize {
		sampled = append(sampled, workers[rand.IntN(len(workers))])
	}
	return sampled
}

// cost is what a request costs at a worker, in milliseconds of waiting.
func (s *selection) cost(worker *discovery.Worker, state *workerState) float64 {
	load, slots := state.estimatedLoad(s.now), float64(state.slots)
	cost := loadCostMs*load/slots + float64(rand.Float64()*jitterCostMs)
	if load >= slots {
		cost += float64(fullCostMs * (load - slots + 1) / slots * overloadFactor)
	}
	if state.hasFreshLoad(s.now) {
		cost += fullCostMs * float64(state.waiting) / slots
	}
	if s.now < state.fullUntil {
		cost += fullCostMs
	}
	if state.onProbation(s.now) {
		cost += probationCostMs
	}
	if worker.Az != s.zone {
		cost += otherZoneCostMs
	}
	if worker.WarmLeftMs > 0 {
		cost += warmupCostMs
	}
	cost += float64(state.prefillTokens) / prefillTokensPerMs
	return cost + s.uncachedTokens(worker)/prefillTokensPerMs
}

// uncachedTokens counts the tokens of shared segments that the worker probably has to
// read anew. An owner of the prefix has them, or will soon; the second of the rank
// counts for half.
func (s *selection) uncachedTokens(worker *discovery.Worker) float64 {
	if s.sharedTokens == 0 || worker.ID == s.first || slices.Contains(s.owners, worker.ID) {
		return 0
	}
	shared := s.requirements.Prefixes[:len(s.requirements.Prefixes)-1]
	uncached := s.cache.uncachedTokens(shared, worker.ID, s.now)
	if worker.ID == s.second {
		return uncached / 2
	}
	return uncached
}

// record counts the request at the worker that was picked.
func (s *selection) record(worker *discovery.Worker) {
	state := s.workers.stateOf(worker)
	state.inFlight++
	state.sentSinceReport++
	if s.requirements.Item {
		state.itemsInFlight++
	}
	if len(s.requirements.Prefixes) > 0 {
		s.groups.record(s.requirements.Service, s.requirements.Prefixes[0].ID, worker.ID, s.now)
	}
	s.cache.remember(s.requirements.Prefixes, worker.ID, s.now)
}
