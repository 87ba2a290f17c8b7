package soak

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"github.com/go-faster/errors"

	"rowanshunt/internal/clock"
)

// process is one node: its machine, and the process that runs on it at times. Its methods
// may be called by several goroutines.
type process struct {
	spec   nodeSpec
	system *system
	dir    string

	mu sync.Mutex
	// command is the process that was started last; running is closed when it has ended.
	command  *exec.Cmd
	running  chan struct{}
	expected bool // its end was asked for
	ordered  clock.Instant
	gone     bool // the machine was taken away
}

// start starts the node by the command of the deploy file; first is true at the first
// start of the whole deployment.
func (p *process) start(first bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gone || p.alive() {
		return nil
	}
	if err := os.MkdirAll(p.dir, 0o755); err != nil {
		return err
	}
	options := p.dir + ".toml"
	if err := os.WriteFile(options, []byte(p.system.options(&p.spec, p.dir, first)), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(p.system.program, p.spec.role, "--file", options)
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), "GORACE=halt_on_error=0 atexit_sleep_ms=0") // the race detector would wait for a second at the end
	if err := command.Start(); err != nil {
		return errors.Wrap(err, p.spec.name)
	}
	p.command, p.running, p.expected, p.ordered = command, make(chan struct{}), false, 0
	p.system.record.addNode(p.spec.name, NodeStarted, "")
	go p.await(command, p.running)
	return nil
}

func (p *process) logPath() string { return filepath.Clean(p.dir + ".log") }

// alive tells whether the process runs. Call it with mu held.
func (p *process) alive() bool {
	if p.running == nil {
		return false
	}
	select {
	case <-p.running:
		return false
	default:
		return true
	}
}

// await records the end of a process.
func (p *process) await(command *exec.Cmd, running chan struct{}) {
	err := command.Wait()
	p.mu.Lock()
	fault := ""
	switch {
	case !p.expected:
		fault = fmt.Sprintf("ended by itself: %v", err)
	case p.ordered != 0 && err != nil:
		fault = fmt.Sprintf("did not end in order: %v", err)
	}
	// Recorded first: who waits for the end may look at the observations next.
	p.system.record.addNode(p.spec.name, NodeEnded, fault)
	if p.command == command {
		close(running)
	}
	p.mu.Unlock()
}

// signal sends a signal to the process, if it runs.
func (p *process) signal(sig syscall.Signal, what string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.alive() {
		return
	}
	switch sig {
	case syscall.SIGTERM:
		p.expected, p.ordered = true, clock.Now()
	case syscall.SIGKILL:
		p.expected, p.ordered = true, 0
	}
	p.system.record.addNode(p.spec.name, what, "")
	_ = p.command.Process.Signal(sig)
}

// reload asks the process to read its options again.
func (p *process) reload(ctx context.Context) {
	p.awaitStart(ctx)
	p.signal(syscall.SIGHUP, NodeReload)
}

// awaitStart waits until the process listens for its peers, for grace_s at most. In its
// first milliseconds the runtime starts, and no program can handle signals.
func (p *process) awaitStart(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, graceBound.Duration())
	defer cancel()
	for ctx.Err() == nil && p.isUp() {
		conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", p.spec.ip, peerPort), dialTimeout)
		if err == nil {
			_ = conn.Close()
			return
		}
		clock.Sleep(ctx, clock.Millisecond.Duration())
	}
}

// procStatus is the status file of a process by field, each without its unit.
func procStatus(pid int) map[string]string {
	fields := map[string]string{}
	status, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return fields
	}
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		fields[name], _, _ = strings.Cut(strings.TrimSpace(value), " ")
	}
	return fields
}

// stop ends the process in order, and kills it where it takes longer than grace_s.
func (p *process) stop(ctx context.Context) {
	p.awaitStart(ctx)
	p.signal(syscall.SIGTERM, NodeTerminate)
	if !p.awaitEnd(ctx) {
		p.system.record.addNode(p.spec.name, NodeOverdue, "")
		p.signal(syscall.SIGKILL, NodeKill)
		p.awaitEnd(ctx)
	}
}

// kill ends the process at once.
func (p *process) kill(ctx context.Context) {
	p.signal(syscall.SIGKILL, NodeKill)
	p.awaitEnd(ctx)
}

// awaitEnd waits until the process has ended, false if it has not within grace_s.
func (p *process) awaitEnd(ctx context.Context) bool {
	p.mu.Lock()
	running := p.running
	p.mu.Unlock()
	if running == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, graceBound.Duration())
	defer cancel()
	select {
	case <-running:
		return true
	case <-ctx.Done():
		return false
	}
}

// loseDisk removes what the node stored. Call it while the process does not run.
func (p *process) loseDisk() error { return os.RemoveAll(p.dir) }

// takeAway ends the process and keeps the machine from being started again.
func (p *process) takeAway(ctx context.Context) {
	p.kill(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gone = true
}

// destroy ends the process at the end of a run, whatever its state.
func (p *process) destroy() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gone = true
	if p.alive() {
		p.expected, p.ordered = true, 0
		_ = p.command.Process.Signal(syscall.SIGKILL)
	}
}

// pid is the number of the process, 0 where none runs.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.alive() {
		return 0
	}
	return p.command.Process.Pid
}

// isUp tells whether the process runs and its machine is in use.
func (p *process) isUp() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.gone && p.alive()
}

// inUse tells whether the machine was not taken away.
func (p *process) inUse() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.gone
}

// levels reads what the process holds from the proc file system; ok is false where it
// does not run.
func (p *process) levels() (levels Levels, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.alive() {
		return Levels{}, false
	}
	pid := p.command.Process.Pid
	descriptors, err := os.ReadDir("/proc/" + strconv.Itoa(pid) + "/fd")
	if err != nil {
		return Levels{}, false
	}
	status := procStatus(pid)
	levels = Levels{Node: p.spec.name, Descriptors: len(descriptors)}
	levels.Threads, _ = strconv.Atoi(status["Threads"])
	kilobytes, _ := strconv.ParseInt(status["VmRSS"], 10, 64)
	levels.MemoryMb = kilobytes >> 10
	return levels, true
}

// faultMarks are what the runtime writes when a process breaks down or races.
var faultMarks = [][]byte{[]byte("panic: "), []byte("fatal error: "), []byte("DATA RACE")}

// logFault is the first line of the node's log that tells of a breakdown, "" without one.
func (p *process) logFault() string {
	raw, err := os.ReadFile(p.logPath())
	if err != nil {
		return ""
	}
	for _, line := range bytes.Split(raw, []byte("\n")) {
		for _, mark := range faultMarks {
			if bytes.Contains(line, mark) {
				return string(line)
			}
		}
	}
	return ""
}
