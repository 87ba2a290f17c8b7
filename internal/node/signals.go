package node

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals keeps the signals that a node acts on, from before its options are read. Without
// a receiver each of them would end the process at once.
type Signals struct {
	terminate chan os.Signal // SIGTERM or SIGINT: stop in order
	reload    chan os.Signal // SIGHUP: read the options again
}

// CatchSignals begins to keep the signals. A program calls it before anything else.
func CatchSignals() *Signals {
	s := &Signals{terminate: make(chan os.Signal, 2), reload: make(chan os.Signal, 1)}
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// Release lets the signals end the process again: for commands that run no node.
func (s *Signals) Release() {
	signal.Stop(s.terminate)
	signal.Stop(s.reload)
}
