package upgrade

import (
	"context"

	"rowanshunt/internal/config"
	"rowanshunt/internal/consensus"
	"rowanshunt/internal/fault"
)

// Start begins an upgrade. Everything that may refuse it is checked inside the
// change, so that a refusal stands on a committed value at a majority. A repeated
// order is never refused otherwise: while its upgrade is open it gets a Conflict,
// after it ended the upgrade as it stands (design 13.4).
func (m *Manager) Start(ctx context.Context, order consensus.RequestID, service string, to int64, rules Rules) (*Upgrade, error) {
	return m.change(ctx, order, service, func(state *consensus.State, current *Upgrade) (*Upgrade, error) {
		fleet := m.inventory(service, to)
		switch {
		case current.Open():
			return nil, fault.New(fault.Conflict, service, "an upgrade of it is under way", "wait for it, or undo it")
		case current.reached(to, rules) && (fleet.up == 0 || fleet.allAt(to)):
			return nil, nil // the order that began it, sent again
		}
		if err := fleet.checkStart(state, service, to, rules); err != nil {
			return nil, err
		}
		return newUpgrade(service, to, rules, fleet, current), nil
	})
}

// newUpgrade is an upgrade that succeeds an earlier one, if there was one: its terms
// go on above that one's, and replaced workers keep their rank names.
func newUpgrade(service string, to int64, rules Rules, fleet *fleetInventory, earlier *Upgrade) *Upgrade {
	u := &Upgrade{Service: service, From: fleet.mostCommonVersion(), To: to, Rules: rules, Phase: Running, Total: fleet.up, RankNames: fleet.atTarget}
	if earlier == nil {
		return u
	}
	u.Term = earlier.Term
	for id, name := range earlier.RankNames {
		u.RankNames[id] = name
	}
	return u
}

// fleetInventory is what this node knows of the workers of one service.
type fleetInventory struct {
	up        int64
	byVersion map[int64]int64   // workers that are up
	atTarget  map[string]string // workers at the target version, up or not: each keeps its own rank name
}

func (m *Manager) inventory(service string, to int64) *fleetInventory {
	fleet := &fleetInventory{byVersion: map[int64]int64{}, atTarget: map[string]string{}}
	workers := m.cfg.Workers()
	for i := range workers {
		worker := &workers[i]
		if worker.Svc != service {
			continue
		}
		version := weightsVersion(worker)
		if worker.Up() {
			fleet.byVersion[version]++
			fleet.up++
		}
		if version == to {
			fleet.atTarget[worker.ID] = worker.ID
		}
	}
	return fleet
}

// allAt reports whether all workers that are up have the version.
func (f *fleetInventory) allAt(version int64) bool { return f.byVersion[version] == f.up }

// mostCommonVersion is the version that most workers have, the lower one of equals.
func (f *fleetInventory) mostCommonVersion() int64 {
	var common, most int64
	for version, count := range f.byVersion {
		if count > most || count == most && version < common {
			common, most = version, count
		}
	}
	return common
}

func (f *fleetInventory) checkStart(state *consensus.State, service string, to int64, rules Rules) error {
	switch {
	case !hasService(state, service):
		return fault.New(fault.Unknown, service, "is no service of the configuration", "name a service under svcs")
	case to <= 0:
		return fault.New(fault.Invalid, "to", "is no version", "give the number of the weights' version, above 0")
	case f.up == 0:
		return fault.New(fault.Conflict, service, "no worker of it is up", "start its workers first")
	case f.allAt(to):
		return fault.New(fault.Conflict, "to", "all workers are at that version", "nothing to do")
	}
	return rules.Check(f.up)
}

// hasService reports whether the configuration in a state names the service.
func hasService(state *consensus.State, service string) bool {
	if state.Version == 0 {
		return false
	}
	configuration, err := config.Parse(state.Document)
	return err == nil && configuration.Services[service] != nil
}

// change carries an order about one upgrade out in the register, once. An apply that
// returns no upgrade leaves the current one as it is.
func (m *Manager) change(ctx context.Context, order consensus.RequestID, service string, apply func(*consensus.State, *Upgrade) (*Upgrade, error)) (*Upgrade, error) {
	state, err := m.cfg.Change(ctx, order.Once(func(state *consensus.State) (*consensus.State, error) {
		u, err := apply(state, Load(state, service))
		if err != nil || u == nil {
			return nil, err
		}
		return state, u.store(state)
	}))
	if err != nil {
		return nil, err
	}
	return Load(state, service), nil
}

// changeExisting is change for the orders that need an upgrade. An apply that returns
// false leaves it as it is.
func (m *Manager) changeExisting(ctx context.Context, order consensus.RequestID, service string, apply func(*Upgrade) (bool, error)) (*Upgrade, error) {
	return m.change(ctx, order, service, func(_ *consensus.State, u *Upgrade) (*Upgrade, error) {
		if u == nil {
			return nil, errNoUpgrade(service)
		}
		if changed, err := apply(u); err != nil || !changed {
			return nil, err
		}
		return u, nil
	})
}

// Pause stops an upgrade where it is. One at its end stays so: the order may have
// been sent again.
func (m *Manager) Pause(ctx context.Context, order consensus.RequestID, service string) (*Upgrade, error) {
	return m.changeExisting(ctx, order, service, func(u *Upgrade) (bool, error) {
		if !u.Open() {
			return false, nil
		}
		u.pause("paused by the operator", "resume when ready")
		return true, nil
	})
}

// Resume lets a paused upgrade go on, its waits in full. One that runs or is at its
// end stays so: the order may have been sent again.
func (m *Manager) Resume(ctx context.Context, order consensus.RequestID, service string) (*Upgrade, error) {
	return m.changeExisting(ctx, order, service, func(u *Upgrade) (bool, error) {
		if u.Phase != Paused {
			return false, nil
		}
		u.resume()
		return true, nil
	})
}

// Undo turns an upgrade round: the workers at the target version go back in waves,
// under the same rules. One that was undone stays so: the order may have been sent
// again.
func (m *Manager) Undo(ctx context.Context, order consensus.RequestID, service string) (*Upgrade, error) {
	return m.changeExisting(ctx, order, service, func(u *Upgrade) (bool, error) {
		switch {
		case u.Phase == Undone:
			return false, nil
		case u.Undoing && u.Open():
			return false, fault.New(fault.Conflict, service, "is being undone already", "wait for it")
		}
		u.undo()
		return true, nil
	})
}
