package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sort"

	"github.com/BurntSushi/toml"
	"github.com/go-faster/errors"

	"rowanshunt/internal/clock"
)

// DisturbanceKind is what befalls a part of the deployment.
type DisturbanceKind string

// The kinds. The first four are planned work or within the protocol; nothing is lost by
// them. Names beginning with worker concern the stand-in workers.
const (
	Stop            DisturbanceKind = "stop"    // SIGTERM, then a new start
	Reload          DisturbanceKind = "reload"  // SIGHUP
	Squeeze         DisturbanceKind = "squeeze" // one worker is silent, all others of its service are full
	WorkerLeave     DisturbanceKind = "worker_leave"
	Kill            DisturbanceKind = "kill" // SIGKILL, then a new start
	Freeze          DisturbanceKind = "freeze"
	DiskLoss        DisturbanceKind = "disk_loss"    // killed right after an acknowledgement, and started without its files
	MachineLoss     DisturbanceKind = "machine_loss" // the same, gone for good: another store comes in its place
	Replace         DisturbanceKind = "replace"      // a store is retired, and another one started in its place
	AddStore        DisturbanceKind = "add_store"
	WorkerCrash     DisturbanceKind = "worker_crash"
	WorkerLateBeats DisturbanceKind = "worker_late_beats"
	CloseAll        DisturbanceKind = "close_all" // all nodes are killed, and started again
)

// Planned tells whether rules that end with unplanned trouble hold on beside it.
func (k DisturbanceKind) Planned() bool {
	switch k {
	case Stop, Reload, Squeeze, WorkerLeave, WorkerLateBeats, Replace, AddStore:
		return true
	default:
		return false
	}
}

// Disturbance is one entry of a plan.
type Disturbance struct {
	AtMs  int64           `toml:"at_ms"` // from the begin of the load
	Kind  DisturbanceKind `toml:"kind"`
	Index int             `toml:"index"`  // of the node, the worker or the service; 0 for all
	ForMs int64           `toml:"for_ms"` // how long it lasts, 0 where that has no meaning
}

// At is when it begins, from the begin of the load.
func (d Disturbance) At() clock.Micros { return clock.Micros(d.AtMs) * clock.Millisecond }

// For is how long it lasts.
func (d Disturbance) For() clock.Micros { return clock.Micros(d.ForMs) * clock.Millisecond }

// Plan is a deployment and what is done to it. The same settings and seed give the same plan.
type Plan struct {
	Seed          uint64        `toml:"seed"`
	Edges         int           `toml:"edges"`          // with a disk
	DisklessEdges int           `toml:"diskless_edges"` // without one
	Stores        int           `toml:"stores"`
	MaxFailures   int           `toml:"max_failures"` // ft.nodes
	Workers       int           `toml:"workers"`      // of each of the two services
	Slots         int           `toml:"slots"`        // of each worker
	Clients       int           `toml:"clients"`
	LoadMs        int64         `toml:"load_ms"`
	Disturbances  []Disturbance `toml:"disturbances"`
}

// Load is how long clients send requests.
func (p *Plan) Load() clock.Micros { return clock.Micros(p.LoadMs) * clock.Millisecond }

// String is the plan as TOML.
func (p *Plan) String() string {
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(p); err != nil {
		return fmt.Sprintf("seed %d: %v", p.Seed, err)
	}
	return text.String()
}

// Settings bound what is drawn.
type Settings struct {
	LoadS         int64 `toml:"load_s"`         // length of the load
	ExtraEdges    int   `toml:"extra_edges"`    // further edge nodes without a disk, for runs with many processes
	ExtraStores   int   `toml:"extra_stores"`   // further stores
	ClientsFactor int   `toml:"clients_factor"` // multiplies the clients
}

// DefaultSettings are those of a run in CI.
func DefaultSettings() Settings { return Settings{LoadS: 20, ClientsFactor: 1} }

// ReadSettings reads a TOML file; what it leaves out is as in DefaultSettings.
func ReadSettings(path string) (Settings, error) {
	settings := DefaultSettings()
	meta, err := toml.DecodeFile(path, &settings)
	if err != nil {
		return settings, errors.Wrap(err, "settings of the soak")
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return settings, errors.Errorf("settings of the soak: unknown key %s", unknown[0])
	}
	if settings.LoadS < 10 || settings.ClientsFactor < 1 || settings.ExtraEdges < 0 || settings.ExtraStores < 0 {
		return settings, errors.New("settings of the soak: load_s is at least 10, clients_factor at least 1, no number below 0")
	}
	return settings, nil
}

// The parts of the load, in percent of its length: planned work alone comes first, so that
// the rules that end with unplanned trouble are tried; the last part is calm.
const (
	plannedUntilPercent   = 45
	unplannedFromPercent  = 50
	unplannedUntilPercent = 85
)

// plannedPerSecond and unplannedPerSecond are how many disturbances are drawn.
const (
	plannedPerSecond   = 0.7
	unplannedPerSecond = 0.5
)

// besideLossMs is how long before or after a loss planned work is drawn beside it.
const besideLossMs = 1500

// planner draws one plan.
type planner struct {
	rng  *rand.Rand
	plan *Plan
}

