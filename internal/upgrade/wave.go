package upgrade

import (
	"slices"
	"sort"

	"rowanshunt/internal/clock"
)

// prepareWave starts the next wave. If no worker can be drained, prefix groups are
// spread to more replicas first; if that takes too long, the upgrade pauses.
func (u *Upgrade) prepareWave(observed Observation, outdated []WorkerState, now clock.Instant) bool {
	replicas := newReplicaSets(observed.Groups, u.IsDrained)
	wave, blocking := replicas.planWave(outdated, u.Rules.waveSize(u.Total), u.Rules.MinReplicas)
	switch {
	case len(wave) > 0:
		u.startWave(wave, observed.Workers, now)
		return true
	case u.SpreadStarted == 0:
		u.SpreadReplicas, u.SpreadStarted = u.Rules.MinReplicas+1, now
		return true
	case now.Sub(u.SpreadStarted) > u.Rules.spreadTimeout():
		u.pause("group "+blocking+" has too few replicas to let a worker go", "add workers, or lower min_replicas; then resume")
		u.SpreadStarted = 0
		return true
	}
	return false
}

// startWave drains the workers of the wave.
func (u *Upgrade) startWave(wave, workers []WorkerState, now clock.Instant) {
	u.Wave++
	u.WaveStarted, u.WarmupStarted, u.SpreadStarted, u.Returned = now, 0, 0, 0
	u.Drained = nil
	for _, worker := range wave {
		u.Drained = append(u.Drained, DrainedWorker{ID: worker.ID, Addr: worker.Addr, At: now})
	}
	u.BeforeWave = nil
	for _, worker := range workers {
		u.BeforeWave = append(u.BeforeWave, worker.ID)
	}
}

// replicaSets are the workers in use that answer each active prefix group, by the
// group's ID.
type replicaSets map[string]map[string]bool

func newReplicaSets(groups []PrefixGroup, isDrained func(id string) bool) replicaSets {
	sets := replicaSets{}
	for i := range groups {
		if !groups[i].active() {
			continue
		}
		set := map[string]bool{}
		for _, id := range groups[i].Replicas {
			if !isDrained(id) {
				set[id] = true
			}
		}
		sets[groups[i].ID] = set
	}
	return sets
}

// groupsOf counts the groups that a worker answers.
func (r replicaSets) groupsOf(worker string) int {
	count := 0
	for _, set := range r {
		if set[worker] {
			count++
		}
	}
	return count
}

// blocking finds a group that would be left with fewer than minimum replicas without
// the worker, the first by ID.
func (r replicaSets) blocking(worker string, minimum int64) (group string, blocked bool) {
	for id, set := range r {
		if set[worker] && int64(len(set)) <= minimum && (!blocked || id < group) {
			group, blocked = id, true
		}
	}
	return group, blocked
}

func (r replicaSets) remove(worker string) {
	for _, set := range r {
		delete(set, worker)
	}
}

// planWave chooses at most size workers whose absence leaves each active group its
// replicas, those that answer the fewest groups first. Without any it names a group
// that blocks it. The sets are without the chosen workers afterwards.
func (r replicaSets) planWave(outdated []WorkerState, size, minReplicas int64) (wave []WorkerState, blocking string) {
	candidates := slices.Clone(outdated)
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i].ID, candidates[j].ID
		groupsOfA, groupsOfB := r.groupsOf(a), r.groupsOf(b)
		return groupsOfA < groupsOfB || groupsOfA == groupsOfB && a < b
	})
	for _, worker := range candidates {
		if int64(len(wave)) >= size {
			break
		}
		if group, blocked := r.blocking(worker.ID, minReplicas); blocked {
			blocking = group
			continue
		}
		r.remove(worker.ID)
		wave = append(wave, worker)
	}
	return wave, blocking
}
