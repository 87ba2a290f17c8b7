package soak

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/go-faster/errors"
)

// Ports of all nodes; each node has an address of its own.
const (
	peerPort  = 7660
	lastPort  = 7675
	readyPort = 8140
	httpPort  = 8144
	ctlPort   = 8146
)

// Memory of the machines in MiB, and their file descriptors.
const (
	edgeMemoryMb  = 284
	storeMemoryMb = 334
	edgeFiles     = 4100
	storeFiles    = 8200
)

// addressBlocks is how many blocks of 250 loopback addresses are looked through for a free one.
const (
	addressBlocks = 100
	blockSize     = 250
)

// nodeSpec is what a node is started with.
type nodeSpec struct {
	name, role, zone string
	ip               string
	hasDisk          bool
}

func (n nodeSpec) httpAddr() string  { return fmt.Sprintf("%s:%d", n.ip, httpPort) }
func (n nodeSpec) readyAddr() string { return fmt.Sprintf("%s:%d", n.ip, readyPort) }
func (n nodeSpec) ctlAddr() string   { return fmt.Sprintf("%s:%d", n.ip, ctlPort) }

// Roles by the commands of the deploy file.
const (
	edgeRole  = "edge"
	storeRole = "store"
)

// system is a deployment. Its edge nodes stay the same; stores are replaced.
type system struct {
	plan    *Plan
	program string
	folder  string
	record  *Record
	block   string
	hold    net.Listener // keeps other runs off the block
	edges   []*process   // with a disk first
	seeds   []string

	mu     sync.Mutex
	nextIP int
	stores []*process
	ever   []*process // also those that were replaced
}

var zones = []string{"north", "east", "west"}

// newSystem prepares the deployment of a plan below a folder. Nothing runs before start.
func newSystem(plan *Plan, program, folder string, record *Record) (*system, error) {
	s := &system{plan: plan, program: program, folder: folder, record: record}
	if err := s.chooseBlock(); err != nil {
		return nil, err
	}
	for i := range plan.Edges + plan.DisklessEdges {
		s.edges = append(s.edges, s.newProcess(edgeRole, fmt.Sprintf("edge-%d", i+1), i, i < plan.Edges))
	}
	for i := range plan.Stores {
		s.addStore(fmt.Sprintf("store-%d", i+1), i)
	}
	for _, seed := range s.edges[:min(3, plan.Edges)] {
		s.seeds = append(s.seeds, fmt.Sprintf("%q", seed.spec.ctlAddr()))
	}
	record.add(func(o *Observations) {
		for _, edge := range s.edges[:plan.Edges] {
			o.CoreNodes = append(o.CoreNodes, edge.spec.name)
		}
	})
	return s, nil
}

// chooseBlock looks for loopback addresses on which nothing listens, so that runs beside
// each other do not meet.
func (s *system) chooseBlock() error {
	for try := range addressBlocks {
		number := os.Getpid() + try*37
		block := fmt.Sprintf("127.%d.%d", 60+number%60, number/60%250)
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", block, blockSize, lastPort))
		if err != nil {
			continue
		}
		s.block, s.hold = block, listener
		return nil
	}
	return errors.New("no block of loopback addresses is free")
}

// newProcess gives a node the next address. Once the system is in use, mu is held.
func (s *system) newProcess(role, name string, index int, hasDisk bool) *process {
	s.nextIP++
	spec := nodeSpec{name: name, role: role, zone: zones[index%len(zones)], ip: fmt.Sprintf("%s.%d", s.block, s.nextIP), hasDisk: hasDisk}
	p := &process{spec: spec, system: s, dir: filepath.Join(s.folder, name)}
	s.ever = append(s.ever, p)
	return p
}

// all lists the processes, edge nodes first.
func (s *system) all() []*process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(append([]*process{}, s.edges...), s.stores...)
}

// everUsed lists the processes of all machines that were ever in use.
func (s *system) everUsed() []*process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*process{}, s.ever...)
}

// addStore adds a machine for a store.
func (s *system) addStore(name string, index int) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	store := s.newProcess(storeRole, name, index, true)
	s.stores = append(s.stores, store)
	s.record.add(func(o *Observations) { o.StoreNodes = append(o.StoreNodes, name) })
	return store
}

// removeStore forgets the machine of a store.
func (s *system) removeStore(store *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stores = slices.DeleteFunc(s.stores, func(other *process) bool { return other == store })
}

// release gives the block of addresses back.
func (s *system) release() { _ = s.hold.Close() }

// startAll starts all nodes for the first time.
func (s *system) startAll() error {
	for _, p := range s.all() {
		if err := p.start(true); err != nil {
			return err
		}
	}
	return nil
}

// killAll ends what runs.
func (s *system) killAll() {
	for _, p := range s.everUsed() {
		p.destroy()
	}
}

// options is the options file of a node.
func (s *system) options(n *nodeSpec, dir string, bootstrap bool) string {
	serves, listen := `["store"]`, ""
	caps := fmt.Sprintf("cpu_frac = 0.8\nncpu = 1\nram_mb = %d\nnofile = %d\nnet_mbps = 600.0\ndisk_mb = 580\n", storeMemoryMb, storeFiles)
	if n.role == edgeRole {
		serves = `["edge","ctl"]`
		listen = fmt.Sprintf("http = %q\nreadyz = %q\nctl = %q\n", n.httpAddr(), n.readyAddr(), n.ctlAddr())
		caps = fmt.Sprintf("cpu_frac = 0.656\nncpu = 1\nram_mb = %d\nnofile = %d\nnet_mbps = 1000.0\ndisk_mb = 64\n", edgeMemoryMb, edgeFiles)
	}
	dataDir := ""
	if n.hasDisk {
		dataDir = fmt.Sprintf("datadir = %q\n", dir)
	}
	return fmt.Sprintf(`node = %q
role = %q
serves = %s
ipaddr = %q
az = %q
region = "r"
port_range = [%d,%d]
seeds = [%s]
bootstrap = %v
quorum = %v
%shb_ms = %d
[listen]
%s[caps]
%s[ft]
nodes = %d
[bounds]
grace_s = %d
sync_s = %s
poll_s = %d
`, n.name, n.role, serves, n.ip, n.zone, peerPort, lastPort, strings.Join(s.seeds, ","), bootstrap, n.hasDisk,
		dataDir, heartbeatMs, listen, caps, s.plan.MaxFailures, graceBound/1e6, syncBoundText, pollBound/1e6)
}
