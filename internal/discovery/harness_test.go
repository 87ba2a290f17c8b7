package discovery

import (
	"context"
	"maps"
	"sync"
	"testing"
	"time"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/logging"
	"rowanshunt/internal/rpc"
	"rowanshunt/internal/settings"
	"rowanshunt/internal/simnet"
)

// testHeartbeatInterval is the interval of all workers in this package's tests.
const testHeartbeatInterval = 1_200 * clock.Millisecond

func newTestTable(now clock.Instant) *workerTable {
	return newWorkerTable(logging.Quiet(), testHeartbeatInterval, now)
}

func upWorker(id string, seq uint64) Worker {
	return Worker{ID: id, Svc: "s", Addr: "10.9.0.1:80", Phase: phaseUp, Seq: seq}
}

func drainingWorker(id string, seq uint64) Worker {
	w := upWorker(id, seq)
	w.Phase = phaseDraining
	return w
}

func restoredWorker(id string, seq uint64) Worker {
	w := upWorker(id, seq)
	w.Restored = true
	return w
}

func merge(t *testing.T, table *workerTable, now clock.Instant, workers ...Worker) {
	t.Helper()
	for _, w := range workers {
		if !table.merge(w, now) {
			t.Fatalf("the set-up: %+v changed nothing", w)
		}
	}
}

// fakeTransport records the calls made. An address is the node's name.
type fakeTransport struct {
	failing map[string]bool                // calls to these addresses fail at once
	hanging map[string]bool                // calls to these addresses last until their time-out
	reply   func(addr string, in, out any) // may be nil

	mu      sync.Mutex
	updates map[string]*updateRequest // the last one by address
	counts  map[string]int            // of updates, by address
	records map[string]int            // of workers in them, by address
}

// calls gives how many updates each address got.
func (ft *fakeTransport) calls() map[string]int {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	return maps.Clone(ft.counts)
}

// workers gives how many records an address got.
func (ft *fakeTransport) workers(addr string) int {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	return ft.records[addr]
}

// sent gives the last update by address.
func (ft *fakeTransport) sent() map[string]*updateRequest {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	return maps.Clone(ft.updates)
}

func (ft *fakeTransport) Call(ctx context.Context, addr, kind string, in, out any) error {
	ft.mu.Lock()
	if update, ok := in.(*updateRequest); ok && kind == kindUpdate {
		ft.updates[addr] = update
		if ft.counts == nil {
			ft.counts, ft.records = map[string]int{}, map[string]int{}
		}
		ft.counts[addr]++
		ft.records[addr] += len(update.Workers)
	}
	ft.mu.Unlock()
	if ft.hanging[addr] {
		<-ctx.Done()
		return fault.New(fault.Unsure, addr, "no answer", "")
	}
	if ft.failing[addr] {
		return fault.New(fault.Unreached, addr, "is down", "")
	}
	if ft.reply != nil {
		ft.reply(addr, in, out)
	}
	return nil
}

// runLoop runs an event loop until the test ends.
func runLoop(t *testing.T) *eventloop.Loop {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	loop := eventloop.NewLoop(64)
	go loop.Run(ctx)
	return loop
}

// onLoop runs fn on the event loop.
func onLoop(t *testing.T, loop *eventloop.Loop, fn func()) {
	t.Helper()
	if _, err := eventloop.Call(t.Context(), loop, func() bool { fn(); return true }); err != nil {
		t.Fatal(err)
	}
}

// newConfig is for a node that knows no other.
func newConfig(ctx context.Context) Config {
	network := simnet.New(1)
	loop, mux := eventloop.NewLoop(64), rpc.NewMux()
	self := gossip.Peer{Name: "n", Addr: "10.0.0.1:1", Az: "z", Role: settings.RoleEdge, Incarnation: 1}
	transport := network.TransportOf(self.Addr)
	return Config{
		Loop: loop, Mux: mux, Transport: transport, Log: logging.Quiet(), Self: self, HeartbeatInterval: testHeartbeatInterval,
		Gossip:   gossip.New(ctx, gossip.Config{Loop: loop, Mux: mux, Transport: transport, Log: logging.Quiet(), Self: self}),
		Services: func() []string { return []string{"s"} },
	}
}

// startAlone starts a node that knows no other, with its journal in dir, "" for none.
func startAlone(t *testing.T, dir string) (d *Discovery, stop func()) {
	t.Helper()
	return start(t, func(cfg *Config) { cfg.Dir = dir })
}

// start starts a node with a change to newConfig, in a synctest bubble. It is stopped
// with the test, or earlier by stop, which waits until its journal is closed.
func start(t *testing.T, change func(cfg *Config)) (d *Discovery, stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cfg := newConfig(ctx)
	change(&cfg)
	d, err := New(ctx, cfg)
	if err != nil {
		cancel()
		t.Fatal(err)
	}
	go cfg.Loop.Run(ctx)
	stop = func() {
		cancel()
		time.Sleep(time.Second) // of the bubble
	}
	t.Cleanup(stop)
	return d, stop
}

// sendHeartbeat sends one as worker w of service s.
func sendHeartbeat(t *testing.T, d *Discovery, w Worker) {
	t.Helper()
	w.ID, w.Svc, w.Addr = "w", "s", "10.9.0.1:80"
	if _, err := d.Heartbeat(context.Background(), w); err != nil {
		t.Fatal(err)
	}
}

func listed(d *Discovery, id string) bool { return d.Snapshot().ByID[id] != nil }
