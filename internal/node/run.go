package node

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"rowanshunt/internal/fault"
	"rowanshunt/internal/forward"
	"rowanshunt/internal/ingress"
	"rowanshunt/internal/logging"
	"rowanshunt/internal/rpc"
	"rowanshunt/internal/settings"
)

// process is what a node's process is started with and controlled by.
type process struct {
	env         Env
	opts        *settings.Options
	optionsPath string
	signals     *Signals
}

// Run starts a node of a role on real sockets and serves until a signal ends the process.
func Run(path, role, logLevel string, signals *Signals) error {
	opts, err := settings.Load(path)
	if err != nil {
		return err
	}
	if err := opts.CheckRole(role); err != nil {
		return err
	}
	limitMemory(opts, role)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	counters := rpc.NewCounters()
	env := Env{
		Transport: rpc.NewTCP(counters),
		Counters:  counters,
		Dial:      forward.DialTCP(),
		WallUs:    func() int64 { return time.Now().UnixMicro() },
		Log:       logging.NewLog(os.Stderr, logLevel, "node", opts.Node),
	}
	for _, warning := range opts.Warnings() {
		env.Log.Warn("options_warning", "what", warning)
	}
	p := &process{env: env, opts: opts, optionsPath: path, signals: signals}
	if role == settings.RoleStore {
		return p.runStore(ctx)
	}
	return p.runEdge(ctx)
}

// limitMemory has the heap collected early, so that garbage never takes the machine's
// memory up (design 11.2). What a store keeps is large and lives long: of that a smaller
// part may be garbage.
func limitMemory(opts *settings.Options, role string) {
	debug.SetGCPercent(50)
	if role == settings.RoleStore {
		debug.SetGCPercent(20)
	}
	debug.SetMemoryLimit(opts.Caps.RAMMb << 20 * 6 / 10)
}

// listen opens the peer port; calls wait for the event loop to run.
func (n *Node) listen(ctx context.Context) error {
	listener, err := rpc.Listen(n.self.Addr, n.Mux, n.env.Log, n.env.Counters)
	if err != nil {
		return err
	}
	n.wg.Go(func() { listener.Run(ctx) })
	if n.env.Counters != nil {
		n.wg.Go(func() { n.logPeerCalls(ctx) })
	}
	return nil
}

// runStore runs a store until it is terminated or its disk fails.
func (p *process) runStore(parent context.Context) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel() // also where the node does not start
	sn, err := NewStoreNode(ctx, p.env, p.opts)
	if err != nil {
		return err
	}
	if err := sn.listen(ctx); err != nil {
		return err
	}
	sn.Start(ctx)
	sn.wg.Go(func() { sn.watchOptions(ctx, p.optionsPath, p.signals.reload) })
	sn.wg.Go(func() { sn.logDiskWrites(ctx) })
	defer sn.wg.Wait()
	defer cancel()
	select {
	case <-p.signals.terminate:
		// The others take over at once; what was acknowledged is on disk.
		sn.Shutdown(ctx)
		return nil
	case err := <-sn.failures:
		return errors.Wrap(err, "disk")
	}
}

// runEdge runs an edge node until it is terminated or a server fails. It does not wait
// for its goroutines: nothing of theirs outlives the process.
func (p *process) runEdge(ctx context.Context) error {
	e, err := NewEdgeNode(ctx, p.env, p.opts)
	if err != nil {
		return err
	}
	if err := e.listen(ctx); err != nil {
		return err
	}
	servers, err := e.openServers(p.opts)
	if err != nil {
		return err
	}
	e.Start(ctx)
	for _, server := range servers {
		e.wg.Go(func() {
			if err := server.Run(); err != nil {
				e.failures <- err
			}
		})
	}
	e.wg.Go(func() { e.watchOptions(ctx, p.optionsPath, p.signals.reload) })
	select {
	case <-p.signals.terminate:
		e.Drain(ctx, func(ctx context.Context) { closeServers(ctx, servers) })
		return nil
	case err := <-e.failures:
		return err
	}
}

// openServers opens the ports for clients, for health checks and for operators.
func (e *EdgeNode) openServers(opts *settings.Options) ([]*ingress.Server, error) {
	var faults fault.Collector
	var servers []*ingress.Server
	limits := e.Ingress.Limits
	for _, opening := range []ingress.Opening{
		{Addr: opts.Listen.HTTP, Handler: e.Ingress.Clients(), Limits: limits, Timeouts: e.Ingress.Timeouts},
		{Addr: opts.Listen.Readyz, Handler: e.Ingress.Readyz(), Limits: limits.Small()},
		{Addr: opts.Listen.Ctl, Handler: e.Control.Handler(), Limits: limits.Small()},
	} {
		server, err := ingress.Open(opening)
		faults.Add(err)
		servers = append(servers, server)
	}
	return servers, faults.Err()
}

// closeServers shuts all servers down at a time and waits for the last.
func closeServers(ctx context.Context, servers []*ingress.Server) {
	var wg conc.WaitGroup
	for _, server := range servers {
		wg.Go(func() { server.Shutdown(ctx) })
	}
	wg.Wait()
}
