package rig

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of all nodes; each node has an address of its own.
const (
	peerPort  = 7660
	readyPort = 8140
	httpPort  = 8144
	ctlPort   = 8146
)

// Node is one process of the system.
type Node struct {
	Name, Role, IP, Zone string

	options, dir, logPath string
	cmd                   *exec.Cmd
	exited                chan struct{}
}

// HTTP is where the node serves clients.
func (n *Node) HTTP() string { return fmt.Sprintf("%s:%d", n.IP, httpPort) }

// Ready is where it answers the platform.
func (n *Node) Ready() string { return fmt.Sprintf("%s:%d", n.IP, readyPort) }

// Ctl is where it serves workers and the operator.
func (n *Node) Ctl() string { return fmt.Sprintf("%s:%d", n.IP, ctlPort) }

// Cluster is a deployment: three edge nodes with a disk, which are the seeds, and three
// stores.
type Cluster struct {
	Edges, Stores []*Node

	record  *Record
	folder  string
	program string
	block   string // the first three bytes of all addresses
	next    int
}

// NewCluster prepares a deployment in a temporary folder. Nothing runs before Start.
func NewCluster(record *Record) (*Cluster, error) {
	program, err := filepath.Abs("target/rowanshunt")
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &Cluster{record: record, folder: folder, program: program}
	if err := c.chooseBlock(); err != nil {
		return nil, err
	}
	for i, zone := range []string{"north", "east", "west"} {
		c.Edges = append(c.Edges, c.newNode("edge", fmt.Sprintf("edge-%d", i+1), zone))
		c.Stores = append(c.Stores, c.newNode("store", fmt.Sprintf("store-%d", i+1), zone))
	}
	return c, nil
}

// chooseBlock looks for loopback addresses whose ports are free.
func (c *Cluster) chooseBlock() error {
	for try := range 100 {
		block := fmt.Sprintf("127.%d.%d", 100+(os.Getpid()+try)%100, (os.Getpid()/100+try)%250)
		free := true
		for i := 1; i <= 6 && free; i++ {
			for _, port := range []int{peerPort, readyPort, httpPort, ctlPort} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", block, i, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			c.block = block
			return nil
		}
	}
	return fmt.Errorf("no free loopback addresses")
}

func (c *Cluster) address() string {
	c.next++
	return fmt.Sprintf("%s.%d", c.block, c.next)
}

func (c *Cluster) newNode(role, name, zone string) *Node {
	n := &Node{Name: name, Role: role, IP: c.address(), Zone: zone}
	n.dir = filepath.Join(c.folder, name)
	n.options = filepath.Join(c.folder, name+".toml")
	n.logPath = filepath.Join(c.folder, name+".log")
	return n
}

// All lists all nodes.
func (c *Cluster) All() []*Node { return append(append([]*Node{}, c.Edges...), c.Stores...) }

// StartAll starts all nodes for the first time.
func (c *Cluster) StartAll() error {
	for _, n := range c.All() {
		if err := c.Start(n, true); err != nil {
			return err
		}
	}
	return nil
}

// Start starts a node by the command of the deploy file.
func (c *Cluster) Start(n *Node, bootstrap bool) error {
	if err := os.MkdirAll(n.dir, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(n.options, []byte(c.optionsOf(n, bootstrap)), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command(c.program, n.Role)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ROWANSHUNT_NODE_FILE=" + n.options}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	c.record.Logf("start %s pid %d", n.Name, n.cmd.Process.Pid)
	n.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		c.record.Logf("ended %s: %v", n.Name, err)
		close(exited)
	}(n.cmd, n.exited)
	return nil
}

// Signal sends a signal to a node that runs.
func (c *Cluster) Signal(n *Node, sig syscall.Signal) {
	c.record.Logf("signal %s %v", n.Name, sig)
	_ = n.cmd.Process.Signal(sig)
}

// Running tells whether the node's process has not ended.
func (n *Node) Running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// Exited is closed when the node's process has ended.
func (n *Node) Exited() <-chan struct{} { return n.exited }

// Close ends all processes and removes the folder.
func (c *Cluster) Close() {
	for _, n := range c.All() {
		if n.cmd != nil && n.Running() {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			select {
			case <-n.exited:
			case <-time.After(5 * time.Second):
			}
		}
	}
	_ = os.RemoveAll(c.folder)
}

func (c *Cluster) optionsOf(n *Node, bootstrap bool) string {
	var seeds []string
	for _, seed := range c.Edges {
		seeds = append(seeds, fmt.Sprintf("%q", seed.Ctl()))
	}
	b := &strings.Builder{}
	fmt.Fprintf(b, "node = %q\nrole = %q\nsku = %q\n", n.Name, n.Role, n.Role)
	serves := `["store"]`
	if n.Role == "edge" {
		serves = `["edge","ctl"]`
	}
	fmt.Fprintf(b, "serves = %s\nipaddr = %q\naz = %q\nregion = \"r\"\n", serves, n.IP, n.Zone)
	fmt.Fprintf(b, "port_range = [%d,%d]\nseeds = [%s]\nbootstrap = %v\nquorum = true\n", peerPort, peerPort+15, strings.Join(seeds, ","), bootstrap)
	fmt.Fprintf(b, "datadir = %q\n", n.dir)
	fmt.Fprintf(b, "discover = \"self_reg\"\ningress = \"vip\"\nhb_ms = 1200\n")
	fmt.Fprintf(b, "clauses = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"batch\",\"stream\",\"engine\"]\n")
	fmt.Fprintf(b, "[azs]\nnorth = \"r\"\neast = \"r\"\nwest = \"r\"\n")
	if n.Role == "edge" {
		fmt.Fprintf(b, "[listen]\nhttp = %q\nreadyz = %q\nctl = %q\n", n.HTTP(), n.Ready(), n.Ctl())
		fmt.Fprintf(b, "[caps]\ncpu_frac = 0.656\nncpu = 1\nram_mb = 284\nnofile = 4100\nnet_mbps = 1000.0\ndisk_mb = 64\n")
	} else {
		fmt.Fprintf(b, "[caps]\ncpu_frac = 0.8\nncpu = 1\nram_mb = 334\nnofile = 8200\nnet_mbps = 600.0\ndisk_mb = 580\n")
	}
	fmt.Fprintf(b, "[ft]\nnodes = 1\nazs = 0\nregions = 0\n[bounds]\nseed_lag_s = 3\nreuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\nsync_s = 5.1\n")
	fmt.Fprintf(b, "drain_ms = 2000\ngrace_s = 8\nlost_ms = 200\napply_ms = 2000\nrevert_ms = 250\nstretch_ms = 5000\nrecover_s = 12\n")
	fmt.Fprintf(b, "step_ms = 120\nfinish_s = 10\npoll_s = 120\ncancel_ms = 3000\nsettle_ms = 1000\nquota_over = 0.1\n")
	return b.String()
}
