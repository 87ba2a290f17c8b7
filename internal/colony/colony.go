// Package colony puts a node together out of its parts (design 1.1). The
// field's standard terms: colony = application assembly; forager = edge role;
// comb = storage role.
package colony

import (
	"context"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/sync/semaphore"

	"rowanshunt/internal/brood"
	"rowanshunt/internal/buzz"
	"rowanshunt/internal/flora"
	"rowanshunt/internal/forage"
	"rowanshunt/internal/foundation"
	"rowanshunt/internal/guard"
	"rowanshunt/internal/moult"
	"rowanshunt/internal/nectar"
	"rowanshunt/internal/nest"
	"rowanshunt/internal/nurse"
	"rowanshunt/internal/pollen"
	"rowanshunt/internal/scout"
	"rowanshunt/internal/skep"
	"rowanshunt/internal/swarm"
	"rowanshunt/internal/trail"
	"rowanshunt/internal/waggle"
	"rowanshunt/internal/wax"
)

// Env is the world a node lives in: real sockets, or a simulated meadow.
type Env struct {
	Mesh   pollen.Mesh
	Dial   forage.Dial
	WallUs func() int64
	Log    *wax.Log
	Tally  *pollen.Tally // nil: partner calls are not counted
}

// Node is one node's parts that every role has.
type Node struct {
	opts atomic.Pointer[skep.Options]
	env  Env
	role string
	self swarm.Partner
	// diskDir is the folder of a forager that votes on the register.
	diskDir string

	Floor *waggle.Floor
	Desk  *pollen.Desk
	Swarm *swarm.Swarm
	Nest  *nest.Nest
	Trail *trail.Trail

	blueprint atomic.Pointer[foundation.Blueprint]
	applied   int64
	appliedUs atomic.Int64      // time of day
	applyMore func(*nest.State) // what a role applies beside the blueprint
	caughtUp  atomic.Bool
	chosen    atomic.Pointer[chosen]
	fatal     chan error
	wg        conc.WaitGroup
}

// New makes the partners, the register and the directory of nodes. Nothing
// runs before Start.
func New(ctx context.Context, env Env, opts *skep.Options, role string) (*Node, error) {
	n := &Node{env: env, role: role, fatal: make(chan error, 4), Floor: waggle.NewFloor(4096), Desk: pollen.NewDesk()}
	n.opts.Store(opts)
	n.self = swarm.Partner{Name: opts.Node, Addr: opts.PartnerAddr(), Ctl: opts.Listen.Ctl, Az: opts.Az, Role: role,
		Cap: int64(opts.Caps.CPUFrac * max(opts.Caps.NCPU, 1) * 1000)}
	empty := true // nothing on disk, or no disk
	if opts.DataDir != "" && (role == "comb" || opts.Has("ctl")) {
		id, fresh, err := openIdentity(opts.DataDir, role, env.Log)
		if err != nil {
			return nil, err
		}
		n.self.Disk, empty = id, fresh
		if role == skep.RoleEdge {
			n.diskDir = opts.DataDir
		}
	}
	n.self.Boot = opts.Bootstrap && empty
	durable := ""
	if n.self.Disk != "" {
		durable = opts.DataDir
	}
	process, err := swarm.NewProcess(durable)
	if err != nil {
		return nil, err
	}
	if process.Uncounted != nil {
		env.Log.Warn("start_not_counted", "err", process.Uncounted, "remedy", "look at the disk; partners are asked instead")
	}
	n.self.SetProcess(process)
	seeds := opts.SeedAddrs()
	// Nodes that hold seats listen closely to those of their kind: a shard
	// waits for its owner, a newcomer must know whom it replaces.
	var mates map[string]bool
	matesVer := uint64(0)
	near := func(v *swarm.View) []string {
		if v.Self.Disk == "" {
			return nil
		}
		if role == skep.RoleStore {
			// A member listens to those it shares a shard with.
			if st := n.Nest.Committed(); st != nil && st.Stores.Has(v.Self.Seat()) {
				if matesVer != st.Stores.Ver {
					mates, matesVer = brood.Mates(&st.Stores, v.Self.Seat(), opts.Ft.Nodes), st.Stores.Ver
				}
				return v.Names(func(s *swarm.Sighting) bool { return mates[s.Name] })
			}
		}
		return v.Names(func(s *swarm.Sighting) bool { return s.Role == role && s.Disk != "" })
	}
	n.Swarm = swarm.New(ctx, n.Floor, n.Desk, env.Mesh, env.Log, n.self, seeds, near)
	n.Nest, err = nest.New(ctx, nest.Config{Floor: n.Floor, Desk: n.Desk, Mesh: env.Mesh, Swarm: n.Swarm, Log: env.Log, Self: n.self,
		DiskDir: n.diskDir, Seeds: seeds, Boot: n.self.Boot, Spared: opts.Ft.Nodes, OnState: n.onState,
		Proposer: n.self.Life()})
	if err != nil {
		return nil, err
	}
	n.Swarm.OnRev = n.Nest.Hear
	n.Floor.Every(fewEveryUs, n.tellFew)
	n.Trail = trail.New(n.Desk, env.Mesh, n.Swarm, n.self)
	n.Trail.On(trail.Blueprint, n.tellBlueprint)
	env.Log.Info("started", "role", role, "partner", n.self.Addr, "disk", n.self.Disk, "boot", n.self.Boot)
	return n, nil
}

