package upgrade

import (
	"fmt"

	"rowanshunt/internal/clock"
)

// Step moves the upgrade on by what is observed, and reports whether it changed. It
// is the one place that decides, and touches nothing but the aggregate: no clock, no
// network. now is the driver's steady clock (design 13.3).
func (u *Upgrade) Step(observed Observation, now clock.Instant) bool {
	changed := u.updateDrained(observed.Workers)
	if u.Phase != Running {
		return changed
	}
	changed = u.beginWaits(now) || changed
	c := newCensus(u, observed.Workers)
	if p := u.findProblem(c.healthy, observed.Health); p != nil {
		u.pause(p.why, p.remedy)
		return true
	}
	switch {
	case len(u.Drained) > 0:
		return u.awaitWave(observed.Workers, c.atTarget, now) || changed
	case u.warmingUp(now):
		return changed
	case len(c.outdated) == 0:
		u.finish()
		return true
	}
	return u.prepareWave(observed, c.outdated, now) || changed
}

// updateDrained takes in what became of the drained workers.
func (u *Upgrade) updateDrained(workers []WorkerState) bool {
	byID := map[string]WorkerState{}
	for _, worker := range workers {
		byID[worker.ID] = worker
	}
	changed := false
	for i := range u.Drained {
		drained := &u.Drained[i]
		worker, registered := byID[drained.ID]
		if gone := !registered; gone != drained.Gone {
			drained.Gone, changed = gone, true
		}
		if idle := registered && !worker.Busy; idle && !drained.Idle {
			drained.Idle, changed = true, true
		}
	}
	return changed
}

// census counts the workers that are up and in use.
type census struct {
	healthy  int64
	atTarget int64
	outdated []WorkerState // not at the target version
}

func newCensus(u *Upgrade, workers []WorkerState) census {
	var c census
	for _, worker := range workers {
		if !worker.Up || u.IsDrained(worker.ID) {
			continue
		}
		c.healthy++
		if worker.Version == u.To {
			c.atTarget++
		} else {
			c.outdated = append(c.outdated, worker)
		}
	}
	return c
}

// awaitWave ends the wave once its workers are gone and as many are at the target
// version. It pauses when a worker came back at another version, or at the time-out.
func (u *Upgrade) awaitWave(workers []WorkerState, atTarget int64, now clock.Instant) bool {
	if id, version, ok := u.findWrongReplacement(workers); ok {
		u.pause(fmt.Sprintf("worker %s came back at version %d, not %d", id, version, u.To), "start it again at the target version, then resume; or undo")
		return true
	}
	size, gone := int64(len(u.Drained)), int64(0)
	for _, drained := range u.Drained {
		if drained.Gone {
			gone++
		}
	}
	if gone == size && atTarget >= u.Returned+gone {
		u.inheritRankNames(workers)
		u.Drained, u.BeforeWave, u.WarmupStarted = nil, nil, now
		return true
	}
	if now.Sub(u.WaveStarted) > u.Rules.waveTimeout() {
		u.pause(fmt.Sprintf("wave %d is not back: %d of %d gone, %d of %d returned", u.Wave, gone, size, atTarget-u.Returned, size),
			"replace the workers listed as idle with ones at the target version, then resume; or undo")
		return true
	}
	return false
}

// findWrongReplacement finds a worker that came in the place of a drained one, at its
// address, but not at the target version.
func (u *Upgrade) findWrongReplacement(workers []WorkerState) (id string, version int64, ok bool) {
	for _, drained := range u.Drained {
		if !drained.Gone {
			continue
		}
		for _, worker := range workers {
			if worker.Up && worker.Addr == drained.Addr && worker.ID != drained.ID && worker.Version != u.To {
				return worker.ID, worker.Version, true
			}
		}
	}
	return "", 0, false
}

// warmingUp reports whether the workers of the last wave are still warming up.
func (u *Upgrade) warmingUp(now clock.Instant) bool {
	return u.WarmupStarted > 0 && now.Sub(u.WarmupStarted) < u.Rules.warmup()
}
