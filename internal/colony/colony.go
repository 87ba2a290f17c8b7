// Package colony puts a node together out of its parts (design 1.1). The
// field's standard terms: colony = application assembly; forager = edge role;
// comb = storage role.
package colony

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"rowanshunt/internal/brood"
	"rowanshunt/internal/flora"
	"rowanshunt/internal/forage"
	"rowanshunt/internal/foundation"
	"rowanshunt/internal/guard"
	"rowanshunt/internal/nest"
	"rowanshunt/internal/nurse"
	"rowanshunt/internal/pollen"
	"rowanshunt/internal/scout"
	"rowanshunt/internal/skep"
	"rowanshunt/internal/swarm"
	"rowanshunt/internal/waggle"
	"rowanshunt/internal/wax"
)

// Node is one running process.
type Node struct {
	opts  atomic.Pointer[skep.Options]
	path  string
	role  string
	log   *wax.Log
	self  swarm.Partner
	seat  string
	fresh bool

	floor *waggle.Floor
	desk  *pollen.Desk
	mesh  *pollen.TCP
	swarm *swarm.Swarm
	nest  *nest.Nest

	blueprint atomic.Pointer[foundation.Blueprint]
	applied   int64
	caughtUp  atomic.Bool
	fatal     chan error
	start     func() // runs the floor, once all that lives on it is there
}

// Run starts a node of a role and serves until it is told to stop.
func Run(path, role, logLevel string) error {
	opts, err := skep.Load(path)
	if err != nil {
		return err
	}
	if err := opts.CheckRole(role); err != nil {
		return err
	}
	// Memory is kept small: the heap is collected early and the limit of the
	// machine is never reached by garbage (design 11.2).
	debug.SetGCPercent(60)
	debug.SetMemoryLimit(opts.Caps.RAMMb << 20 * 6 / 10)
	n := &Node{path: path, role: role, fatal: make(chan error, 4),
		log: wax.NewLog(os.Stderr, logLevel, "node", opts.Node)}
	n.opts.Store(opts)
	term := make(chan os.Signal, 2)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := n.open(ctx, opts); err != nil {
		return err
	}
	var wg conc.WaitGroup
	n.start = func() { wg.Go(func() { n.floor.Run(ctx) }) }
	wg.Go(func() { n.watchOptions(ctx, hup) })
	if role == "comb" {
		err = n.runComb(ctx, opts, term)
	} else {
		err = n.runForager(ctx, opts, term)
	}
	cancel()
	return err
}

// open makes what every role has: partners, the register, the directory of
// nodes.
func (n *Node) open(ctx context.Context, opts *skep.Options) error {
	n.floor = waggle.NewFloor(4096)
	n.desk = pollen.NewDesk()
	n.mesh = pollen.NewTCP()
	n.self = swarm.Partner{Name: opts.Node, Addr: opts.PartnerAddr(), Ctl: opts.Listen.Ctl, Az: opts.Az, Role: n.role, LifeUs: time.Now().UnixMicro()}
	diskDir := ""
	if opts.DataDir != "" && (n.role == "comb" || opts.Has("ctl")) {
		id, fresh, err := brood.OpenIncarnation(opts.DataDir)
		if err != nil {
			return err
		}
		n.self.Disk, n.fresh = id, fresh
		if n.role == "forager" {
			diskDir = opts.DataDir
		}
	}
	n.self.Boot = opts.Bootstrap && (n.self.Disk == "" || n.fresh)
	n.seat = n.self.Seat()
	seeds := opts.SeedAddrs()
	near := func(v *swarm.View) []string { return nil }
	if n.role == "comb" {
		near = func(v *swarm.View) []string {
			return v.Names(func(s *swarm.Sighting) bool { return s.Role == "comb" })
		}
	}
	n.swarm = swarm.New(ctx, n.floor, n.desk, n.mesh, n.log, n.self, seeds, near)
	var err error
	n.nest, err = nest.New(ctx, nest.Config{Floor: n.floor, Desk: n.desk, Mesh: n.mesh, Swarm: n.swarm, Log: n.log, Self: n.self,
		DiskDir: diskDir, Seeds: seeds, Boot: n.self.Boot, Spared: opts.Ft.Nodes, OnState: n.onState, Proposer: n.self.Name + "/" + time.Unix(0, n.self.LifeUs*1000).UTC().Format("20060102150405.000000")})
	if err != nil {
		return err
	}
	n.swarm.OnRev = n.nest.Hear
	ln, err := pollen.Listen(opts.PartnerAddr(), n.desk, n.log)
	if err != nil {
		return err
	}
	go ln.Run(ctx)
	n.log.Info("started", "role", n.role, "partner", opts.PartnerAddr(), "disk", n.self.Disk, "boot", n.self.Boot)
	return nil
}

