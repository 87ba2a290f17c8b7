package node

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"rowanshunt/internal/register"
	"rowanshunt/internal/wal"
)

var errPowerOff = errors.New("the power is off")

// faultyDisk stands between the log of a register's member and its file for one life
// of the node. It is full, or loses power: then no later step reaches the file, and crash
// leaves in the folder what a disk may keep of the steps before. A disk that stalls is
// simnet.Network.Stall: time stands still while calls wait for the acceptor's lock.
type faultyDisk struct {
	t    *testing.T
	path string
	luck func(n int) int

	mu        sync.Mutex
	full, off bool
	failAt    map[wal.Step]int // power goes at that step, the n-th time that it comes

	syncedBytes int64
	unsynced    bool // a write began and no sync of it
	unnamed     bool // a rename began and no sync of its folder
}

func newFaultyDisk(t *testing.T, dir string, luck func(n int) int) *faultyDisk {
	return &faultyDisk{t: t, path: filepath.Join(dir, register.LogName), luck: luck, failAt: map[wal.Step]int{}}
}

func (d *faultyDisk) options() []wal.Option { return []wal.Option{wal.Interpose(d.step)} }

func (d *faultyDisk) set(flag *bool, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	*flag = on
}

// failPower has the power fail right before the n-th such step from now on.
func (d *faultyDisk) failPower(step wal.Step, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failAt[step] = n
}

func (d *faultyDisk) isOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.off
}

func (d *faultyDisk) step(step wal.Step) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := d.failAt[step]; n > 0 {
		d.failAt[step] = n - 1
		d.off = d.off || n == 1
	}
	if d.off {
		return errPowerOff
	}
	if d.full && (step == wal.StepWrite || step == wal.StepSnapshot) {
		return syscall.ENOSPC
	}
	return d.note(step)
}

// note keeps what a loss of power needs to know of a step that is done now.
func (d *faultyDisk) note(step wal.Step) error {
	switch step {
	case wal.StepWrite:
		info, err := os.Stat(d.path)
		if err != nil {
			return err
		}
		d.syncedBytes, d.unsynced = info.Size(), true
	case wal.StepSync, wal.StepTruncate:
		d.unsynced = false
	case wal.StepSnapshot:
		if err := os.Remove(d.path + ".before"); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		d.unnamed = true
		return os.Link(d.path, d.path+".before")
	case wal.StepSyncFolder:
		d.unnamed = false
	}
	return nil
}

// crash ends the life of the disk. Of a write that was not synced any part stays, and
// a rename that was not synced is lost. It tells which of them there was.
func (d *faultyDisk) crash() (torn, nameLost bool) {
	d.set(&d.off, true)
	time.Sleep(10 * time.Millisecond) // the step under way ends
	d.mu.Lock()
	defer d.mu.Unlock()
	raw, err := os.ReadFile(d.path)
	d.check(err)
	if d.unsynced && int64(len(raw)) > d.syncedBytes {
		torn = true
		tail := raw[d.syncedBytes:]
		from := d.luck(len(tail))
		clear(tail[from:min(from+d.luck(4096), len(tail))]) // never written
		d.check(os.WriteFile(d.path, raw[:d.syncedBytes+int64(d.luck(len(tail)+1))], 0o644))
	}
	if d.unnamed {
		nameLost = true
		d.check(os.Rename(d.path+".before", d.path))
		d.check(os.WriteFile(d.path+".new", raw[:d.luck(len(raw)+1)], 0o644))
	}
	return torn, nameLost
}

// turnByte turns a drawn byte of what was synced, the synced mark apart, which
// vouches for nothing while it doesn't check.
func (d *faultyDisk) turnByte() {
	raw, err := os.ReadFile(d.path)
	d.check(err)
	const markAt, recordsAt = 56, 72
	at := d.luck(len(raw) - (recordsAt - markAt))
	if at >= markAt {
		at += recordsAt - markAt
	}
	raw[at] ^= byte(1 + d.luck(255))
	d.check(os.WriteFile(d.path, raw, 0o644))
}

func (d *faultyDisk) check(err error) {
	d.t.Helper()
	if err != nil {
		d.t.Fatal(err)
	}
}
