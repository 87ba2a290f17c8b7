package main

import (
	"bytes"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"

	"rowanshunt/internal/settings"
)

// signalledNode is its number among the addresses of this package's tests.
const signalledNode = 9

// Guards against a process that ends since it is asked to read its options again before
// it has read them for the first time, and against one that does not stop in order then.
func TestSignalsDuringTheStart(t *testing.T) {
	t.Run("reload", func(t *testing.T) { signalDuringTheStart(t, syscall.SIGHUP) })
	t.Run("terminate", func(t *testing.T) { signalDuringTheStart(t, syscall.SIGTERM) })
}

// signalDuringTheStart starts a node whose options come through a pipe, so that the signal
// arrives while the process waits for them. The node must then stop in order.
func signalDuringTheStart(t *testing.T, first syscall.Signal) {
	t.Helper()
	dir := t.TempDir()
	path, file := filepath.Join(dir, "node.toml"), filepath.Join(dir, "later.toml")
	options := []byte(systemOptions(signalledNode, settings.RoleEdge, filepath.Join(dir, "data")))
	if err := os.WriteFile(file, options, 0o644); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(path, 0o644); err != nil {
		t.Fatal(err)
	}
	node := exec.Command("rowanshunt", edgeCommand, "--file", path)
	var log bytes.Buffer
	node.Stderr = &log
	if err := node.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = node.Process.Kill() }() // where the test ends before the node
	var pipe *os.File
	mustBecome(t, "the process reads its options, or has ended", func() bool {
		var err error
		pipe, err = os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0) // fails before
		return err == nil || hasEnded(node.Process.Pid)
	})
	if pipe == nil {
		t.Fatalf("the process ended before it read its options:\n%s", log.String())
	}
	if err := node.Process.Signal(first); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(file, path); err != nil { // what the process reads next
		t.Fatal(err)
	}
	if _, err := pipe.Write(options); err != nil {
		t.Errorf("the process did not read on: %v", err)
	}
	_ = pipe.Close()
	mustBecome(t, "the node answers, or its process has ended", func() bool {
		status, _ := call(http.MethodGet, "http://"+systemAddr(signalledNode, systemReadyPort)+"/-/readyz", "", nil)
		return status != 0 || hasEnded(node.Process.Pid)
	})
	_ = node.Process.Signal(syscall.SIGTERM)
	if err := node.Wait(); err != nil {
		t.Errorf("the process ended with %v:\n%s", err, log.String())
	}
}

// hasEnded tells whether a child has ended and was not waited for.
func hasEnded(pid int) bool {
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	return err != nil || bytes.Contains(stat, []byte(") Z "))
}
