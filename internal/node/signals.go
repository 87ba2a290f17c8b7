package node

import (
	"os"
	"os/signal"
	"syscall"
)

// ReloadSignal keeps the signal that asks a process to read its options again, from
// before the options are read for the first time. Without a receiver the signal would end
// the process.
type ReloadSignal chan os.Signal

// CatchReload begins to keep the signal. A program calls it before anything else.
func CatchReload() ReloadSignal {
	caught := make(ReloadSignal, 1)
	signal.Notify(caught, syscall.SIGHUP)
	return caught
}

// Release lets the signal end the process again: for commands that run no node.
func (r ReloadSignal) Release() { signal.Stop(r) }