// fewEveryUs is how often a node looks whether there are machines enough.
const fewEveryUs = 30_000_000

// tellFew warns where the rosters cannot bear the losses that the options ask
// for. Only nodes that hold a seat speak.
func (n *Node) tellFew() {
	st := n.Nest.Committed()
	need := 2*n.opts.Load().Ft.Nodes + 1
	if st == nil || n.self.Disk == "" {
		return
	}
	for what, r := range map[string]*nest.Roster{"register": &st.Core, "lots": &st.Stores} {
		if r.Has(n.self.Seat()) && len(r.Cur) < need {
			n.env.Log.Warn("too_few_seats", "of", what, "seats", len(r.Cur), "need", need, "remedy", "add machines with a disk, or lower ft.nodes")
		}
	}
}

// Start runs the floor, once all that lives on it is there.
func (n *Node) Start(ctx context.Context) { n.wg.Go(func() { n.Floor.Run(ctx) }) }

// Seat is this node's name together with its disk.
func (n *Node) Seat() string { return n.self.Seat() }

// Blueprint is the blueprint in force here, nil before the first.
func (n *Node) Blueprint() *foundation.Blueprint { return n.blueprint.Load() }

// core is the committed roster of the core, nil before this node knows one.
func (n *Node) core() *nest.Roster {
	if s := n.Nest.Committed(); s != nil {
		return &s.Core
	}
	return nil
}

// onState applies a committed state; it runs on the floor, in order, and never
// goes back (design 4.2).
func (n *Node) onState(s *nest.State) {
	if n.applyMore != nil {
		n.applyMore(s)
	}
	if s.Ver <= n.applied {
		return
	}
	b, err := foundation.Parse(s.Doc)
	if err != nil {
		n.env.Log.Warn("blueprint_unreadable", "ver", s.Ver, "err", err)
		return
	}
	n.applied = s.Ver
	n.appliedUs.Store(n.env.WallUs())
	n.blueprint.Store(b)
	n.env.Log.Info("blueprint_applied", "ver", s.Ver, "rev", s.Rev, "bindings", len(b.Bindings))
}

// inForce is the blueprint that traffic is served by: none until the register
// was read at a majority in this life of the node (design 4.5).
func (n *Node) inForce() *foundation.Blueprint {
	if !n.caughtUp.Load() {
		return nil
	}
	return n.blueprint.Load()
}

// Figures of catching up (design 4.5).
const (
	catchUpPause = 150 * time.Millisecond
	catchUpRead  = time.Second
)

// catchUp reads the register at a majority, as often as it takes, before the
// node serves anything: neither its own memory nor what a peer holds tells what
// was committed since.
func (n *Node) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		readCtx, cancel := context.WithTimeout(ctx, catchUpRead)
		_, err := n.Nest.Read(readCtx)
		cancel()
		if err == nil {
			_, err = waggle.Ask(ctx, n.Floor, func() bool {
				n.onState(n.Nest.Committed())
				n.caughtUp.Store(true)
				return true
			})
		}
		if err == nil {
			return
		}
		waggle.Pause(ctx, catchUpPause)
	}
}

// Comb is a node that keeps lots.
type Comb struct {
	*Node
	Brood *brood.Brood
}

// NewComb makes a node of the role comb.
func NewComb(ctx context.Context, env Env, opts *skep.Options) (*Comb, error) {
	n, err := New(ctx, env, opts, skep.RoleStore)
	if err != nil {
		return nil, err
	}
	b, err := brood.Open(ctx, brood.Config{Floor: n.Floor, Desk: n.Desk, Mesh: env.Mesh, Swarm: n.Swarm, Log: env.Log, Self: n.self,
		Seat: n.self.Seat(), Dir: opts.DataDir, DiskBytes: opts.Caps.DiskMb << 20, MemoryBytes: opts.Caps.RAMMb << 20,
		PollSpanUs: int64(opts.Bounds.PollS * 1e6), State: n.Nest.Committed, Change: n.Nest.Change,
		Fatal: func(err error) { n.fatal <- err }, Options: brood.Defaults(), Spared: opts.Ft.Nodes,
		Lost: n.Nest.Lost, SyncUs: int64(opts.Bounds.SyncS * 1e6)})
	if err != nil {
		return nil, err
	}
	c := &Comb{Node: n, Brood: b}
	n.Trail.On(trail.Lot, c.tellLot)
	return c, nil
}