// DrawPlan draws the plan of a seed.
func DrawPlan(settings Settings, seed uint64) *Plan {
	rng := rand.New(rand.NewPCG(seed, 0x50a4))
	plan := &Plan{Seed: seed, LoadMs: settings.LoadS * 1000}
	plan.MaxFailures = 1 + rng.IntN(2)
	plan.Edges = 2*plan.MaxFailures + 1
	plan.DisklessEdges = rng.IntN(4-plan.MaxFailures) + settings.ExtraEdges
	plan.Stores = 2*plan.MaxFailures + 1 + rng.IntN(2) + settings.ExtraStores
	plan.Workers = 2 + rng.IntN(3)
	plan.Slots = 6 + rng.IntN(8)
	plan.Clients = (16 + rng.IntN(16)) * settings.ClientsFactor
	p := &planner{rng: rng, plan: plan}
	p.drawPlanned()
	p.drawUnplanned()
	sort.SliceStable(plan.Disturbances, func(i, j int) bool { return plan.Disturbances[i].AtMs < plan.Disturbances[j].AtMs })
	return plan
}

func (p *planner) add(atMs int64, kind DisturbanceKind, index int, forMs int64) {
	p.plan.Disturbances = append(p.plan.Disturbances, Disturbance{AtMs: atMs, Kind: kind, Index: index, ForMs: forMs})
}

func (p *planner) moment(fromPercent, untilPercent int64) int64 {
	from, until := p.plan.LoadMs*fromPercent/100, p.plan.LoadMs*untilPercent/100
	return from + p.rng.Int64N(until-from)
}

func (p *planner) edges() int { return p.plan.Edges + p.plan.DisklessEdges }
func (p *planner) nodes() int { return p.edges() + p.plan.Stores }

// drawPlanned draws planned work. The first entry is the review's: a worker is silent and
// all others are full while an edge node stops and another reads its options again.
func (p *planner) drawPlanned() {
	begin := p.moment(10, 20)
	p.add(begin, Squeeze, p.rng.IntN(2), 4000)
	p.add(begin+p.rng.Int64N(800), Stop, p.rng.IntN(p.edges()), 0)
	p.add(begin+p.rng.Int64N(1500), Reload, p.rng.IntN(p.edges()), 0)
	count := int(float64(p.plan.LoadMs) / 1000 * plannedPerSecond * plannedUntilPercent / 100)
	for range count {
		at := p.moment(5, plannedUntilPercent)
		switch p.rng.IntN(7) {
		case 0, 1:
			p.add(at, Stop, p.rng.IntN(p.edges()), 0)
		case 6:
			p.add(at, Replace, p.edges()+p.rng.IntN(p.plan.Stores), 0)
		case 2:
			p.add(at, Reload, p.rng.IntN(p.nodes()), 0)
		case 3:
			p.add(at, Squeeze, p.rng.IntN(2), 1000+p.rng.Int64N(4000))
		case 4:
			p.add(at, WorkerLeave, p.rng.IntN(2*p.plan.Workers), 0)
		default:
			p.add(at, WorkerLateBeats, p.rng.IntN(2*p.plan.Workers), 1500+p.rng.Int64N(1000))
		}
	}
}

// drawLoss draws the loss of a disk or a machine, and often planned work of the stores beside
// it. What may be lost at once is counted when it is carried out (lossCount).
func (p *planner) drawLoss(at int64) {
	store := func() int { return p.edges() + p.rng.IntN(p.plan.Stores) }
	awayMs := 300 + p.rng.Int64N(700)
	switch p.rng.IntN(4) {
	case 0:
		p.add(at, DiskLoss, p.rng.IntN(p.plan.Edges), awayMs)
	case 1:
		p.add(at, DiskLoss, store(), awayMs)
	default:
		p.add(at, MachineLoss, store(), awayMs)
	}
	beside := max(0, at-besideLossMs+p.rng.Int64N(2*besideLossMs))
	switch p.rng.IntN(6) {
	case 0, 1:
		p.add(beside, Replace, store(), 0)
	case 2:
		p.add(beside, Stop, store(), 0)
	case 3:
		p.add(beside, AddStore, 0, 0)
	}
}

// drawUnplanned draws what may cost service for a time, and nothing that was acknowledged.
func (p *planner) drawUnplanned() {
	count := int(float64(p.plan.LoadMs) / 1000 * unplannedPerSecond * (unplannedUntilPercent - unplannedFromPercent) / 100)
	for range count + 1 {
		at := p.moment(unplannedFromPercent, unplannedUntilPercent)
		switch p.rng.IntN(8) {
		case 0, 1:
			p.add(at, Kill, p.rng.IntN(p.nodes()), 200+p.rng.Int64N(2000))
		case 2:
			p.add(at, Freeze, p.rng.IntN(p.nodes()), 300+p.rng.Int64N(2900))
		case 3, 4:
			p.drawLoss(at)
		case 5:
			p.add(at, WorkerCrash, p.rng.IntN(2*p.plan.Workers), 500+p.rng.Int64N(1500))
		case 6:
			p.add(at, Stop, p.rng.IntN(p.nodes()), 0)
		default:
			p.add(at, Replace, p.edges()+p.rng.IntN(p.plan.Stores), 0)
		}
	}
	if p.rng.IntN(2) == 0 {
		p.add(p.plan.LoadMs*unplannedUntilPercent/100, CloseAll, 0, 200+p.rng.Int64N(1500))
	}
}
