package simnet

import (
	"context"
	"net"
)

// Call is a peer call that is about to go out, or a connection about to be opened.
type Call struct {
	From, To, Kind string
	Body           any // nil for a connection
}

// Dial is the kind of a connection about to be opened.
const Dial = "dial"

// Suspend stops the process at an address until Resume, as far as it goes through the
// network or waits in AwaitRunning: its calls and connections neither go out nor
// return, not even by their time-outs, and calls to it wait. Its steady clock goes
// on. A call whose reply came meanwhile returns it afterwards, however late.
func (n *Network) Suspend(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resumed[addr] == nil {
		n.resumed[addr] = make(chan struct{})
	}
}

// Resume lets a suspended process go on.
func (n *Network) Resume(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if resumed := n.resumed[addr]; resumed != nil {
		close(resumed)
		delete(n.resumed, addr)
	}
}

// AwaitRunning returns once the process at an address is not suspended. Tests call it
// where goroutines of a node would go on without the network.
func (n *Network) AwaitRunning(addr string) {
	for {
		resumed := n.suspension(addr)
		if resumed == nil {
			return
		}
		<-resumed
	}
}

// suspension is closed when the process goes on, nil if it is not suspended.
func (n *Network) suspension(addr string) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.resumed[addr]
}

// OnCall has fn called before each call goes out; it may suspend the caller.
func (n *Network) OnCall(fn func(Call)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onCall = fn
}

func (n *Network) beforeCall(call Call) {
	n.mu.Lock()
	fn := n.onCall
	n.mu.Unlock()
	if fn != nil {
		fn(call)
	}
	n.AwaitRunning(call.From)
}

// whileRunning ends when ctx does, but not while the process is suspended.
func (n *Network) whileRunning(ctx context.Context, addr string) (context.Context, func()) {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		n.AwaitRunning(addr)
		cancel()
	})
	return running, func() { stop(); cancel() }
}

// processConn is a connection of a process that may be suspended.
type processConn struct {
	net.Conn
	net  *Network
	addr string
}

// Read implements net.Conn.
func (pc *processConn) Read(p []byte) (int, error) {
	n, err := pc.Conn.Read(p)
	pc.net.AwaitRunning(pc.addr)
	return n, err
}

// Write implements net.Conn.
func (pc *processConn) Write(p []byte) (int, error) {
	pc.net.AwaitRunning(pc.addr)
	return pc.Conn.Write(p)
}
