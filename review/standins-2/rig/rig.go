// Package rig starts the project's own programs as separate processes on loopback
// addresses and writes the record of a script. It uses the standard library only.
package rig

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	Held    = 0
	Broken  = 1
	NotRun  = 2
	maxTime = 115 * time.Second
)

// Script is one run: its record, its temporary folder and its processes.
type Script struct {
	Trouble bool // false with TROUBLE=0
	Dir     string
	Block   string // the first three bytes of the loopback addresses
	Nodes   []*Node

	mu     sync.Mutex
	record *os.File
	start  time.Time
}

// Node is one node of the system: an edge node or a store.
type Node struct {
	Name, Role, IP, Zone string
	Diskless             bool

	script *Script
	cmd    *exec.Cmd
	exited chan struct{}
}

// Run runs a script and gives its exit code. The first argument of the program is the
// folder of the case.
func Run(script func(*Script) int) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE FOLDER")
		return NotRun
	}
	s := &Script{Trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if s.record, err = os.Create(filepath.Join(os.Args[1], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	if s.Dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	s.Block = freeBlock()
	done := make(chan int, 1)
	go func() { done <- script(s) }()
	code := NotRun
	select {
	case code = <-done:
	case <-time.After(maxTime):
		s.Log("the script took too long")
	}
	for _, n := range s.Nodes {
		n.Kill()
	}
	s.Log("exit %d", code)
	_ = s.record.Close()
	_ = os.RemoveAll(s.Dir)
	return code
}

// freeBlock finds loopback addresses whose ports nobody uses.
func freeBlock() string {
	for i := os.Getpid() % 200; ; i = (i + 1) % 200 {
		block := fmt.Sprintf("127.88.%d", i+20)
		free := true
		for _, host := range []string{"1", "2", "3", "4", "5", "6", "7", "8", "11", "12", "13", "14", "15"} {
			for _, port := range []string{"7660", "8140", "8144", "8146"} {
				l, err := net.Listen("tcp", block+"."+host+":"+port)
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return block
		}
	}
}

// Log writes a line of the record.
func (s *Script) Log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
	fmt.Println(line)
	_, _ = fmt.Fprintln(s.record, line)
}

// Deploy makes three edge nodes and as many stores as given; ft.nodes is 1.
func (s *Script) Deploy(stores int) {
	zones := []string{"kapucinska", "zidenice", "kralovo-pole"}
	for i := range 3 {
		s.Nodes = append(s.Nodes, &Node{Name: fmt.Sprintf("edge-%d", i+1), Role: "edge", IP: fmt.Sprintf("%s.%d", s.Block, i+1), Zone: zones[i], script: s})
	}
	for i := range stores {
		s.Nodes = append(s.Nodes, &Node{Name: fmt.Sprintf("store-%d", i+1), Role: "store", IP: fmt.Sprintf("%s.%d", s.Block, i+11), Zone: zones[i], script: s})
	}
}

// AddStore adds a store at the address that ends in that number; it is not started.
func (s *Script) AddStore(name string, host int, zone string) *Node {
	n := &Node{Name: name, Role: "store", IP: fmt.Sprintf("%s.%d", s.Block, host), Zone: zone, script: s}
	s.Nodes = append(s.Nodes, n)
	return n
}

// LoseDisk kills the node and removes all that was on its disk.
func (n *Node) LoseDisk() {
	n.Kill()
	_ = os.RemoveAll(n.file(".data"))
	n.script.Log("%s is killed and loses its disk", n.Name)
}

// DeployDiskless adds edge nodes without a disk; they do not count for ft.nodes.
func (s *Script) DeployDiskless(count int) {
	for i := range count {
		s.Nodes = append(s.Nodes, &Node{Name: fmt.Sprintf("edge-%d", i+4), Role: "edge", IP: fmt.Sprintf("%s.%d", s.Block, i+4),
			Zone: []string{"kapucinska", "zidenice", "kralovo-pole"}[i%3], Diskless: true, script: s})
	}
}

// Edges are the counted edge nodes.
func (s *Script) Edges() []*Node { return s.Nodes[:3] }

// AllEdges are all edge nodes.
func (s *Script) AllEdges() (edges []*Node) {
	for _, n := range s.Nodes {
		if n.Role == "edge" {
			edges = append(edges, n)
		}
	}
	return edges
}

// Ready waits until the node answers 200 at its readyz address.
func (n *Node) Ready(limit time.Duration) bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + n.IP + ":8140/-/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// Wait waits for the end of the process; false if it does not come in time.
func (n *Node) Wait(limit time.Duration) bool {
	select {
	case <-n.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

func (n *Node) file(ext string) string { return filepath.Join(n.script.Dir, n.Name+ext) }

// writeOptions writes the settings file as the deployment page has it.
func (n *Node) writeOptions(bootstrap bool) error {
	s := n.script
	var b strings.Builder
	p := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	p("node = %q\nrole = %q\nsku = %q\nipaddr = %q\naz = %q\nregion = \"brno\"", n.Name, n.Role, n.Role, n.IP, n.Zone)
	p("port_range = [7660,7675]")
	p("seeds = [\"%[1]s.1:8146\",\"%[1]s.2:8146\",\"%[1]s.3:8146\"]", s.Block)
	p("bootstrap = %v\nquorum = %v\ndatadir = %q\ndiscover = \"self_reg\"\ningress = \"vip\"\nhb_ms = 1200", bootstrap, !n.Diskless, map[bool]string{false: n.file(".data")}[n.Diskless])
	p("clauses = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"batch\",\"stream\",\"engine\"]")
	if n.Role == "edge" {
		p("serves = [\"edge\",\"ctl\"]")
	} else {
		p("serves = [\"store\"]")
	}
	p("[azs]\nkapucinska = \"brno\"\nzidenice = \"brno\"\nkralovo-pole = \"brno\"")
	if n.Role == "edge" {
		p("[listen]\nhttp = \"%[1]s:8144\"\nreadyz = \"%[1]s:8140\"\nctl = \"%[1]s:8146\"", n.IP)
	}
	p("[caps]\ncpu_frac = 0.656\nncpu = 1\nram_mb = 284\nnofile = 4100\nnet_mbps = 1000.0\ndisk_mb = 580")
	p("[ft]\nnodes = 1\nazs = 0\nregions = 0")
	p("[bounds]\nseed_lag_s = 3\nreuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\nsync_s = 5.1\ndrain_ms = 2000\ngrace_s = 8\nlost_ms = 200\napply_ms = 2000\nrevert_ms = 250\nstretch_ms = 5000\nrecover_s = 12\nstep_ms = 120\nfinish_s = 10\npoll_s = 120\ncancel_ms = 3000\nsettle_ms = 1000\nquota_over = 0.1")
	return os.WriteFile(n.file(".toml"), []byte(b.String()), 0o644)
}

// Start starts the node's process by the command of the deploy file.
func (n *Node) Start(bootstrap bool) error {
	if err := n.writeOptions(bootstrap); err != nil {
		return err
	}
	log, err := os.OpenFile(n.file(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command("target/rowanshunt", n.Role)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.script.Dir, "ROWANSHUNT_NODE_FILE=" + n.file(".toml")}
	n.cmd.Stderr, n.cmd.Stdout = log, log
	if err := n.cmd.Start(); err != nil {
		n.cmd = nil
		return err
	}
	exited := make(chan struct{})
	n.exited = exited
	cmd := n.cmd
	go func() { _ = cmd.Wait(); close(exited) }()
	n.script.Log("%s starts, bootstrap = %v", n.Name, bootstrap)
	return nil
}

// Kill sends SIGKILL and waits for the end.
func (n *Node) Kill() {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Signal(syscall.SIGCONT)
	_ = n.cmd.Process.Kill()
	<-n.exited
	n.cmd = nil
}

// Signal sends a signal.
func (n *Node) Signal(sig syscall.Signal) {
	n.script.Log("%s gets %v", n.Name, sig)
	_ = n.cmd.Process.Signal(sig)
}

// Running tells whether the process has not ended.
func (n *Node) Running() bool {
	if n.cmd == nil {
		return false
	}
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// LogLines gives the lines of the node's log that contain a text.
func (n *Node) LogLines(text string) (lines []string) {
	raw, _ := os.ReadFile(n.file(".log"))
	for _, line := range strings.Split(string(raw), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}