// onState applies a committed state; it runs on the floor, in order, and never
// goes back (design 4.2).
func (n *Node) onState(s *nest.State) {
	if s.Ver <= n.applied {
		return
	}
	b, err := foundation.Parse(s.Doc)
	if err != nil {
		n.log.Warn("blueprint_unreadable", "ver", s.Ver, "err", err)
		return
	}
	n.applied = s.Ver
	n.blueprint.Store(b)
	n.log.Info("blueprint_applied", "ver", s.Ver, "rev", s.Rev, "bindings", len(b.Bindings))
}

// catchUp reads the register once at a majority before the node calls itself
// ready, so that a restart does not bring an older blueprint back.
func (n *Node) catchUp(ctx context.Context) {
	startUs := waggle.NowUs()
	for ctx.Err() == nil {
		readCtx, cancel := context.WithTimeout(ctx, time.Second)
		_, err := n.nest.Read(readCtx)
		cancel()
		if err == nil || waggle.NowUs()-startUs > 2_500_000 && n.nest.Committed() != nil {
			n.caughtUp.Store(true)
			return
		}
		t := time.NewTimer(150 * time.Millisecond)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// watchOptions reads the options again on SIGHUP or when the file changes
// unsignalled; options that do not check leave those in force.
func (n *Node) watchOptions(ctx context.Context, hup <-chan os.Signal) {
	stamp := func() string {
		st, err := os.Stat(n.path)
		if err != nil {
			return ""
		}
		return st.ModTime().String()
	}
	last := stamp()
	tick := time.NewTicker(3 * time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-tick.C:
			if now := stamp(); now == last || now == "" {
				continue
			}
		}
		last = stamp()
		opts, err := skep.Load(n.path)
		if err != nil {
			n.log.Warn("options_declined", "err", err)
			continue
		}
		n.opts.Store(opts)
		seeds := opts.SeedAddrs()
		_ = n.floor.Do(ctx, func() { n.swarm.SetSeeds(seeds) })
		n.log.Info("options_taken", "seeds", strings.Join(opts.Seeds, " "))
	}
}

func wallUs() int64 { return time.Now().UnixMicro() }

func (n *Node) runComb(ctx context.Context, opts *skep.Options, term <-chan os.Signal) error {
	_, err := brood.Open(ctx, brood.Config{Floor: n.floor, Desk: n.desk, Mesh: n.mesh, Swarm: n.swarm, Log: n.log, Self: n.self, Seat: n.seat,
		Dir: opts.DataDir, DiskBytes: opts.Caps.DiskMb << 20, State: n.nest.Committed, Change: n.nest.Change, Blueprint: n.blueprint.Load,
		Fatal:   func(err error) { n.fatal <- err },
		Options: brood.Defaults(), Spared: opts.Ft.Nodes, WallUs: wallUs})
	if err != nil {
		return err
	}
	n.start()
	select {
	case <-term:
		// The others take over at once; what was acknowledged is on disk.
		_ = n.floor.Do(ctx, func() { n.swarm.Tell(func(p *swarm.Partner) { p.Leaving = true }) })
		n.log.Info("leaving")
		sleep(ctx, 600*time.Millisecond)
		return nil
	case err := <-n.fatal:
		return errors.Wrap(err, "disk")
	}
}

func (n *Node) runForager(ctx context.Context, opts *skep.Options, term <-chan os.Signal) error {
	sc := scout.New(opts.Az)
	services := func() []string {
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
	fl := flora.New(ctx, flora.Config{Floor: n.floor, Desk: n.desk, Mesh: n.mesh, Swarm: n.swarm, Log: n.log, Self: n.self,
		HbUs: opts.HbMs * 1000, Services: services, Pressures: sc.Pressures, Hear: sc.Hear})
	circuits := forage.NewCircuits()
	sender := &forage.Sender{Dir: fl.Look, Scout: sc, Circuits: circuits, Blueprint: n.blueprint.Load, Ways: forage.NewSlab[forage.Way](int(opts.Caps.NoFile / 3))}
	bodyBytes := opts.Caps.RAMMb << 20 / 6
	fg := &forage.Forage{Sender: sender, Blueprint: n.blueprint.Load, Log: n.log, BodyBytes: bodyBytes}
	client := brood.NewClient(n.mesh, n.swarm, n.nest.Committed)
	lots := &brood.API{Client: client, Blueprint: n.blueprint.Load, WallUs: wallUs, Decline: forage.Decline, Log: n.log, Serving: func(d int64) { fg.Underway.Add(d) }}
	nu := &nurse.Nurse{Mesh: n.mesh, Client: client, Sender: sender, Blueprint: n.blueprint.Load, Log: n.log, Name: n.self.Name, MaxHeld: 64}
	nu.Start(ctx, n.desk)
	limits := guard.Limits{MaxConns: int(opts.Caps.NoFile / 2), HdrBytes: 64 << 10, HdrMs: 5000, IdleMs: 60_000, BodyBytes: bodyBytes}
	gd := &guard.Guard{Forage: fg, Lots: lots, Blueprint: n.blueprint.Load, Log: n.log, Limits: limits,
		Ready: func() bool { return n.caughtUp.Load() && n.blueprint.Load() != nil && fl.Synced() }}
	control := &guard.Control{Nest: n.nest, Flora: fl, Log: n.log, Spared: opts.Ft.Nodes}

	var servers []*guard.Server
	open := func(addr string, h http.Handler, l guard.Limits) error {
		s, err := guard.Open(addr, h, l)
		if err == nil {
			servers = append(servers, s)
		}
		return err
	}
	small := limits
	small.MaxConns = int(opts.Caps.NoFile / 8)
	if err := open(opts.Listen.HTTP, gd.Clients(), limits); err != nil {
		return err
	}
	if err := open(opts.Listen.Readyz, gd.Readyz(), small); err != nil {
		return err
	}
	if err := open(opts.Listen.Ctl, control.Handler(), small); err != nil {
		return err
	}
	var wg conc.WaitGroup
	for _, s := range servers {
		wg.Go(func() {
			if err := s.Run(); err != nil {
				n.fatal <- err
			}
		})
	}
	n.floor.Every(300_000, func() {
		nu.Tick()
		foragers := 0
		for _, p := range n.swarm.Look().All {
			if p.Alive && p.Role == n.role && !p.Leaving {
				foragers++
			}
		}
		sc.SetForagers(foragers)
		sc.Keep(fl.Look())
	})
	n.start()
	wg.Go(func() { n.catchUp(ctx) })
	upkeep := time.NewTicker(forage.SweepUs * time.Microsecond)
	defer upkeep.Stop()
	var err error
	for running := true; running; {
		select {
		case <-upkeep.C:
			fg.Sweep()
		case <-term:
			running = false
		case err = <-n.fatal:
			return err
		}
	}
	n.drain(ctx, gd, nu, fg, servers)
	return nil
}

// drain leaves in order (design 11.3): unready at once, connections still
// taken until the platform has noticed, then everything read gets its answer.
func (n *Node) drain(ctx context.Context, gd *guard.Guard, nu *nurse.Nurse, fg *forage.Forage, servers []*guard.Server) {
	n.log.Info("leaving")
	graceUs := n.opts.Load().GraceUs()
	gd.Draining.Store(true)
	_ = n.floor.Do(ctx, func() { n.swarm.Tell(func(p *swarm.Partner) { p.Leaving = true }) })
	endCtx, cancel := context.WithTimeout(ctx, time.Duration(graceUs-900_000)*time.Microsecond)
	defer cancel()
	sweep := time.NewTicker(forage.SweepUs * time.Microsecond)
	defer sweep.Stop()
	go func() {
		for {
			select {
			case <-sweep.C:
				fg.Sweep()
			case <-ctx.Done():
				return
			}
		}
	}()
	var wg conc.WaitGroup
	wg.Go(func() { nu.Close(endCtx) })
	sleep(endCtx, 2500*time.Millisecond)
	for _, s := range servers {
		wg.Go(func() { s.Shut(endCtx) })
	}
	wg.Wait()
	sleep(ctx, 150*time.Millisecond) // items given back reach their owners
	n.log.Info("left")
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
