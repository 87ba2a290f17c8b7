package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/settings"
)

// A system of real processes on loopback addresses: three edge nodes with a disk, which
// are the seeds and the core, and three stores.
const (
	systemEdges  = 3
	systemStores = 3
	systemLimit  = 30 * time.Second // of each state that is waited for
	systemPoll   = 20 * time.Millisecond

	systemPeerPort  = 7100
	systemCtlPort   = 7101
	systemHTTPPort  = 7102
	systemReadyPort = 7103
)

// systemIP is the address of node i; runs at the same time have addresses of their own.
func systemIP(i int) string { return fmt.Sprintf("127.%d.0.%d", 20+os.Getpid()%50, i+1) }

func systemAddr(i, port int) string { return fmt.Sprintf("%s:%d", systemIP(i), port) }

// systemOptions is the options file of node i.
func systemOptions(i int, role, dataDir string) string {
	serves, listen := `["edge","ctl"]`, fmt.Sprintf("http = %q\nreadyz = %q\nctl = %q\n",
		systemAddr(i, systemHTTPPort), systemAddr(i, systemReadyPort), systemAddr(i, systemCtlPort))
	if role == settings.RoleStore {
		serves, listen = `["store"]`, ""
	}
	var seeds []string
	for seed := range systemEdges {
		seeds = append(seeds, fmt.Sprintf("%q", systemAddr(seed, systemCtlPort)))
	}
	return fmt.Sprintf(`node = "node-%d"
role = %q
serves = %s
ipaddr = %q
az = "z%d"
region = "r"
port_range = [%d,%d]
seeds = [%s]
bootstrap = true
quorum = true
datadir = %q
hb_ms = 1200
[listen]
%s[caps]
cpu_frac = 1.0
ncpu = 1
ram_mb = 256
nofile = 8000
net_mbps = 1000.0
disk_mb = 200
[ft]
nodes = 1
[bounds]
grace_s = 8
`, i, role, serves, systemIP(i), i, systemPeerPort, systemPeerPort+10, strings.Join(seeds, ","), dataDir, listen)
}

// startNode starts the program as node i.
func startNode(t *testing.T, dir string, i int) *exec.Cmd {
	t.Helper()
	role := settings.RoleEdge
	if i >= systemEdges {
		role = settings.RoleStore
	}
	path := filepath.Join(dir, fmt.Sprintf("node-%d.toml", i))
	if err := os.WriteFile(path, []byte(systemOptions(i, role, filepath.Join(dir, fmt.Sprint(i)))), 0o644); err != nil {
		t.Fatal(err)
	}
	node := exec.Command("rowanshunt", role, "--file", path)
	node.Stderr = &bytes.Buffer{}
	if err := node.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = node.Process.Kill() // where the test ended before it stopped the node
		if t.Failed() {
			t.Logf("node %d:\n%s", i, node.Stderr)
		}
	})
	return node
}

// call makes one request, and gives status 0 where there is no answer.
func call(method, url, ifMatch string, body any) (status int, answer []byte) {
	raw, err := json.Marshal(body)
	if err != nil {
		return 0, nil
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("If-Match", ifMatch)
	client := http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ = io.ReadAll(response.Body)
	return response.StatusCode, answer
}

// mustBecome polls until a state holds.
func mustBecome(t *testing.T, what string, holds func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), systemLimit)
	defer cancel()
	polling, stop := context.WithCancel(ctx)
	defer stop()
	eventloop.RunEvery(polling, systemPoll, func() {
		if holds() {
			stop()
		}
	})
	if ctx.Err() != nil {
		t.Fatalf("not within %v: %s", systemLimit, what)
	}
}

// Real processes start, agree on a configuration that each of them serves, and end with
// code 0 when they are told to. No time is judged.
func TestSystemOfProcesses(t *testing.T) {
	dir := t.TempDir()
	var nodes []*exec.Cmd
	for i := range systemEdges + systemStores {
		nodes = append(nodes, startNode(t, dir, i))
	}
	document := map[string]any{
		"ver": 1,
		"routes": []any{map[string]any{"name": "r", "host": "shop.example", "pfx": "/a/", "type": "safe",
			"limit_ms": 1000, "goal_ms": 100, "prio": 0, "svc": "app", "tries": 2}},
		"svcs": []any{map[string]any{"name": "app", "hc": "/healthz", "maxconn": 100}},
		"caps": map[string]any{"hdr_bytes": 16384, "payload_bytes": 1 << 20, "hdr_ms": 3000, "idle_ms": 15000},
	}
	mustBecome(t, "the first configuration is acknowledged", func() bool {
		status, _ := call(http.MethodPut, "http://"+systemAddr(0, systemCtlPort)+"/-/config", "0", document)
		return status == http.StatusOK
	})
	for i := range systemEdges {
		mustBecome(t, fmt.Sprintf("node %d is ready and has the configuration", i), func() bool {
			ready, _ := call(http.MethodGet, "http://"+systemAddr(i, systemReadyPort)+"/-/readyz", "", nil)
			status, answer := call(http.MethodGet, "http://"+systemAddr(i, systemCtlPort)+"/-/config", "", nil)
			return ready == http.StatusOK && status == http.StatusOK && bytes.Contains(answer, []byte("shop.example"))
		})
	}
	for _, node := range nodes {
		if err := node.Process.Signal(syscall.SIGTERM); err != nil {
			t.Error(err)
		}
	}
	for i, node := range nodes {
		if err := node.Wait(); err != nil {
			t.Errorf("node %d: %v", i, err)
		}
	}
}
