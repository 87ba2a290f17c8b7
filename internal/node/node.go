// Package node puts a node together out of its parts (design 1.1): what every role
// has, and on top of it the edge node and the store node.
package node

import (
	"context"
	"sync/atomic"

	"github.com/sourcegraph/conc"

	"rowanshunt/internal/config"
	"rowanshunt/internal/consensus"
	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/forward"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/logging"
	"rowanshunt/internal/rpc"
	"rowanshunt/internal/settings"
	"rowanshunt/internal/trace"
	"rowanshunt/internal/wal"
)

// loopDepth is how many commands may wait for the event loop.
const loopDepth = 4096

// Env is the world a node lives in: real sockets, or a simulated network.
type Env struct {
	Transport rpc.Transport
	Dial      forward.Dial
	WallUs    func() int64 // the time of day, for people only
	Log       *logging.Log
	Counters  *rpc.Counters // nil: peer calls are not counted
	Disk      []wal.Option  // of the register's log; tests make faulty disks with it
}

// Node is what every role has. Its parts share one event loop, which owns their state;
// the atomic fields are what other goroutines read of it.
type Node struct {
	env  Env
	role string
	self gossip.Peer
	// opts are the options in force; a reload replaces them as a whole.
	opts atomic.Pointer[settings.Options]
	// diskDir is the folder of an edge node that is a member of the core, "" otherwise.
	diskDir      string
	bootstrapLog *consensus.BootstrapLog // nil without a part in the bootstrap

	Loop     *eventloop.Loop
	Mux      *rpc.Mux
	Gossip   *gossip.Gossip
	Register *consensus.Register
	Trace    *trace.Tracer

	// configuration is the newest that was applied, appliedUs the time of day of that.
	configuration atomic.Pointer[config.Configuration]
	appliedUs     atomic.Int64
	// appliedVersion never decreases. It lives on the event loop.
	appliedVersion int64
	// committedObservers are complete before Start.
	committedObservers []func(*consensus.State)
	initialReadDone    atomic.Bool
	dispatcherNames    atomic.Pointer[dispatcherSelection]

	// failures takes the errors that end the process. It has room for one of each part
	// that may fail, so that none of them waits while the node shuts down.
	failures chan error
	wg       conc.WaitGroup
}

// New makes the parts that every role has. Nothing runs before Start.
func New(ctx context.Context, env Env, opts *settings.Options, role string) (*Node, error) {
	n := &Node{env: env, role: role, failures: make(chan error, 4), Loop: eventloop.NewLoop(loopDepth), Mux: rpc.NewMux()}
	n.opts.Store(opts)
	if err := n.identify(opts); err != nil {
		return nil, err
	}
	seeds := opts.SeedAddrs()
	direct := &directPeers{node: n, maxFailures: opts.Ft.Nodes}
	n.Gossip = gossip.New(ctx, gossip.Config{
		Loop:        n.Loop,
		Mux:         n.Mux,
		Transport:   env.Transport,
		Log:         env.Log,
		Self:        n.self,
		Seeds:       seeds,
		DirectPeers: direct.names,
	})
	var err error
	n.Register, err = consensus.New(ctx, consensus.Config{
		Loop:         n.Loop,
		Mux:          n.Mux,
		Transport:    env.Transport,
		Gossip:       n.Gossip,
		Log:          env.Log,
		Self:         n.self,
		DiskDir:      n.diskDir,
		DiskOptions:  env.Disk,
		Seeds:        seeds,
		Bootstrap:    n.self.Bootstrap,
		BootstrapLog: n.bootstrapLog,
		MaxFailures:  opts.Ft.Nodes,
		OnState:      n.applyCommitted,
		ProposerID:   n.self.ProcessID(),
	})
	if err != nil {
		return nil, err
	}
	// The other way (own revision into gossip) is Register.announce; the register is made
	// after gossip, so this is no field of its Config.
	n.Gossip.OnNewerRevision = n.Register.ObserveRevision
	n.Loop.Every(quorumCheckInterval, n.warnIfBelowQuorumSize)
	n.Trace = trace.New(n.Mux, env.Transport, n.Gossip, n.self)
	n.Trace.Handle(trace.Configuration, n.configurationFacts)
	env.Log.Info("started", "role", role, "peer", n.self.Addr, "disk", n.self.Disk, "bootstrap", n.self.Bootstrap)
	return n, nil
}

// Start runs the event loop, once all that lives on it is there.
func (n *Node) Start(ctx context.Context) { n.wg.Go(func() { n.Loop.Run(ctx) }) }

// MemberID is this node's name together with its disk.
func (n *Node) MemberID() string { return n.self.MemberID() }

// OnCommitted adds an observer of the committed states. It runs on the event loop and
// sees newer and newer states: those in between may be left out, and one may come twice.
// It may only be added before Start.
func (n *Node) OnCommitted(observe func(*consensus.State)) {
	n.committedObservers = append(n.committedObservers, observe)
}