// Forager is a node that serves clients, workers and operators.
type Forager struct {
	*Node
	Flora   *flora.Flora
	Scout   *scout.Scout
	Forage  *forage.Forage
	Nurse   *nurse.Nurse
	Guard   *guard.Guard
	Control *guard.Control
	Moult   *moult.Moult
	Nectar  *nectar.Nectar
	Gate    *nectar.Gate
	Buzz    *buzz.Buzz
}

// NewForager makes a node of the role forager.
func NewForager(ctx context.Context, env Env, opts *skep.Options) (*Forager, error) {
	n, err := New(ctx, env, opts, skep.RoleEdge)
	if err != nil {
		return nil, err
	}
	f := &Forager{Node: n, Scout: scout.New(opts.Az), Buzz: buzz.New(opts.Sink, opts.Node, n.self.Life(), env.Log, nil)}
	f.Flora, err = flora.New(ctx, flora.Config{Floor: n.Floor, Desk: n.Desk, Mesh: env.Mesh, Swarm: n.Swarm, Log: env.Log, Self: n.self,
		HbUs: opts.HbMs * 1000, Services: n.services, Pressures: f.Scout.Pressures, Hear: f.Scout.Hear, Dir: n.diskDir, Core: n.core,
		OnNews: func(w flora.Worker) {
			f.Buzz.Emit(buzz.WorkerChanged, w.ID, map[string]any{"svc": w.Svc, "addr": w.Addr, "phase": w.Phase, "gone": w.Gone})
		}})
	if err != nil {
		return nil, err
	}
	sender := &forage.Sender{Dir: f.Flora.Look, Scout: f.Scout, Circuits: forage.NewCircuits(env.Dial), Blueprint: n.inForce,
		Ways: forage.NewSlab[forage.Way](int(opts.Caps.NoFile / 3))}
	limits := guard.LimitsOf(opts)
	f.Gate = &nectar.Gate{Foragers: f.Scout.Foragers, Fleet: f.fleet}
	f.Nectar = nectar.New(ctx, nectar.Config{Floor: n.Floor, Desk: n.Desk, Mesh: env.Mesh, Swarm: n.Swarm, Log: env.Log, Self: n.self,
		State: n.Nest.Committed, Change: n.Nest.Change, Gate: f.Gate})
	f.Forage = &forage.Forage{Sender: sender, Blueprint: n.inForce, Log: env.Log, BodyBytes: limits.BodyBytes, HbMs: opts.HbMs, Gate: f.Gate}
	client := brood.NewClient(env.Mesh, n.Swarm, n.Nest.Committed, opts.Ft.Nodes)
	lots := &brood.API{Client: client, Blueprint: n.inForce, WallUs: env.WallUs, Decline: forage.Decline, Log: env.Log,
		Admit: semaphore.NewWeighted(limits.BodyBytes), AdmitBytes: limits.BodyBytes}
	f.Nurse = &nurse.Nurse{Mesh: env.Mesh, Client: client, Sender: sender, Blueprint: n.inForce, Log: env.Log, Name: n.self.Name, MaxHeld: maxHeld, Gate: f.Gate,
		Dispatches: func() bool { return slices.Contains(n.dispatchers(), n.self.Name) }}
	f.Nurse.Start(ctx, n.Desk)
	f.Guard = &guard.Guard{Forage: f.Forage, Lots: lots, Blueprint: n.inForce, Log: env.Log, Limits: limits,
		Ready: func() bool { return n.caughtUp.Load() && n.blueprint.Load() != nil && f.Flora.Synced() }}
	f.Moult = moult.New(ctx, moult.Config{Floor: n.Floor, Desk: n.Desk, Mesh: env.Mesh, Swarm: n.Swarm, Log: env.Log, Self: n.self,
		State: n.Nest.Committed, Change: n.Nest.Change, Known: f.Flora.Known, Scout: f.Scout,
		OnMove: func(u *moult.Upgrade) {
			f.Buzz.Emit(buzz.UpgradeChanged, u.Svc, map[string]any{"act": "moved", "phase": u.Phase, "wave": u.Wave, "why": u.Why})
		}})
	n.applyMore = func(s *nest.State) {
		moult.Apply(s, f.Scout)
		f.Nectar.Apply(s)
	}
	f.Control = &guard.Control{Nest: n.Nest, Flora: f.Flora, Moult: f.Moult, Nectar: f.Nectar, Trail: n.Trail, Log: env.Log, Buzz: f.Buzz, WallUs: env.WallUs}
	n.Trail.On(trail.Blueprint, f.tellAcked)
	n.Trail.On(trail.Worker, f.tellWorker)
	n.Trail.On(trail.Lot, f.tellInHand)
	n.Floor.Every(300_000, f.upkeep)
	return f, nil
}

