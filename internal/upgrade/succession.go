package upgrade

import "slices"

// inheritRankNames gives the workers that replaced the wave's the names under which
// those stood in the rendezvous rank: at the same address if there is one, else in
// order (design 13.2). Names of workers that are gone are dropped.
func (u *Upgrade) inheritRankNames(workers []WorkerState) {
	names, newcomers := u.splitNewcomers(workers)
	succeeded := make([]bool, len(u.Drained))
	for _, sameAddress := range []bool{true, false} {
		for i, drained := range u.Drained {
			if succeeded[i] {
				continue
			}
			at := slices.IndexFunc(newcomers, func(w WorkerState) bool { return !sameAddress || w.Addr == drained.Addr })
			if at < 0 {
				continue
			}
			names[newcomers[at].ID] = u.rankName(drained.ID)
			newcomers = slices.Delete(newcomers, at, at+1)
			succeeded[i] = true
		}
	}
	u.RankNames = names
}

// splitNewcomers returns the rank names of the workers that have one, and the workers
// at the target version that came since the wave began.
func (u *Upgrade) splitNewcomers(workers []WorkerState) (names map[string]string, newcomers []WorkerState) {
	names = map[string]string{}
	for _, worker := range workers {
		if name, named := u.RankNames[worker.ID]; named {
			names[worker.ID] = name
		} else if worker.Up && worker.Version == u.To && !slices.Contains(u.BeforeWave, worker.ID) {
			newcomers = append(newcomers, worker)
		}
	}
	return names, newcomers
}

// rankName is the name under which a worker stands in the rank: its own, unless it
// replaced another.
func (u *Upgrade) rankName(id string) string {
	if name, named := u.RankNames[id]; named {
		return name
	}
	return id
}
