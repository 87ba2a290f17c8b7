// Package upgrade moves a service's workers to a new model version while they
// serve: a few at a time, so that every group of requests that share a prompt prefix
// keeps its replicas (docs/upgrades.md, design 13). It only drains workers and says
// which may be replaced; whoever runs the workers replaces them.
//
// upgrade.go holds the aggregate that the register stores, step.go, wave.go and
// succession.go the state machine, orders.go what operators may order, manager.go the
// node that drives an upgrade, and survey.go what it learns from the other nodes.
package upgrade

import (
	"slices"

	"rowanshunt/internal/clock"
)

// Phase is how far an upgrade is. The values are stored and sent.
type Phase string

// The phases. Done and Undone are ends.
const (
	Running Phase = "running"
	Paused  Phase = "paused"
	Done    Phase = "done"
	Undone  Phase = "undone"
)

// DrainedWorker is a worker that a wave took out of use. Its fields are stored in
// this order.
type DrainedWorker struct {
	ID   string        `json:"id"`
	Addr string        `json:"addr"`
	At   clock.Instant `json:"at_us"` // on the clock of the driver that drained it
	Idle bool          `json:"idle"`  // nothing runs there any more: it may be replaced
	Gone bool          `json:"gone"`
}

// Upgrade is the aggregate of one service's upgrade. The register holds it; each
// change is made under the term of one driver. Its fields are stored in this order,
// and sent to operators under the names of the tags.
type Upgrade struct {
	Service string `json:"service"`
	From    int64  `json:"from"`
	To      int64  `json:"to"`
	Rules   Rules  `json:"rules"`
	Phase   Phase  `json:"phase"`
	Undoing bool   `json:"undoing"`
	Why     string `json:"why,omitempty"`
	Remedy  string `json:"remedy,omitempty"`
	Wave    int64  `json:"wave"` // counts from 1
	// WaveStarted, SpreadStarted and WarmupStarted are when the waits under way began,
	// 0 for no wait. They are on the steady clock of the driver, which means nothing to
	// another process: a driver that takes over begins them anew (restartWait).
	WaveStarted clock.Instant   `json:"wave_us"`
	Drained     []DrainedWorker `json:"out"` // by the wave under way
	// Returned is not used: it was to be the number of workers at the target version
	// when the wave began, and has been stored as 0 since the first version. A wave
	// counts all workers at the target version as its own.
	Returned       int64         `json:"returned"`
	Total          int64         `json:"total"`  // workers when the upgrade started
	SpreadReplicas int64         `json:"spread"` // that prefix groups are spread to, 0 for no spreading
	SpreadStarted  clock.Instant `json:"spread_us"`
	WarmupStarted  clock.Instant `json:"warm_us"` // when the last wave was back
	Driver         string        `json:"driver"`  // node/incarnation
	Term           uint64        `json:"term"`    // the driver's fencing token
	// BeforeWave are the workers that were registered when the wave began.
	BeforeWave []string `json:"known,omitempty"`
	// RankNames gives each worker that replaced another the name under which that one
	// stood in the rendezvous rank of the service's workers, so that prefix groups come
	// back to the position they had (design 13.2). It outlives the upgrade.
	RankNames map[string]string `json:"heirs,omitempty"`
}

// Open reports whether the upgrade is not at its end. A nil one is not open.
func (u *Upgrade) Open() bool { return u != nil && (u.Phase == Running || u.Phase == Paused) }

// IsDrained reports whether the upgrade took the worker out of use.
func (u *Upgrade) IsDrained(id string) bool {
	return slices.ContainsFunc(u.Drained, func(d DrainedWorker) bool { return d.ID == id })
}

// reached reports whether the upgrade reached that target under those rules. A start
// that says the same may be the one that began it, sent again.
func (u *Upgrade) reached(to int64, rules Rules) bool {
	return u != nil && u.Phase == Done && u.To == to && u.Rules == rules
}

// clone is a copy on which Step leaves the original as it is.
func (u *Upgrade) clone() *Upgrade {
	copied := *u
	copied.Drained = slices.Clone(u.Drained)
	return &copied
}

// pause stops the upgrade with a reason and what to do.
func (u *Upgrade) pause(why, remedy string) {
	u.Phase, u.Why, u.Remedy = Paused, why, remedy
}

// resume lets a paused upgrade go on; its waits run in full again.
func (u *Upgrade) resume() {
	u.Phase, u.Why, u.Remedy = Running, "", ""
	u.restartWaits()
}

// undo turns the upgrade round. Drained workers that are still there come back into
// use as they are: they never left the version that is wanted again.
func (u *Upgrade) undo() {
	u.From, u.To = u.To, u.From
	u.Undoing, u.Phase, u.Why, u.Remedy = true, Running, "", ""
	u.Drained, u.WarmupStarted, u.SpreadStarted = nil, 0, 0
}

// finish ends the upgrade: all workers are at the target version.
func (u *Upgrade) finish() {
	u.Phase = Done
	if u.Undoing {
		u.Phase = Undone
	}
	u.SpreadReplicas, u.Why, u.Remedy = 0, "", ""
}

// setDriver gives the upgrade to a new driver under a higher term.
func (u *Upgrade) setDriver(driver string) {
	u.Term++
	u.Driver = driver
	u.restartWaits()
}

// restartWait marks a wait that the driver has yet to begin on its own clock.
const restartWait clock.Instant = -1

// waits are the starts of the waits that may be under way.
func (u *Upgrade) waits() []*clock.Instant {
	return []*clock.Instant{&u.WaveStarted, &u.SpreadStarted, &u.WarmupStarted}
}

// restartWaits lets the waits under way run in full again: they began on the clock of
// another process, or were stopped.
func (u *Upgrade) restartWaits() {
	for _, started := range u.waits() {
		if *started != 0 {
			*started = restartWait
		}
	}
}

// beginWaits begins the restarted waits on this driver's clock, and reports whether
// there were any.
func (u *Upgrade) beginWaits(now clock.Instant) bool {
	begun := false
	for _, started := range u.waits() {
		if *started == restartWait {
			*started, begun = now, true
		}
	}
	return begun
}