// Start runs the floor and the sweeps of requests.
func (f *Forager) Start(ctx context.Context) {
	f.Node.Start(ctx)
	f.wg.Go(func() { f.catchUp(ctx) })
	if f.Buzz != nil {
		f.wg.Go(func() { f.Buzz.Run(ctx) })
	}
	f.wg.Go(func() {
		sweep := time.NewTicker(forage.SweepUs * time.Microsecond)
		defer sweep.Stop()
		for {
			select {
			case <-sweep.C:
				f.Forage.Sweep()
			case <-ctx.Done():
				return
			}
		}
	})
}

// maxHeld bounds the items that one dispatcher has in hand.
const maxHeld = 160

// maxDispatchers bounds the nodes that run items (design 9.1).
const maxDispatchers = 24

// dispatchers are the foragers that run items now; worked out anew with each
// view of the partners.
func (n *Node) dispatchers() []string {
	v := n.Swarm.Look()
	if c := n.chosen.Load(); c != nil && c.view == v {
		return c.names
	}
	c := &chosen{view: v, names: v.Chosen(skep.RoleEdge, "dispatch", maxDispatchers)}
	n.chosen.Store(c)
	return c.names
}

type chosen struct {
	view  *swarm.View
	names []string
}

func (f *Forager) upkeep() {
	f.Nurse.Tick()
	foragers := 0
	for _, p := range f.Swarm.Look().All {
		if p.Alive && p.Role == f.role && !p.Leaving {
			foragers++
		}
	}
	f.Scout.SetForagers(foragers)
	f.Scout.SetDispatchers(len(f.dispatchers()))
	f.Scout.Keep(f.Flora.Look())
}

// fleet is what a service's workers have together: slots as they tell them, cache
// memory as the blueprint does.
func (f *Forager) fleet(svc string) nectar.Amount {
	var kvToks int64
	if b := f.blueprint.Load(); b != nil && b.Services[svc] != nil && b.Services[svc].Engine != nil {
		kvToks = b.Services[svc].Engine.KvToks
	}
	var out nectar.Amount
	for _, w := range f.Flora.Look().BySvc[svc] {
		out.Slots += float64(max(w.Slots, 1))
		out.Kv += float64(kvToks)
	}
	return out
}

// services lists the services of the blueprint in force.
func (n *Node) services() []string {
	b := n.blueprint.Load()
	if b == nil {
		return nil
	}
	out := make([]string, 0, len(b.Services))
	for s := range b.Services {
		out = append(out, s)
	}
	slices.Sort(out)
	return out
}

// leave tells the partners that this node goes, so that they take its duties.
func (n *Node) leave(ctx context.Context) {
	n.env.Log.Info("leaving")
	_ = n.Floor.Do(ctx, func() { n.Swarm.Tell(func(p *swarm.Partner) { p.Leaving = true }) })
}

// settleLeave is how long a leaving node's word takes to go round.
const settleLeave = 600 * time.Millisecond

// Drain leaves in order (design 11.3): unready at once, connections still
// taken until the platform has noticed, then everything read gets its answer.
func (f *Forager) Drain(ctx context.Context, shut func(context.Context)) {
	f.Guard.Draining.Store(true)
	f.leave(ctx)
	endCtx, cancel := context.WithTimeout(ctx, time.Duration(f.opts.Load().GraceUs()-900_000)*time.Microsecond)
	defer cancel()
	var wg conc.WaitGroup
	wg.Go(func() { f.Nurse.Close(endCtx) })
	waggle.Pause(endCtx, 2500*time.Millisecond)
	wg.Go(func() { shut(endCtx) })
	wg.Wait()
	waggle.Pause(ctx, 150*time.Millisecond) // items given back reach their owners
	f.env.Log.Info("left")
}

// changed tells a file's version by its time and size.
func changed(path string) string {
	st, err := os.Stat(path)
	if err != nil {
		return ""
	}
	return st.ModTime().String() + "/" + strconv.FormatInt(st.Size(), 10)
}
